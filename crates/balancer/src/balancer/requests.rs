//! The arrival of a request, and the next step of one that has no attempt in flight.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Balancer;
use crate::api::{Action, CacheMode, Micros, Request, RequestId};
use crate::priority::Traffic;
use crate::request::{OpenRequest, RequestRules, WaitingFor};
use crate::tier::Tier;
use crate::timers::Timer;

/// What a request without an attempt in flight does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    /// It gets its final answer.
    Answer,
    /// It is sent to the origin.
    Fetch,
    /// It waits for capacity at the caches.
    Enqueue,
    /// It is sent to a cache; a retry takes a token from the retry budget.
    SendToCache {
        /// A former attempt failed.
        is_retry: bool,
    },
}

impl Balancer {
    /// A request arrives. One whose id is in use is ignored.
    pub(super) fn on_request(&mut self, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        let key = match &request.key {
            Some(key) => xxh3_64_with_seed(key.as_bytes(), 0),
            None => self.rng.u64(..),
        };
        let rules = self.rules_for(&request);
        let deadline = self.shutdown.limit_deadline(self.now.saturating_add(request.timeout));
        self.requests.insert(id, OpenRequest::new(&request, key, rules, self.now, deadline));
        self.hedge_budget.earn();
        self.retry_budget.earn();
        self.advance(id, out);
    }

    /// What the settings state for a request; counts it for the load and for its tenant.
    fn rules_for(&mut self, request: &Request) -> RequestRules {
        let traffic = Traffic {
            arrivals_per_second: self.load.record_arrival(self.now),
            time_constant: self.load.time_constant(),
        };
        let class = request.class.filter(|&class| class < self.settings.classes.len());
        let stated = class.map(|class| &self.settings.classes[class]);
        RequestRules {
            class,
            latency_objective: stated.map_or(request.timeout, |class| class.latency_objective),
            priority_weight: self.tenants.priority_weight(request, &self.settings, &traffic, self.now),
            idempotency: self.settings.idempotency(request.class, request.is_write),
            max_attempts: self.settings.max_attempts,
            may_hedge: self.settings.hedging,
        }
    }

    /// Takes the next step of a request, unless it has its answer or an attempt in flight: a miss or a
    /// failure decides nothing while a hedged request may still be answered.
    pub(super) fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.is_settled || request.is_in_flight() {
            return;
        }
        request.waiting_for = WaitingFor::Nothing;
        match self.next_step(id) {
            NextStep::Answer => self.answer(id, out),
            NextStep::Fetch => self.fetch(id, out),
            NextStep::Enqueue => self.enqueue(Tier::Caches, id, out),
            NextStep::SendToCache { is_retry } => {
                if is_retry {
                    self.retry_budget.spend();
                }
                self.send_to_cache(id, out);
            }
        }
    }

    fn next_step(&self, id: RequestId) -> NextStep {
        let request = &self.requests[&id];
        let is_exhausted = request.attempts.len() >= request.rules.max_attempts;
        if self.is_due(request.deadline) || is_exhausted {
            return NextStep::Answer;
        }
        let needs_fetch = request.is_write || request.has_missed() && request.stored_at.is_none();
        if self.settings.cache_mode == CacheMode::Aside && needs_fetch {
            return NextStep::Fetch;
        }
        let is_retry = !request.attempts.is_empty() && request.stored_at.is_none();
        if is_retry && !request.is_write && !self.retry_budget.allows_attempt() {
            return NextStep::Answer;
        }
        // An idle cache needs no capacity of the tier: slow caches may have used it up.
        if self.tiers[Tier::Caches].limit.is_full() && !self.best_candidate_is_idle(id) {
            return NextStep::Enqueue;
        }
        NextStep::SendToCache { is_retry }
    }

    /// Sends a request to the cache that has its value, or to the best of its candidates. If none can take
    /// it, a read goes to the origin.
    pub(super) fn send_to_cache(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let stored_at = request.stored_at.take();
        let may_fetch = self.settings.cache_mode == CacheMode::Aside && request.is_idempotent_read();
        if stored_at.is_some_and(|server| self.send(id, server, out)) {
            return;
        }
        let selected = self.select(id).map(|server| server.endpoint.id);
        if selected.is_some_and(|server| self.send(id, server, out)) {
            return;
        }
        if may_fetch {
            self.fetch(id, out);
        } else {
            self.answer(id, out);
        }
    }

    /// The timer of a request has ended.
    pub(super) fn on_request_timer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.is_settled || request.is_streaming {
            return;
        }
        let is_due = self.is_due(request.deadline);
        if is_due && self.fetching_attempt(id).is_some() {
            self.answer(id, out);
        } else if request.is_in_flight() {
            self.hedge(id, out);
        } else if request.waiting_for == WaitingFor::Capacity {
            self.check_queued(id, out);
        } else if request.waiting_for == WaitingFor::Backoff || is_due {
            self.advance(id, out);
        }
    }

    /// Whether a deadline is so close that no event can be expected before it.
    fn is_due(&self, deadline: Micros) -> bool {
        self.now + self.settings.timer_granularity >= deadline
    }

    /// Sets a timer for a request, due before its deadline at the latest; `after` is in microseconds.
    pub(super) fn set_timer(&self, id: RequestId, after: Micros, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let time_left = request.deadline.saturating_sub(self.now + self.settings.timer_granularity);
        out.push(Action::SetTimer { after: after.min(time_left).max(1), token: Timer::Request(id).into() });
    }
}
