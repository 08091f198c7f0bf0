//! Limits of the replicated state. Every replica has to apply the same limits.

/// The longest text of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 << 10;
/// The longest text of an endpoint list, in bytes.
pub const MAX_LIST_BYTES: usize = 2 << 20;
/// The largest number of documents.
pub const MAX_DOCUMENTS: usize = 1_000;
/// The largest number of revisions retained of one document.
pub const MAX_REVISIONS_PER_DOCUMENT: usize = 16;
/// The largest total size of the texts of all retained revisions of all documents, in bytes. The oldest revisions are
/// dropped to stay within it.
pub const MAX_TOTAL_DOCUMENT_BYTES: usize = 4 << 20;
/// The largest number of servers with an administrative override, and the largest number whose start time is recorded.
pub const MAX_SERVERS: usize = 12_000;
/// How long an override that enabled a server is retained, in ms. By then the server has warmed up.
pub const ENABLED_OVERRIDE_RETENTION_MS: u64 = 600_000;
/// The longest id of a server, in bytes.
pub const MAX_SERVER_ID_BYTES: usize = 128;
/// The longest key of a purge, in bytes.
pub const MAX_PURGE_KEY_BYTES: usize = 512;
/// The number of latest purges whose keys are retained for subscribers. At 12 purges a second they cover more than the
/// last 5 minutes.
pub const MAX_RETAINED_PURGES: usize = 4_096;
/// The largest number of clients whose last proposal is recorded.
pub const MAX_CLIENTS: usize = 1_000;
/// The longest name of a document or of an author, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
