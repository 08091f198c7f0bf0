//! Handling of updates about other members.
//!
//! A claim about an older incarnation than the known one is dropped. What a member states about itself (alive, left) is
//! accepted from any member that forwards it. The claim that a member failed is accepted at once only if the member was
//! not known; for a known member it begins or confirms a suspicion, see [`suspecting`](super::suspecting).

use super::suspecting::Accusation;
use super::{Detector, Event, Output};
use crate::Micros;
use crate::member::{Member, MemberId, Profile, Reachability, State};
use crate::message::{Claim, Message, Update};
use crate::table::FailureNotice;

/// Microseconds in a millisecond.
const MILLISECOND: Micros = 1_000;

/// A claim that a member made about itself.
struct SelfClaim<'a> {
    id: MemberId,
    incarnation: u64,
    profile: &'a Profile,
}

impl Detector {
    /// Applies the claim that each message implies: its sender is alive, in the incarnation that the message states.
    pub(super) fn apply_sender_incarnation(&mut self, message: &Message, now: Micros, out: &mut Vec<Output>) {
        let Some(member) = self.member(message.from) else { return };
        if member.profile.instance != message.instance || message.incarnation <= member.incarnation {
            return;
        }
        // Either the message was sent before the leave, or the leave follows in its updates.
        if member.state == State::Left {
            return;
        }
        let claim = Claim::Alive(member.profile.clone());
        let update = Update { id: message.from, incarnation: message.incarnation, claim };
        self.apply_update(update, true, now, out);
    }

    /// Applies an update. It is queued for gossip if it is new and `disseminate` is set.
    pub(super) fn apply_update(
        &mut self,
        update: Update,
        disseminate: bool,
        now: Micros,
        out: &mut Vec<Output>,
    ) {
        if update.incarnation > self.latest_plausible_incarnation(now) {
            self.counters.far_future += 1;
            return;
        }
        if update.id == self.id {
            return self.apply_update_about_self(update, now, out);
        }
        let Some(known_incarnation) = self.member(update.id).map(|member| member.incarnation) else {
            return self.add_member(update, disseminate, now, out);
        };
        if update.incarnation < known_incarnation {
            self.counters.stale += 1;
            return;
        }
        let newer = update.incarnation > known_incarnation;
        if self.apply_claim(&update, newer, disseminate, now, out) && disseminate {
            self.gossip.push(update);
        }
    }

    /// Applies a claim about a known member; returns whether it was new. `newer` tells whether it is about a later
    /// incarnation than the known one.
    fn apply_claim(
        &mut self,
        update: &Update,
        newer: bool,
        disseminate: bool,
        now: Micros,
        out: &mut Vec<Output>,
    ) -> bool {
        let &Update { id, incarnation, ref claim } = update;
        match claim {
            Claim::Alive(_) if !newer => false,
            Claim::Alive(profile) => {
                self.apply_alive(SelfClaim { id, incarnation, profile }, now, out);
                true
            }
            Claim::Left(profile) => {
                let has_left = self.member(id).is_some_and(|member| member.state == State::Left);
                if has_left && !newer {
                    return false;
                }
                self.apply_left(SelfClaim { id, incarnation, profile }, now, out);
                true
            }
            Claim::Suspect { by } | Claim::Failed { by, .. } => {
                let declared_failed = matches!(claim, Claim::Failed { .. });
                let accusation = Accusation { by: *by, declared_failed, disseminate };
                self.apply_accusation(id, incarnation, accusation, now, out)
            }
        }
    }

    /// The highest incarnation that is accepted.
    ///
    /// An incarnation starts at the Unix time of its process's start, in milliseconds, so the highest one follows the
    /// clock of this node.
    fn latest_plausible_incarnation(&self, now: Micros) -> u64 {
        let uptime = now.saturating_sub(self.started.at);
        self.started.unix_ms + uptime / MILLISECOND + self.settings.max_incarnation_lead_ms
    }

    /// Adds a member that was not known.
    fn add_member(&mut self, update: Update, disseminate: bool, now: Micros, out: &mut Vec<Output>) {
        let (profile, state) = match &update.claim {
            Claim::Alive(profile) => (profile.clone(), State::Alive),
            Claim::Failed { profile, .. } => (profile.clone(), State::Failed),
            Claim::Left(profile) => (profile.clone(), State::Left),
            Claim::Suspect { .. } => return, // carries no profile; anti-entropy will deliver the member's record
        };
        if self.table.len() >= self.settings.max_members {
            self.counters.members_full += 1;
            return;
        }
        let name = profile.name.clone();
        let reachability = Reachability::Unknown;
        let member = Member { profile, incarnation: update.incarnation, state, since: now, reachability };
        self.table.set(update.id, member);
        if state == State::Alive {
            let index = self.rng.usize(..=self.probe_order.len());
            self.probe_order.insert(index, update.id);
            out.push(Output::Event(Event::Joined { name }));
            if disseminate {
                self.gossip.push(update);
            }
        }
    }

    /// Applies a member's claim that it is alive in a later incarnation than the known one.
    fn apply_alive(&mut self, claim: SelfClaim<'_>, now: Micros, out: &mut Vec<Output>) {
        let SelfClaim { id, incarnation, profile } = claim;
        let Some(old) = self.member(id).cloned() else { return };
        let name = profile.name.clone();
        let restarted = old.profile.instance != profile.instance;
        let reachability = if restarted { Reachability::Unknown } else { old.reachability };
        let since = if old.state == State::Alive && !restarted { old.since } else { now };
        self.end_suspicion(id);
        let profile = profile.clone();
        self.table.set(id, Member { profile, incarnation, state: State::Alive, since, reachability });
        let next_probe = self.next_probe_number;
        if let Some(entry) = self.table.get_mut(id) {
            if restarted {
                entry.failure_notice = None;
            } else if old.state == State::Failed {
                entry.failure_notice = Some(FailureNotice::new(old.incarnation, next_probe));
            }
        }
        let event = match old.state {
            _ if restarted && old.state != State::Left => Event::Restarted { name },
            State::Failed | State::Left => Event::Returned { name },
            State::Suspect => Event::Refuted { name },
            State::Alive => return,
        };
        if !old.is_live() {
            self.probe_order.push_front(id);
        }
        out.push(Output::Event(event));
    }

    /// Applies a member's claim that it has left.
    fn apply_left(&mut self, claim: SelfClaim<'_>, now: Micros, out: &mut Vec<Output>) {
        let SelfClaim { id, incarnation, profile } = claim;
        let Some(reachability) = self.member(id).map(|member| member.reachability) else { return };
        let name = profile.name.clone();
        self.end_suspicion(id);
        let profile = profile.clone();
        self.table.set(id, Member { profile, incarnation, state: State::Left, since: now, reachability });
        out.push(Output::Event(Event::Left { name }));
    }
}
