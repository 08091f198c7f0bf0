//! How long a client whose request is rejected should wait before it tries again.
//!
//! The wait is about as long as answers take at present, with full jitter on top: clients that are rejected
//! together must not return together.

use crate::api::Micros;
use crate::latency::LatencyEstimate;

/// The shortest wait is the mean response time and this many deviations.
const WAIT_DEVIATIONS: f64 = 4.0;
/// The longest wait is the shortest times this.
const MAX_JITTER_FACTOR: Micros = 2;

/// A wait in microseconds; 0 where the settings allow none.
pub(crate) fn retry_after(
    latency: &LatencyEstimate,
    max_retry_after: Micros,
    rng: &mut fastrand::Rng,
) -> Micros {
    let shortest = latency.mean_plus_deviations(WAIT_DEVIATIONS).min(max_retry_after / MAX_JITTER_FACTOR);
    shortest + rng.u64(0..=shortest)
}
