//! How much time must be left for an attempt to be worth sending.
//!
//! Inputs: the baseline response time in microseconds, whether the request is an idempotent read, and the
//! granularity of the clock. Sending without a prospect of an answer would take capacity from requests that
//! have one.

use crate::api::Micros;
use crate::latency::LatencyEstimate;

/// An idempotent read may be sent with this multiple of the baseline response time left: a timeout does no
/// harm, and about half of all answers are still in time.
const IDEMPOTENT_READ_BASELINES: f64 = 0.7;
/// Any other request needs this multiple: a timeout leaves it unknown whether it took effect.
const OTHER_BASELINES: f64 = 1.75;

/// The least time that must be left before the deadline, in microseconds: a multiple of the baseline response
/// time, and no less than the clock's `timer_granularity`.
pub(crate) fn min_attempt_time(
    latency: &LatencyEstimate,
    is_idempotent_read: bool,
    timer_granularity: Micros,
) -> Micros {
    let baselines = if is_idempotent_read { IDEMPOTENT_READ_BASELINES } else { OTHER_BASELINES };
    let needed = latency.baseline() * baselines;
    timer_granularity.max(needed as Micros)
}
