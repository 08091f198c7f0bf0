//! Configuration of the traffic: keys, request classes and tenants.

use serde::{Deserialize, Serialize};
use stonefold_config::{Count, DeduplicationScope, DurationMicros, Fraction, Idempotency, Positive, Size};

use crate::site::units::{DurationUpToHour, HOUR_US, LogStdDev, MIB_BYTES, Rate, SECOND_US};

/// Distribution of the requested keys and of the sizes of their values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KeyDistribution {
    /// Number of keys.
    pub count: Count<1, 100_000_000>,
    /// Exponent of the Zipf distribution of key popularity.
    pub zipf: Positive,
    /// Fraction of the keys, the most popular ones, that every cache server has cached at the start.
    #[serde(rename = "held")]
    pub prewarmed: Fraction,
    /// Ranks by which the popularity shifts per second.
    pub moves_per_s: Rate,
    /// Mean size of a value.
    pub value: Size<0, { 4 * MIB_BYTES }>,
    /// Standard deviation of the logarithm of the sizes.
    pub value_sigma: LogStdDev,
}

impl Default for KeyDistribution {
    fn default() -> Self {
        KeyDistribution {
            count: Count::new(20_000),
            zipf: Positive::new(0.9),
            prewarmed: Fraction::new(0.0),
            moves_per_s: Rate::default(),
            value: Size::new(2 << 10),
            value_sigma: Fraction::new(0.5),
        }
    }
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassKind {
    /// Its name, unique within the site.
    pub name: String,
    /// Fraction of all requests.
    pub share: Fraction,
    /// Mean work of a request, on a standard core.
    pub work: DurationMicros<0, { 60 * SECOND_US }>,
    /// Standard deviation of the logarithm of the work.
    #[serde(default)]
    pub work_sigma: LogStdDev,
    /// Latency objective: an answer within this time has its full value.
    #[serde(rename = "aim")]
    pub latency_objective: DurationMicros<1_000, HOUR_US>,
    /// Time after which a client stops waiting.
    pub deadline: DurationMicros<1_000, HOUR_US>,
    /// Whether a request may be retried.
    pub effect: Idempotency,
    /// Which servers discard duplicates of a class with idempotency keys.
    #[serde(default)]
    pub scope: DeduplicationScope,
    /// How long the servers remember an idempotency key.
    #[serde(default)]
    pub window: DurationUpToHour,
    /// Whether its requests are writes.
    #[serde(default)]
    pub write: bool,
}

/// A tenant and its traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantKind {
    /// Its name, unique within the site.
    pub name: String,
    /// Fraction of the service it is entitled to.
    pub share: Fraction,
    /// Traffic that it sends, as a multiple of its share.
    #[serde(default = "default_usage")]
    pub usage: Positive,
}

fn default_usage() -> Positive {
    Positive::new(1.0)
}
