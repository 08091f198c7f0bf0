//! What a subscriber does and reports: actions for its sockets, events, errors and counters.

use crate::feed::delta::DeltaError;
use crate::feed::frame::{FrameError, ItemKey, SessionRejection};

/// What the sockets are to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to the publisher at this address; any other connection is closed.
    Connect(String),
    /// Send this frame.
    Send(Vec<u8>),
    /// Close the connection.
    Close(CloseReason),
}

/// Why a subscriber closes its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The publisher can't be reached in time.
    Unreachable,
    /// The publisher sends nothing.
    Silent,
    /// The publisher is stale, and another one may not be.
    Stale,
    /// A preferred publisher may be back.
    PreferredAvailable,
}

/// A change that a frame has brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Items have changed.
    Changed(Vec<ItemKey>),
    /// Keys are purged.
    Purged {
        /// The number of the first purge; the others follow it.
        first: u64,
        /// The purged keys.
        keys: Vec<String>,
    },
    /// Some purges are not known: anything cached before may have been purged. This happens once at each start, and later
    /// only after an absence longer than purges are retained for.
    PurgesUnknown {
        /// The last purge that is known; 0 at the start.
        after: u64,
        /// The last purge that is not known.
        through: u64,
    },
}

/// Why a frame is rejected. Nothing of it is applied, and the connection is to be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReceiveError {
    /// It can't be decoded.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// It doesn't follow the subscriber's state, or is older.
    #[error("{what} {found} is out of order: {held} is held")]
    OutOfOrder {
        /// What is out of order.
        what: &'static str,
        /// The value in the frame.
        found: u64,
        /// The subscriber's value.
        held: u64,
    },
    /// It has something newer than its publisher claims to have.
    #[error("{what} {found} is from the future: the publisher holds {head}")]
    Future {
        /// What is too new.
        what: &'static str,
        /// The value in the frame.
        found: u64,
        /// The publisher's value.
        head: u64,
    },
    /// A delta doesn't apply to the subscriber's list.
    #[error("the list: {0}")]
    Delta(#[from] DeltaError),
    /// There are more items than a store can have.
    #[error("more items than a store keeps")]
    ItemLimitExceeded,
    /// The publisher ends the session.
    #[error("the publisher refuses: {0}")]
    Publisher(#[from] SessionRejection),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Frames that were applied.
    pub frames: u64,
    /// The bytes of those frames.
    pub bytes: u64,
    /// Frames that were rejected.
    pub rejected_frames: u64,
    /// Sessions that publishers have ended or not begun.
    pub rejected_sessions: u64,
    /// Connections that were closed, lost, or not made.
    pub disconnects: u64,
}
