//! Attempts: how they start, and every way in which they end.

use std::sync::atomic::Ordering;
use std::time::Duration;

use stonefold_balancer::{AttemptEnd, AttemptId, Event, Micros, Outcome, RequestId, ServerId};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tracing::trace;

use super::open_request::{Open, Running};
use super::{Driver, Due};
use crate::invariants::Invariant;
use crate::message::{FinishedAttempt, Message};
use crate::relay::{Pass, Stream};
use crate::request::Response;
use crate::upstream::attempt;
use crate::upstream::connection::Connection;
use crate::upstream::directory::Target;
use crate::upstream::send_permit::{SendConditions, SendStart};

impl Driver {
    pub(super) fn send(
        &mut self,
        id: RequestId,
        server: ServerId,
        wait: Duration,
        repeat_until: Option<Instant>,
    ) {
        let (now, due) = (Instant::now(), self.now + wait);
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = open.attempts.len();
        let (client, stalls) = (open.client.clone(), self.stalls.clone());
        let conditions = SendConditions { client, stalls, repeat_until, start: SendStart::default() };
        let repeats = open.must_not_repeat();
        open.starts.push(conditions.start.clone());
        if repeats {
            self.metrics.violations.record(Invariant::NoUnsafeRetry, &open.command.id);
            open.attempts.push(None);
            return self.report_end(id, attempt, Outcome::NotSent, Duration::ZERO, None);
        }
        if open.client.has_ended() {
            // Word of it waits in the inbox, behind what made the module send.
            open.attempts.push(None);
            self.gone(id);
            return self.report_end(id, attempt, Outcome::NotSent, Duration::ZERO, None);
        }
        let place = self.directory.check_out(server, now, conditions).filter(|(_, pooled)| {
            let held = self.running + self.directory.idle();
            self.held.store(held, Ordering::Relaxed);
            if pooled.is_none() && held >= self.connections {
                self.directory.close_oldest();
            }
            pooled.is_some() || self.running < self.connections
        });
        let Some((target, pooled)) = place else {
            open.attempts.push(None);
            return self.report_end(id, attempt, Outcome::NotSent, Duration::ZERO, None);
        };
        let timer = self.timers.insert_at(Due::Attempt(id, attempt), due);
        trace!(event = "sent", request = %open.name(), attempt, at = %target.addr,
            fresh = pooled.is_none(), wait_us = wait.as_micros() as u64, "an attempt is out");
        // A fetch may run on for others; its server is told of no more than its own client's time.
        let deadline = due.min(open.deadline);
        let task = self.start(id, attempt, server, target, pooled, deadline);
        let open = self.open.get_mut(&id).expect("looked up above");
        open.attempts.push(Some(Running { sent: now, task, timer: Some(timer), coming: None }));
        self.running += 1;
    }

    fn start(
        &self,
        id: RequestId,
        attempt: usize,
        server: ServerId,
        target: Target,
        pooled: Option<Connection>,
        deadline: Instant,
    ) -> AbortHandle {
        let (command, to) = (self.open[&id].command.clone(), self.to_self.clone());
        let connect_timeout = Duration::from_micros(self.setup.connect_timeout);
        let metrics = self.metrics.clone();
        let begun = self.to_self.clone();
        // A driver that is gone drops the stream, and the attempt ends.
        let begin = move |stream| {
            _ = begun.send(Message::ResponseStarted { attempt: AttemptId::new(id, attempt), stream })
        };
        let pass = Pass { budget: self.budget.clone(), begin: Box::new(begin) };
        let work = async move {
            let addr = target.addr;
            let (reply, connection) =
                attempt::run(target, pooled, &command, deadline, connect_timeout, &metrics, pass).await;
            let _ = to.send(Message::AttemptFinished(FinishedAttempt {
                attempt: AttemptId { request: id, number: attempt },
                reply,
                server,
                addr,
                connection,
            }));
        };
        tokio::spawn(work).abort_handle()
    }

    /// Strikes an attempt off; nothing if it has ended before.
    fn close(&mut self, id: RequestId, attempt: usize) -> Option<Running> {
        let running = self.open.get_mut(&id)?.attempts.get_mut(attempt)?.take()?;
        self.running -= 1;
        Some(running)
    }

    /// Stops waiting for an attempt: its connection closes.
    pub(super) fn give_up(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let Some(running) = self.close(id, attempt) else { return };
        running.task.abort();
        if let Some(timer) = running.timer.filter(|_| outcome != Outcome::TimedOut) {
            self.timers.try_remove(&timer);
        }
        self.report_end(id, attempt, outcome, running.sent.elapsed(), None);
    }

    /// Stops what of an ended request is not yet written: nobody waits for it, and it never ran, so that this
    /// is no cancelling, which settings may bar. Who waits for its fetch fetches under an id of its own.
    ///
    /// Guards against: a request that is sent on after its final answer, or after its client has left, by an
    /// attempt whose connection came up late.
    pub(super) fn stop_unwritten(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id).filter(|open| open.answer.is_none()) else { return };
        let unwritten = |&n: &usize| open.attempts[n].is_some() && !open.starts[n].is_set();
        let unwritten: Vec<usize> = (0..open.attempts.len()).filter(unwritten).collect();
        unwritten.into_iter().for_each(|attempt| self.give_up(id, attempt, Outcome::NotSent));
    }

    pub(super) fn ended(&mut self, ended: FinishedAttempt) {
        let FinishedAttempt {
            attempt: AttemptId { request: id, number: attempt },
            reply,
            server,
            addr,
            connection,
        } = ended;
        let running = self.close(id, attempt);
        if let Some(connection) = connection {
            self.directory.check_in(server, addr, connection, Instant::now());
        }
        let Some(running) = running else { return }; // given up before: a late outcome changes nothing
        if let Some(timer) = running.timer {
            self.timers.try_remove(&timer);
        }
        match running.coming {
            Some(_) => self.count_end(id, reply.outcome == Outcome::Success),
            None if reply.outcome == Outcome::Success => self.answer(id, Response::Value(reply.value)),
            None => {}
        }
        // How long a long value takes tells of its length and its client, not of the server.
        let elapsed = running.coming.unwrap_or_else(|| running.sent.elapsed());
        self.report_end(id, attempt, reply.outcome, elapsed, reply.hit);
        self.stop_unwritten(id);
    }

    /// The first value to begin is the answer, whatever becomes of it. Others are dropped, and end for it.
    pub(super) fn begun(&mut self, id: RequestId, attempt: usize, stream: Stream) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(Some(running)) = open.attempts.get_mut(attempt) else { return }; // given up before
        let Some(sender) = open.answer.take() else { return };
        if let Some(timer) = running.timer.take() {
            self.timers.try_remove(&timer);
        }
        running.coming = Some(running.sent.elapsed());
        open.answered_at = Some(Instant::now());
        let _ = sender.send(Response::Stream(stream)); // the client may have left
        self.events.push_back(Event::ResponseStarted(AttemptId::new(id, attempt)));
        self.stop_unwritten(id);
    }

    /// Counts how a value ended that had begun to come.
    fn count_end(&self, id: RequestId, whole: bool) {
        if let Some(outcomes) = self.open.get(&id).and_then(|open| open.outcomes.as_ref()) {
            if whole { outcomes.succeeded.increment() } else { outcomes.failed.increment() }
        }
    }

    fn report_end(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        elapsed: Duration,
        hit: Option<bool>,
    ) {
        // A value that has begun to come is not the end yet.
        let coming = |open: &Open| open.attempts.iter().flatten().any(|running| running.coming.is_some());
        let settled = self.open.get(&id).is_none_or(|open| open.answer.is_none() && !coming(open));
        let elapsed = elapsed.as_micros() as Micros;
        let mut begun = true;
        if let Some(open) = self.open.get_mut(&id) {
            begun = open.starts.get(attempt).is_none_or(SendStart::is_set);
            open.may_have_run |= begun && outcome.may_have_run();
            if open.began_after_end(attempt) {
                self.metrics.violations.record(Invariant::NoSendAfterEnd, &open.command.id);
            }
            trace!(event = "attempt_ended", request = %open.name(), attempt, ?outcome, elapsed_us = elapsed,
                "an attempt has ended");
        }
        let end = AttemptEnd {
            elapsed,
            settled,
            cache_hit: hit,
            bytes_sent: begun,
            ..AttemptEnd::new(AttemptId::new(id, attempt), outcome)
        };
        self.events.push_back(Event::AttemptEnded(end));
        self.remove_if_done(id);
    }
}
