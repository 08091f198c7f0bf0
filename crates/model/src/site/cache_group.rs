//! Configuration of a group of cache servers.

use serde::{Deserialize, Serialize};
use stonefold_config::{Count, DurationMicros, Fraction, Positive, Size};

use crate::site::units::{DurationUpToHour, HOUR_US, LogStdDev, MIB_BYTES, SECOND_US};

/// A group of identically configured cache servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CacheKind {
    /// Name of the group.
    pub kind: String,
    /// Number of servers in the group.
    pub count: Count<1, 100_000>,
    /// Processor cores of a server.
    pub cores: Count<1, 1024>,
    /// Speed of a core relative to a standard core.
    pub speed: Positive,
    /// Standard deviation of the logarithm of the servers' speeds.
    pub speed_spread: LogStdDev,
    /// Maximum number of requests in service at once.
    pub slots: Count<1, 100_000>,
    /// Maximum number of queued requests; more are rejected.
    pub queue: Count<0, 1_000_000>,
    /// Memory for cached objects.
    pub memory: Size<0, { 1 << 50 }>,
    /// Time to live of a cached object.
    #[serde(rename = "keeps_for")]
    pub time_to_live: DurationUpToHour,
    /// Mean time between pauses of the process; 0s for none.
    pub pause_every: DurationUpToHour,
    /// Mean duration of a pause.
    pub pause: DurationUpToHour,
    /// Fraction of requests that fail.
    pub errors: Fraction,
    /// Fraction of its capacity that a restarted server has at first.
    #[serde(rename = "cold_from")]
    pub warm_up_from: Fraction,
    /// Time from a restart until the server has its full capacity.
    #[serde(rename = "cold")]
    pub warm_up: DurationUpToHour,
    /// Maximum number of open connections.
    pub connections: Count<1, 1_000_000>,
    /// Processor time for accepting a connection, on a standard core.
    pub handshake: DurationMicros<0, SECOND_US>,
    /// Idle timeout of a connection.
    pub idle: DurationMicros<1_000, HOUR_US>,
    /// Number of answers after which a connection is closed; 0 for never.
    #[serde(rename = "closes_after")]
    pub max_answers_per_connection: Count<0, 1_000_000>,
    /// Interval between load reports.
    pub report_every: DurationUpToHour,
    /// Delay between the sampling and the publication of a load report.
    pub report_delay: DurationUpToHour,
    /// Maximum relative error of the numbers in a load report.
    pub report_noise: Fraction,
}

impl Default for CacheKind {
    fn default() -> Self {
        CacheKind {
            kind: "box".into(),
            count: Count::new(1),
            cores: Count::new(3),
            speed: Positive::new(1.0),
            speed_spread: Fraction::new(0.0),
            slots: Count::new(12),
            queue: Count::new(12),
            memory: Size::new(64 * MIB_BYTES),
            time_to_live: DurationMicros::new(600 * SECOND_US),
            pause_every: DurationMicros::new(0),
            pause: DurationMicros::new(0),
            errors: Fraction::new(0.0),
            warm_up_from: Fraction::new(0.4),
            warm_up: DurationMicros::new(6 * SECOND_US),
            connections: Count::new(2_000),
            handshake: DurationMicros::new(2_000),
            idle: DurationMicros::new(15 * SECOND_US),
            max_answers_per_connection: Count::new(0),
            report_every: DurationMicros::new(SECOND_US),
            report_delay: DurationMicros::new(200_000),
            report_noise: Fraction::new(0.05),
        }
    }
}
