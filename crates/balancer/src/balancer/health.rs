//! Health of caches, zones and kinds of machines, learned from our own traffic alone.

use super::*;

/// A cache that tells more of its cores in use than this is about to queue.
const FULL: f64 = 0.95;
/// So many nodes may keep their connections for the whole of the keep-alive time, though connects fail.
const IDLE_NODES: f64 = 8.0;
/// A connection idles for this part longer after each answer, up to the keep-alive time.
const LONGER: f64 = 1.125;

impl Balancer {
    /// How long a client whose request of this class is refused should wait, in microseconds: spread, so
    /// that those refused together do not return together. 0 where the settings allow no pause.
    pub fn retry_after(&mut self, class: Option<usize>) -> Micros {
        let timing = class.and_then(|class| self.timings.get(class + 1)).unwrap_or(&self.timings[0]);
        let pause = timing.late(4.0).min(self.settings.max_retry_after / 2);
        pause + self.rng.u64(0..=pause)
    }

    /// Learns from the end of an attempt; tells whose attempts it shows to be lost.
    pub(super) fn observe(&mut self, end: &AttemptEnd, to: ServerId) -> Vec<RequestId> {
        self.learn(end, to);
        self.write_off(to)
    }

    /// Takes off the books what is overdue at a server that has answered an attempt sent later at once: no
    /// queue holds it. It is overdue by the aim at the latest, however much times have spread, unless much
    /// goes badly: then all take long, and nothing is gained by asking again.
    ///
    /// Guards against: servers that swallow some requests and answer all others, whose lost ones fill the
    /// gate, shut it and brand every cache. Covers answers lost on the way and connections gone silent too.
    /// It hurts where a jammed server takes the newest first: what waits there then holds no place.
    pub(super) fn write_off(&mut self, to: ServerId) -> Vec<RequestId> {
        let Some(s) = self.servers.get(&to) else { return Vec::new() };
        let strained = self.gates[CACHES].strain > STRAINED;
        let lost = |&&(due, id, attempt): &&(Micros, RequestId, usize)| {
            let Some(r) = self.open.get(&id) else { return false };
            let sent = r.tries[attempt].sent;
            let spoilt = if strained { due } else { due.min(sent.saturating_add(r.aim)) };
            sent.saturating_add(r.aim / 4) < s.answered && self.now >= spoilt
        };
        let lost: Vec<_> = s.out.iter().filter(lost).copied().collect();
        let Some(s) = self.servers.get_mut(&to).filter(|_| !lost.is_empty()) else { return Vec::new() };
        for entry in &lost {
            s.out.remove(entry);
            s.lost.insert((entry.1, entry.2));
        }
        let gate = &mut self.gates[usize::from(s.member.is_origin)];
        gate.out = gate.out.saturating_sub(lost.len());
        lost.into_iter().map(|(_, id, _)| id).collect()
    }

    /// An answer has begun: how long it goes on depends on its length and its client. It holds no place any
    /// more, and its server is not overdue.
    pub(super) fn free_place(&mut self, id: RequestId, attempt: usize, to: ServerId) {
        let Some(s) = self.servers.get_mut(&to).filter(|_| self.open[&id].tries[attempt].out) else { return };
        if s.close(id, attempt).is_some() {
            s.lost.insert((id, attempt));
            let gate = &mut self.gates[usize::from(s.member.is_origin)];
            gate.out = gate.out.saturating_sub(1);
        }
    }

    fn learn(&mut self, end: &AttemptEnd, to: ServerId) {
        let (class, aim) = self.open.get(&end.attempt.request).map_or((0, 0), |r| (r.class, r.aim));
        let tau = self.tau();
        let Some(s) = self.servers.get_mut(&to) else { return };
        let overdue = s.close(end.attempt.request, end.attempt.number).is_some_and(|due| due <= self.now);
        let (outcome, elapsed) = (end.outcome, end.elapsed);
        let lost = s.lost.remove(&(end.attempt.request, end.attempt.number));
        let passed = s.answered > self.now.saturating_sub(elapsed) + aim / 4;
        if lost && matches!(outcome, Outcome::TimedOut | Outcome::Canceled) {
            return; // it told what it had to when it was written off
        }
        // Guards against: reads that wait while most caches idle. One attempt each overruns none of them,
        // unless hundreds of nodes have one there: the more nodes, the smaller each one's part.
        let part = (FEW_NODES / self.settings.node_count as f64).min(1.0);
        let least = if s.member.is_origin { 1.0 } else { (self.caches as f64 * part).max(1.0) };
        let gate = &mut self.gates[usize::from(s.member.is_origin)];
        gate.out = gate.out.saturating_sub(usize::from(!lost));
        let zone = self.zones.entry(s.member.zone).or_default();
        zone.failed = if outcome == Outcome::ConnectFailed { zone.failed + 1 } else { 0 };
        if matches!(outcome, Outcome::Success | Outcome::CacheMiss) {
            zone.answered_in(elapsed);
        }
        // A queue shows in the time before it spoils the aim; a miss, or a fetch, is but one leg of its read.
        // Guards against: a gate that shuts because its servers are far, not full, so that fetches wait,
        // caches stay empty and misses grow. Covers all that makes every answer of a zone slower than the
        // nearest zone's: the way there, a slow link, a zone of slow machines. It hurts where one zone
        // queues for so long that no quick answer of it is remembered: gates shut later then, at times over
        // the aim.
        let legs = if outcome == Outcome::CacheMiss { 3 } else { 1 + u64::from(s.member.is_origin) };
        let way = detour(&self.zones, s.member.zone);
        let in_time = aim.min(aim / legs + way);
        if matches!(outcome, Outcome::Success | Outcome::CacheMiss) && elapsed <= aim.min(aim / 3 + way) {
            s.answered = s.answered.max(self.now.saturating_sub(elapsed)); // at once: there is no queue
        }
        let crowded = end.utilization > Some(FULL) || elapsed > in_time;
        let bad = match outcome {
            Outcome::TimedOut if passed => Some(false), // lost, or it would have been answered first
            // Guards against: a crowd that waits for less than an answer takes, as a sign that there is room.
            Outcome::TimedOut | Outcome::Canceled => Some(true).filter(|_| crowded),
            Outcome::Success | Outcome::CacheMiss => Some(crowded),
            Outcome::ServerError | Outcome::Rejected | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                Some(true)
            }
            Outcome::NotSent => return,
        };
        if let Some(bad) = bad {
            Self::adapt(gate, least, self.now, bad, tau);
        }
        if outcome == Outcome::Success {
            gate.timing.observe(elapsed);
        }
        // A full table shows in connects that fail: then our idle connections leave room for others'.
        s.idle_part = match outcome {
            Outcome::ConnectFailed => {
                (s.idle_part / 2.0).max((IDLE_NODES / self.settings.node_count as f64).min(1.0))
            }
            Outcome::Success | Outcome::CacheMiss => (s.idle_part * LONGER).min(1.0),
            _ => s.idle_part,
        };
        if s.member.is_origin {
            return;
        }
        // One request of unusual cost does not brand a cache: a sample counts up to 6 times usual.
        let sample = (elapsed as f64 / self.timings[class].mean.max(1.0)).min(2.0 * SLOW);
        if outcome == Outcome::Success && end.cache_hit != Some(false) {
            self.kinds.entry(s.member.machine_type).or_insert_with(Pace::new).observe(sample);
        }
        match outcome {
            Outcome::Success | Outcome::CacheMiss | Outcome::ServerError | Outcome::Rejected => {
                s.heard = Some(self.now);
                s.silent = 0;
            }
            Outcome::ConnectFailed | Outcome::ConnectionReset | Outcome::TimedOut => s.silent += 1,
            // A cancelled attempt tells something only if it was overdue.
            Outcome::Canceled | Outcome::NotSent => s.silent += u32::from(overdue),
        }
        let slowness = match outcome {
            // A miss waits for the origin, which is not the cache's fault.
            Outcome::Success if end.cache_hit != Some(false) => sample,
            Outcome::Canceled | Outcome::TimedOut => sample.max(s.slowness),
            Outcome::Rejected => 2.0 * SLOW,
            _ => s.slowness,
        };
        s.slowness += (slowness - s.slowness) * if s.slowness > SLOW { 0.5 } else { 0.15 };
        if outcome == Outcome::Success {
            self.timings[class].observe(elapsed);
        }
    }

    /// Out of use until it is put back; attempts that are out there run on.
    pub(super) fn disable(&mut self, server: ServerId, out: &mut Vec<Action>) {
        self.returned.remove(&server);
        if !self.banned.insert(server) {
            return;
        }
        if let Some(s) = self.servers.get_mut(&server) {
            (s.banned, s.idle_since) = (true, None);
            out.push(Action::CloseIdleConnections(server));
        }
        self.take_stock();
    }

    /// Back in use, and cold: whoever took it out may have restarted it, and the list tells that late.
    pub(super) fn enable(&mut self, server: ServerId, since: Micros) {
        self.banned.remove(&server);
        self.returned.retain(|_, t| self.now.saturating_sub(*t) < self.settings.slow_start_duration);
        self.returned.insert(server, since.min(self.now));
        let cold_since = self.servers.get(&server).and_then(|s| self.cold_since(&s.member));
        if let Some(s) = self.servers.get_mut(&server) {
            s.banned = false;
            s.restart(cold_since, self.now, &self.sender, &self.settings);
        }
        self.take_stock();
    }

    /// Since when a server is cold: its start as the list tells it, or its return. Nothing once it is warm.
    pub(super) fn cold_since(&self, member: &Endpoint) -> Option<Micros> {
        let since = member.started_at.max(self.returned.get(&member.id).copied())?;
        (self.now.saturating_sub(since) < self.settings.slow_start_duration).then_some(since)
    }

    /// How many caches the list holds, and how many of them get nothing now, by hand or by choice.
    pub fn stock(&self) -> (usize, usize) {
        let caches = || self.servers.values().filter(|s| !s.member.is_origin);
        let listed = || caches().filter(|s| s.member.state != EndpointState::Removed);
        let avoided = |s: &&Server| s.banned || self.suspect(s) || self.cut_off(s);
        (listed().count(), listed().filter(avoided).count())
    }

    /// Silent, or holding an attempt of ours that is long overdue.
    pub(super) fn suspect(&self, s: &Server) -> bool {
        s.silent >= 2 || s.out.first().is_some_and(|o| o.0 <= self.now)
    }

    /// Guards against: candidates tried one by one in a zone that is cut off. Its caches are not dead:
    /// one read at a time finds out when it is back.
    pub(super) fn cut_off(&self, s: &Server) -> bool {
        let cut = self.zones.get(&s.member.zone).is_some_and(|z| z.failed >= CUT && self.now < z.retry_at);
        cut && self.zones.values().any(|z| z.failed == 0)
    }
}
