//! Answers to messages, and the comparison of views that differ.

use std::net::SocketAddr;

use super::{Detector, Event, Output, UPDATE_BYTES, size_of};
use crate::Micros;
use crate::member::{Member, MemberId, State};
use crate::message::{Body, Claim, Update};
use crate::table::{PARTS, part};

/// Messages with records that one comparison is answered with at most.
const RECORD_MESSAGES: usize = 3;

/// Who has sent a message.
pub(super) struct Sender {
    pub id: MemberId,
    pub address: SocketAddr,
    /// Of its view.
    pub digest: u32,
}

impl Detector {
    /// Answers a message whose updates were taken in. What was held against its sender goes with the answer.
    pub(super) fn answer(
        &mut self,
        now: Micros,
        sender: Sender,
        held: Vec<Update>,
        body: Body,
        out: &mut Vec<Output>,
    ) {
        let Sender { id: from, address: at, digest } = sender;
        // It has just returned by its own word: it is told once what was held against it.
        let was_failed = held.iter().any(|update| matches!(update.claim, Claim::Failed { .. }));
        let returned = was_failed && self.member(from).is_some_and(|member| member.state != State::Failed);
        if returned && !matches!(body, Body::Ping { .. }) {
            self.send(at, Body::Gossip, held.clone(), out);
        }
        match body {
            Body::Ping { probe } => self.send(at, Body::Ack { probe }, held, out),
            Body::Ack { probe } => {
                self.acked(probe, from, now, out);
                self.pass_on(probe, out);
            }
            Body::PingRequest { probe, target, address } => self.ping_for(probe, target, address, at, out),
            Body::IndirectAck { probe } => self.acked_through_others(probe, now),
            Body::Gossip | Body::Records => {}
            Body::Join => {
                let updates = vec![self.own_update()];
                self.send(at, Body::Gossip, updates, out);
            }
            Body::Compare { parts, turn } => self.compare(at, &parts, turn, out),
        }
        if digest != self.digest() && now >= self.next_sync {
            self.next_sync = now + self.settings.sync_interval;
            let parts = self.table.parts_with(self.id, &self.me);
            self.send(at, Body::Compare { parts, turn: true }, Vec::new(), out);
        }
    }

    /// What this node holds against a sender, which it should refute; and itself, for a sender that is not known.
    pub(super) fn held_against(&self, id: MemberId) -> Vec<Update> {
        let Some(member) = self.member(id) else { return vec![self.own_update()] };
        let by = self.id;
        let claim = match member.state {
            State::Suspect => Claim::Suspect { by },
            State::Failed => Claim::Failed { by, profile: member.profile.clone() },
            State::Alive | State::Left => return Vec::new(),
        };
        vec![Update { id, incarnation: member.incarnation, claim }]
    }

    /// A hash of the whole view.
    pub(super) fn digest(&self) -> u32 {
        let parts = self.table.parts_with(self.id, &self.me);
        parts.iter().fold(0, |all: u32, part| all.rotate_left(1) ^ part)
    }

    /// Sends the records of parts that differ, in a random order, and asks for the other side's.
    fn compare(&mut self, at: SocketAddr, theirs: &[u32], turn: bool, out: &mut Vec<Output>) {
        let ours = self.table.parts_with(self.id, &self.me);
        if theirs.len() != PARTS {
            self.counters.malformed += 1;
            return;
        }
        let differs = |id: &MemberId| ours[part(*id)] != theirs[part(*id)];
        let records = self.table.iter().filter(|(id, _)| differs(id));
        let mut records: Vec<Update> =
            records.map(|(id, entry)| record(*id, &entry.member, self.id)).collect();
        if differs(&self.id) {
            records.push(self.own_update());
        }
        self.rng.shuffle(&mut records);
        for _ in 0..RECORD_MESSAGES {
            let page = page(&mut records);
            if page.is_empty() {
                break;
            }
            self.send(at, Body::Records, page, out);
        }
        if turn {
            self.send(at, Body::Compare { parts: ours, turn: false }, Vec::new(), out);
        }
    }

    /// Forgets members that failed or left long ago, and asks the seeds while nobody is known.
    pub(super) fn forget(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.next_cleaning = now + self.settings.probe_interval;
        if self.table.living().next().is_none() {
            for at in self.seeds.clone() {
                let updates = vec![self.own_update()];
                self.send(at, Body::Join, updates, out);
            }
        }
        let gone = |member: &Member| {
            matches!(member.state, State::Failed | State::Left)
                && now.saturating_sub(member.since) >= self.settings.forget_after
        };
        let gone: Vec<(MemberId, String)> = self
            .members()
            .filter(|(_, member)| gone(member))
            .map(|(id, member)| (id, member.profile.name.clone()))
            .collect();
        for (id, name) in gone {
            self.table.remove(id);
            out.push(Output::Event(Event::Forgotten { name }));
        }
    }
}

/// A member as this node knows it, for one that doesn't.
fn record(id: MemberId, member: &Member, by: MemberId) -> Update {
    let profile = member.profile.clone();
    let claim = match member.state {
        State::Alive | State::Suspect => Claim::Alive(profile),
        State::Failed => Claim::Failed { by, profile },
        State::Left => Claim::Left(profile),
    };
    Update { id, incarnation: member.incarnation, claim }
}

/// Takes as many records as one message holds.
fn page(records: &mut Vec<Update>) -> Vec<Update> {
    let mut bytes = 0;
    let fits = records.iter().take_while(|record| {
        bytes += size_of(record);
        bytes <= UPDATE_BYTES
    });
    let count = fits.count();
    records.drain(..count).collect()
}
