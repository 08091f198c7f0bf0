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
    /// The id of a name.
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
    /// The member's name, which stays over restarts; at most 64 bytes.
    pub name: String,
    /// Where the process receives datagrams.
    pub address: SocketAddr,
    /// Drawn at random by each process: distinguishes two processes of one name.
    pub instance: u64,
}

/// The state of a member in a node's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It answers probes, of this node or of others.
    Alive,
    /// It did not answer somebody's probe; it may refute the suspicion.
    Suspect,
    /// It did not answer and did not refute the suspicion in time.
    Failed,
    /// It announced that it leaves the cluster.
    Left,
}

/// Whether a member answers this node's own pings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Reachability {
    /// No probe has ended yet.
    #[default]
    Unknown,
    /// It answers this node.
    Direct,
    /// It answers other members, but not this node.
    IndirectOnly,
}

/// A member as one node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its process.
    pub profile: Profile,
    /// Orders the claims about it: the higher wins. A process raises its own to refute a suspicion.
    pub incarnation: u64,
    /// Its state.
    pub state: State,
    /// Since when it has this state, by this node's clock.
    pub since: Micros,
    /// Whether it answers this node's own pings.
    pub reachability: Reachability,
}

impl Member {
    /// Whether the member takes part in the cluster as far as is known; suspects do.
    pub(crate) fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }
}
