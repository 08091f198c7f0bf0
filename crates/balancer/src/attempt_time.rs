//! How much time must be left for an attempt to be worth sending.
//!
//! Inputs: the baseline response time in microseconds, whether the request may be repeated, and the
//! granularity of the clock. Sending without a prospect of an answer would take capacity from requests that
//! have one.

use crate::api::Micros;
use crate::latency::LatencyEstimate;

/// A repeatable request may be sent with this multiple of the baseline response time left: a timeout does no
/// harm, and about half of all answers are still in time.
const REPEATABLE_BASELINES: f64 = 0.7;
/// Any other request needs this multiple: a timeout leaves it unknown whether it took effect.
const NON_REPEATABLE_BASELINES: f64 = 1.75;

/// The least time that must be left before the deadline, in microseconds: a multiple of the baseline response
/// time, and no less than the clock's `timer_granularity`.
pub(crate) fn min_attempt_time(
    latency: &LatencyEstimate,
    repeatable: bool,
    timer_granularity: Micros,
) -> Micros {
    let baselines = if repeatable { REPEATABLE_BASELINES } else { NON_REPEATABLE_BASELINES };
    let needed = latency.baseline() * baselines;
    timer_granularity.max(needed as Micros)
}
