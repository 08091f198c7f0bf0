//! The Retry-After: how long a client whose request is rejected should wait before it tries again.
//!
//! The wait is at least as long as nearly all answers take at present, or half of the longest wait that
//! clients honour if that is shorter, with jitter of up to the same time on top: clients that are rejected
//! together must not return together.

use crate::api::Micros;
use crate::latency::LatencyEstimate;

/// The shortest wait is the mean response time plus this many mean deviations.
const WAIT_DEVIATIONS: f64 = 4.0;
/// The longest wait is the shortest one multiplied by this.
const MAX_JITTER_FACTOR: Micros = 2;

/// The wait in microseconds, at most `max_retry_after`; 0 where the settings allow none.
pub(crate) fn retry_after(
    latency: &LatencyEstimate,
    max_retry_after: Micros,
    rng: &mut fastrand::Rng,
) -> Micros {
    let shortest = latency.mean_plus_deviations(WAIT_DEVIATIONS).min(max_retry_after / MAX_JITTER_FACTOR);
    shortest + rng.u64(0..=shortest)
}
