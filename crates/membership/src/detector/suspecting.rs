//! Suspicions: how they begin, are confirmed, expire and end. Only this node's own confirming probe declares a member
//! failed; claims of other members begin or confirm a suspicion.

use super::{Detector, Event, Output};
use crate::Micros;
use crate::member::{Member, MemberId, State};
use crate::message::{Claim, Update};
use crate::probe::Purpose;
use crate::suspicion::Suspicion;

/// A claim that a member did not answer.
pub(super) struct Accusation {
    pub(super) by: MemberId,
    /// Whether the member was declared failed, or is only suspected.
    pub(super) failed: bool,
    /// Whether the claim is to be disseminated if it is new.
    pub(super) disseminate: bool,
}

impl Detector {
    /// Starts the confirming probes of members whose suspicion has expired, within the limit of concurrent ones.
    pub(super) fn confirm_expired_suspicions(&mut self, now: Micros) {
        let running = self.probes.values().filter(|probe| probe.purpose == Purpose::Confirming).count();
        let free = self.settings.max_confirming_probes.saturating_sub(running);
        if free == 0 || self.suspects.is_empty() {
            return;
        }
        let cluster_size = self.cluster_size();
        let is_expired = |id: &&MemberId| {
            let suspicion = self.table.get(**id).and_then(|entry| entry.suspicion.as_ref());
            suspicion.is_some_and(|suspicion| {
                !suspicion.confirming && suspicion.expires(cluster_size, &self.settings) <= now
            })
        };
        let expired: Vec<MemberId> = self.suspects.iter().filter(is_expired).take(free).copied().collect();
        for id in expired {
            if let Some(suspicion) = self.table.get_mut(id).and_then(|entry| entry.suspicion.as_mut()) {
                suspicion.confirming = true;
            }
            self.start_probe(id, Purpose::Confirming, now);
        }
    }

    /// Suspects a member that has not answered a periodic probe.
    pub(super) fn suspect(&mut self, id: MemberId, now: Micros, out: &mut Vec<Output>) {
        let Some(incarnation) = self.member(id).map(|member| member.incarnation) else { return };
        let by = self.id;
        let accusation = Accusation { by, failed: false, disseminate: true };
        if self.apply_accusation(id, incarnation, accusation, now, out) {
            self.gossip.push(Update { id, incarnation, claim: Claim::Suspect { by } });
        }
    }

    /// Applies a claim that a member did not answer; returns whether it should be disseminated.
    pub(super) fn apply_accusation(
        &mut self,
        id: MemberId,
        incarnation: u64,
        accusation: Accusation,
        now: Micros,
        out: &mut Vec<Output>,
    ) -> bool {
        let Accusation { by, failed, disseminate } = accusation;
        let settings = &self.settings;
        let Some(entry) = self.table.get_mut(id) else { return false };
        let member = &entry.member;
        if member.state == State::Failed && incarnation > member.incarnation && failed {
            // It was back for a while without this node's knowledge, and has failed again.
            let member = Member { incarnation, ..member.clone() };
            self.table.set(id, member);
            return disseminate;
        }
        match member.state {
            State::Failed | State::Left if incarnation == member.incarnation => false,
            State::Suspect if incarnation == member.incarnation => {
                entry.suspicion.as_mut().is_some_and(|suspicion| suspicion.confirm(by, settings))
            }
            // A suspicion of a later incarnation implies that the member was alive in it.
            _ => {
                let name = member.profile.name.clone();
                let member = Member { incarnation, state: State::Suspect, since: now, ..member.clone() };
                entry.suspicion = Some(Suspicion::new(now, by));
                self.table.set(id, member);
                self.suspects.insert(id);
                out.push(Output::Event(Event::Suspected { name, by }));
                disseminate
            }
        }
    }

    /// Declares a member failed that has not answered its confirming probe, unless the evidence points at this node.
    pub(super) fn declare_failed(&mut self, id: MemberId, now: Micros, out: &mut Vec<Output>) {
        let Some(entry) = self.table.get_mut(id) else { return };
        if entry.member.state != State::Suspect {
            return;
        }
        let Some(suspicion) = entry.suspicion.as_mut() else { return };
        if self.local_health.is_unacked_since_pause() {
            suspicion.restart(now);
            return;
        }
        if entry.last_received.is_some_and(|at| at > suspicion.since) {
            return self.on_indirect_answer_only(id, Purpose::Confirming, now, out);
        }
        if self.local_health.is_unacked_since(suspicion.since) {
            suspicion.restart(now);
            return;
        }
        let suspected_by = suspicion.by.clone();
        let member = Member { state: State::Failed, since: now, ..entry.member.clone() };
        let (incarnation, profile) = (member.incarnation, member.profile.clone());
        self.end_suspicion(id);
        self.table.set(id, member);
        out.push(Output::Event(Event::Failed { name: profile.name.clone(), suspected_by }));
        self.gossip.push(Update { id, incarnation, claim: Claim::Failed { by: self.id, profile } });
    }

    /// Ends the suspicion of a member that has answered, whether or not its refutation has arrived.
    pub(super) fn clear_suspicion(&mut self, id: MemberId, now: Micros, out: &mut Vec<Output>) {
        let Some(member) = self.member(id).filter(|member| member.state == State::Suspect) else { return };
        let member = Member { state: State::Alive, since: now, ..member.clone() };
        let name = member.profile.name.clone();
        self.end_suspicion(id);
        self.table.set(id, member);
        out.push(Output::Event(Event::Refuted { name }));
    }

    /// Drops the suspicion of a member, whatever its state is from now on.
    pub(super) fn end_suspicion(&mut self, id: MemberId) {
        if self.suspects.remove(&id)
            && let Some(entry) = self.table.get_mut(id)
        {
            entry.suspicion = None;
        }
    }
}
