//! Requests that wait: for the fetch of their key, for the end of a backoff before the origin, or for
//! capacity.

use super::Balancer;
use crate::admission_queue::{give_up_at, queue_priority};
use crate::api::{Action, Micros, RequestId, ServerId};
use crate::attempt_time::min_attempt_time;
use crate::request::WaitingFor;
use crate::single_flight::FetchRole;
use crate::tier::Tier;

impl Balancer {
    /// Sends a write, or a read that no cache can serve, to the origin. A read of a key that another read
    /// fetches waits for that fetch.
    pub(super) fn send_to_origin(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(origin) = self.servers.origin() else { return self.answer(id, out) };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_write = request.is_write;
        if !is_write && !request.leads_fetch {
            if self.single_flight.join(request.key, id) == FetchRole::Waiter {
                request.waiting_for = WaitingFor::Fetch;
                return self.set_timer(id, Micros::MAX, out);
            }
            request.leads_fetch = true;
        }
        // Reads back off before an overloaded origin, so that writes are still served.
        if !is_write && self.rng.f64() < self.tiers[Tier::Origin].limit.delay_probability() {
            return self.back_off(id, out);
        }
        if self.tiers[Tier::Origin].limit.is_full() {
            self.enqueue(Tier::Origin, id, out);
        } else if !self.send(id, origin, out) {
            self.answer(id, out);
        }
    }

    /// Waits for about one response time of the origin.
    fn back_off(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.waiting_for = WaitingFor::Backoff;
        let after = self.tiers[Tier::Origin].latency.mean() as Micros;
        self.set_timer(id, after, out);
    }

    /// Handles the end of a fetch. The reads that waited for it read the value from the cache that stores
    /// it; if none does, the first of them starts another fetch and the others wait for that one.
    pub(super) fn finish_fetch(&mut self, key: u64, stored_at: Option<ServerId>, out: &mut Vec<Action>) {
        let mut waiters = self.single_flight.finish(key).into_iter();
        while let Some(id) = waiters.next() {
            let request = self.requests.get_mut(&id);
            if let Some(request) = request.filter(|request| request.waiting_for == WaitingFor::Fetch) {
                request.stored_at = stored_at;
                self.advance(id, out);
            }
            if stored_at.is_none() && self.single_flight.is_fetching(key) {
                return self.single_flight.rejoin(key, waiters);
            }
        }
    }

    /// Has a request wait for capacity at a tier; sheds the last one in the queue if the queue is too long
    /// now.
    pub(super) fn enqueue(&mut self, tier: Tier, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.waiting_for = WaitingFor::Capacity;
        let priority = queue_priority(request, self.now);
        request.queue_position = Some(self.tiers[tier].queue.push(priority, id));
        let after = self.give_up_at(id).saturating_sub(self.now);
        self.set_timer(id, after, out);
        let limit = self.tiers[tier].limit.limit();
        if let Some(shed) = self.tiers[tier].queue.pop_excess(limit) {
            self.answer(shed, out);
        }
    }

    /// Answers a queued request if it is given up now. If not, as when attempts have come to need less
    /// time, it is checked again later.
    pub(super) fn check_queued(&mut self, id: RequestId, out: &mut Vec<Action>) {
        match self.give_up_at(id).saturating_sub(self.now) {
            0 => self.answer(id, out),
            time_left => self.set_timer(id, time_left, out),
        }
    }

    /// When a queued request is given up.
    fn give_up_at(&self, id: RequestId) -> Micros {
        let Some(request) = self.requests.get(&id) else { return self.now };
        let latency = self.class_latencies.get(request.rules.class);
        let attempt_time =
            min_attempt_time(latency, request.is_idempotent_read(), self.settings.timer_granularity);
        give_up_at(request, attempt_time)
    }

    /// Admits queued requests while a tier has capacity.
    pub(super) fn admit_queued(&mut self, tier: Tier, out: &mut Vec<Action>) {
        while !self.tiers[tier].limit.is_full() {
            let Some(id) = self.tiers[tier].queue.pop_next() else { return };
            match (tier, self.servers.origin()) {
                (Tier::Caches, _) => self.send_to_cache(id, out),
                (Tier::Origin, Some(origin)) if self.send(id, origin, out) => {}
                (Tier::Origin, _) => self.answer(id, out),
            }
        }
    }
}
