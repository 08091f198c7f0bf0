//! Admission to the caches and to the origin: who is sent at once, who waits, who is given up.

use super::*;

/// Less time than this many times the usual is too little to send: what may be tried again harmlessly is
/// worth a try as long as about half of all answers come in time, what may not needs more.
const HOPEFUL: f64 = 0.7;
const IN_TIME: f64 = 1.75;

impl Balancer {
    /// A read that missed everywhere it was sent, or a write, goes to the origin.
    pub(super) fn fetch(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(origin) = self.origin else { return self.finish(id, out) };
        let r = self.open.get_mut(&id).expect("caller holds it");
        // Single-flight: reads of a key that is being fetched wait for that fetch.
        if !r.write && !r.leads {
            if let Some(waiting) = self.flights.get_mut(&r.key) {
                waiting.push(id);
                r.wait = Wait::Flight;
                return self.wake(id, Micros::MAX, out);
            }
            self.flights.insert(r.key, Vec::new());
            r.leads = true;
        }
        // Guards against: an origin overrun by hundreds of nodes, each with a fetch or two: writes fail.
        if !r.write && self.rng.f64() < self.gates[ORIGIN].strain - STRAINED {
            r.wait = Wait::Pause;
            self.wake(id, self.gates[ORIGIN].timing.mean as Micros, out);
        } else if self.gates[ORIGIN].full() {
            self.queue(ORIGIN, id, out);
        } else if !self.send(id, origin, out) {
            self.finish(id, out);
        }
    }

    /// Holds a request until there is a place: writes first, then by worth, reads that will be late last.
    pub(super) fn queue(&mut self, gate: usize, id: RequestId, out: &mut Vec<Action>) {
        let r = self.open.get_mut(&id).expect("caller holds it");
        r.wait = Wait::Place;
        let in_time = if self.now <= r.arrived.saturating_add(r.aim / 2) { 1.0 } else { 0.01 };
        r.ticket = self.gates[gate].push(r.worth * if r.write { 1e3 } else { in_time }, id);
        let after = self.hopeless_at(id).saturating_sub(self.now);
        self.wake(id, after, out);
        // Guards against: a queue that takes all connections which clients may hold. The least valuable, or
        // the one who has waited for longest, goes when more wait than half the places would serve in turn.
        if self.gates[gate].queue.len() as f64 > self.gates[gate].limit / 2.0 + 4.0 {
            let last = self.gates[gate].queue.pop_last();
            last.into_iter().for_each(|(_, _, id)| self.finish(id, out));
        }
    }

    /// From when a request in a queue is given up. Guards against: places, clients' connections among them,
    /// held by requests that would be refused at their deadline: what has not been sent in half of its time
    /// seldom is, the newest being first, and what lacks the time for an answer never is.
    pub(super) fn hopeless_at(&self, id: RequestId) -> Micros {
        let r = &self.open[&id];
        let half = r.arrived + r.deadline.saturating_sub(r.arrived) / 2;
        let last = r.deadline.saturating_sub(self.least(r, &self.timings[r.class]));
        if r.tries.is_empty() { half.min(last) } else { last }
    }

    /// Less time than this is too little to send.
    pub(super) fn least(&self, r: &Open, timing: &Timing) -> Micros {
        // Guards against: reads refused untried because their clients have grown impatient.
        let least = timing.base * if r.repeatable() { HOPEFUL } else { IN_TIME };
        self.settings.timer_granularity.max(least as Micros)
    }

    /// Gives free places to those who wait for them.
    pub(super) fn admit_queued(&mut self, gate: usize, out: &mut Vec<Action>) {
        while !self.gates[gate].full() {
            let Some((_, _, id)) = self.gates[gate].queue.pop_first() else { return };
            match self.origin.filter(|_| gate == ORIGIN) {
                Some(origin) if self.send(id, origin, out) => {}
                None if gate == CACHES => self.ask_cache(id, out),
                _ => self.finish(id, out),
            }
        }
    }

    /// A fetch ended: those who waited for it read what it stored, or one of them fetches anew for the
    /// others.
    ///
    /// Guards against: a thousand who wait and leave at once, each of whose ends would move all the others.
    pub(super) fn land(&mut self, key: u64, stored: Option<ServerId>, out: &mut Vec<Action>) {
        let mut waiting = self.flights.remove(&key).unwrap_or_default().into_iter();
        while let Some(id) = waiting.next() {
            if let Some(r) = self.open.get_mut(&id).filter(|r| r.wait == Wait::Flight) {
                r.stored = stored;
                self.advance(id, out);
            }
            if let Some(flight) = self.flights.get_mut(&key).filter(|_| stored.is_none()) {
                return flight.extend(waiting); // they wait as before, now for this one
            }
        }
    }

    /// Closes connections that have idled for long enough: they are few at a cache whose connects fail.
    ///
    /// Guards against: full connection tables, where hundreds of nodes each keep idle connections to all
    /// caches, and handshakes for nearly every request, where each closes its own for fear of that.
    pub(super) fn thin_out(&mut self, out: &mut Vec<Action>) {
        if self.now < self.thin_at {
            return;
        }
        let (now, keepalive) = (self.now, self.settings.idle_timeout);
        for s in self.servers.values_mut().filter(|s| now >= s.idle_until(keepalive)) {
            s.idle_since = None;
            out.push(Action::CloseIdleConnections(s.member.id));
        }
        self.thin_at = Micros::MAX;
        let next = self.servers.values().map(|s| s.idle_until(keepalive)).min();
        next.into_iter().for_each(|next| self.thin_by(next, out));
    }

    /// Has idle connections looked at by then.
    pub(super) fn thin_by(&mut self, at: Micros, out: &mut Vec<Action>) {
        if at < self.thin_at {
            self.thin_at = at;
            out.push(Action::SetTimer { after: (at - self.now).max(1), token: IDLE_TIMER });
        }
    }

    /// Adapts how many attempts we keep out: fewer when much goes badly, more while all goes well, and
    /// quickly so up to half the usual: after a restart or a jam a node is not held back.
    pub(super) fn adapt(gate: &mut Gate, least: f64, now: Micros, bad: bool, tau: f64) {
        gate.note(bad, STRAINED / 3.0, now, tau);
        if !bad && gate.out as f64 + 1.0 > gate.limit / 2.0 {
            gate.limit += if gate.limit < gate.usual / 2.0 { 0.5 } else { 1.0 / gate.limit };
        } else if bad && gate.strain > STRAINED && now >= gate.cut_at {
            gate.limit = (gate.limit.min(gate.out as f64 + 1.0) * 0.7).max(least);
            gate.cut_at = now + gate.timing.mean as Micros;
        }
    }
}
