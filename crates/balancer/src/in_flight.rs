//! The attempts in flight at one server, and which of them are written off as lost.
//!
//! An attempt that is late counts as lost when the server has promptly answered one that was sent clearly
//! later, since then the server has no queue in which it could wait. That covers requests dropped by the
//! server, answers dropped on the way and dead connections. A lost attempt no longer counts against the
//! concurrency limit, nor as a sign that the server doesn't answer. A congested server that serves the
//! newest request first looks the same; the attempts that wait there then don't count either.

use std::collections::BTreeSet;

use crate::api::{AttemptId, Micros, RequestId};

/// An attempt is overtaken by a prompt answer to another one only if it was sent earlier than that one by
/// more than the latency objective divided by this.
const OVERTAKING_DIVISOR: Micros = 4;

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct InFlightAttempt {
    /// The time from which it is a sign that the server doesn't answer. Attempts are ordered by it first.
    pub(crate) overdue_at: Micros,
    /// Its id.
    pub(crate) id: AttemptId,
    /// When it was sent.
    pub(crate) sent_at: Micros,
    /// The latency objective of its request, in microseconds.
    pub(crate) latency_objective: Micros,
}

/// The state of an attempt among those in flight, at its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InFlightStatus {
    /// Whether it counted against the concurrency limit and was overdue.
    pub(crate) was_overdue: bool,
    /// Whether it was written off and no longer counted against the concurrency limit.
    pub(crate) was_written_off: bool,
}

/// This node's attempts in flight at one server.
#[derive(Default)]
pub(crate) struct InFlight {
    /// The attempts that count against the concurrency limit, the first to become overdue first.
    attempts: BTreeSet<InFlightAttempt>,
    /// The attempts that are written off: lost, or with an answer that has begun.
    written_off: BTreeSet<AttemptId>,
    /// When the last sent of the promptly answered attempts was sent.
    promptly_answered_sent_at: Micros,
}

impl InFlight {
    /// The number of attempts that count against the concurrency limit.
    pub(crate) fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether no attempt counts against the concurrency limit.
    pub(crate) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Whether any attempt is overdue.
    pub(crate) fn has_overdue(&self, now: Micros) -> bool {
        self.attempts.first().is_some_and(|attempt| attempt.overdue_at <= now)
    }

    /// Whether an attempt of this request is written off and has not ended.
    pub(crate) fn has_written_off(&self, request: RequestId) -> bool {
        self.written_off.iter().any(|attempt| attempt.request == request)
    }

    /// Adds an attempt that is sent.
    pub(crate) fn insert(&mut self, attempt: InFlightAttempt) {
        self.attempts.insert(attempt);
    }

    /// Removes an attempt that has ended.
    pub(crate) fn finish(&mut self, id: AttemptId, now: Micros) -> InFlightStatus {
        let was_overdue = self.remove(id).is_some_and(|attempt| attempt.overdue_at <= now);
        InFlightStatus { was_overdue, was_written_off: self.written_off.remove(&id) }
    }

    /// Writes off an attempt whose answer has begun: the server has answered, however long the answer
    /// takes. Returns whether the attempt counted against the concurrency limit until now.
    pub(crate) fn write_off(&mut self, id: AttemptId) -> bool {
        let counted = self.remove(id).is_some();
        if counted {
            self.written_off.insert(id);
        }
        counted
    }

    /// Writes off the attempts that are lost, and returns their requests.
    ///
    /// An attempt that was overtaken by a prompt answer is lost once it is overdue or exceeds its latency
    /// objective, whichever is earlier. While the caches are `overloaded`, exceeding the objective is not
    /// enough: then all answers are late and a retry gains nothing.
    pub(crate) fn write_off_lost(&mut self, now: Micros, overloaded: bool) -> Vec<RequestId> {
        let is_lost = |attempt: &&InFlightAttempt| {
            let late_at = attempt.sent_at.saturating_add(attempt.latency_objective);
            let given_up_at = if overloaded { attempt.overdue_at } else { attempt.overdue_at.min(late_at) };
            let gap = attempt.latency_objective / OVERTAKING_DIVISOR;
            attempt.sent_at.saturating_add(gap) < self.promptly_answered_sent_at && now >= given_up_at
        };
        let lost: Vec<InFlightAttempt> = self.attempts.iter().filter(is_lost).copied().collect();
        for attempt in &lost {
            self.attempts.remove(attempt);
            self.written_off.insert(attempt.id);
        }
        lost.into_iter().map(|attempt| attempt.id.request).collect()
    }

    /// Notes that an attempt sent at this time was answered promptly.
    pub(crate) fn record_prompt_answer(&mut self, sent_at: Micros) {
        self.promptly_answered_sent_at = self.promptly_answered_sent_at.max(sent_at);
    }

    /// Whether an attempt sent clearly later than this time was answered promptly.
    pub(crate) fn was_overtaken(&self, sent_at: Micros, latency_objective: Micros) -> bool {
        self.promptly_answered_sent_at > sent_at + latency_objective / OVERTAKING_DIVISOR
    }

    fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        let attempt = self.attempts.iter().find(|attempt| attempt.id == id).copied()?;
        self.attempts.remove(&attempt);
        Some(attempt)
    }
}
