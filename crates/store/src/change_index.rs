//! Records which log entry last changed each part of the state, and retains the latest purges. The feed to subscribers
//! is built from it.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::state::limits::MAX_RETAINED_PURGES;
use crate::state::{Change, Reply, State};

/// The index of the entry that last changed each part of the state, replicated beside the state. Documents are not in
/// it: their revisions hold the index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeIndex {
    /// The index of the log entry that last set the endpoint list; 0 if none has.
    list: u64,
    /// The index of the log entry that last set each server's override.
    overrides: BTreeMap<String, u64>,
    /// The keys of the latest purges, from the oldest to the latest.
    purges: VecDeque<String>,
    /// The number of purges so far, which is the number of the last one.
    last_purge: u64,
}

/// The part of the state that a proposal may change. It is determined before the proposal is applied, because applying
/// consumes the proposal.
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
    /// An index for a state that was stored without one: every part counts as changed by the entry with this index, the
    /// last one applied.
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
            // A retried proposal gets the reply of its first attempt, with that attempt's index: the purge is recorded
            // already.
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

    /// The index of the entry that last set the endpoint list; 0 if none has.
    pub fn list(&self) -> u64 {
        self.list
    }

    /// The index of the entry that last set a server's override; 0 if it has none.
    pub fn admin_override(&self, server: &str) -> u64 {
        self.overrides.get(server).copied().unwrap_or(0)
    }

    /// The number of the last purge.
    pub fn last_purge(&self) -> u64 {
        self.last_purge
    }

    /// The number of the latest purge whose key is no longer retained.
    pub fn last_dropped_purge(&self) -> u64 {
        self.last_purge - self.purges.len() as u64
    }

    /// The retained keys of the purges after the purge with this number, from the oldest to the latest.
    pub fn purges_after(&self, number: u64) -> impl Iterator<Item = &str> {
        let skipped = number.saturating_sub(self.last_dropped_purge()) as usize;
        self.purges.iter().skip(skipped).map(String::as_str)
    }
}
