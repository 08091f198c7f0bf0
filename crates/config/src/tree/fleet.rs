//! Sections of the servers: `fleet` for all servers, and `server` for each one that is known from the start.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{HOUR, SECOND};
use crate::units::{Count, DurationMillis, Fraction, Positive};

/// Settings of all cache servers and of the origin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// How a value that a cache server lacks is fetched.
    #[serde(rename = "mode")]
    pub cache_mode: CacheMode,
    /// The machine type (`kind`) of the origin.
    #[serde(rename = "origin_kind")]
    pub origin_machine_type: String,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// Whether discovery is watched for changes of the server list.
    #[serde(rename = "subscribe")]
    pub watch_required: bool,
    /// Discovery is asked for the server list at least this often.
    #[serde(rename = "ask_within")]
    pub max_poll_interval: DurationMillis<100, HOUR>,
    /// A server is warm this long after its start.
    #[serde(rename = "cold")]
    pub slow_start_duration: DurationMillis<0, HOUR>,
    /// A server has at least this part of its capacity right after its start.
    #[serde(rename = "cold_from")]
    pub initial_capacity: Fraction,
    /// A cold server collapses if it is sent this multiple of its capacity for the time `overload_for`.
    pub overload_factor: Positive,
    /// A cold server collapses if it is sent `overload_factor` times its capacity for this time.
    #[serde(rename = "overload_for")]
    pub overload_window: DurationMillis<1, HOUR>,
    /// The cost of an attempt at a server in another zone, as a fraction of the value of the service. The higher it is,
    /// the more the node prefers cache servers in its own zone; a low cost has no effect.
    #[serde(rename = "cross_zone_price")]
    pub cross_zone_cost: Fraction,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            cache_mode: CacheMode::Aside,
            origin_machine_type: "origin".into(),
            zones: Vec::new(),
            watch_required: true,
            max_poll_interval: DurationMillis::new(10 * SECOND),
            slow_start_duration: DurationMillis::new(9 * SECOND),
            initial_capacity: Fraction::new(0.3),
            overload_factor: Positive::new(3.0),
            overload_window: DurationMillis::new(1500),
            cross_zone_cost: Fraction::new(0.0),
        }
    }
}

/// How a value that a cache server lacks is fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Mode")]
pub enum CacheMode {
    /// A cache server reports a miss, and the node requests the value from the origin.
    Aside,
    /// The cache server fetches the value itself.
    Through,
}

/// A server that is known before discovery has answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The server's id, the same at every node.
    pub id: String,
    /// The address of the server.
    pub addr: SocketAddr,
    /// The zone of the server.
    #[serde(default)]
    pub zone: String,
    /// The machine type of the server; the origin's is `fleet.origin_kind`.
    #[serde(rename = "kind", default)]
    pub machine_type: String,
    /// The number of the server's cell: the few servers that share its keys.
    #[serde(default)]
    pub cell: Count<0, 65_535>,
    /// The size of the server in comparison with the others.
    #[serde(default = "unit_weight")]
    pub weight: Positive,
}

fn unit_weight() -> Positive {
    Positive::new(1.0)
}
