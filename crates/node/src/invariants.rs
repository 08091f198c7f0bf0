//! The invariants of every request. Each is checked at one place while the node runs, and its violations are counted.
//!
//! A guard stands before the act where the act can still be left undone: [`SendPermit`](crate::upstream::send_permit)
//! for the first byte of an attempt, `Driver::send` for a retry, `Session::serve` for a close. The checks counted here
//! look at what was done, by times that were recorded apart from the guards.

use std::time::Duration;

use tracing::error;

use crate::counter::Counter;

/// An answer violates [`Invariant::AnswerInTime`] if it is later than its client's deadline by more than this.
pub(crate) const ANSWER_SLACK: Duration = Duration::from_millis(50);

/// A rule that holds for every request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Invariant {
    /// The last byte of an answer is written within its client's deadline and [`ANSWER_SLACK`].
    AnswerInTime,
    /// No attempt begins after its request's final answer, or after its client's disconnect was seen.
    NoSendAfterEnd,
    /// An attempt that may have taken effect is retried only if its class allows that, and within its window.
    NoUnsafeRetry,
    /// The node closes no connection with requests unanswered.
    NoUnansweredClose,
    /// A process that shuts down accepts no request after its last connections should have closed.
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

    /// The name in metrics and logs.
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
    /// Counts and logs a violation. `request` is the request's id as the client gave it, or empty.
    pub(crate) fn record(&self, violated: Invariant, request: &[u8]) {
        self.0[violated as usize].increment();
        let request = String::from_utf8_lossy(request);
        error!(event = "invariant_violated", invariant = violated.name(), %request, "an invariant is violated");
    }

    /// The count of each invariant, by its name.
    pub(crate) fn counts(&self) -> impl Iterator<Item = (&str, &Counter)> {
        Invariant::ALL.into_iter().map(|invariant| (invariant.name(), &self.0[invariant as usize]))
    }
}

#[cfg(test)]
mod tests;
