//! Probes: whom, when, and what their ends mean.

use std::net::SocketAddr;

use super::claims::Blame;
use super::{Detector, Event, Output, WORST_HEALTH};
use crate::Micros;
use crate::member::{Member, MemberId, Reach, State};
use crate::message::{Body, Claim, Update};
use crate::probe::{Probe, Purpose, Step};

/// Pings for others that are remembered; the oldest are dropped.
const RELAYED: usize = 64;
/// Probes in a row that others alone answer, before a member counts as unreachable from here.
const DIRECT_MISSES: u32 = 2;

impl Detector {
    /// Begins what is due: the next member's turn, and a look at a failed one.
    pub(super) fn begin_probes(&mut self, now: Micros) {
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_interval;
            if let Some(id) = self.next_in_turn() {
                self.begin_probe(id, Purpose::Routine, now);
            }
        }
        if now >= self.next_return_probe {
            let interval = self.settings.failed_probe_interval;
            self.next_return_probe = now + interval / 2 + self.rng.u64(0..=interval);
            let failed = |entry: &crate::table::Entry| entry.member.state == State::Failed;
            let failed: Vec<MemberId> =
                self.table.iter().filter(|(_, entry)| failed(entry)).map(|(id, _)| *id).collect();
            if !failed.is_empty() {
                let id = failed[self.rng.usize(..failed.len())];
                self.begin_probe(id, Purpose::Return, now);
            }
        }
    }

    /// The next living member; all have their turn before one has its second.
    fn next_in_turn(&mut self) -> Option<MemberId> {
        for _ in 0..2 {
            while let Some(id) = self.order.pop_front() {
                let state = self.table.get(id).map(|entry| entry.member.state);
                if matches!(state, Some(State::Alive | State::Suspect)) {
                    return Some(id);
                }
            }
            let mut members: Vec<MemberId> = self.table.living().collect();
            self.rng.shuffle(&mut members);
            self.order = members.into();
        }
        None
    }

    fn begin_probe(&mut self, target: MemberId, purpose: Purpose, now: Micros) {
        let number = self.next_probe_number;
        self.next_probe_number = self.next_probe_number.wrapping_add(1).max(1);
        self.probes.insert(number, Probe::new(target, purpose, now, &self.settings));
    }

    /// Begins the last probe of members whose suspicion is over.
    pub(super) fn end_suspicions(&mut self, now: Micros) {
        let running = self.probes.values().filter(|probe| probe.purpose == Purpose::Last).count();
        let room = self.settings.last_probes.saturating_sub(running);
        if room == 0 || self.suspects.is_empty() {
            return;
        }
        let size = self.size();
        let over = |id: &&MemberId| {
            let suspicion = self.table.get(**id).and_then(|entry| entry.suspicion.as_ref());
            suspicion.is_some_and(|s| !s.checked && s.ends(size, &self.settings) <= now)
        };
        let due: Vec<MemberId> = self.suspects.iter().filter(over).take(room).copied().collect();
        for id in due {
            if let Some(suspicion) = self.table.get_mut(id).and_then(|entry| entry.suspicion.as_mut()) {
                suspicion.checked = true;
            }
            self.begin_probe(id, Purpose::Last, now);
        }
    }

    /// Sends the pings that are due, and ends probes.
    pub(super) fn step_probes(&mut self, now: Micros, out: &mut Vec<Output>) {
        let due = |(number, probe): (&u32, &Probe)| (probe.next_at <= now).then_some(*number);
        let due: Vec<u32> = self.probes.iter().filter_map(due).collect();
        let timeout = self.settings.ping_timeout * u64::from(1 + self.health);
        for number in due {
            let Some(probe) = self.probes.get_mut(&number) else { continue };
            let target = probe.target;
            match probe.step(now, timeout) {
                Step::Ping { ask_others } => {
                    self.ping(number, target, out);
                    if ask_others {
                        self.ask_others(number, target, out);
                    }
                }
                Step::Over => {
                    if let Some(probe) = self.probes.remove(&number) {
                        self.not_answered(probe, now, out);
                    }
                }
            }
        }
    }

    /// A ping says what is held against its target, so that it can refute that at once.
    fn ping(&mut self, probe: u32, target: MemberId, out: &mut Vec<Output>) {
        let updates = self.held_against(target);
        self.send_to(target, Body::Ping { probe }, updates, out);
    }

    fn ask_others(&mut self, probe: u32, target: MemberId, out: &mut Vec<Output>) {
        let Some(address) = self.member(target).map(|member| member.profile.address) else { return };
        let alive =
            |id: &MemberId| *id != target && self.member(*id).is_some_and(|m| m.state == State::Alive);
        let mut others: Vec<MemberId> = self.table.living().filter(alive).collect();
        for _ in 0..self.settings.helpers.min(others.len()) {
            let helper = others.swap_remove(self.rng.usize(..others.len()));
            self.send_to(helper, Body::PingRequest { probe, target, address }, Vec::new(), out);
        }
    }

    /// A target has not answered this node.
    fn not_answered(&mut self, probe: Probe, now: Micros, out: &mut Vec<Output>) {
        let id = probe.target;
        if probe.through_others {
            self.answered_others_only(id, probe.purpose, now, out);
            return;
        }
        if probe.purpose == Purpose::Return {
            return;
        }
        // Nothing at all came meanwhile: the fault may be here (Lifeguard).
        if self.last_heard < probe.began {
            self.health = (self.health + 1).min(WORST_HEALTH);
        }
        match probe.purpose {
            Purpose::Last => self.declare_failed(id, now, out),
            Purpose::Routine => self.suspect(id, now, out),
            Purpose::Return => {}
        }
    }

    fn suspect(&mut self, id: MemberId, now: Micros, out: &mut Vec<Output>) {
        let Some(incarnation) = self.member(id).map(|member| member.incarnation) else { return };
        let by = self.id;
        if self.hear_blame(id, incarnation, Blame { by, failed: false, fresh: true }, now, out) {
            self.gossip.push(Update { id, incarnation, claim: Claim::Suspect { by } });
        }
    }

    fn declare_failed(&mut self, id: MemberId, now: Micros, out: &mut Vec<Output>) {
        let paused = self.unheard_since_pause;
        let Some(entry) = self.table.get_mut(id) else { return };
        if entry.member.state != State::Suspect {
            return;
        }
        let Some(suspicion) = entry.suspicion.as_mut() else { return };
        if paused {
            (suspicion.since, suspicion.checked) = (now, false);
            return;
        }
        // It was heard, or others were and none of them answers: this node's own messages get lost.
        let heard = entry.last_heard.is_some_and(|at| at > suspicion.since);
        let unheard = self.last_heard > suspicion.since && self.last_answer < suspicion.since;
        if heard {
            return self.answered_others_only(id, Purpose::Last, now, out);
        }
        if unheard {
            (suspicion.since, suspicion.checked) = (now, false);
            return;
        }
        let suspected_by = suspicion.by.clone();
        let member = Member { state: State::Failed, since: now, ..entry.member.clone() };
        let (incarnation, profile) = (member.incarnation, member.profile.clone());
        let name = profile.name.clone();
        self.end_suspicion(id);
        self.table.set(id, member);
        out.push(Output::Event(Event::Failed { name, suspected_by }));
        self.gossip.push(Update { id, incarnation, claim: Claim::Failed { by: self.id, profile } });
    }

    /// A target has answered others, and not this node.
    fn answered_others_only(&mut self, id: MemberId, purpose: Purpose, now: Micros, out: &mut Vec<Output>) {
        self.clear_suspicion(id, now, out);
        let Some(entry) = self.table.get_mut(id) else { return };
        entry.direct_misses += 1;
        if entry.direct_misses >= DIRECT_MISSES {
            self.set_reach(id, Reach::OthersOnly, now, out);
        } else if purpose == Purpose::Routine {
            self.order.push_front(id); // looked at again at once: a single miss may be loss
        }
    }

    /// A ping was answered, by its target itself.
    pub(super) fn acked(&mut self, number: u32, from: MemberId, now: Micros, out: &mut Vec<Output>) {
        if self.probes.get(&number).is_none_or(|probe| probe.target != from) {
            return;
        }
        self.probes.remove(&number);
        self.unheard_since_pause = false;
        self.last_answer = now;
        self.health = self.health.saturating_sub(1);
        self.clear_suspicion(from, now, out);
        if let Some(entry) = self.table.get_mut(from) {
            entry.direct_misses = 0;
        }
        self.set_reach(from, Reach::Direct, now, out);
    }

    /// A target has answered somebody who was asked to ping it.
    pub(super) fn acked_through_others(&mut self, number: u32, now: Micros) {
        if let Some(probe) = self.probes.get_mut(&number) {
            probe.through_others = true;
            self.unheard_since_pause = false;
            self.last_answer = now;
        }
    }

    /// It has answered: not suspected any more, whether or not its refutation has come.
    fn clear_suspicion(&mut self, id: MemberId, now: Micros, out: &mut Vec<Output>) {
        let Some(member) = self.member(id).filter(|member| member.state == State::Suspect) else { return };
        let member = Member { state: State::Alive, since: now, ..member.clone() };
        let name = member.profile.name.clone();
        self.end_suspicion(id);
        self.table.set(id, member);
        out.push(Output::Event(Event::Refuted { name }));
    }

    /// Reports a change at most once in a while, and then what it is by then.
    fn set_reach(&mut self, id: MemberId, reach: Reach, now: Micros, out: &mut Vec<Output>) {
        let interval = self.settings.reach_interval;
        let Some(entry) = self.table.get_mut(id) else { return };
        entry.member.reach = reach;
        let report = match entry.reach_reported {
            None => reach == Reach::OthersOnly,
            Some((reported, at)) => reported != reach && now >= at + interval,
        };
        if report {
            entry.reach_reported = Some((reach, now));
            let name = entry.member.profile.name.clone();
            out.push(Output::Event(Event::ReachChanged { name, reach }));
        }
    }

    /// Pings a member for another one.
    pub(super) fn ping_for(
        &mut self,
        probe: u32,
        target: MemberId,
        address: SocketAddr,
        asker: SocketAddr,
        out: &mut Vec<Output>,
    ) {
        let number = self.next_probe_number;
        self.next_probe_number = self.next_probe_number.wrapping_add(1).max(1);
        if self.relayed.len() >= RELAYED {
            self.relayed.pop_front();
        }
        self.relayed.push_back((number, probe, asker));
        let address = self.member(target).map_or(address, |member| member.profile.address);
        self.send(address, Body::Ping { probe: number }, Vec::new(), out);
    }

    /// Passes an answer on to who asked for it.
    pub(super) fn pass_on(&mut self, number: u32, out: &mut Vec<Output>) {
        let Some(place) = self.relayed.iter().position(|(ours, ..)| *ours == number) else { return };
        let Some((_, probe, asker)) = self.relayed.remove(place) else { return };
        self.send(asker, Body::IndirectAck { probe }, Vec::new(), out);
    }
}
