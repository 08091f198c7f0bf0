//! A member of the cluster as one node knows it.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Micros;

/// The longest name of a member, in bytes.
pub(crate) const MAX_NAME_LEN: usize = 64;

/// A 64-bit hash of a member's name, the same at every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of the member with this name.
    pub fn of(name: &str) -> MemberId {
        MemberId(xxh3_64(name.as_bytes()))
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// What a member's process states about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// The member's name, which stays the same over restarts; at most 64 bytes.
    pub name: String,
    /// The address at which the process receives datagrams.
    pub address: SocketAddr,
    /// A random number that each process draws; it tells apart processes with the same name.
    pub instance: u64,
}

/// The state of a member in a node's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The member answers probes, of this node or of others.
    Alive,
    /// The member did not answer a probe of this node or of another one; it may refute the suspicion.
    Suspect,
    /// The member was declared failed: it did not refute the suspicion in time, nor answer a confirming probe.
    Failed,
    /// The member announced that it leaves the cluster.
    Left,
}

/// Whether a member answers this node's own pings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Reachability {
    /// No probe of the member has ended yet that shows whether it answers.
    #[default]
    Unknown,
    /// The member answers this node.
    Direct,
    /// The member answers other members, but not this node.
    IndirectOnly,
}

/// A member as one node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// What the member's process states about itself.
    pub profile: Profile,
    /// Orders the claims about the member: one about a higher incarnation wins. A process raises its own incarnation to
    /// refute a suspicion.
    pub incarnation: u64,
    /// The member's state in this node's view.
    pub state: State,
    /// Since when the member has this state, by this node's clock.
    pub since: Micros,
    /// Whether the member answers this node's own pings.
    pub reachability: Reachability,
}

impl Member {
    /// Whether the member takes part in the cluster as far as this node knows. Suspects do.
    pub(crate) fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }
}
