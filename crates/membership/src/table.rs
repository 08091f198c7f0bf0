//! The member table, and the digests of its buckets that anti-entropy compares.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::Micros;
use crate::member::{Member, MemberId, Reachability, State};
use crate::replay::ReplayWindow;
use crate::suspicion::Suspicion;

/// Buckets of member ids, each with a digest of its own.
pub(crate) const BUCKETS: usize = 64;
/// The number of leading bits of a member's id that select its bucket.
const BUCKET_BITS: u32 = BUCKETS.trailing_zeros();

/// A failure that a returned member still has to be notified of. The notice goes with each ping to the member and each
/// answer to its pings, until a ping that carried it is answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailureNotice {
    /// The incarnation in which the member was declared failed.
    pub(crate) incarnation: u64,
    /// The first probe all of whose pings carry the notice.
    first_probe: u32,
}

impl FailureNotice {
    /// Creates a notice that is carried by all pings of the probe with the number `next_probe` and of later ones.
    pub(crate) fn new(incarnation: u64, next_probe: u32) -> FailureNotice {
        FailureNotice { incarnation, first_probe: next_probe }
    }

    /// Whether an answered probe shows that the member has received the notice. Probe numbers wrap around.
    pub(crate) fn is_delivered_by(&self, probe: u32) -> bool {
        probe.wrapping_sub(self.first_probe) <= u32::MAX / 2
    }
}

/// What was last reported about a member's reachability.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReachabilityReport {
    pub(crate) reachability: Reachability,
    pub(crate) at: Micros,
}

/// A member's record and this node's own bookkeeping about it.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    pub(crate) member: Member,
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) replay: ReplayWindow,
    /// Set while a member that has returned from failure is notified of it.
    pub(crate) failure_notice: Option<FailureNotice>,
    /// When a message was last received from the member.
    pub(crate) last_received: Option<Micros>,
    /// Consecutive probes that the member did not answer directly, though it was alive.
    pub(crate) indirect_only_probes: u32,
    pub(crate) last_reachability_report: Option<ReachabilityReport>,
}

impl MemberEntry {
    fn new(member: Member) -> MemberEntry {
        MemberEntry {
            member,
            suspicion: None,
            replay: ReplayWindow::default(),
            failure_notice: None,
            last_received: None,
            indirect_only_probes: 0,
            last_reachability_report: None,
        }
    }
}

/// The known members except this node.
#[derive(Debug)]
pub(crate) struct MemberTable {
    entries: BTreeMap<MemberId, MemberEntry>,
    /// The digest of each bucket.
    digests: Vec<u32>,
}

impl MemberTable {
    /// A table without members.
    pub(crate) fn new() -> MemberTable {
        MemberTable { entries: BTreeMap::new(), digests: vec![0; BUCKETS] }
    }

    pub(crate) fn get(&self, id: MemberId) -> Option<&MemberEntry> {
        self.entries.get(&id)
    }

    /// An entry, to be changed in place. Its member's record is changed only through [`set`](MemberTable::set), which
    /// updates the digests; an exception is the reachability, which is not part of them.
    pub(crate) fn get_mut(&mut self, id: MemberId) -> Option<&mut MemberEntry> {
        self.entries.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&MemberId, &MemberEntry)> {
        self.entries.iter()
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Inserts a member, or replaces its record and keeps the other fields of its entry.
    pub(crate) fn set(&mut self, id: MemberId, member: Member) {
        let bucket = bucket(id);
        if let Some(old) = self.entries.get(&id) {
            self.digests[bucket] ^= digest(id, &old.member);
        }
        self.digests[bucket] ^= digest(id, &member);
        match self.entries.get_mut(&id) {
            Some(entry) => entry.member = member,
            None => _ = self.entries.insert(id, MemberEntry::new(member)),
        }
    }

    pub(crate) fn remove(&mut self, id: MemberId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.digests[bucket(id)] ^= digest(id, &entry.member);
        }
    }

    /// The members that are alive or suspected.
    pub(crate) fn live(&self) -> impl Iterator<Item = MemberId> {
        self.entries.iter().filter(|(_, entry)| entry.member.is_live()).map(|(id, _)| *id)
    }

    /// The digests of all buckets, computed with one more member.
    pub(crate) fn digests_with(&self, id: MemberId, member: &Member) -> Vec<u32> {
        let mut digests = self.digests.clone();
        digests[bucket(id)] ^= digest(id, member);
        digests
    }
}

/// The bucket that a member belongs to.
pub(crate) fn bucket(id: MemberId) -> usize {
    (id.0 >> (u64::BITS - BUCKET_BITS)) as usize
}

/// A hash of those facts about a member that all nodes should agree on. Suspicion is temporary and left out.
fn digest(id: MemberId, member: &Member) -> u32 {
    /// The bytes of an id or an incarnation.
    const U64_LEN: usize = size_of::<u64>();
    let state = match member.state {
        State::Alive | State::Suspect => 0,
        State::Failed => 1,
        State::Left => 2,
    };
    let mut bytes = [0; 2 * U64_LEN + 1];
    bytes[..U64_LEN].copy_from_slice(&id.0.to_le_bytes());
    bytes[U64_LEN..2 * U64_LEN].copy_from_slice(&member.incarnation.to_le_bytes());
    bytes[2 * U64_LEN] = state;
    xxh3_64(&bytes) as u32
}
