//! Limits of the state, which every replica has to apply alike.

/// The longest text of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 << 10;
/// The longest text of an endpoint list, in bytes.
pub const MAX_LIST_BYTES: usize = 2 << 20;
/// The most documents.
pub const MAX_DOCUMENTS: usize = 1_000;
/// The most revisions of one document.
pub const MAX_REVISIONS_PER_DOCUMENT: usize = 16;
/// The total of all documents' texts, in bytes. Older revisions are dropped to stay within it.
pub const MAX_TOTAL_DOCUMENT_BYTES: usize = 4 << 20;
/// The most servers with an administrative override, and the most whose start time is recorded.
pub const MAX_SERVERS: usize = 12_000;
/// How long an override that enabled a server is retained, in ms: the server has warmed up by then.
pub const ENABLED_OVERRIDE_RETENTION_MS: u64 = 600_000;
/// The longest id of a server, in bytes.
pub const MAX_SERVER_ID_BYTES: usize = 128;
/// The longest key of a purge, in bytes.
pub const MAX_PURGE_KEY_BYTES: usize = 512;
/// Purges whose keys are retained for subscribers: at 12 a second, those of more than the last 5 minutes.
pub const MAX_RETAINED_PURGES: usize = 4_096;
/// The most clients whose last proposal is recorded.
pub const MAX_CLIENTS: usize = 1_000;
/// The longest name of a document or an author, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
