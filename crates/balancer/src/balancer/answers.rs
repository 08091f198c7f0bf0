//! Final answers, and the end of a request.

use super::Balancer;
use crate::api::{Action, AttemptId, Micros, RequestId};
use crate::retry_after::retry_after;
use crate::timers::Timer;

/// Whether a request got a server's response, for the load estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// A server's response was its final answer.
    Served,
    /// It was rejected, has failed, or its client has disconnected.
    Unserved,
}

impl Balancer {
    /// How long a client whose request of this class is rejected should wait before it retries, in
    /// microseconds, with jitter; 0 where the settings allow no such advice.
    pub fn retry_after(&mut self, class: Option<usize>) -> Micros {
        retry_after(self.class_latencies.get(class), self.settings.max_retry_after, &mut self.rng)
    }

    /// Gives a request its final answer: rejected where a repeat does no harm, else failed.
    pub(super) fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.is_settled || request.is_streaming {
            return;
        }
        if request.is_harmless_to_repeat() {
            let retry_after = self.retry_after(request.rules.class);
            out.push(Action::Reject { request: id, retry_after });
        } else {
            out.push(Action::Fail(id));
        }
        self.settle(id, Ending::Unserved, out);
    }

    /// The process ends at this time: every request is answered before.
    pub(super) fn begin_shutdown(&mut self, ends_at: Micros, out: &mut Vec<Action>) {
        self.shutdown.begin(ends_at);
        for request in self.requests.values_mut() {
            request.deadline = self.shutdown.limit_deadline(request.deadline);
        }
        out.push(Action::SetTimer {
            after: self.shutdown.until_end(self.now),
            token: Timer::Shutdown.into(),
        });
    }

    /// Answers all requests, in order of their ids.
    pub(super) fn answer_all(&mut self, out: &mut Vec<Action>) {
        let mut ids: Vec<RequestId> = self.requests.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            self.answer(id, out);
        }
    }

    /// A request has its final answer or needs none any more. Its attempts are cancelled, except a fetch: the
    /// origin completes it in any case, and its value serves the reads that wait or come later.
    pub(super) fn settle(&mut self, id: RequestId, ending: Ending, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.is_settled) else { return };
        request.is_settled = true;
        if let Some(position) = &request.queue_position {
            self.tiers.remove_queued(position);
        }
        let key = request.key;
        match (request.is_streaming, ending) {
            (true, _) => {} // counted when the answer began
            (false, Ending::Served) => self.load.record_served(self.now),
            (false, Ending::Unserved) => self.load.record_unserved(self.now),
        }
        let fetching = self.fetching_attempt(id);
        self.cancel_attempts(id, fetching, out);
        if fetching.is_none() && self.stop_leading(id) {
            self.finish_fetch(key, None, out);
        }
        self.forget_if_done(id);
    }

    /// A request no longer fetches its key for others; returns whether it did.
    fn stop_leading(&mut self, id: RequestId) -> bool {
        let request = self.requests.get_mut(&id);
        request.is_some_and(|request| std::mem::take(&mut request.leads_fetch))
    }

    /// Drops a request that has its answer and no attempt in flight.
    pub(super) fn forget_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|request| request.is_settled && !request.is_in_flight()) {
            self.requests.remove(&id);
        }
    }

    /// Cancels the attempts of a request, except one to keep, where the settings allow it.
    pub(super) fn cancel_attempts(&self, id: RequestId, keep: Option<usize>, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|_| self.settings.cancellation) else { return };
        for (number, attempt) in request.attempts.iter().enumerate() {
            if attempt.in_flight && Some(number) != keep {
                out.push(Action::Cancel(AttemptId::new(id, number)));
            }
        }
    }

    /// The attempt in flight by which a read fetches its key from the origin, also for other reads.
    pub(super) fn fetching_attempt(&self, id: RequestId) -> Option<usize> {
        let request = self.requests.get(&id).filter(|request| request.leads_fetch)?;
        request.attempts.iter().position(|attempt| attempt.in_flight && self.is_origin(attempt.server))
    }
}
