//! Sections of the servers: the fleet in general, and servers that are known from the start.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{HOUR, SECOND};
use crate::units::{Count, DurationMillis, Fraction, Positive};

/// The cache servers and the origin in general.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Where a missing value is fetched.
    #[serde(rename = "mode")]
    pub cache_mode: CacheMode,
    /// The kind of server that is the origin.
    #[serde(rename = "origin_kind")]
    pub origin_machine_type: String,
    /// The zones, by name.
    pub zones: Vec<String>,
    /// Whether changes of the list come by a watch.
    #[serde(rename = "subscribe")]
    pub watch_required: bool,
    /// The list is asked for at least this often.
    #[serde(rename = "ask_within")]
    pub max_poll_interval: DurationMillis<100, HOUR>,
    /// A started server is warm after this time.
    #[serde(rename = "cold")]
    pub slow_start_duration: DurationMillis<0, HOUR>,
    /// A started server has at least this part of its capacity.
    #[serde(rename = "cold_from")]
    pub initial_capacity: Fraction,
    /// A cold server collapses if sent this multiple of its capacity ...
    pub overload_factor: Positive,
    /// ... for this long.
    #[serde(rename = "overload_for")]
    pub overload_window: DurationMillis<1, HOUR>,
    /// What an attempt at another zone costs, as a part of what the service is worth.
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

/// Where a missing value is fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Mode")]
pub enum CacheMode {
    /// A cache answers that it misses, and the node asks the origin.
    Aside,
    /// The cache fetches by itself.
    Through,
}

/// A server as it is known before discovery has answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its id, the same at every node.
    pub id: String,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine, or the origin's.
    #[serde(rename = "kind", default)]
    pub machine_type: String,
    /// The few servers that share its keys.
    #[serde(default)]
    pub cell: Count<0, 65_535>,
    /// Its size in comparison with the others.
    #[serde(default = "unit_weight")]
    pub weight: Positive,
}

fn unit_weight() -> Positive {
    Positive::new(1.0)
}
