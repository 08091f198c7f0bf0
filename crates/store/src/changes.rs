//! At which entry each part of the state changed last, and the latest purges: what those who follow the state go by.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::state::{Change, PURGES, Reply, State};

/// Beside the state, the same at every replica. Documents tell their revision themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    list: u64,
    orders: BTreeMap<String, u64>,
    purges: VecDeque<String>,
    /// How many purges there ever were: the number of the last.
    purged: u64,
}

/// What a proposal may change, noted before it is carried out.
pub(crate) enum Note {
    Nothing,
    List,
    Order(String),
    Purge(String),
    All,
}

impl Note {
    pub(crate) fn of(change: &Change) -> Note {
        match change {
            Change::Document { .. } => Note::Nothing,
            Change::List { .. } => Note::List,
            Change::Order { server, .. } => Note::Order(server.clone()),
            Change::Purge { key } => Note::Purge(key.clone()),
            Change::Restore { .. } => Note::All,
        }
    }
}

impl Changes {
    /// What is certain of a state that was kept without this: nothing changed after its last entry.
    pub(crate) fn at(index: u64, state: &State) -> Changes {
        let mut changes = Changes::default();
        changes.all(index, state);
        changes
    }

    fn all(&mut self, index: u64, state: &State) {
        self.list = index;
        self.orders = state.orders().keys().map(|server| (server.clone(), index)).collect();
    }

    /// The entry of this index was carried out.
    pub(crate) fn made(&mut self, note: Note, index: u64, reply: &Reply, state: &State) {
        let Reply::Done(done) = *reply else { return };
        match note {
            Note::Nothing => {}
            Note::List => self.list = index,
            Note::Order(server) => {
                self.orders.insert(server, index);
                self.orders.retain(|server, _| state.orders().contains_key(server));
            }
            // A proposal that was sent again has the reply of the first.
            Note::Purge(_) if done != index => {}
            Note::Purge(key) => {
                self.purged += 1;
                self.purges.push_back(key);
                if self.purges.len() > PURGES {
                    self.purges.pop_front();
                }
            }
            Note::All => self.all(index, state),
        }
    }

    /// The entry that made the list.
    pub fn list(&self) -> u64 {
        self.list
    }

    /// The entry that made a server's order; 0 without one.
    pub fn order(&self, server: &str) -> u64 {
        self.orders.get(server).copied().unwrap_or(0)
    }

    /// The number of the last purge.
    pub fn purged(&self) -> u64 {
        self.purged
    }

    /// The number of the last purge whose key is not kept any more.
    pub fn forgotten(&self) -> u64 {
        self.purged - self.purges.len() as u64
    }

    /// The keys of the purges after a number, the oldest first.
    pub fn purges_after(&self, number: u64) -> impl Iterator<Item = &str> {
        let known = number.saturating_sub(self.forgotten()) as usize;
        self.purges.iter().skip(known).map(String::as_str)
    }
}
