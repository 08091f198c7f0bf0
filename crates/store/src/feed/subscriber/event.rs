//! The actions that a subscriber requests of its connection, its events, errors and counters.

use crate::feed::delta::DeltaError;
use crate::feed::frame::{FrameError, ItemKey, SessionRejection};

/// What the caller has to do with the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to the publisher at this address. No other connection is open then.
    Connect(String),
    /// Send this frame.
    Send(Vec<u8>),
    /// Close the connection.
    Close(CloseReason),
}

/// Why a subscriber closes its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The connection was not established in time.
    Unreachable,
    /// The publisher has sent nothing for too long.
    Silent,
    /// The publisher's state is stale, and there is another publisher to try.
    Stale,
    /// It is time to try a preferred publisher again.
    PreferredAvailable,
}

/// A change that a frame has made to the subscriber's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Items have changed.
    Changed(Vec<ItemKey>),
    /// Keys were purged.
    Purged {
        /// The number of the first purge; the others follow it.
        first: u64,
        /// The purged keys.
        keys: Vec<String>,
    },
    /// Some purges were missed: any key that was cached before may have been purged. This happens once after each
    /// start, and later only if the subscriber was disconnected for longer than purges are retained.
    PurgesUnknown {
        /// The number of the last known purge; 0 after a start.
        after: u64,
        /// The last purge that was missed.
        through: u64,
    },
}

/// Why a frame is rejected. Nothing of it is applied, and the connection has to be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReceiveError {
    /// The frame can't be decoded.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The frame doesn't follow the subscriber's state, or something in it is older than this state.
    #[error("{what} {found} is out of order: {held} is held")]
    OutOfOrder {
        /// What is out of order.
        what: &'static str,
        /// The value in the frame.
        found: u64,
        /// The value that the subscriber has or expects.
        held: u64,
    },
    /// The frame contains something newer than the publisher claims to have, or than the subscriber's clock.
    #[error("{what} {found} is from the future: the publisher holds {head}")]
    AheadOfPublisher {
        /// What is too new.
        what: &'static str,
        /// The value in the frame.
        found: u64,
        /// The publisher's value, or the subscriber's clock if the time is too new.
        head: u64,
    },
    /// A delta doesn't apply to the subscriber's list.
    #[error("the list: {0}")]
    Delta(#[from] DeltaError),
    /// The frame would bring more items than a store can have.
    #[error("more items than a store can have")]
    ItemLimitExceeded,
    /// The publisher has ended the session.
    #[error("the publisher has ended the session: {0}")]
    Publisher(#[from] SessionRejection),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Frames that were applied.
    pub frames: u64,
    /// The total length of those frames, in bytes.
    pub bytes: u64,
    /// Frames that were rejected.
    pub rejected_frames: u64,
    /// Sessions that publishers have ended, or declined to begin.
    pub rejected_sessions: u64,
    /// Connections that were closed, were lost, or could not be established.
    pub disconnects: u64,
}
