//! Indirect probes: asking other members to ping a target, and pinging targets for other members.

use std::net::SocketAddr;

use super::{Detector, Output};
use crate::Micros;
use crate::member::{MemberId, State};
use crate::message::Body;

/// The most relayed pings whose answers are awaited; beyond that the oldest is forgotten.
const MAX_RELAYED_PINGS: usize = 64;

/// A ping that this node has sent for another member.
#[derive(Debug)]
pub(super) struct RelayedPing {
    /// The number of the ping at this node.
    number: u32,
    /// The number of the probe at the requester.
    requested_probe: u32,
    /// The address of the member that asked for the ping.
    requester: SocketAddr,
}

impl Detector {
    /// Asks random live members to ping a target.
    pub(super) fn request_indirect_probes(&mut self, probe: u32, target: MemberId, out: &mut Vec<Output>) {
        let Some(address) = self.member(target).map(|member| member.profile.address) else { return };
        let is_alive = |id: &MemberId| self.member(*id).is_some_and(|member| member.state == State::Alive);
        let mut candidates: Vec<MemberId> =
            self.table.live().filter(|id| *id != target && is_alive(id)).collect();
        for _ in 0..self.settings.indirect_probes.min(candidates.len()) {
            let intermediary = candidates.swap_remove(self.rng.usize(..candidates.len()));
            self.send_to(intermediary, Body::PingRequest { probe, target, address }, Vec::new(), out);
        }
    }

    /// Pings a target for the requester. `address` is the target's as the requester knows it; it is used only if this
    /// node does not know the target.
    pub(super) fn relay_ping(
        &mut self,
        requested_probe: u32,
        target: MemberId,
        address: SocketAddr,
        requester: SocketAddr,
        out: &mut Vec<Output>,
    ) {
        let number = self.take_probe_number();
        if self.relayed_pings.len() >= MAX_RELAYED_PINGS {
            self.relayed_pings.pop_front();
        }
        self.relayed_pings.push_back(RelayedPing { number, requested_probe, requester });
        let address = self.member(target).map_or(address, |member| member.profile.address);
        self.send(address, Body::Ping { probe: number }, Vec::new(), out);
    }

    /// Forwards the answer to a relayed ping to the requester.
    pub(super) fn forward_ack(&mut self, number: u32, out: &mut Vec<Output>) {
        let Some(index) = self.relayed_pings.iter().position(|ping| ping.number == number) else { return };
        let Some(ping) = self.relayed_pings.remove(index) else { return };
        self.send(ping.requester, Body::IndirectAck { probe: ping.requested_probe }, Vec::new(), out);
    }

    /// Records that the target of a probe has answered another member, which pinged it for this node.
    pub(super) fn on_indirect_ack(&mut self, number: u32, now: Micros) {
        if let Some(probe) = self.probes.get_mut(&number) {
            probe.indirectly_acked = true;
            self.local_health.on_indirect_ack(now);
        }
    }
}
