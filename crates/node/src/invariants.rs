//! The rules that every request keeps, each checked at one place while the node runs, and counted when it is broken.
//!
//! A guard stands before the act where the act can still be left undone: [`SendPermit`](crate::upstream::send_permit)
//! for the first byte of an attempt, `Driver::send` for a repeat, `Session::serve` for a close. The checks here look at
//! what was done, by times that were noted apart from the guards.

use std::fmt::Write;
use std::time::Duration;

use tracing::error;

use crate::metrics::Figure;

/// An answer that is later than its client's time by more than this breaks a rule.
pub const ANSWER_SLACK: Duration = Duration::from_millis(50);

/// A rule that holds for every request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// The last byte of an answer is written in its client's time and [`ANSWER_SLACK`].
    AnswerInTime,
    /// No attempt begins after its request's final answer, or after its client's end was seen.
    NoSendAfterEnd,
    /// What may have run is sent again only where its class allows that, and in its window.
    NoUnsafeRepeat,
    /// The node ends no connection on which answers are owed.
    NoCloseOwing,
    /// A process that is to stop takes nothing once the last connections are to have closed.
    NoLateStart,
}

impl Invariant {
    /// All of them, in the order of their counts.
    pub const ALL: [Invariant; 5] = [
        Invariant::AnswerInTime,
        Invariant::NoSendAfterEnd,
        Invariant::NoUnsafeRepeat,
        Invariant::NoCloseOwing,
        Invariant::NoLateStart,
    ];

    /// The name that figures and logs show.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::AnswerInTime => "answer_in_time",
            Invariant::NoSendAfterEnd => "no_send_after_end",
            Invariant::NoUnsafeRepeat => "no_unsafe_repeat",
            Invariant::NoCloseOwing => "no_close_owing",
            Invariant::NoLateStart => "no_late_start",
        }
    }
}

/// How often each rule was broken.
#[derive(Debug, Default)]
pub struct Violations([Figure; Invariant::ALL.len()]);

impl Violations {
    /// Counts and logs a broken rule. `request` is its id as the client gave it, or empty.
    pub fn note(&self, broken: Invariant, request: &[u8]) {
        self.0[broken as usize].add_one();
        let request = String::from_utf8_lossy(request);
        error!(event = "invariant_violated", invariant = broken.name(), %request, "a rule is broken");
    }

    /// Appends the counts in the text format of Prometheus. Writing to a string can't fail.
    pub fn text(&self, text: &mut String) {
        const NAME: &str = "svc_invariant_violations_total";
        let _ = writeln!(text, "# TYPE {NAME} counter");
        for invariant in Invariant::ALL {
            let count = self.0[invariant as usize].get();
            let _ = writeln!(text, "{NAME}{{invariant=\"{}\"}} {count}", invariant.name());
        }
    }
}

#[cfg(test)]
mod tests;
