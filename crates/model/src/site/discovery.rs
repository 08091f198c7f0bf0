//! Configuration of the discovery service.

use serde::{Deserialize, Serialize};
use stonefold_config::{DurationMicros, Positive};

use crate::site::units::{DurationUpToHour, SECOND_US};

/// Delays and limits of the discovery service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoveryKind {
    /// Mean delay until a change is visible.
    #[serde(rename = "notices_after")]
    pub propagation_delay: DurationMicros<0, { 60 * SECOND_US }>,
    /// Maximum rate of calls, in calls per second.
    pub calls_per_s: Positive,
    /// Maximum queueing delay of a call; a call that would wait longer fails.
    #[serde(rename = "waits_for")]
    pub max_queue_delay: DurationUpToHour,
}

impl Default for DiscoveryKind {
    fn default() -> Self {
        DiscoveryKind {
            propagation_delay: DurationMicros::new(SECOND_US),
            calls_per_s: Positive::new(50.0),
            max_queue_delay: DurationMicros::new(2 * SECOND_US),
        }
    }
}
