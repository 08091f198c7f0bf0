//! Configuration of scheduled faults.

use serde::{Deserialize, Serialize};
use stonefold_config::{DurationMicros, Fraction, Positive};

use crate::site::units::{DurationUpToHour, SECOND_US};

/// A scheduled fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time of the fault since the start.
    #[serde(default)]
    pub at: DurationUpToHour,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Affected cache server, by its identifier.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server: Option<String>,
    /// Fraction of the cache servers that are affected, chosen at random.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub part: Option<Fraction>,
    /// Zone whose cache servers are affected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Duration of the fault; of the whole rollout for `Roll`.
    #[serde(rename = "for", default = "default_duration")]
    pub lasts: DurationUpToHour,
    /// Slowdown factor.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub factor: Option<Positive>,
}

fn default_duration() -> DurationUpToHour {
    DurationMicros::new(2 * SECOND_US)
}

/// Kinds of faults. `for` and the other names in code font are keys of the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process is killed and its connections are reset; it restarts with an empty cache after `for`.
    Kill,
    /// The server drains for `for` and exits; a new server with an empty cache and a new identifier replaces it.
    Replace,
    /// The server drains for `for`, then serves again.
    Drain,
    /// The server makes no progress for `for`.
    Stall,
    /// The server is `factor` times slower for `for`.
    Slow,
    /// The server sends malformed answers for `for`.
    Garble,
    /// The server closes connections in the middle of a value for `for`.
    Cut,
    /// All connections of the server are reset once.
    Reset,
    /// The server accepts requests but sends nothing for `for`.
    Silence,
    /// The servers of `zone` are unreachable from nodes in other zones for `for`.
    Partition,
    /// A rolling replacement of the servers of `part` over `for`.
    Roll,
    /// The origin is unavailable for `for`.
    OriginStop,
    /// The origin is `factor` times slower for `for`.
    OriginSlow,
    /// Discovery answers calls with status 503 for `for`.
    #[serde(rename = "discovery-away")]
    DiscoveryUnavailable,
    /// Discovery publishes no changes for `for`.
    DiscoveryStale,
}

impl FaultKind {
    /// Whether the fault must select cache servers.
    pub fn needs_servers(self) -> bool {
        !matches!(
            self,
            FaultKind::Partition
                | FaultKind::OriginStop
                | FaultKind::OriginSlow
                | FaultKind::DiscoveryUnavailable
                | FaultKind::DiscoveryStale
        )
    }
}
