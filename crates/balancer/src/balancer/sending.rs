//! Every send, and the extra attempts of late reads.

use super::Balancer;
use super::selection::is_idle;
use crate::api::{Action, AttemptId, Micros, RequestId, ServerId};
use crate::attempt_time::min_attempt_time;
use crate::hedging::{
    Alternative, ExtraAttemptConditions, ExtraAttemptTargets, extra_attempt_targets, hedge_delay, next_check,
};
use crate::in_flight::InFlightAttempt;
use crate::outlier_detection::{next_probe_at, overdue_after};
use crate::request::{Attempt, OpenRequest, WaitingFor};
use crate::send_guard::{Denied, Permit, ProposedSend};
use crate::server::Server;
use crate::tier::Tier;

/// The times of one attempt, in microseconds from its send.
struct AttemptTimes {
    /// When the attempt is cut off.
    timeout: Micros,
    /// When the attempt is overdue, a sign that the server doesn't answer.
    overdue_after: Micros,
    /// When the request is checked again, if that may be before the attempt ends.
    check_after: Option<Micros>,
}

impl Balancer {
    /// Sends a request to a server if the guard allows it, and returns whether it was sent.
    pub(super) fn send(&mut self, id: RequestId, to: ServerId, out: &mut Vec<Action>) -> bool {
        let (Some(request), Some(server)) = (self.requests.get(&id), self.servers.get(to)) else {
            return false;
        };
        let Ok(permit) = self.check_send(request, server) else { return false };
        let times = self.attempt_times(request, server);
        self.record_send(id, to, times.overdue_after);
        out.push(Action::Send {
            request: id,
            server: to,
            timeout: times.timeout,
            send_before: permit.send_before,
        });
        if let Some(after) = times.check_after {
            self.set_timer(id, after, out);
        }
        true
    }

    /// Asks the guard whether a request may be sent to a server now.
    fn check_send(&self, request: &OpenRequest, server: &Server) -> Result<Permit, Denied> {
        let latency = self.expected_latency(server, request.rules.class);
        let attempt_time =
            min_attempt_time(latency, request.is_idempotent_read(), self.settings.timer_granularity);
        let send = ProposedSend { request, server, now: self.now, attempt_time };
        let endpoint = |id| self.servers.get(id).map(|server| &server.endpoint);
        send.check(endpoint, || self.remaining_calls(server))
    }

    /// The times of an attempt that is sent now.
    fn attempt_times(&self, request: &OpenRequest, server: &Server) -> AttemptTimes {
        let latency = self.expected_latency(server, request.rules.class);
        let time_left = request.deadline - self.now;
        let hedge_after = hedge_delay(latency);
        let to_cache = server.tier() == Tier::Caches;
        let may_hedge = request.allows_hedging() && !request.is_in_flight() && to_cache;
        // A fetch may last longer than the read that leads it: its value also serves other reads.
        let is_fetch = request.leads_fetch && !to_cache;
        let timeout = if is_fetch { time_left.max(request.rules.latency_objective) } else { time_left };
        let check_after = if may_hedge && hedge_after < time_left {
            Some(hedge_after)
        } else {
            (timeout > time_left).then_some(time_left)
        };
        AttemptTimes { timeout, overdue_after: overdue_after(latency), check_after }
    }

    /// Passes to every rule that an attempt is sent now.
    fn record_send(&mut self, id: RequestId, to: ServerId, overdue_after: Micros) {
        let (Some(request), Some(server)) = (self.requests.get_mut(&id), self.servers.get_mut(to)) else {
            return;
        };
        let slow_start = self.settings.slow_start();
        if server.warm_up.is_active(&slow_start, self.now) {
            server.warm_up.record_call(&slow_start, self.now);
        }
        let probe_at = next_probe_at(self.now, overdue_after);
        if server.is_suspect(self.now) {
            server.health.record_probe(probe_at);
        }
        self.zones.record_send(server.endpoint.zone, probe_at);
        server.idle_connection.clear();
        server.in_flight.insert(InFlightAttempt {
            overdue_at: self.now + overdue_after,
            id: AttemptId::new(id, request.attempts.len()),
            sent_at: self.now,
            latency_objective: request.rules.latency_objective,
        });
        self.tiers[server.tier()].limit.acquire();
        request.waiting_for = WaitingFor::Nothing;
        request.attempts.push(Attempt {
            server: to,
            sent_at: self.now,
            in_flight: true,
            may_have_run: false,
            missed: false,
        });
    }

    /// Sends an extra attempt of a late read, as a hedged request or as a retry, or plans when to check the
    /// read again.
    pub(super) fn hedge_or_retry(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(first) = self.first_in_flight(id) else { return };
        self.write_off_lost(first);
        let Some(extra) = self.choose_extra_attempt(id, first) else { return };
        if extra.hedge_to.is_some_and(|server| self.send(id, server, out)) {
            self.hedge_budget.spend();
        } else if extra.retry_to.is_some_and(|server| self.send(id, server, out)) {
            self.retry_budget.spend();
        } else {
            self.plan_next_check(id, out);
        }
    }

    /// The server of the first attempt in flight of a request that has no answer yet.
    fn first_in_flight(&self, id: RequestId) -> Option<ServerId> {
        let request = self.requests.get(&id).filter(|request| !request.is_settled)?;
        request.attempts.iter().find(|attempt| attempt.in_flight).map(|attempt| attempt.server)
    }

    /// Where an extra attempt of a request may be sent; `None` where it may have none at all. `first` is
    /// the server of its attempt in flight.
    fn choose_extra_attempt(&self, id: RequestId, first: ServerId) -> Option<ExtraAttemptTargets> {
        let request = self.requests.get(&id)?;
        let first = self.servers.get(first)?;
        let is_single = request.attempts_in_flight() == 1;
        if first.tier() == Tier::Origin || !request.allows_hedging() || !is_single {
            return None;
        }
        let slow_start = self.settings.slow_start();
        let is_healthy = |server: &&Server| {
            !request.was_sent_to(server.endpoint.id)
                && !server.is_suspect(self.now)
                && !server.warm_up.is_active(&slow_start, self.now)
        };
        let latency = self.class_latencies.get(request.rules.class);
        let alternatives = self.candidates(request.key).into_iter().filter(is_healthy);
        let alternatives = alternatives
            .map(|server| Alternative { server: server.endpoint.id, is_idle: is_idle(server, latency) });
        let caches_full = self.tiers[Tier::Caches].limit.is_full();
        let conditions = ExtraAttemptConditions {
            hedges_allowed: self.hedge_budget.allows_attempt() && self.tiers.allow_hedging(),
            retries_allowed: self.retry_budget.allows_attempt() && !caches_full,
            needs_retry: first.in_flight.has_written_off(id) || first.is_suspect(self.now),
        };
        Some(extra_attempt_targets(alternatives, &conditions))
    }

    /// Sets the timer after which a late read is checked again, if time is left before its deadline.
    fn plan_next_check(&self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.deadline <= self.now + self.settings.timer_granularity {
            return;
        }
        let latency = self.class_latencies.get(request.rules.class);
        let sent_at = request.attempts.iter().map(|attempt| attempt.sent_at);
        let after = next_check(latency, sent_at, request.rules.latency_objective, self.now);
        self.set_timer(id, after, out);
    }
}
