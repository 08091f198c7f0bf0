//! Handling of received messages: replay detection, the updates they carry, and answers.

use std::net::SocketAddr;

use super::{Detector, Output};
use crate::Micros;
use crate::member::{MemberId, State};
use crate::message::{Body, Claim, Message, Update};

/// The sender of a message.
struct Sender {
    id: MemberId,
    address: SocketAddr,
    /// The digest of its view.
    digest: u32,
}

impl Detector {
    /// Handles a message; returns false if it is this node's own or a replay.
    pub(super) fn receive(
        &mut self,
        now: Micros,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<Output>,
    ) -> bool {
        // A node may send messages to itself: a seed address may lead back to it.
        if message.from == self.id && message.instance == self.local.profile.instance {
            return false;
        }
        if let Some(entry) = self.table.get_mut(message.from) {
            if !entry.replay.accept(message.instance, message.sequence) {
                self.counters.replayed += 1;
                return false;
            }
            entry.last_received = Some(now);
        }
        self.local_health.on_received(now);
        self.apply_sender_incarnation(&message, now, out);
        let disseminate = !matches!(message.body, Body::SyncRecords);
        for update in message.updates {
            self.apply_update(update, disseminate, now, out);
        }
        if !self.leaving && !self.superseded {
            let sender = Sender { id: message.from, address: from, digest: message.digest };
            self.answer(now, sender, message.body, out);
        }
        true
    }

    /// Answers a message whose updates were applied, and starts a synchronisation if the sender's view differs.
    fn answer(&mut self, now: Micros, sender: Sender, body: Body, out: &mut Vec<Output>) {
        let Sender { id: from, address, digest } = sender;
        match body {
            Body::Ping { probe } => {
                let updates = self.updates_to_refute(from);
                self.send(address, Body::Ack { probe }, updates, out);
            }
            Body::Ack { probe } => {
                self.on_ack(probe, from, now, out);
                self.forward_ack(probe, out);
            }
            Body::PingRequest { probe, target, address: target_address } => {
                self.relay_ping(probe, target, target_address, address, out);
            }
            Body::IndirectAck { probe } => self.on_indirect_ack(probe, now),
            Body::Gossip | Body::SyncRecords => {}
            Body::Join => {
                let updates = vec![self.own_update()];
                self.send(address, Body::Gossip, updates, out);
            }
            Body::SyncDigests { buckets, reply } => self.synchronise(address, &buckets, reply, out),
        }
        self.start_sync_if_different(now, address, digest, out);
    }

    /// The claims against a member that the member should learn of, so that it can refute them; for an unknown member,
    /// this node's own record.
    ///
    /// A member that has returned from failure is notified of the failure until it has answered a ping that carried the
    /// notice, since datagrams get lost, above all those to a process that was stopped and whose socket buffer is full.
    pub(super) fn updates_to_refute(&self, id: MemberId) -> Vec<Update> {
        let (by, own) = (self.id, self.own_update());
        let Some(entry) = self.table.get(id) else { return vec![own] };
        let profile = || entry.member.profile.clone();
        let accusation = match entry.member.state {
            State::Suspect => Some(Claim::Suspect { by }),
            State::Failed => Some(Claim::Failed { by, profile: profile() }),
            State::Alive | State::Left => None,
        };
        let accusation = accusation.map(|claim| Update { id, incarnation: entry.member.incarnation, claim });
        let notice = entry.failure_notice.filter(|_| entry.member.is_live()).map(|notice| Update {
            id,
            incarnation: notice.incarnation,
            claim: Claim::Failed { by, profile: profile() },
        });
        accusation.into_iter().chain(notice).collect()
    }
}
