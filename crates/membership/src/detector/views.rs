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
    pub(super) fn answer(&mut self, now: Micros, sender: Sender, body: Body, out: &mut Vec<Output>) {
        let Sender { id: from, address: at, digest } = sender;
        match body {
            Body::Ping { probe } => {
                let held = self.held_against(from);
                self.send(at, Body::Ack { probe }, held, out);
            }
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

    /// What this node holds against a member, which it should refute or know; and itself, for one that is not known.
    ///
    /// That it was failed is said again for a while after it has returned: datagrams get lost, and most of all at a
    /// process that was stopped and whose socket is full.
    pub(super) fn held_against(&mut self, id: MemberId) -> Vec<Update> {
        let (by, own) = (self.id, self.own_update());
        let Some(entry) = self.table.get_mut(id) else { return vec![own] };
        let profile = entry.member.profile.clone();
        let (incarnation, claim) = match (entry.member.state, &mut entry.untold_failure) {
            (State::Suspect, _) => (entry.member.incarnation, Claim::Suspect { by }),
            (State::Failed, _) => (entry.member.incarnation, Claim::Failed { by, profile }),
            (State::Alive, Some((incarnation, times))) if *times > 0 => {
                *times -= 1;
                (*incarnation, Claim::Failed { by, profile })
            }
            (State::Alive | State::Left, _) => return Vec::new(),
        };
        vec![Update { id, incarnation, claim }]
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
