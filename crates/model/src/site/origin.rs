//! Configuration of the origin.

use serde::{Deserialize, Serialize};
use stonefold_config::{Count, DurationMicros, Fraction, Positive};

use crate::site::units::{DurationUpToHour, HOUR_US, LogStdDev, SECOND_US};

/// Capacity and overload behaviour of the origin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OriginKind {
    /// Maximum number of fetches in service at once.
    pub workers: Count<1, 100_000>,
    /// Mean service time of a fetch.
    pub time: DurationMicros<0, { 60 * SECOND_US }>,
    /// Standard deviation of the logarithm of the service times.
    pub sigma: LogStdDev,
    /// Service time of a write relative to a fetch.
    #[serde(rename = "write_times")]
    pub write_cost_factor: Positive,
    /// Maximum number of queued fetches; more are rejected.
    pub queue: Count<0, 1_000_000>,
    /// Offered load, as a multiple of the capacity, above which the origin stops; 0 for never.
    pub stop_multiple: Positive,
    /// Window over which the offered load is measured.
    pub stop_after: DurationMicros<1_000, HOUR_US>,
    /// Duration of an outage caused by overload.
    #[serde(rename = "stops_for")]
    pub outage_duration: DurationUpToHour,
}

impl Default for OriginKind {
    fn default() -> Self {
        OriginKind {
            workers: Count::new(16),
            time: DurationMicros::new(60_000),
            sigma: Fraction::new(0.5),
            write_cost_factor: Positive::new(1.5),
            queue: Count::new(256),
            stop_multiple: Positive::new(2.5),
            stop_after: DurationMicros::new(3 * SECOND_US),
            outage_duration: DurationMicros::new(5 * SECOND_US),
        }
    }
}
