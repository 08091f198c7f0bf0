//! What is known of one member.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Micros;

/// The longest name of a member, in bytes.
pub const MAX_NAME: usize = 64;

/// A member's name in eight bytes: a hash, the same at every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of a name.
    pub fn of(name: &str) -> MemberId {
        MemberId(xxh3_64(name.as_bytes()))
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What one process under a member's name says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// The member's name, which stays over restarts; at most 64 bytes.
    pub name: String,
    /// Where the process takes datagrams.
    pub address: SocketAddr,
    /// Drawn at random by each process: tells two processes of one name apart.
    pub instance: u64,
}

/// What a node holds of a member's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It answers probes, of this node or of others.
    Alive,
    /// It did not answer somebody's probe; it may refute that.
    Suspect,
    /// It did not answer and did not refute that in time.
    Failed,
    /// It said that it ends.
    Left,
}

/// Whether this node's own pings are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Reach {
    /// Not tried yet.
    #[default]
    Unknown,
    /// It answers this node.
    Direct,
    /// It answers others, but not this node: *alive through others, unreachable from here*.
    OthersOnly,
}

/// A member as one node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its process.
    pub profile: Profile,
    /// Orders what is said of it: higher wins. A process raises its own to refute suspicion.
    pub incarnation: u64,
    /// Its life.
    pub state: State,
    /// Since when it has this state, by this node's clock.
    pub since: Micros,
    /// Whether this node reaches it.
    pub reach: Reach,
}
