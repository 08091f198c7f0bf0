//! Starts attempts at servers, and handles every way in which they end.

use std::sync::atomic::Ordering;
use std::time::Duration;

use stonefold_balancer::{AttemptEnd, AttemptId, Event, Micros, Outcome, RequestId, ServerId};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tracing::{Level, enabled, trace};

use super::open_request::{AttemptState, RunningAttempt};
use super::{Driver, Timer};
use crate::invariants::Invariant;
use crate::message::{FinishedAttempt, Message};
use crate::relay::{RelayContext, ValueStream};
use crate::request::Response;
use crate::upstream::attempt;
use crate::upstream::connection::ServerConnection;
use crate::upstream::directory::Target;
use crate::upstream::reply_identity::RequestIdentity;
use crate::upstream::send_permit::{SendConditions, SendStart};

/// An attempt that the balancer has requested.
pub(super) struct NewAttempt {
    pub(super) request: RequestId,
    pub(super) server: ServerId,
    /// The attempt is abandoned if it takes longer than this.
    pub(super) timeout: Duration,
    /// A retry must start before this time, so that servers still recognise the repeated request.
    pub(super) send_before: Option<Instant>,
}

/// How an attempt ended, for the balancer.
struct AttemptOutcome {
    outcome: Outcome,
    elapsed: Duration,
    cache_hit: Option<bool>,
}

impl AttemptOutcome {
    /// The outcome of an attempt that was not made.
    const NOT_MADE: AttemptOutcome =
        AttemptOutcome { outcome: Outcome::NotSent, elapsed: Duration::ZERO, cache_hit: None };
}

impl Driver {
    /// Starts an attempt, if the request, its client and the limits on connections allow it.
    pub(super) fn send(&mut self, new: NewAttempt) {
        let NewAttempt { request: id, server, timeout, send_before } = new;
        let now = Instant::now();
        let due = self.now + timeout;
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        let attempt = AttemptId::new(id, open.attempts.len());
        let start = SendStart::default();
        let conditions = SendConditions {
            client: open.client.clone(),
            stalls: self.stalls.clone(),
            send_before,
            start: start.clone(),
        };
        let must_not_repeat = open.must_not_repeat();
        open.attempts.push(AttemptState { start, running: None });
        if must_not_repeat {
            self.metrics.violations.record(Invariant::NoUnsafeRetry, &open.request.id);
            return self.report_end(attempt, AttemptOutcome::NOT_MADE);
        }
        if open.client.is_disconnected() {
            // The message `ClientDisconnected` is still in the inbox, behind the message that led to this attempt.
            self.on_client_disconnected(id);
            return self.report_end(attempt, AttemptOutcome::NOT_MADE);
        }
        let identity = open.identity();
        let Some((target, pooled)) = self.check_out(server, &identity, now, conditions) else {
            return self.report_end(attempt, AttemptOutcome::NOT_MADE);
        };
        let timer = self.timers.insert_at(Timer::AttemptTimeout(attempt), due);
        let open = &self.open_requests[&id];
        trace!(event = "attempt_started", request = %open.client_id(), attempt = attempt.number, at = %target.addr,
            new_connection = pooled.is_none(), timeout_us = timeout.as_micros() as u64, "attempt started");
        self.log_warm_up(attempt, server);
        // The timeout may be longer than the client waits, since an attempt may continue for other requests. The
        // deadline that the server is told is never later than the client's.
        let deadline = due.min(open.deadline);
        let task = self.spawn_attempt(attempt, server, target, pooled, deadline);
        let running = RunningAttempt { started_at: now, task, timeout: Some(timer), first_byte_after: None };
        let open = self.open_requests.get_mut(&id).expect("the request is open");
        open.attempts[attempt.number].running = Some(running);
        self.attempts_in_flight += 1;
    }

    /// Logs the state of the server's slow start with the attempt, if the server is warming up.
    fn log_warm_up(&self, attempt: AttemptId, server: ServerId) {
        if !enabled!(Level::TRACE) {
            return;
        }
        let Some(status) = self.balancer.warm_up_status(server) else { return };
        let Some(open) = self.open_requests.get(&attempt.request) else { return };
        trace!(event = "attempt_to_warming_server", request = %open.client_id(), attempt = attempt.number,
            age_us = status.age, capacity_fraction = status.capacity_fraction,
            remaining_calls = status.remaining_calls, "the server of this attempt is warming up");
    }

    /// Returns the target of an attempt and an idle connection to it, or `None` if the server is unknown or there are too
    /// many connections. At the limit, closes the oldest idle connection to make room for a new one.
    fn check_out(
        &mut self,
        server: ServerId,
        request: &RequestIdentity,
        now: Instant,
        conditions: SendConditions,
    ) -> Option<(Target, Option<ServerConnection>)> {
        let (target, pooled) = self.directory.check_out(server, request, now, conditions)?;
        let connections = self.attempts_in_flight + self.directory.idle_connections();
        self.server_connections.store(connections, Ordering::Relaxed);
        if pooled.is_none() && connections >= self.max_connections {
            self.directory.close_oldest();
        }
        (pooled.is_some() || self.attempts_in_flight < self.max_connections).then_some((target, pooled))
    }

    fn spawn_attempt(
        &self,
        id: AttemptId,
        server: ServerId,
        target: Target,
        pooled: Option<ServerConnection>,
        deadline: Instant,
    ) -> AbortHandle {
        let sender = self.sender.clone();
        // If the driver has ended, the stream is dropped and the attempt ends.
        let on_start = move |stream| _ = sender.send(Message::ResponseStarted { attempt: id, stream });
        let addr = target.addr;
        let open = &self.open_requests[&id.request];
        let relay = RelayContext {
            budget: self.budget.clone(),
            reservation: open.reservation.clone(),
            turn: open.turn.clone(),
            on_start: Box::new(on_start),
        };
        let attempt = attempt::Attempt {
            target,
            pooled,
            request: open.request.clone(),
            identity: open.identity(),
            deadline,
            connect_timeout: Duration::from_micros(self.settings.connect_timeout),
            metrics: self.metrics.clone(),
            relay,
        };
        let sender = self.sender.clone();
        let work = async move {
            let (result, connection) = attempt.run().await;
            let finished = FinishedAttempt { attempt: id, result, server, addr, connection };
            let _ = sender.send(Message::AttemptFinished(finished)); // fails if the driver has ended
        };
        tokio::spawn(work).abort_handle()
    }

    /// Removes an attempt from those in flight and returns its state; `None` if it has ended already.
    fn take_running(&mut self, attempt: AttemptId) -> Option<RunningAttempt> {
        let open = self.open_requests.get_mut(&attempt.request)?;
        let running = open.attempts.get_mut(attempt.number)?.running.take()?;
        self.attempts_in_flight -= 1;
        Some(running)
    }

    /// Abandons an attempt in flight, which closes its connection.
    pub(super) fn abandon(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some(running) = self.take_running(attempt) else { return };
        running.task.abort();
        if let Some(timer) = running.timeout.filter(|_| outcome != Outcome::TimedOut) {
            self.timers.try_remove(&timer);
        }
        let elapsed = running.started_at.elapsed();
        self.report_end(attempt, AttemptOutcome { outcome, elapsed, cache_hit: None });
    }

    /// Abandons the attempts of an ended request of which nothing has been written, for example because the connection
    /// is not open yet. No server can have executed them, so they are abandoned even where the settings forbid
    /// cancelling. Requests that wait for the same key fetch it with an attempt of their own.
    pub(super) fn stop_unwritten_attempts(&mut self, id: RequestId) {
        let Some(open) = self.open_requests.get(&id).filter(|open| open.response.is_none()) else { return };
        for number in open.unwritten_attempts() {
            self.abandon(AttemptId::new(id, number), Outcome::NotSent);
        }
    }

    /// Handles the end of an attempt's task.
    pub(super) fn on_attempt_finished(&mut self, finished: FinishedAttempt) {
        let FinishedAttempt { attempt, result, server, addr, connection } = finished;
        let running = self.take_running(attempt);
        if let Some(connection) = connection {
            self.directory.check_in(server, addr, connection, Instant::now());
        }
        let Some(running) = running else { return }; // it was abandoned
        if let Some(timer) = running.timeout {
            self.timers.try_remove(&timer);
        }
        let succeeded = result.outcome == Outcome::Success;
        match running.first_byte_after {
            Some(_) => self.count_relayed(attempt.request, succeeded),
            None if succeeded => self.respond(attempt.request, Response::Value(result.value)),
            None => {}
        }
        // The duration of a large value depends on its length and its client rather than on the server, so the time to
        // its first bytes is reported.
        let elapsed = running.first_byte_after.unwrap_or_else(|| running.started_at.elapsed());
        let outcome = AttemptOutcome { outcome: result.outcome, elapsed, cache_hit: result.cache_hit };
        self.report_end(attempt, outcome);
        self.stop_unwritten_attempts(attempt.request);
    }

    /// Handles the first bytes of a large value. The first value that starts to arrive is the final response, even if
    /// it breaks off later. The stream of any other value is dropped, which ends its attempt.
    pub(super) fn on_response_started(&mut self, attempt: AttemptId, stream: ValueStream) {
        let Some(open) = self.open_requests.get_mut(&attempt.request) else { return };
        let Some(entry) = open.attempts.get_mut(attempt.number) else { return };
        let Some(running) = &mut entry.running else { return }; // it was abandoned
        let Some(sender) = open.response.take() else { return };
        if let Some(timer) = running.timeout.take() {
            self.timers.try_remove(&timer);
        }
        running.first_byte_after = Some(running.started_at.elapsed());
        open.responded_at = Some(Instant::now());
        open.reservation.release();
        let _ = sender.send(Response::Stream(stream)); // the client may have disconnected
        self.events.push_back(Event::ResponseStarted(attempt));
        self.stop_unwritten_attempts(attempt.request);
    }

    /// Counts the outcome of a relayed value.
    fn count_relayed(&self, id: RequestId, complete: bool) {
        if let Some(outcomes) = self.open_requests.get(&id).and_then(|open| open.outcomes.as_ref()) {
            let outcome = if complete { &outcomes.succeeded } else { &outcomes.failed };
            outcome.increment();
        }
    }

    /// Reports the end of an attempt to the balancer, and drops the request if it is done.
    fn report_end(&mut self, attempt: AttemptId, ended: AttemptOutcome) {
        let AttemptOutcome { outcome, elapsed, cache_hit } = ended;
        let AttemptId { request: id, number } = attempt;
        let elapsed = elapsed.as_micros() as Micros;
        // A request whose value is being relayed is settled only once the relay has ended.
        let settled =
            self.open_requests.get(&id).is_none_or(|open| open.response.is_none() && !open.is_relaying());
        let mut bytes_sent = true;
        if let Some(open) = self.open_requests.get_mut(&id) {
            bytes_sent = open.attempts.get(number).is_none_or(|attempt| attempt.start.is_set());
            open.may_have_run |= bytes_sent && outcome.may_have_run();
            if open.started_after_end(number) {
                self.metrics.violations.record(Invariant::NoSendAfterEnd, &open.request.id);
            }
            trace!(event = "attempt_ended", request = %open.client_id(), attempt = number, ?outcome,
                elapsed_us = elapsed, "attempt ended");
        }
        let end = AttemptEnd { elapsed, settled, cache_hit, bytes_sent, ..AttemptEnd::new(attempt, outcome) };
        self.events.push_back(Event::AttemptEnded(end));
        self.remove_if_done(id);
    }
}
