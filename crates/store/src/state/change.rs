//! Changes of the replicated state: the proposals of clients, and the replies to them.

use serde::{Deserialize, Serialize};

use super::State;
use super::limits::ENABLED_OVERRIDE_RETENTION_MS;

/// A change that a client proposes.
///
/// A client numbers its proposals, so that a proposal that is retried after its reply was lost is carried out only once
/// (section 8 of the Raft paper).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The client's id, which the client draws at random.
    pub client: u64,
    /// The number of this proposal among those of the client, counted from 1.
    pub sequence: u64,
    /// The proposed change.
    pub change: Change,
}

/// A change of the state. Variants are encoded by their position, so new ones must be added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A new revision of a document.
    Document {
        /// The document's name.
        name: String,
        /// The document's new text.
        text: String,
        /// Who wrote the text.
        author: String,
        /// When the text was written, in ms of Unix time by the author's clock.
        at_ms: u64,
        /// The revision that must be the latest one for the change to be made; 0 for a new document. `None` accepts
        /// any.
        after: Option<u64>,
    },
    /// An endpoint list, as a node received it from discovery.
    List {
        /// The list's version, which discovery assigned.
        version: u64,
        /// The list as it was received.
        text: String,
        /// The member that received it.
        learned_by: u64,
        /// The servers' ids and start times, in ms of Unix time.
        started: Vec<(String, u64)>,
    },
    /// An operator's administrative override for a server.
    Override {
        /// The server's id.
        server: String,
        /// The override to set.
        admin_override: AdminOverride,
    },
    /// Restores the state of another cluster's snapshot into an empty store.
    Restore {
        /// The state in the snapshot.
        state: Box<State>,
    },
    /// The purge of a key, whose cached value must not be served any more. The store only retains the key for
    /// subscribers.
    Purge {
        /// The purged key.
        key: String,
    },
}

/// An operator's decision to disable or enable a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminOverride {
    /// Whether the server is disabled; otherwise it is enabled again.
    pub disabled: bool,
    /// When the operator decided, in ms of Unix time.
    pub since_ms: u64,
}

impl AdminOverride {
    /// Whether the override enabled a server so long before `now_ms`, in ms of Unix time, that it has no effect any
    /// more.
    pub(crate) fn is_expired(&self, now_ms: u64) -> bool {
        !self.disabled && now_ms.saturating_sub(self.since_ms) >= ENABLED_OVERRIDE_RETENTION_MS
    }
}

/// The result of applying a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The entry is one of the consensus engine's own, not a proposal.
    Empty,
    /// The change was made. The value is the document's new revision, the list's version, or otherwise the entry's
    /// index.
    Applied(u64),
    /// The change was rejected. All replicas reject it alike.
    Rejected(Rejection),
}

/// The reason why a change was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// The document has been changed in the meantime.
    #[error("the latest revision is {found}, not {expected}: read that revision and apply the change to it")]
    Conflict {
        /// The revision that the change expected to be the latest.
        expected: u64,
        /// The latest revision.
        found: u64,
    },
    /// A list of the same or a newer version is already committed.
    #[error("list version {proposed} is not newer than {committed}")]
    StaleList {
        /// The version of the proposed list.
        proposed: u64,
        /// The version of the committed list.
        committed: u64,
    },
    /// A text or a name is too long.
    #[error("{what} of {bytes} bytes is too long: the limit is {max} bytes")]
    TooLong {
        /// The kind of value that is too long.
        what: String,
        /// The length of the value, in bytes.
        bytes: u64,
        /// The longest accepted length, in bytes.
        max: u64,
    },
    /// A limit of the state is reached.
    #[error("too many {what}: the limit is {max}")]
    LimitExceeded {
        /// The kind of values whose number would exceed the limit.
        what: String,
        /// The largest number that is accepted.
        max: u64,
    },
    /// The store is not empty.
    #[error("the store already holds something: restore into a new one")]
    NotEmpty,
    /// A later proposal of the same client has been carried out.
    #[error("proposal {sequence} is outdated: proposal {last} of the same client has been carried out")]
    Superseded {
        /// The number of the outdated proposal.
        sequence: u64,
        /// The number of the client's latest proposal that was carried out.
        last: u64,
    },
}
