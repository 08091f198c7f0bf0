//! Anti-entropy: nodes whose views differ compare the digests of their buckets and exchange the records of the buckets
//! that differ.

use std::net::SocketAddr;

use super::dissemination::{MAX_UPDATE_BYTES, max_encoded_len};
use super::{Detector, Event, Output};
use crate::Micros;
use crate::member::{Member, MemberId, State};
use crate::message::{Body, Claim, Update};
use crate::table::{BUCKETS, bucket};

/// The most messages with records that are sent in answer to the digests of another member.
const MAX_RECORD_MESSAGES: usize = 3;

impl Detector {
    /// A hash of this node's whole view of the members.
    pub(super) fn view_digest(&self) -> u32 {
        let buckets = self.bucket_digests();
        buckets.iter().fold(0, |digest: u32, bucket| digest.rotate_left(1) ^ bucket)
    }

    fn bucket_digests(&self) -> Vec<u32> {
        self.table.digests_with(self.id, &self.local)
    }

    /// Sends this node's digests to a member whose view differs, at most once per
    /// [`sync_interval`](crate::Settings::sync_interval).
    pub(super) fn start_sync_if_different(
        &mut self,
        now: Micros,
        address: SocketAddr,
        digest: u32,
        out: &mut Vec<Output>,
    ) {
        if digest == self.view_digest() || now < self.schedule.sync {
            return;
        }
        self.schedule.sync = now + self.settings.sync_interval;
        let buckets = self.bucket_digests();
        self.send(address, Body::SyncDigests { buckets, reply: true }, Vec::new(), out);
    }

    /// Sends the records of the buckets that differ and, if `reply` is set, this node's digests.
    ///
    /// The order of the records is random, because those beyond [`MAX_RECORD_MESSAGES`] messages are left out.
    pub(super) fn synchronise(
        &mut self,
        address: SocketAddr,
        theirs: &[u32],
        reply: bool,
        out: &mut Vec<Output>,
    ) {
        let ours = self.bucket_digests();
        if theirs.len() != BUCKETS {
            self.counters.malformed += 1;
            return;
        }
        let differs = |id: &MemberId| ours[bucket(*id)] != theirs[bucket(*id)];
        let differing = self.table.iter().filter(|(id, _)| differs(id));
        let mut records: Vec<Update> =
            differing.map(|(id, entry)| record(*id, &entry.member, self.id)).collect();
        if differs(&self.id) {
            records.push(self.own_update());
        }
        self.rng.shuffle(&mut records);
        for _ in 0..MAX_RECORD_MESSAGES {
            let page = take_page(&mut records);
            if page.is_empty() {
                break;
            }
            self.send(address, Body::SyncRecords, page, out);
        }
        if reply {
            self.send(address, Body::SyncDigests { buckets: ours, reply: false }, Vec::new(), out);
        }
    }

    /// Removes members that failed or left long ago.
    pub(super) fn reap(&mut self, now: Micros, out: &mut Vec<Output>) {
        let is_expired = |member: &Member| {
            matches!(member.state, State::Failed | State::Left)
                && now.saturating_sub(member.since) >= self.settings.reap_after
        };
        let expired: Vec<(MemberId, String)> = self
            .members()
            .filter(|(_, member)| is_expired(member))
            .map(|(id, member)| (id, member.profile.name.clone()))
            .collect();
        for (id, name) in expired {
            self.table.remove(id);
            out.push(Output::Event(Event::Reaped { name }));
        }
    }
}

/// A member's record as an update for other nodes. Suspicions are left out: a suspect is stated to be alive.
fn record(id: MemberId, member: &Member, by: MemberId) -> Update {
    let profile = member.profile.clone();
    let claim = match member.state {
        State::Alive | State::Suspect => Claim::Alive(profile),
        State::Failed => Claim::Failed { by, profile },
        State::Left => Claim::Left(profile),
    };
    Update { id, incarnation: member.incarnation, claim }
}

/// Takes the first records off the list, as many as fit in one message.
fn take_page(records: &mut Vec<Update>) -> Vec<Update> {
    let mut bytes = 0;
    let fitting = records.iter().take_while(|record| {
        bytes += max_encoded_len(record);
        bytes <= MAX_UPDATE_BYTES
    });
    let count = fitting.count();
    records.drain(..count).collect()
}
