//! Sections of the services that nodes run together: the replicated store and the membership.

use std::net::SocketAddr;
use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::SECOND;
use crate::units::DurationMillis;

/// The number of hex digits in a cluster's id of 128 bits.
const CLUSTER_ID_DIGITS: usize = 32;

/// The store that the nodes replicate: the shared configuration, the operators' overrides and the server list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Whether this node is a member of the store or a subscriber.
    #[serde(default)]
    pub role: Role,
    /// The folder of the store. `stonefold store init` creates a member's; a subscriber's is created if it is absent.
    pub dir: PathBuf,
    /// The loopback address at which others reach this node's store. Required for a member; it
    /// makes a subscriber a relay.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    /// The key file: for a member, the key that all members share; for a subscriber, the file that
    /// `stonefold store subscriber-key` wrote.
    pub key_file: PathBuf,
    /// The id of the cluster that a subscriber follows, as `stonefold store init` printed it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cluster: Option<String>,
    /// The addresses that a subscriber follows, by tier, the nearest first: relays of its site, relays of its region,
    /// members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub publishers: Vec<Vec<SocketAddr>>,
    /// The longest time that a starting node waits to learn the committed state from the others.
    #[serde(default = "store_wait")]
    pub wait: DurationMillis<0, 60_000>,
}

/// The role of a node in its store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// The node votes, and can change the store.
    #[default]
    Member,
    /// The node receives what is committed, and cannot change the store.
    Subscriber,
}

impl Store {
    /// The id of the cluster that is followed; `None` if it is absent or not 32 hex digits.
    pub fn cluster_id(&self) -> Option<u128> {
        let digits = self.cluster.as_ref().filter(|cluster| cluster.len() == CLUSTER_ID_DIGITS)?;
        u128::from_str_radix(digits, 16).ok()
    }
}

fn store_wait() -> DurationMillis<0, 60_000> {
    DurationMillis::new(2 * SECOND)
}

/// The membership of nodes: each node finds out which of the others are alive, failed, left or unreachable from it.
/// Changes of this section take effect at the next start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// The loopback address at which the node receives the datagrams of other nodes.
    pub listen: SocketAddr,
    /// The address at which others reach this node, if it differs from `listen`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// The addresses of nodes to contact first; this node's own may be among them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seeds: Vec<SocketAddr>,
    /// The name of the cluster; messages from nodes of other clusters are ignored.
    pub cluster: String,
    /// The file of the key that all nodes share, as `stonefold store init` makes it.
    pub key_file: PathBuf,
    /// The interval at which a node probes one other node; it must be the same at all nodes. Other times are derived from
    /// it.
    #[serde(default = "probe_interval")]
    pub probe_interval: DurationMillis<100, 60_000>,
}

fn probe_interval() -> DurationMillis<100, 60_000> {
    DurationMillis::new(2 * SECOND)
}
