//! How slow one cache is in comparison with all caches, 1 being average.
//!
//! The ratio scales the load of a cache and shows whether it has idle capacity.
//!
//! Inputs: outcomes and response times (in microseconds) of the attempts at the cache, and the mean of the
//! request's class. Misses are left out, since they measure the origin.

use crate::api::{AttemptEnd, Micros, Outcome};
use crate::latency::LatencyEstimate;

/// A cache counts as congested when its response times exceed the average by this factor.
const CONGESTED_RATIO: f64 = 3.0;
/// The largest ratio of a single sample, so that one costly request doesn't mark a cache as slow.
const MAX_SAMPLE: f64 = 2.0 * CONGESTED_RATIO;
/// A cache has capacity for hedged requests when its response times are below this multiple of the
/// uncongested ones.
const UNCONGESTED_RATIO: f64 = CONGESTED_RATIO / 2.0;
/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Weight of a new sample while the cache counts as congested, so that its recovery shows soon.
const CONGESTED_SAMPLE_WEIGHT: f64 = 0.5;

/// The response time of an attempt as a multiple of its class's mean, limited so that outliers count
/// little.
pub(crate) fn relative_sample(elapsed: Micros, latency: &LatencyEstimate) -> f64 {
    (elapsed as f64 / latency.mean().max(1.0)).min(MAX_SAMPLE)
}

/// Whether a finished attempt shows how fast its cache is. The answer to a miss that the cache itself
/// fetched does not: it shows how fast the origin is.
pub(crate) fn shows_service_time(end: &AttemptEnd) -> bool {
    end.outcome == Outcome::Success && end.cache_hit != Some(false)
}

/// The smoothed response time of one cache as a multiple of the average cache's.
pub(crate) struct RelativeLatency {
    ratio: f64,
}

impl RelativeLatency {
    /// The ratio of a cache that nothing is known of: that of the average cache.
    pub(crate) fn new() -> Self {
        RelativeLatency { ratio: 1.0 }
    }

    /// The smoothed ratio, 1 being average.
    pub(crate) fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Forgets the samples of a former process of the cache.
    pub(crate) fn reset(&mut self) {
        self.ratio = 1.0;
    }

    /// Whether a request of this class would be served about as quickly as without congestion.
    pub(crate) fn is_uncongested(&self, latency: &LatencyEstimate) -> bool {
        self.ratio * latency.mean() < UNCONGESTED_RATIO * latency.baseline()
    }

    /// Records a finished attempt; `sample` is from [`relative_sample`]. A rejection counts as the largest
    /// sample: the cache has a full queue. An attempt that was given up shows that its answer would have
    /// taken at least the sample, so it only raises the ratio.
    pub(crate) fn record(&mut self, end: &AttemptEnd, sample: f64) {
        let observed = match end.outcome {
            Outcome::Success if shows_service_time(end) => sample,
            Outcome::Canceled | Outcome::TimedOut => sample.max(self.ratio),
            Outcome::Rejected => MAX_SAMPLE,
            _ => self.ratio,
        };
        let weight = if self.ratio > CONGESTED_RATIO { CONGESTED_SAMPLE_WEIGHT } else { SAMPLE_WEIGHT };
        self.ratio += (observed - self.ratio) * weight;
    }
}
