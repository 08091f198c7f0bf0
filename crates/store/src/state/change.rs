//! Changes of the state: what is proposed, and the reply to it.

use serde::{Deserialize, Serialize};

use super::State;
use super::limits::ENABLED_OVERRIDE_RETENTION_MS;

/// A change, as a client proposes it.
///
/// A client numbers its proposals, so that one which is retried after a lost reply is carried out once (Raft, section 8).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The client's id, which it draws at random.
    pub client: u64,
    /// The number of the client's proposal, from 1.
    pub sequence: u64,
    /// The change.
    pub change: Change,
}

/// A kind of change. They are encoded by their position: new ones are added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A new revision of a document.
    Document {
        /// The document's name.
        name: String,
        /// Its text.
        text: String,
        /// Who wrote it.
        author: String,
        /// When it was written, in ms of Unix time by the author's clock.
        at_ms: u64,
        /// The revision that it has to follow, 0 for a new document. With `None` it follows any.
        after: Option<u64>,
    },
    /// An endpoint list, as a node received it from discovery.
    List {
        /// Discovery's version.
        version: u64,
        /// The list as it was received.
        text: String,
        /// The member that received it.
        learned_by: u64,
        /// When servers were started, in ms of Unix time.
        started: Vec<(String, u64)>,
    },
    /// An operator's administrative override for a server.
    Override {
        /// The server's id.
        server: String,
        /// The override.
        admin_override: AdminOverride,
    },
    /// The state of another cluster's snapshot, restored into a store that is empty.
    Restore {
        /// The state.
        state: Box<State>,
    },
    /// A key whose value must not be served any more. The store retains it for subscribers, and does nothing else with
    /// it.
    Purge {
        /// The key.
        key: String,
    },
}

/// An operator's decision about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminOverride {
    /// Whether the server is disabled; otherwise it is enabled again.
    pub disabled: bool,
    /// Since when, in ms of Unix time.
    pub since_ms: u64,
}

impl AdminOverride {
    /// Whether it enabled a server so long before a time, in ms of Unix time, that it has no effect any more.
    pub(crate) fn is_expired(&self, at_ms: u64) -> bool {
        !self.disabled && at_ms.saturating_sub(self.since_ms) >= ENABLED_OVERRIDE_RETENTION_MS
    }
}

/// The result of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The entry is one of the engine's own.
    Empty,
    /// The change is made: the document's revision, the list's version, or else the entry's index.
    Applied(u64),
    /// The change is not made at any replica.
    Rejected(Rejection),
}

/// Why a change is not made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// The document has been changed by somebody else.
    #[error("the latest revision is {found}, not {expected}: read it, and change that")]
    Conflict {
        /// The revision that the change was to follow.
        expected: u64,
        /// The latest revision.
        found: u64,
    },
    /// A newer list is committed.
    #[error("list version {proposed} is not newer than {committed}")]
    StaleList {
        /// The proposed version.
        proposed: u64,
        /// The committed version.
        committed: u64,
    },
    /// A text or a name is too long.
    #[error("{what} of {bytes} bytes: at most {max} are kept")]
    TooLong {
        /// What is too long.
        what: String,
        /// Its length.
        bytes: u64,
        /// The longest that is accepted.
        max: u64,
    },
    /// A limit of the state is reached.
    #[error("{what}: {max} are kept, and no more")]
    LimitExceeded {
        /// What there are too many of.
        what: String,
        /// How many there may be.
        max: u64,
    },
    /// The store is not empty.
    #[error("the store holds something already: restore into a new one")]
    NotEmpty,
    /// A later proposal of the same client has been carried out.
    #[error("proposal {sequence} comes after a later one of its client, {last}")]
    Superseded {
        /// The proposal's number.
        sequence: u64,
        /// The number of the client's latest proposal.
        last: u64,
    },
}
