//! The arrival of a request, and the next step of one that has no attempt in flight.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Balancer;
use crate::api::{Action, CacheMode, Micros, Request, RequestId};
use crate::priority::NodeTraffic;
use crate::request::{OpenRequest, RequestRules, WaitingFor};
use crate::tier::Tier;
use crate::timers::Timer;

/// What a request without an attempt in flight does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    /// It gets its final answer.
    Answer,
    /// It is sent to the origin: a write, or a read that a cache has no value for.
    SendToOrigin,
    /// It waits for capacity at the caches.
    Enqueue,
    /// It is sent to a cache; a retry takes a token from the retry budget.
    SendToCache {
        /// Whether an earlier attempt failed.
        is_retry: bool,
    },
}

impl Balancer {
    /// Handles the arrival of a request. One whose id is in use is ignored.
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

    /// The settings that apply to a request; counts it as an arrival and for its tenant.
    fn rules_for(&mut self, request: &Request) -> RequestRules {
        let traffic = NodeTraffic {
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

    /// Takes the next step of a request, unless it is settled or has an attempt in flight: after a miss or
    /// a failure, another attempt may still be answered.
    pub(super) fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.is_settled || request.is_in_flight() {
            return;
        }
        request.waiting_for = WaitingFor::Nothing;
        match self.next_step(id) {
            NextStep::Answer => self.answer(id, out),
            NextStep::SendToOrigin => self.send_to_origin(id, out),
            NextStep::Enqueue => self.enqueue(Tier::Caches, id, out),
            NextStep::SendToCache { is_retry } => {
                if is_retry {
                    self.retry_budget.spend();
                }
                self.send_to_cache(id, out);
            }
        }
    }

    /// Decides the next step of a request without an attempt in flight.
    fn next_step(&self, id: RequestId) -> NextStep {
        let request = &self.requests[&id];
        let is_exhausted = request.attempts.len() >= request.rules.max_attempts;
        if self.is_due(request.deadline) || is_exhausted {
            return NextStep::Answer;
        }
        let needs_origin = request.is_write || request.has_missed() && request.stored_at.is_none();
        if self.settings.cache_mode == CacheMode::Aside && needs_origin {
            return NextStep::SendToOrigin;
        }
        // Reading the value that a fetch has stored is no retry.
        let is_retry = !request.attempts.is_empty() && request.stored_at.is_none();
        // Retries of writes are counted but not limited, see `AttemptBudget::spend`.
        if is_retry && !request.is_write && !self.retry_budget.allows_attempt() {
            return NextStep::Answer;
        }
        // An idle cache may be used although the tier's limit is reached: slow caches alone may have used
        // it up.
        if self.tiers[Tier::Caches].limit.is_full() && !self.best_candidate_is_idle(id) {
            return NextStep::Enqueue;
        }
        NextStep::SendToCache { is_retry }
    }

    /// Sends a request to the cache that stores its value, or to the best of its candidates. If the guard
    /// allows neither, an idempotent read is sent to the origin in cache-aside mode, and any other request
    /// is answered.
    pub(super) fn send_to_cache(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let stored_at = request.stored_at.take();
        let may_use_origin = self.settings.cache_mode == CacheMode::Aside && request.is_idempotent_read();
        if stored_at.is_some_and(|server| self.send(id, server, out)) {
            return;
        }
        let selected = self.select(id).map(|server| server.endpoint.id);
        if selected.is_some_and(|server| self.send(id, server, out)) {
            return;
        }
        if may_use_origin {
            self.send_to_origin(id, out);
        } else {
            self.answer(id, out);
        }
    }

    /// Handles the expiry of a request's timer.
    pub(super) fn on_request_timer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.is_settled || request.is_streaming {
            return;
        }
        let is_due = self.is_due(request.deadline);
        if is_due && self.fetching_attempt(id).is_some() {
            self.answer(id, out);
        } else if request.is_in_flight() {
            self.hedge_or_retry(id, out);
        } else if request.waiting_for == WaitingFor::Capacity {
            self.check_queued(id, out);
        } else if request.waiting_for == WaitingFor::Backoff || is_due {
            self.advance(id, out);
        }
    }

    /// Whether a deadline has passed or is so close that no event can be expected before it.
    fn is_due(&self, deadline: Micros) -> bool {
        self.now + self.settings.timer_granularity >= deadline
    }

    /// Sets a timer for a request that expires after `after` microseconds, or shortly before its deadline
    /// if that is earlier.
    pub(super) fn set_timer(&self, id: RequestId, after: Micros, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let time_left = request.deadline.saturating_sub(self.now + self.settings.timer_granularity);
        out.push(Action::SetTimer { after: after.min(time_left).max(1), token: Timer::Request(id).into() });
    }
}
