//! Probes: which member is probed when, and how an answer or a timeout is handled.

use super::{Detector, Event, Output};
use crate::Micros;
use crate::member::{MemberId, Reachability, State};
use crate::message::Body;
use crate::probe::{Probe, Purpose, Step};
use crate::table::{MemberEntry, ReachabilityReport};

/// After this many consecutive probes without a direct answer, a member that is known to be alive counts as reachable
/// only through other members.
const UNREACHABLE_AFTER_PROBES: u32 = 2;

impl Detector {
    /// Starts the probe of this protocol period, and at random intervals one of a failed member, which may be back.
    pub(super) fn start_due_probes(&mut self, now: Micros) {
        if now >= self.schedule.probe {
            self.schedule.probe = now + self.settings.probe_interval;
            if let Some(id) = self.next_in_probe_order() {
                self.start_probe(id, Purpose::Periodic, now);
            }
        }
        if now >= self.schedule.recovery_probe {
            let interval = self.settings.recovery_probe_interval;
            self.schedule.recovery_probe = now + interval / 2 + self.rng.u64(0..=interval);
            let is_failed = |entry: &MemberEntry| entry.member.state == State::Failed;
            let failed: Vec<MemberId> =
                self.table.iter().filter(|(_, entry)| is_failed(entry)).map(|(id, _)| *id).collect();
            if !failed.is_empty() {
                let id = failed[self.rng.usize(..failed.len())];
                self.start_probe(id, Purpose::Recovery, now);
            }
        }
    }

    /// The next live member to probe. The members are probed in rounds, each in a new random order.
    fn next_in_probe_order(&mut self) -> Option<MemberId> {
        for _ in 0..2 {
            while let Some(id) = self.probe_order.pop_front() {
                if self.member(id).is_some_and(|member| member.is_live()) {
                    return Some(id);
                }
            }
            let mut members: Vec<MemberId> = self.table.live().collect();
            self.rng.shuffle(&mut members);
            self.probe_order = members.into();
        }
        None
    }

    pub(super) fn start_probe(&mut self, target: MemberId, purpose: Purpose, now: Micros) {
        let number = self.take_probe_number();
        self.probes.insert(number, Probe::new(target, purpose, now, &self.settings));
    }

    /// A number for the next probe or relayed ping. The two share one sequence, which leaves out 0.
    pub(super) fn take_probe_number(&mut self) -> u32 {
        let number = self.next_probe_number;
        self.next_probe_number = number.wrapping_add(1).max(1);
        number
    }

    /// Sends the pings that are due, and ends the probes that have timed out.
    pub(super) fn step_probes(&mut self, now: Micros, out: &mut Vec<Output>) {
        let due = |(number, probe): (&u32, &Probe)| (probe.next_step <= now).then_some(*number);
        let due: Vec<u32> = self.probes.iter().filter_map(due).collect();
        let ping_timeout = self.settings.ping_timeout * self.local_health.timeout_multiplier();
        for number in due {
            let Some(probe) = self.probes.get_mut(&number) else { continue };
            let target = probe.target;
            match probe.step(now, ping_timeout) {
                Step::Ping { indirect } => {
                    self.ping(number, target, out);
                    if indirect {
                        self.request_indirect_probes(number, target, out);
                    }
                }
                Step::TimedOut => {
                    if let Some(probe) = self.probes.remove(&number) {
                        self.on_probe_timeout(probe, now, out);
                    }
                }
            }
        }
    }

    /// Pings a member. The ping carries the claims against the member, so that it can refute them at once.
    fn ping(&mut self, probe: u32, target: MemberId, out: &mut Vec<Output>) {
        let updates = self.updates_to_refute(target);
        self.send_to(target, Body::Ping { probe }, updates, out);
    }

    /// Handles the end of a probe whose target has not answered this node.
    fn on_probe_timeout(&mut self, probe: Probe, now: Micros, out: &mut Vec<Output>) {
        let id = probe.target;
        if probe.indirectly_acked {
            self.on_alive_without_direct_ack(id, probe.purpose, now, out);
            return;
        }
        // The silence of a member that has failed is expected, and shows nothing about this node's health.
        if probe.purpose == Purpose::Recovery {
            return;
        }
        self.local_health.on_unanswered_probe(probe.started);
        match probe.purpose {
            Purpose::Confirming => self.declare_failed(id, now, out),
            Purpose::Periodic => self.suspect(id, now, out),
            Purpose::Recovery => {}
        }
    }

    /// Handles a probe whose target has not answered this node, but is known to be alive, because it has answered other
    /// members or has sent messages to this node.
    pub(super) fn on_alive_without_direct_ack(
        &mut self,
        id: MemberId,
        purpose: Purpose,
        now: Micros,
        out: &mut Vec<Output>,
    ) {
        self.clear_suspicion(id, now, out);
        let Some(entry) = self.table.get_mut(id) else { return };
        entry.indirect_only_probes += 1;
        if entry.indirect_only_probes >= UNREACHABLE_AFTER_PROBES {
            self.set_reachability(id, Reachability::IndirectOnly, now, out);
        } else if purpose == Purpose::Periodic {
            self.probe_order.push_front(id); // probe it again next: one missing answer may be packet loss
        }
    }

    /// Handles an answer to a ping. It counts only if it comes from the target of the probe with this number.
    pub(super) fn on_ack(&mut self, number: u32, from: MemberId, now: Micros, out: &mut Vec<Output>) {
        if self.probes.get(&number).is_none_or(|probe| probe.target != from) {
            return;
        }
        self.probes.remove(&number);
        self.local_health.on_direct_ack(now);
        self.clear_suspicion(from, now, out);
        if let Some(entry) = self.table.get_mut(from) {
            entry.indirect_only_probes = 0;
            entry.failure_notice = entry.failure_notice.filter(|notice| !notice.is_delivered_by(number));
        }
        self.set_reachability(from, Reachability::Direct, now, out);
    }

    /// Records a member's reachability. A member's changes are reported at most once per
    /// [`Settings::reachability_interval`](crate::Settings::reachability_interval).
    fn set_reachability(
        &mut self,
        id: MemberId,
        reachability: Reachability,
        now: Micros,
        out: &mut Vec<Output>,
    ) {
        let interval = self.settings.reachability_interval;
        let Some(entry) = self.table.get_mut(id) else { return };
        entry.member.reachability = reachability;
        // Until the first report, a member counts as directly reachable.
        let report = match entry.last_reachability_report {
            None => reachability == Reachability::IndirectOnly,
            Some(last) => last.reachability != reachability && now >= last.at + interval,
        };
        if report {
            entry.last_reachability_report = Some(ReachabilityReport { reachability, at: now });
            let name = entry.member.profile.name.clone();
            out.push(Output::Event(Event::ReachabilityChanged { name, reachability }));
        }
    }
}
