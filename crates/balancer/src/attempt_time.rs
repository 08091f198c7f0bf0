//! How much time must be left before a request's deadline for an attempt to be sent.
//!
//! An attempt that is unlikely to be answered in time would take capacity from requests that can be.
//!
//! Inputs: the baseline response time in microseconds, whether the request is an idempotent read, and the
//! granularity of timers in microseconds.

use crate::api::Micros;
use crate::latency::LatencyEstimate;

/// The time that an idempotent read needs, as a multiple of the baseline response time. Less than one is
/// enough: a timeout does no harm, and about half of all answers are still in time.
const IDEMPOTENT_READ_BASELINES: f64 = 0.7;
/// The time that any other request needs, as a multiple of the baseline response time. It is longer, since
/// after a timeout it is unknown whether the request took effect.
const OTHER_BASELINES: f64 = 1.75;

/// The least time that must be left before the deadline, in microseconds: a multiple of the baseline
/// response time, and at least the `timer_granularity`.
pub(crate) fn min_attempt_time(
    latency: &LatencyEstimate,
    is_idempotent_read: bool,
    timer_granularity: Micros,
) -> Micros {
    let baselines = if is_idempotent_read { IDEMPOTENT_READ_BASELINES } else { OTHER_BASELINES };
    let needed = latency.baseline() * baselines;
    timer_granularity.max(needed as Micros)
}
