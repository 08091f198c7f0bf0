//! The members that are known, and hashes of them by parts.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::Micros;
use crate::member::{Member, MemberId, Reach, State};
use crate::replay::ReplayWindow;
use crate::suspicion::Suspicion;

/// Parts of a view that are hashed by themselves.
pub const PARTS: usize = 64;
const PART_BITS: u32 = PARTS.trailing_zeros();

/// A member and what this node keeps beside it.
#[derive(Clone, Debug)]
pub struct Entry {
    pub member: Member,
    pub suspicion: Option<Suspicion>,
    pub replay: ReplayWindow,
    /// The incarnation under which it was failed before it returned, and how often it is still told so.
    pub untold_failure: Option<(u64, u32)>,
    /// When a message last came from it.
    pub last_heard: Option<Micros>,
    /// Probes in a row that others alone have answered.
    pub direct_misses: u32,
    /// What was last reported of its reachability, and when.
    pub reach_reported: Option<(Reach, Micros)>,
}

impl Entry {
    pub fn new(member: Member) -> Entry {
        Entry {
            member,
            suspicion: None,
            replay: ReplayWindow::default(),
            untold_failure: None,
            last_heard: None,
            direct_misses: 0,
            reach_reported: None,
        }
    }
}

/// The members that are known, this node not among them.
#[derive(Debug, Default)]
pub struct Table {
    entries: BTreeMap<MemberId, Entry>,
    parts: Vec<u32>,
}

impl Table {
    pub fn new() -> Table {
        Table { entries: BTreeMap::new(), parts: vec![0; PARTS] }
    }

    pub fn get(&self, id: MemberId) -> Option<&Entry> {
        self.entries.get(&id)
    }

    /// An entry, whose member must not be changed here but by [`set`](Table::set).
    pub fn get_mut(&mut self, id: MemberId) -> Option<&mut Entry> {
        self.entries.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&MemberId, &Entry)> {
        self.entries.iter()
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Puts a member in, or another record in place of its last. What is kept beside it stays.
    pub fn set(&mut self, id: MemberId, member: Member) {
        if let Some(old) = self.entries.get(&id) {
            self.parts[part(id)] ^= hash(id, &old.member);
        }
        self.parts[part(id)] ^= hash(id, &member);
        match self.entries.get_mut(&id) {
            Some(entry) => entry.member = member,
            None => _ = self.entries.insert(id, Entry::new(member)),
        }
    }

    pub fn remove(&mut self, id: MemberId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.parts[part(id)] ^= hash(id, &entry.member);
        }
    }

    /// Members that live as far as is known, suspects among them.
    pub fn living(&self) -> impl Iterator<Item = MemberId> {
        let lives = |entry: &Entry| matches!(entry.member.state, State::Alive | State::Suspect);
        self.entries.iter().filter(move |(_, entry)| lives(entry)).map(|(id, _)| *id)
    }

    /// Hashes of all parts, a member beside the known ones included.
    pub fn parts_with(&self, id: MemberId, member: &Member) -> Vec<u32> {
        let mut parts = self.parts.clone();
        parts[part(id)] ^= hash(id, member);
        parts
    }
}

/// The part that a member belongs to.
pub fn part(id: MemberId) -> usize {
    (id.0 >> (u64::BITS - PART_BITS)) as usize
}

/// Of what all nodes should come to agree on: suspicion passes, and is left out.
fn hash(id: MemberId, member: &Member) -> u32 {
    let state = match member.state {
        State::Alive | State::Suspect => 0,
        State::Failed => 1,
        State::Left => 2,
    };
    let mut bytes = [0; 17];
    bytes[..8].copy_from_slice(&id.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&member.incarnation.to_le_bytes());
    bytes[16] = state;
    xxh3_64(&bytes) as u32
}
