//! Final answers to requests, and what ends with them.

use super::Balancer;
use crate::api::{Action, AttemptId, Micros, RequestId};
use crate::retry_after::retry_after;
use crate::timers::Timer;

/// How a request ended, as the load estimate counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// Its final answer was a server's response.
    Served,
    /// It was rejected or failed, or its client disconnected.
    Unserved,
}

impl Balancer {
    /// How long a client whose request of this class is rejected should wait before it tries again, in
    /// microseconds, with jitter; 0 where clients honour no Retry-After by the settings.
    pub fn retry_after(&mut self, class: Option<usize>) -> Micros {
        retry_after(self.class_latencies.get(class), self.settings.max_retry_after, &mut self.rng)
    }

    /// Gives a request its final answer where no server's response is expected any more: rejected if a
    /// repeat by the client does no harm, else failed.
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
        self.settle(id, RequestOutcome::Unserved, out);
    }

    /// Begins the shutdown: the process ends at `ends_at`, and every request is answered before.
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

    /// Gives all open requests their final answer, in order of their ids.
    pub(super) fn answer_all(&mut self, out: &mut Vec<Action>) {
        let mut ids: Vec<RequestId> = self.requests.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            self.answer(id, out);
        }
    }

    /// Marks a request as settled: it has its final answer or needs none any more. Its attempts are
    /// cancelled, except a fetch: the origin completes it in any case, and its value serves the reads that
    /// wait for it or come later.
    pub(super) fn settle(&mut self, id: RequestId, outcome: RequestOutcome, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.is_settled) else { return };
        request.is_settled = true;
        if let Some(position) = &request.queue_position {
            self.tiers.remove_queued(position);
        }
        let key = request.key;
        match (request.is_streaming, outcome) {
            (true, _) => {} // it was counted when its answer began
            (false, RequestOutcome::Served) => self.load.record_served(self.now),
            (false, RequestOutcome::Unserved) => self.load.record_unserved(self.now),
        }
        let fetching = self.fetching_attempt(id);
        self.cancel_attempts(id, fetching, out);
        if fetching.is_none() && self.stop_leading(id) {
            self.finish_fetch(key, None, out);
        }
        self.forget_if_done(id);
    }

    /// Notes that a request does not fetch its key for other reads any more; returns whether it did.
    fn stop_leading(&mut self, id: RequestId) -> bool {
        let request = self.requests.get_mut(&id);
        request.is_some_and(|request| std::mem::take(&mut request.leads_fetch))
    }

    /// Drops a request that is settled and has no attempt in flight.
    pub(super) fn forget_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|request| request.is_settled && !request.is_in_flight()) {
            self.requests.remove(&id);
        }
    }

    /// Cancels the attempts in flight of a request, except the one with the number `keep`, if the settings
    /// allow it.
    pub(super) fn cancel_attempts(&self, id: RequestId, keep: Option<usize>, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|_| self.settings.cancellation) else { return };
        for (number, attempt) in request.attempts.iter().enumerate() {
            if attempt.in_flight && Some(number) != keep {
                out.push(Action::Cancel(AttemptId::new(id, number)));
            }
        }
    }

    /// The number of the attempt in flight by which a read fetches its key from the origin, also for other
    /// reads.
    pub(super) fn fetching_attempt(&self, id: RequestId) -> Option<usize> {
        let request = self.requests.get(&id).filter(|request| request.leads_fetch)?;
        request.attempts.iter().position(|attempt| attempt.in_flight && self.is_origin(attempt.server))
    }
}
