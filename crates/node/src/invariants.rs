//! Invariants that hold for every request. Each is checked at one place while the node runs, and its violations are
//! counted.
//!
//! Other code prevents the violations beforehand where that is possible: [`SendPermit`](crate::upstream::send_permit)
//! for the first byte of an attempt, `Driver::send` for a retry, `Session::serve` for a close. The checks that are
//! counted here look at what has been done, by times that are recorded independently of that code.

use std::time::Duration;

use tracing::error;

use crate::counter::Counter;

/// The time after a client's deadline up to which a reply does not violate [`Invariant::AnswerInTime`].
pub(crate) const ANSWER_SLACK: Duration = Duration::from_millis(50);

/// A rule that holds for every request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Invariant {
    /// The last byte of a reply is written no later than [`ANSWER_SLACK`] after the client's deadline.
    AnswerInTime,
    /// No attempt begins after its request has its final response, or after its client's disconnect was noticed.
    NoSendAfterEnd,
    /// A request that may have been executed is retried only if its class allows that, and within the deduplication
    /// window.
    NoUnsafeRetry,
    /// The node closes no connection that has unanswered requests.
    NoUnansweredClose,
    /// During a shutdown no request arrives after the time at which even unused connections close.
    NoLateRequest,
}

impl Invariant {
    /// All invariants, in the order of their counts.
    pub(crate) const ALL: [Invariant; 5] = [
        Invariant::AnswerInTime,
        Invariant::NoSendAfterEnd,
        Invariant::NoUnsafeRetry,
        Invariant::NoUnansweredClose,
        Invariant::NoLateRequest,
    ];

    /// The name of the invariant in metrics and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Invariant::AnswerInTime => "answer_in_time",
            Invariant::NoSendAfterEnd => "no_send_after_end",
            Invariant::NoUnsafeRetry => "no_unsafe_repeat",
            Invariant::NoUnansweredClose => "no_close_owing",
            Invariant::NoLateRequest => "no_late_start",
        }
    }
}

/// How often each invariant was violated.
#[derive(Debug, Default)]
pub(crate) struct Violations([Counter; Invariant::ALL.len()]);

impl Violations {
    /// Counts and logs a violation. `request` is the id of the request as its client gave it, or empty if there is
    /// none.
    pub(crate) fn record(&self, violated: Invariant, request: &[u8]) {
        self.0[violated as usize].increment();
        let request = String::from_utf8_lossy(request);
        error!(event = "invariant_violated", invariant = violated.name(), %request, "an invariant is violated");
    }

    /// The name of each invariant and the count of its violations.
    pub(crate) fn counts(&self) -> impl Iterator<Item = (&str, &Counter)> {
        Invariant::ALL.into_iter().map(|invariant| (invariant.name(), &self.0[invariant as usize]))
    }
}

#[cfg(test)]
mod tests;
