//! The end of an attempt: what the rules learn from it, and the next step of its request.

use super::Balancer;
use super::answers::RequestOutcome;
use crate::api::{Action, AttemptEnd, AttemptId, Micros, Outcome, RequestId, ServerId};
use crate::concurrency_limit::{Congestion, cache_limit_floor};
use crate::congestion::ExpectedLatency;
use crate::in_flight::InFlightStatus;
use crate::relative_latency::{relative_sample, shows_service_time};
use crate::request::Attempt;
use crate::server::Server;
use crate::tier::Tier;

/// The lowest concurrency limit at the origin, in attempts.
const ORIGIN_LIMIT_FLOOR: f64 = 1.0;

/// An attempt whose end was recorded with its request.
struct EndedAttempt {
    server: ServerId,
    /// The tier of the server.
    tier: Tier,
    /// The hash of its request's key.
    key: u64,
    /// Whether it was the fetch that other reads of the key may wait for.
    was_shared_fetch: bool,
    /// The cache that stores the value if it was a fetch: the one that the request missed at.
    stored_at: Option<ServerId>,
}

impl Balancer {
    /// Handles the end of an attempt; that of an attempt that is not in flight is ignored.
    pub(super) fn on_attempt_ended(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let id = end.attempt.request;
        let Some(ended) = self.close_attempt(end) else { return };
        self.learn(end, ended.server);
        let lost = self.write_off_lost(ended.server);
        if end.settled {
            self.settle(id, RequestOutcome::Served, out);
        } else {
            self.advance(id, out);
        }
        if ended.was_shared_fetch {
            let stored_at = ended.stored_at.filter(|_| end.outcome == Outcome::Success);
            self.finish_fetch(ended.key, stored_at, out);
        }
        for lost in lost {
            self.hedge_or_retry(lost, out);
        }
        self.admit_queued(ended.tier, out);
        self.start_idling(ended.server, out);
        self.forget_if_done(id);
    }

    /// Records the end of an attempt with its request; `None` if the attempt is not in flight.
    fn close_attempt(&mut self, end: &AttemptEnd) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&end.attempt.request)?;
        let attempt = request.attempts.get_mut(end.attempt.number).filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        attempt.may_have_run = end.may_have_run();
        attempt.missed = end.outcome == Outcome::CacheMiss;
        let server = attempt.server;
        let tier = self.servers.get(server).map_or(Tier::Caches, Server::tier);
        let was_shared_fetch = request.leads_fetch && tier == Tier::Origin;
        request.leads_fetch &= !was_shared_fetch;
        let stored_at = request.missed_at();
        Some(EndedAttempt { server, tier, key: request.key, was_shared_fetch, stored_at })
    }

    /// Passes the end of an attempt at the server `from` to every rule that learns from it.
    fn learn(&mut self, end: &AttemptEnd, from: ServerId) {
        let rules = self.requests.get(&end.attempt.request).map(|request| &request.rules);
        let class = rules.and_then(|rules| rules.class);
        let objective = rules.map_or(0, |rules| rules.latency_objective);
        let Some(server) = self.servers.get_mut(from) else { return };
        let status = server.in_flight.finish(end.attempt, self.now);
        let was_abandoned = matches!(end.outcome, Outcome::TimedOut | Outcome::Canceled);
        if status.was_written_off && was_abandoned {
            // Nothing is learned from a written-off attempt that ends without an answer. Its place within the
            // concurrency limit was released when it was written off.
            return;
        }
        if !status.was_written_off {
            self.tiers[server.tier()].limit.release(1);
        }
        let zone = server.endpoint.zone;
        self.zones.record_outcome(zone, end.outcome, end.elapsed);
        let expected =
            ExpectedLatency { objective, extra_latency: self.zones.extra_latency(zone), tier: server.tier() };
        let congestion = assess_congestion(server, end, &expected, self.now);
        if end.outcome == Outcome::NotSent {
            return;
        }
        server.idle_connection.record_outcome(end.outcome, self.settings.node_count);
        let tier = server.tier();
        self.adapt_limit(tier, end, congestion);
        if tier == Tier::Caches {
            self.learn_about_cache(end, from, class, status);
        }
    }

    /// Adapts the concurrency limit of a tier and its response times.
    fn adapt_limit(&mut self, tier: Tier, end: &AttemptEnd, congestion: Option<Congestion>) {
        let floor = match tier {
            Tier::Caches => cache_limit_floor(self.servers.cache_count(), self.settings.node_count),
            Tier::Origin => ORIGIN_LIMIT_FLOOR,
        };
        let time_constant = self.load.time_constant();
        let state = &mut self.tiers[tier];
        if let Some(congestion) = congestion {
            let mean_latency = state.latency.mean();
            state.limit.record(congestion, floor, self.now, time_constant, mean_latency);
        }
        if end.outcome == Outcome::Success {
            state.latency.record(end.elapsed);
        }
    }

    /// Updates the response times of a cache, of its machine type and of the class, and the health of the
    /// cache.
    fn learn_about_cache(
        &mut self,
        end: &AttemptEnd,
        from: ServerId,
        class: Option<usize>,
        status: InFlightStatus,
    ) {
        let Some(server) = self.servers.get_mut(from) else { return };
        let latency = self.class_latencies.get_mut(class);
        let sample = relative_sample(end.elapsed, latency);
        if shows_service_time(end) {
            self.machine_types.record(server.endpoint.machine_type, sample);
        }
        server.health.record_outcome(end.outcome, status.was_overdue);
        server.relative_latency.record(end, sample);
        if end.outcome == Outcome::Success {
            latency.record(end.elapsed);
        }
    }

    /// Writes off the attempts that are lost at a server, and returns their requests.
    pub(super) fn write_off_lost(&mut self, server: ServerId) -> Vec<RequestId> {
        let is_overloaded = self.tiers[Tier::Caches].limit.is_overloaded();
        let Some(server) = self.servers.get_mut(server) else { return Vec::new() };
        let lost = server.in_flight.write_off_lost(self.now, is_overloaded);
        self.tiers[server.tier()].limit.release(lost.len());
        lost
    }

    /// Handles the beginning of a response: it is the final answer, other attempts of the request are
    /// cancelled, and the attempt no longer counts against the concurrency limit.
    pub(super) fn on_response_started(&mut self, attempt: AttemptId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        let Some(&Attempt { server, in_flight, .. }) = request.attempts.get(attempt.number) else { return };
        request.is_streaming = true;
        self.load.record_served(self.now);
        self.cancel_attempts(attempt.request, Some(attempt.number), out);
        if in_flight {
            self.write_off(attempt, server);
        }
        self.admit_queued(Tier::Caches, out);
    }

    /// Has an attempt no longer count as in flight at its server.
    fn write_off(&mut self, attempt: AttemptId, server: ServerId) {
        let Some(server) = self.servers.get_mut(server) else { return };
        if server.in_flight.write_off(attempt) {
            self.tiers[server.tier()].limit.release(1);
        }
    }

    /// Marks the connection to a server as idle, if no attempt that counts is in flight there.
    fn start_idling(&mut self, server: ServerId, out: &mut Vec<Action>) {
        let Some(server) = self.servers.get_mut(server) else { return };
        if !server.in_flight.is_empty() {
            return;
        }
        server.idle_connection.start_idling(self.now);
        let expires_at = server.idle_connection.expires_at(self.settings.idle_timeout);
        self.schedule_idle_check(expires_at, out);
    }
}

/// What a finished attempt shows about its tier, if anything; records a prompt answer with the server.
fn assess_congestion(
    server: &mut Server,
    end: &AttemptEnd,
    expected: &ExpectedLatency,
    now: Micros,
) -> Option<Congestion> {
    let sent_at = now.saturating_sub(end.elapsed);
    let was_overtaken = server.in_flight.was_overtaken(sent_at, expected.objective);
    if expected.is_prompt_answer(end) {
        server.in_flight.record_prompt_answer(sent_at);
    }
    expected.congestion(end, was_overtaken)
}
