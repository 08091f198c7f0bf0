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
        /// The member's name.
        name: String,
    },
    /// A member did not answer a probe of this node or of another one.
    Suspected {
        /// The member's name.
        name: String,
        /// The member that suspects the named one.
        by: MemberId,
    },
    /// A suspicion has ended, because the member refuted it or is known to be alive.
    Refuted {
        /// The member's name.
        name: String,
    },
    /// A member did not refute its suspicion, and did not answer this node's confirming probe.
    Failed {
        /// The member's name.
        name: String,
        /// The members that suspected the failed one.
        suspected_by: Vec<MemberId>,
    },
    /// A member that had failed or left is back.
    Returned {
        /// The member's name.
        name: String,
    },
    /// A member runs in a new process.
    Restarted {
        /// The member's name.
        name: String,
    },
    /// A member has announced that it leaves.
    Left {
        /// The member's name.
        name: String,
    },
    /// The reachability of a live member from this node has changed.
    ReachabilityChanged {
        /// The member's name.
        name: String,
        /// The member's new reachability.
        reachability: Reachability,
    },
    /// A member that failed or left long ago was removed.
    Reaped {
        /// The member's name.
        name: String,
    },
    /// Another member has declared this node failed. This node has refuted that.
    DeclaredFailed {
        /// The member that declared this node failed.
        by: MemberId,
    },
    /// This process was paused, or its timers were late. Answers missing in that time cause no suspicion.
    Paused {
        /// How long the pause or the delay of the timers lasted.
        duration: Micros,
    },
    /// Another process, which started later, runs under this node's name. This process no longer takes part in the
    /// membership protocol.
    NameConflict {
        /// The address of the other process.
        address: SocketAddr,
    },
}

/// How many messages and updates were dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounters {
    /// The number of messages that had been received before.
    pub replayed: u64,
    /// The number of updates about an incarnation too far in the future.
    pub far_future: u64,
    /// The number of updates about an outdated incarnation.
    pub stale: u64,
    /// The number of updates about new members beyond [`Settings::max_members`](crate::Settings::max_members).
    pub members_full: u64,
    /// The number of messages with the wrong number of bucket digests.
    pub malformed: u64,
}
