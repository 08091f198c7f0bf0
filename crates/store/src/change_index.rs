//! The entry at which each part of the state changed last, and the latest purges. Subscribers are sent changes by it.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::state::limits::MAX_RETAINED_PURGES;
use crate::state::{Change, Reply, State};

/// Which entry changed what; replicated beside the state. Documents hold their revisions themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeIndex {
    list: u64,
    overrides: BTreeMap<String, u64>,
    purges: VecDeque<String>,
    /// The number of purges so far, which is the number of the last one.
    last_purge: u64,
}

/// The part of the state that a proposal may change. It is taken before the proposal is applied, which consumes it.
pub(crate) enum ChangeTarget {
    Document,
    List,
    Override { server: String },
    Purge { key: String },
    Everything,
}

impl ChangeTarget {
    pub(crate) fn of(change: &Change) -> ChangeTarget {
        match change {
            Change::Document { .. } => ChangeTarget::Document,
            Change::List { .. } => ChangeTarget::List,
            Change::Override { server, .. } => ChangeTarget::Override { server: server.clone() },
            Change::Purge { key } => ChangeTarget::Purge { key: key.clone() },
            Change::Restore { .. } => ChangeTarget::Everything,
        }
    }
}

impl ChangeIndex {
    /// An index for a state that was stored without one: nothing has changed after its last entry.
    pub(crate) fn changed_at(index: u64, state: &State) -> ChangeIndex {
        let mut changes = ChangeIndex::default();
        changes.mark_everything(index, state);
        changes
    }

    fn mark_everything(&mut self, index: u64, state: &State) {
        self.list = index;
        self.overrides = state.overrides().keys().map(|server| (server.clone(), index)).collect();
    }

    /// Records the result of the entry with this index.
    pub(crate) fn record(&mut self, target: ChangeTarget, index: u64, reply: &Reply, state: &State) {
        let Reply::Applied(applied) = *reply else { return };
        match target {
            ChangeTarget::Document => {}
            ChangeTarget::List => self.list = index,
            ChangeTarget::Override { server } => {
                self.overrides.insert(server, index);
                self.overrides.retain(|server, _| state.overrides().contains_key(server));
            }
            // A proposal that was retried has the reply of the first attempt.
            ChangeTarget::Purge { .. } if applied != index => {}
            ChangeTarget::Purge { key } => {
                self.last_purge += 1;
                self.purges.push_back(key);
                if self.purges.len() > MAX_RETAINED_PURGES {
                    self.purges.pop_front();
                }
            }
            ChangeTarget::Everything => self.mark_everything(index, state),
        }
    }

    /// The entry that set the list.
    pub fn list(&self) -> u64 {
        self.list
    }

    /// The entry that set a server's override; 0 without one.
    pub fn admin_override(&self, server: &str) -> u64 {
        self.overrides.get(server).copied().unwrap_or(0)
    }

    /// The number of the last purge.
    pub fn last_purge(&self) -> u64 {
        self.last_purge
    }

    /// The number of the last purge whose key is no longer retained.
    pub fn last_dropped_purge(&self) -> u64 {
        self.last_purge - self.purges.len() as u64
    }

    /// The keys of the purges after a number, the oldest first.
    pub fn purges_after(&self, number: u64) -> impl Iterator<Item = &str> {
        let known = number.saturating_sub(self.last_dropped_purge()) as usize;
        self.purges.iter().skip(known).map(String::as_str)
    }
}
