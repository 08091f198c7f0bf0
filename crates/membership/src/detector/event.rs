//! The outputs of a detector: messages to send, events, and counters.

use std::net::SocketAddr;

use crate::Micros;
use crate::member::{MemberId, Reachability};
use crate::message::Message;

/// An output of a detector. The caller handles the outputs in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Report an event.
    Event(Event),
}

/// A change in a node's view of the members, or an incident at the node itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member that was not known has joined.
    Joined {
        /// Its name.
        name: String,
    },
    /// A member did not answer a probe of this node or of another one.
    Suspected {
        /// Its name.
        name: String,
        /// The member that suspects it.
        by: MemberId,
    },
    /// A suspicion has ended, because the member refuted it or is known to be alive.
    Refuted {
        /// Its name.
        name: String,
    },
    /// A member did not refute its suspicion, and did not answer this node's confirming probe.
    Failed {
        /// Its name.
        name: String,
        /// The members that suspected it.
        suspected_by: Vec<MemberId>,
    },
    /// A member that had failed or left is back.
    Returned {
        /// Its name.
        name: String,
    },
    /// A member runs in a new process.
    Restarted {
        /// Its name.
        name: String,
    },
    /// A member has announced that it leaves.
    Left {
        /// Its name.
        name: String,
    },
    /// The reachability of a live member from this node has changed.
    ReachabilityChanged {
        /// Its name.
        name: String,
        /// Its reachability from now on.
        reachability: Reachability,
    },
    /// A member that failed or left long ago was removed.
    Reaped {
        /// Its name.
        name: String,
    },
    /// Another member has declared this node failed. This node has refuted that.
    DeclaredFailed {
        /// The member that declared it.
        by: MemberId,
    },
    /// This process was paused, or its timers were late. Answers missing in that time cause no suspicion.
    Paused {
        /// For how long.
        duration: Micros,
    },
    /// A later process runs under this node's name. This one no longer takes part.
    NameConflict {
        /// The address of the other process.
        address: SocketAddr,
    },
}

/// How many messages and updates were dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounters {
    /// Messages that had been received before.
    pub replayed: u64,
    /// Claims about an incarnation too far in the future.
    pub far_future: u64,
    /// Claims about an outdated incarnation.
    pub stale: u64,
    /// New members beyond [`Settings::max_members`](crate::Settings::max_members).
    pub members_full: u64,
    /// Synchronisation digests of the wrong length.
    pub malformed: u64,
}
