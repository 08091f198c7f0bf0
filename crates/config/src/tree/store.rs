//! Sections of what nodes do together: the replicated store and the membership.

use std::net::SocketAddr;
use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::SECOND;
use crate::units::DurationMillis;

/// Hex digits of a cluster's id: 128 bits.
const CLUSTER_ID_DIGITS: usize = 32;

/// The store that nodes keep together: configuration, orders and the list of servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Whether this node is a member, or follows what members keep.
    #[serde(default)]
    pub role: Role,
    /// The folder it is kept in: a member's as `stonefold store init` made it, a subscriber's is made if it is absent.
    pub dir: PathBuf,
    /// Where others reach it, a loopback address: a member's needed; a subscriber's makes it a relay.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    /// The file of the key: a member's that all members share, a subscriber's as `stonefold store subscriber-key` made it.
    pub key_file: PathBuf,
    /// The cluster that a subscriber follows, as `stonefold store init` printed it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cluster: Option<String>,
    /// Whom a subscriber follows, by tier, the nearest first: relays of its site, relays of its region, members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub publishers: Vec<Vec<SocketAddr>>,
    /// A starting node waits so long for the others to tell what is committed.
    #[serde(default = "store_wait")]
    pub wait: DurationMillis<0, 60_000>,
}

/// What a node is to its store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It votes, and may change what is kept.
    #[default]
    Member,
    /// It follows what is committed.
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

/// The membership of nodes: each finds out which of the others are alive, failed, left or unreachable from here. Changes
/// of this section take effect at the next start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// Where other nodes' datagrams are taken, a loopback address.
    pub listen: SocketAddr,
    /// Where others reach that, if it is another address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// Addresses of nodes to begin with; its own may be among them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seeds: Vec<SocketAddr>,
    /// The cluster's name: nodes of another one are not heard.
    pub cluster: String,
    /// The file of the key that all nodes share, as `stonefold store init` makes it.
    pub key_file: PathBuf,
    /// A node probes one other this often; other times follow from it. The same at all nodes.
    #[serde(default = "probe_interval")]
    pub probe_interval: DurationMillis<100, 60_000>,
}

fn probe_interval() -> DurationMillis<100, 60_000> {
    DurationMillis::new(2 * SECOND)
}
