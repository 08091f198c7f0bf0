//! Anti-entropy: views that differ are compared by the digests of their buckets, and the differing buckets exchanged.

use std::net::SocketAddr;

use super::dissemination::{MAX_UPDATE_BYTES, max_encoded_len};
use super::{Detector, Event, Output};
use crate::Micros;
use crate::member::{Member, MemberId, State};
use crate::message::{Body, Claim, Update};
use crate::table::{BUCKETS, bucket};

/// Messages with records that answer one comparison at most.
const MAX_RECORD_MESSAGES: usize = 3;

impl Detector {
    /// A hash of the whole view.
    pub(super) fn view_digest(&self) -> u32 {
        let buckets = self.bucket_digests();
        buckets.iter().fold(0, |digest: u32, bucket| digest.rotate_left(1) ^ bucket)
    }

    fn bucket_digests(&self) -> Vec<u32> {
        self.table.digests_with(self.id, &self.local)
    }

    /// Sends this node's digests to a member whose view differs, at most once in a while.
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

    /// Sends the records of the buckets that differ, in a random order, and if wanted this node's digests.
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

/// A member as this node knows it.
fn record(id: MemberId, member: &Member, by: MemberId) -> Update {
    let profile = member.profile.clone();
    let claim = match member.state {
        State::Alive | State::Suspect => Claim::Alive(profile),
        State::Failed => Claim::Failed { by, profile },
        State::Left => Claim::Left(profile),
    };
    Update { id, incarnation: member.incarnation, claim }
}

/// Takes the first records, as many as fit in one message.
fn take_page(records: &mut Vec<Update>) -> Vec<Update> {
    let mut bytes = 0;
    let fitting = records.iter().take_while(|record| {
        bytes += max_encoded_len(record);
        bytes <= MAX_UPDATE_BYTES
    });
    let count = fitting.count();
    records.drain(..count).collect()
}
