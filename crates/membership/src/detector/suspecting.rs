//! Suspicions: how they begin, are confirmed, expire and end.
//!
//! A member is declared failed only after it has not answered this node's own confirming probe. Claims of other members
//! begin or confirm a suspicion.

use super::{Detector, Event, Output};
use crate::Micros;
use crate::member::{Member, MemberId, State};
use crate::message::{Claim, Update};
use crate::probe::Purpose;
use crate::suspicion::Suspicion;

/// A claim that a member did not answer a probe.
pub(super) struct Accusation {
    pub(super) by: MemberId,
    /// Whether the claim is that the member failed; otherwise that it is suspected.
    pub(super) declared_failed: bool,
    /// Whether to gossip the claim if it is new.
    pub(super) disseminate: bool,
}

impl Detector {
    /// Starts the confirming probes of members whose suspicion has expired, at most
    /// [`max_confirming_probes`](crate::Settings::max_confirming_probes) at once.
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
                !suspicion.confirming && suspicion.expires_at(cluster_size, &self.settings) <= now
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
        let accusation = Accusation { by, declared_failed: false, disseminate: true };
        if self.apply_accusation(id, incarnation, accusation, now, out) {
            self.gossip.push(Update { id, incarnation, claim: Claim::Suspect { by } });
        }
    }

    /// Applies an accusation of a known member; returns whether to gossip it.
    pub(super) fn apply_accusation(
        &mut self,
        id: MemberId,
        incarnation: u64,
        accusation: Accusation,
        now: Micros,
        out: &mut Vec<Output>,
    ) -> bool {
        let Accusation { by, declared_failed, disseminate } = accusation;
        let settings = &self.settings;
        let Some(entry) = self.table.get_mut(id) else { return false };
        let member = &entry.member;
        if member.state == State::Failed && incarnation > member.incarnation && declared_failed {
            // The member returned without this node learning of it, and has failed again.
            let member = Member { incarnation, ..member.clone() };
            self.table.set(id, member);
            return disseminate;
        }
        match member.state {
            State::Failed | State::Left if incarnation == member.incarnation => false,
            State::Suspect if incarnation == member.incarnation => {
                entry.suspicion.as_mut().is_some_and(|suspicion| suspicion.confirm(by, settings))
            }
            // The member is known as alive, or the accusation is about a later incarnation. The latter implies that the
            // member was alive in that incarnation.
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

    /// Declares a member failed that has not answered its confirming probe.
    ///
    /// The member is not declared failed if the missing answer may be this node's own fault, or if the member is known
    /// to be alive.
    pub(super) fn declare_failed(&mut self, id: MemberId, now: Micros, out: &mut Vec<Output>) {
        let Some(entry) = self.table.get_mut(id) else { return };
        if entry.member.state != State::Suspect {
            return;
        }
        let Some(suspicion) = entry.suspicion.as_mut() else { return };
        // This process was paused, and no ping of it was answered since.
        if self.local_health.is_unacked_since_pause() {
            suspicion.restart(now);
            return;
        }
        // The member has sent messages since the suspicion began, so it is alive and only does not answer this node.
        if entry.last_received.is_some_and(|at| at > suspicion.since) {
            return self.on_alive_without_direct_ack(id, Purpose::Confirming, now, out);
        }
        // This node receives messages, but no answers to its pings: the messages that it sends are lost.
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

    /// Ends the suspicion of a member that is known to be alive, whether or not its refutation has arrived.
    pub(super) fn clear_suspicion(&mut self, id: MemberId, now: Micros, out: &mut Vec<Output>) {
        let Some(member) = self.member(id).filter(|member| member.state == State::Suspect) else { return };
        let member = Member { state: State::Alive, since: now, ..member.clone() };
        let name = member.profile.name.clone();
        self.end_suspicion(id);
        self.table.set(id, member);
        out.push(Output::Event(Event::Refuted { name }));
    }

    /// Drops the suspicion of a member. The caller sets the member's new state.
    pub(super) fn end_suspicion(&mut self, id: MemberId) {
        if self.suspects.remove(&id)
            && let Some(entry) = self.table.get_mut(id)
        {
            entry.suspicion = None;
        }
    }
}
