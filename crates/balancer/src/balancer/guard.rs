//! What every send and every final answer passes.
//!
//! Invariants: nothing is sent after the final answer, to a server out of service, beyond the most attempts,
//! or again where it may have run and may not; a request has one final answer, and is refused only where
//! that is surely harmless.

use super::*;

impl Balancer {
    /// Every send. Says whether it was allowed.
    pub(super) fn send(&mut self, id: RequestId, to: ServerId, out: &mut Vec<Action>) -> bool {
        let (Some(r), Some(s)) = (self.open.get(&id), self.servers.get(&to)) else { return false };
        let timing = if s.member.is_origin { &self.gates[ORIGIN].timing } else { &self.timings[r.class] };
        let late = self.now + self.least(r, timing) >= r.deadline;
        if r.settled || r.streaming || late || r.tries.len() >= r.most {
            return false; // nothing goes out after the end
        }
        if !s.in_service() || r.outstanding() > 0 && !self.may_copy(r) {
            return false; // drains are kept from the moment they are told, and writes have no copy
        }
        let repeat_until = r.repeat_until();
        let in_time = repeat_until.is_none_or(|until| self.now < until);
        let mut ran = r.tries.iter().filter(|t| t.out || t.may_have_run);
        let allowed = match r.effect {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => ran.next().is_none(),
            // Within the group that discards repeats, while it surely still remembers.
            Idempotency::Keyed { scope, .. } => ran.all(|t| {
                let first = self.servers.get(&t.server).map(|f| &f.member);
                in_time && first.is_some_and(|f| f.shares_deduplication(&s.member, scope))
            }),
        };
        // A cold cache gets no more than our part of what it can take, whoever asks.
        if !allowed || self.allowance(s) == 0 {
            return false;
        }
        let cold = self.cold(s);
        let (left, suspect, origin) = (r.deadline - self.now, self.suspect(s), s.member.is_origin);
        let (hedge_in, due_in) = (timing.late(4.0), timing.late(6.0).max(1));
        let hedges = self.may_copy(r) && r.outstanding() == 0 && !origin && hedge_in < left;
        let s = self.servers.get_mut(&to).expect("looked up above");
        let r = self.open.get_mut(&id).expect("looked up above");
        if cold {
            s.allotment.spend(&self.settings.slow_start(), self.now);
        }
        let zone = self.zones.entry(s.member.zone).or_default();
        let retry_at = self.now + 4 * due_in; // readmitted by a trickle
        s.retry_at = if suspect { retry_at } else { s.retry_at };
        zone.retry_at = if zone.failed + 1 >= CUT { retry_at } else { zone.retry_at };
        s.idle_since = None;
        s.out.insert((self.now + due_in, id, r.tries.len()));
        self.gates[usize::from(origin)].out += 1;
        r.wait = Wait::Nothing;
        r.tries.push(Try { server: to, sent: self.now, out: true, may_have_run: false, missed: false });
        let fetches = origin && r.leads;
        let timeout = if fetches { left.max(r.aim) } else { left };
        out.push(Action::Send { request: id, server: to, timeout, send_before: repeat_until });
        if hedges || timeout > left {
            self.wake(id, if hedges { hedge_in } else { left }, out);
        }
        true
    }

    /// Every final answer of our own: refused where that is surely harmless, else failed.
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.open.get(&id).filter(|r| !r.settled && !r.streaming) else { return };
        if r.effect == Idempotency::Idempotent || r.tries.iter().all(|t| !t.out && !t.may_have_run) {
            let retry_after = self.retry_after(r.class.checked_sub(1));
            out.push(Action::Reject { request: id, retry_after });
        } else {
            out.push(Action::Fail(id));
        }
        self.end(id, false, out);
    }

    /// The process is about to end. Guards against: requests that came before word of it and wait for longer
    /// than it lasts, which their clients would never hear of again.
    pub(super) fn finish_all(&mut self, out: &mut Vec<Action>) {
        let mut left: Vec<RequestId> = self.open.keys().copied().collect();
        left.sort_unstable();
        left.into_iter().for_each(|id| self.finish(id, out));
    }

    /// The request has ended: what is still out is called off, who waited for it goes on.
    pub(super) fn end(&mut self, id: RequestId, served: bool, out: &mut Vec<Action>) {
        let (now, tau) = (self.now, self.tau());
        let Some(r) = self.open.get_mut(&id).filter(|r| !r.settled) else { return };
        r.settled = true;
        if !r.streaming {
            let ends = if served { &mut self.served } else { &mut self.unserved };
            ends.add(now, tau);
        }
        self.gates.iter_mut().for_each(|gate| gate.leave(&r.ticket));
        let key = r.key;
        // Guards against: an origin that works for nobody. It goes on with what it has begun: a fetch called
        // off saves it nothing, stores nothing and is asked for again; let run, it serves who waits or comes.
        let fetching = self.fetching(id);
        self.cancel(id, fetching, out);
        let leads = self.open.get_mut(&id).filter(|_| fetching.is_none());
        if leads.is_some_and(|r| std::mem::take(&mut r.leads)) {
            self.land(key, None, out);
        }
        if self.open.get(&id).is_some_and(|r| r.outstanding() == 0) {
            self.open.remove(&id);
        }
    }

    pub(super) fn cancel(&self, id: RequestId, keep: Option<usize>, out: &mut Vec<Action>) {
        let tries = self.open[&id].tries.iter().enumerate().filter(|_| self.settings.cancellation);
        let losers = tries.filter(|(n, t)| t.out && Some(*n) != keep);
        out.extend(losers.map(|(attempt, _)| Action::Cancel(AttemptId::new(id, attempt))));
    }

    /// The attempt by which a read fetches its key, once it is out.
    pub(super) fn fetching(&self, id: RequestId) -> Option<usize> {
        let at_origin = |t: &Try| self.servers.get(&t.server).is_some_and(|s| s.member.is_origin);
        let r = self.open.get(&id).filter(|r| r.leads)?;
        r.tries.iter().position(|t| t.out && at_origin(t))
    }
}
