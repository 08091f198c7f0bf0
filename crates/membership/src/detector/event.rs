//! What a detector asks for and reports.

use std::net::SocketAddr;

use crate::Micros;
use crate::member::{MemberId, Reachability};
use crate::message::Message;

/// What a detector asks for, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The node's view has changed.
    Event(Event),
}

/// A change in a node's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member that was not known has joined.
    Joined {
        /// Its name.
        name: String,
    },
    /// A member did not answer somebody's probe.
    Suspected {
        /// Its name.
        name: String,
        /// The member that suspects it.
        by: MemberId,
    },
    /// A suspicion has ended: the member refuted it, or answered a probe.
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
    /// A failed or left member is back.
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
    /// Whether a live member answers this node has changed.
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
    /// Another member has declared this node failed; it has refuted that.
    DeclaredFailed {
        /// The member that declared it.
        by: MemberId,
    },
    /// This process was paused, or its timers were late. No member is suspected for that time.
    Paused {
        /// For how long.
        duration: Micros,
    },
    /// A later process runs under this node's name. This one no longer takes part.
    NameConflict {
        /// The other process's address.
        address: SocketAddr,
    },
}

/// Messages and updates that were dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounters {
    /// Messages that were received before.
    pub replayed: u64,
    /// Claims about an incarnation too far in the future.
    pub far_future: u64,
    /// Claims about an outdated incarnation.
    pub stale: u64,
    /// New members beyond the bound.
    pub members_full: u64,
    /// Synchronisation digests of the wrong length.
    pub malformed: u64,
}
