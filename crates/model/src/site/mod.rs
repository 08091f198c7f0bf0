//! Configuration of a site: the servers, the network and the clients around the nodes, and the scheduled faults.
//!
//! The serialized names are the keys of a site file. Each field's type states its unit and range.

mod cache_group;
mod check;
mod discovery;
mod fault;
mod network;
mod origin;
mod retry;
mod rules;
mod traffic;
mod units;

use serde::{Deserialize, Serialize};
use stonefold_config::{Count, Positive};

pub use cache_group::CacheKind;
pub use discovery::DiscoveryKind;
pub use fault::{Fault, FaultKind};
pub use network::NetworkKind;
pub use origin::OriginKind;
pub use retry::RetryKind;
pub use rules::RuleThresholds;
pub use traffic::{ClassKind, KeyDistribution, TenantKind};
pub use units::{DurationUpToHour, LogStdDev, Rate};

/// The configuration of a site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Name of the site.
    pub name: String,
    /// Seed of every random choice.
    #[serde(default)]
    pub seed: Count<0, { u32::MAX as u64 }>,
    /// Number of proxy nodes.
    #[serde(default = "default_nodes")]
    pub nodes: Count<1, 4096>,
    /// Total request rate of all clients, in requests per second.
    pub rate: Positive,
    /// Zones and the latencies between them.
    #[serde(default)]
    pub network: NetworkKind,
    /// Groups of identically configured cache servers.
    #[serde(rename = "cache")]
    pub caches: Vec<CacheKind>,
    /// The origin.
    #[serde(default)]
    pub origin: OriginKind,
    /// Discovery.
    #[serde(default)]
    pub discovery: DiscoveryKind,
    /// Key popularity and value sizes.
    #[serde(default)]
    pub keys: KeyDistribution,
    /// Request classes.
    #[serde(rename = "class")]
    pub classes: Vec<ClassKind>,
    /// Tenants and their traffic.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<TenantKind>,
    /// How clients retry rejected requests.
    #[serde(default)]
    pub retry: RetryKind,
    /// Thresholds of the rules that a node must keep.
    #[serde(default)]
    pub rules: RuleThresholds,
    /// Scheduled faults.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
}

fn default_nodes() -> Count<1, 4096> {
    Count::new(4)
}

impl Site {
    /// Total number of cache servers.
    #[must_use]
    pub fn cache_count(&self) -> usize {
        self.caches.iter().map(|group| group.count.get()).sum()
    }

    /// Identifier of the cache server with this number.
    #[must_use]
    pub fn id(number: usize) -> String {
        format!("c-{number}")
    }
}
