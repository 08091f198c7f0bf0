//! Sending of messages: gossip of queued updates, updates piggybacked on other messages, joins and leaves.

use std::net::SocketAddr;

use super::{Detector, Output};
use crate::Micros;
use crate::member::MemberId;
use crate::message::{Body, Claim, Message, Update};

/// The most queued updates that are piggybacked on a ping, its answer or a ping request.
const PIGGYBACKED_UPDATES: usize = 3;
/// The most bytes of updates in one message. The rest of a datagram is for the message's other fields.
pub(super) const MAX_UPDATE_BYTES: usize = 1_000;
/// The most bytes that an update takes besides the member's name.
const UPDATE_OVERHEAD: usize = 64;

impl Detector {
    /// Sends queued updates to random members.
    pub(super) fn send_gossip(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.schedule.gossip = now + self.settings.gossip_interval;
        if self.gossip.is_empty() {
            return;
        }
        let mut members: Vec<MemberId> = self.table.live().collect();
        for _ in 0..self.settings.gossip_fanout.min(members.len()) {
            let id = members.swap_remove(self.rng.usize(..members.len()));
            let updates = self.gossip.take(self.settings.updates_per_message, self.settings.transmissions);
            if updates.is_empty() {
                return;
            }
            self.send_to(id, Body::Gossip, updates, out);
        }
    }

    /// Sends a join to all seeds, if no other live member is known.
    pub(super) fn join_if_isolated(&mut self, out: &mut Vec<Output>) {
        if self.table.live().next().is_some() {
            return;
        }
        for address in self.seeds.clone() {
            let updates = vec![self.own_update()];
            self.send(address, Body::Join, updates, out);
        }
    }

    /// Announces that this node leaves to some random members, which gossip it further.
    pub(super) fn announce_leave(&mut self, out: &mut Vec<Output>) {
        let update = self.own_update();
        let mut members: Vec<MemberId> = self.table.live().collect();
        self.rng.shuffle(&mut members);
        for id in members.into_iter().take(self.settings.transmissions as usize) {
            self.send_to(id, Body::Gossip, vec![update.clone()], out);
        }
    }

    /// This node's claim about itself: that it is alive or has left.
    pub(super) fn own_update(&self) -> Update {
        let profile = self.local.profile.clone();
        let claim = if self.leaving { Claim::Left(profile) } else { Claim::Alive(profile) };
        Update { id: self.id, incarnation: self.local.incarnation, claim }
    }

    /// Sends a message to a known member.
    pub(super) fn send_to(&mut self, id: MemberId, body: Body, updates: Vec<Update>, out: &mut Vec<Output>) {
        if let Some(to) = self.member(id).map(|member| member.profile.address) {
            self.send(to, body, updates, out);
        }
    }

    /// Sends a message. Updates beyond [`MAX_UPDATE_BYTES`] are left out.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        body: Body,
        mut updates: Vec<Update>,
        out: &mut Vec<Output>,
    ) {
        if matches!(body, Body::Ping { .. } | Body::Ack { .. } | Body::PingRequest { .. }) {
            updates.extend(self.gossip.take(PIGGYBACKED_UPDATES, self.settings.transmissions));
        }
        let mut bytes = 0;
        updates.retain(|update| {
            bytes += max_encoded_len(update);
            bytes <= MAX_UPDATE_BYTES
        });
        self.sequence += 1;
        let message = Message {
            from: self.id,
            instance: self.local.profile.instance,
            incarnation: self.local.incarnation,
            sequence: self.sequence,
            digest: self.view_digest(),
            body,
            updates,
        };
        out.push(Output::Send { to, message });
    }
}

/// An upper bound of an update's length in a message, in bytes.
pub(super) fn max_encoded_len(update: &Update) -> usize {
    UPDATE_OVERHEAD + update.claim.profile().map_or(0, |profile| profile.name.len())
}
