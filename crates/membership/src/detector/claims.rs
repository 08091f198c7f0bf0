//! What is said of members, and what follows from it.
//!
//! A claim of an older incarnation never wins. A member's own word (alive, left) is taken from anybody who passes it
//! on; that it failed is nobody's word but one's own: claims of others begin or confirm a suspicion, no more.

use super::{Detector, Event, Output};
use crate::Micros;
use crate::member::{Member, MemberId, Profile, Reach, State};
use crate::message::{Claim, Message, Update};
use crate::suspicion::Suspicion;

/// Who says that a member did not answer.
pub(super) struct Blame {
    pub by: MemberId,
    /// Whether it was declared failed, or is suspected.
    pub failed: bool,
    /// Whether it is to be passed on.
    pub fresh: bool,
}

impl Detector {
    /// What a message's head says of its sender: that it lives, under this incarnation.
    pub(super) fn hear_sender(&mut self, message: &Message, now: Micros, out: &mut Vec<Output>) {
        let Some(entry) = self.table.get(message.from) else { return };
        let member = &entry.member;
        if member.profile.instance != message.instance || message.incarnation <= member.incarnation {
            return;
        }
        let claim = match member.state {
            State::Left => return, // what it sent before it left, or its own word that comes beside this
            _ => Claim::Alive(member.profile.clone()),
        };
        let update = Update { id: message.from, incarnation: message.incarnation, claim };
        self.hear_claim(update, true, now, out);
    }

    /// A claim. `fresh` ones are passed on; those that come from comparing views are not.
    pub(super) fn hear_claim(&mut self, update: Update, fresh: bool, now: Micros, out: &mut Vec<Output>) {
        if update.incarnation > self.latest_believed(now) {
            self.counters.far_future += 1;
            return;
        }
        if update.id == self.id {
            return self.hear_of_myself(update, now, out);
        }
        let Some(entry) = self.table.get(update.id) else {
            return self.hear_of_new(update, fresh, now, out);
        };
        let known = entry.member.incarnation;
        if update.incarnation < known {
            self.counters.stale += 1;
            return;
        }
        let newer = update.incarnation > known;
        match &update.claim {
            Claim::Alive(profile) if newer => {
                let profile = profile.clone();
                self.hear_alive(update.id, profile, update.incarnation, now, out);
            }
            Claim::Alive(_) => return,
            Claim::Left(profile) => {
                if entry.member.state == State::Left && !newer {
                    return;
                }
                let profile = profile.clone();
                self.hear_left(update.id, profile, update.incarnation, now, out);
            }
            Claim::Suspect { by } | Claim::Failed { by, .. } => {
                let blame = Blame { by: *by, failed: matches!(update.claim, Claim::Failed { .. }), fresh };
                if !self.hear_blame(update.id, update.incarnation, blame, now, out) {
                    return;
                }
            }
        }
        if fresh {
            self.gossip.push(update);
        }
    }

    /// Incarnations begin with the Unix time of a process's start in milliseconds.
    fn latest_believed(&self, now: Micros) -> u64 {
        let (unix_ms, at) = self.started;
        unix_ms + now.saturating_sub(at) / 1_000 + self.settings.incarnation_ahead_ms
    }

    fn hear_of_new(&mut self, update: Update, fresh: bool, now: Micros, out: &mut Vec<Output>) {
        let (profile, state) = match &update.claim {
            Claim::Alive(profile) => (profile.clone(), State::Alive),
            Claim::Failed { profile, .. } => (profile.clone(), State::Failed),
            Claim::Left(profile) => (profile.clone(), State::Left),
            Claim::Suspect { .. } => return, // comparing views will bring its profile
        };
        if self.table.len() >= self.settings.max_members {
            self.counters.members_full += 1;
            return;
        }
        let name = profile.name.clone();
        let reach = Reach::Unknown;
        let member = Member { profile, incarnation: update.incarnation, state, since: now, reach };
        self.table.set(update.id, member);
        if state == State::Alive {
            let at = self.rng.usize(..=self.order.len());
            self.order.insert(at, update.id);
            out.push(Output::Event(Event::Joined { name }));
            if fresh {
                self.gossip.push(update);
            }
        }
    }

    fn hear_alive(
        &mut self,
        id: MemberId,
        profile: Profile,
        incarnation: u64,
        now: Micros,
        out: &mut Vec<Output>,
    ) {
        let Some(entry) = self.table.get(id) else { return };
        let old = entry.member.clone();
        let name = profile.name.clone();
        let restarted = old.profile.instance != profile.instance;
        let reach = if restarted { Reach::Unknown } else { old.reach };
        let since = if old.state == State::Alive && !restarted { old.since } else { now };
        self.end_suspicion(id);
        self.table.set(id, Member { profile, incarnation, state: State::Alive, since, reach });
        if let Some(entry) = self.table.get_mut(id) {
            let returned = old.state == State::Failed && !restarted;
            entry.untold_failure = returned.then_some((old.incarnation, self.settings.transmissions));
        }
        let event = match old.state {
            _ if restarted && old.state != State::Left => Event::Restarted { name },
            State::Failed | State::Left => Event::Returned { name },
            State::Suspect => Event::Refuted { name },
            State::Alive => return,
        };
        if matches!(old.state, State::Failed | State::Left) {
            self.order.push_front(id);
        }
        out.push(Output::Event(event));
    }

    fn hear_left(
        &mut self,
        id: MemberId,
        profile: Profile,
        incarnation: u64,
        now: Micros,
        out: &mut Vec<Output>,
    ) {
        let Some(reach) = self.table.get(id).map(|entry| entry.member.reach) else { return };
        let name = profile.name.clone();
        self.end_suspicion(id);
        self.table.set(id, Member { profile, incarnation, state: State::Left, since: now, reach });
        out.push(Output::Event(Event::Left { name }));
    }

    /// Somebody says that a member did not answer. Whether that is news.
    pub(super) fn hear_blame(
        &mut self,
        id: MemberId,
        incarnation: u64,
        blame: Blame,
        now: Micros,
        out: &mut Vec<Output>,
    ) -> bool {
        let Blame { by, failed, fresh } = blame;
        let settings = &self.settings;
        let Some(entry) = self.table.get_mut(id) else { return false };
        if entry.member.state == State::Failed && incarnation > entry.member.incarnation && failed {
            // It lived for a while unseen from here, and is gone again.
            let member = Member { incarnation, ..entry.member.clone() };
            self.table.set(id, member);
            return fresh;
        }
        match entry.member.state {
            State::Failed | State::Left if incarnation == entry.member.incarnation => false,
            State::Suspect if incarnation == entry.member.incarnation => {
                entry.suspicion.as_mut().is_some_and(|suspicion| suspicion.confirm(by, settings))
            }
            _ => {
                // A suspicion of a later incarnation says that the member was alive under it.
                let name = entry.member.profile.name.clone();
                entry.suspicion = Some(Suspicion::new(now, by));
                let member =
                    Member { incarnation, state: State::Suspect, since: now, ..entry.member.clone() };
                self.table.set(id, member);
                self.suspects.insert(id);
                out.push(Output::Event(Event::Suspected { name, by }));
                fresh
            }
        }
    }

    /// No longer suspected, whatever it is now.
    pub(super) fn end_suspicion(&mut self, id: MemberId) {
        if self.suspects.remove(&id)
            && let Some(entry) = self.table.get_mut(id)
        {
            entry.suspicion = None;
        }
    }

    /// A claim about this node. Whatever contradicts it is refuted by a higher incarnation.
    fn hear_of_myself(&mut self, update: Update, now: Micros, out: &mut Vec<Output>) {
        if self.leaving || self.superseded {
            return;
        }
        if let Claim::Failed { by, .. } = update.claim
            && update.incarnation >= self.reported_failed
        {
            self.reported_failed = update.incarnation + 1;
            out.push(Output::Event(Event::DeclaredFailed { by }));
        }
        if update.incarnation < self.me.incarnation {
            return;
        }
        let other = |profile: &Profile| profile.instance != self.me.profile.instance;
        match &update.claim {
            Claim::Alive(profile) if !other(profile) => return,
            Claim::Alive(profile) if update.incarnation == self.me.incarnation => {
                // Both started in one millisecond: one of them goes on.
                if profile.instance < self.me.profile.instance {
                    return;
                }
                return self.yield_name(profile.clone(), out);
            }
            Claim::Alive(profile) => {
                let settled = now.saturating_sub(self.started.1) > self.settings.settle;
                if settled {
                    return self.yield_name(profile.clone(), out);
                }
                // News of the process before this one, whose clock was ahead.
            }
            Claim::Failed { .. } | Claim::Suspect { .. } | Claim::Left(_) => {}
        }
        self.me.incarnation = update.incarnation + 1;
        let refutation = self.own_update();
        self.gossip.push(refutation);
    }

    /// A later process runs under this node's name: it speaks for the name, and this one falls silent.
    fn yield_name(&mut self, other: Profile, out: &mut Vec<Output>) {
        self.superseded = true;
        self.probes.clear();
        out.push(Output::Event(Event::NameConflict { address: other.address }));
    }
}
