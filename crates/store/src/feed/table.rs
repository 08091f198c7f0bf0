//! What a publisher or a subscriber holds: the newest of each item by revision, and the latest purges.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::Bound;
use std::sync::Arc;

use super::delta::diff;
use super::frame::{Item, Key};
use crate::machine::Applied;
use crate::state::PURGES;

/// Texts of older lists that differences are made to.
const LISTS: usize = 4;
/// A difference is sent if it is at most a half of the whole.
const WORTH: usize = 2;

/// A place in the order of revisions: behind all of a revision, or behind one item of it.
pub type Position = (u64, Option<Key>);

/// An item that is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The entry that made it.
    pub revision: u64,
    /// The item's bytes.
    pub bytes: Arc<[u8]>,
}

/// All that is held.
#[derive(Clone, Debug, Default)]
pub struct Table {
    revision: u64,
    items: BTreeMap<Key, Held>,
    by_revision: BTreeSet<(u64, Key)>,
    /// The keys of the latest purges, and the number of the last.
    purges: VecDeque<Arc<str>>,
    purged: u64,
    /// The latest lists, the newest last, and differences to the newest.
    lists: VecDeque<(u64, Arc<str>)>,
    deltas: HashMap<u64, Option<Arc<[u8]>>>,
}

impl Table {
    /// Of each item, what was committed at this revision is held, or something newer.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The newest revision of anything that is held.
    pub fn head(&self) -> u64 {
        self.by_revision.last().map_or(0, |(revision, _)| *revision).max(self.revision)
    }

    /// The number of the last purge that is known.
    pub fn purged(&self) -> u64 {
        self.purged
    }

    /// The number of the last purge that is known no more: those after it are.
    pub fn forgotten(&self) -> u64 {
        self.purged - self.purges.len() as u64
    }

    /// The version of the list; 0 for none.
    pub fn list_version(&self) -> u64 {
        self.lists.back().map_or(0, |(version, _)| *version)
    }

    /// The text of the newest list.
    pub fn list_text(&self) -> Option<&Arc<str>> {
        self.lists.back().map(|(_, text)| text)
    }

    /// All items.
    pub fn items(&self) -> &BTreeMap<Key, Held> {
        &self.items
    }

    /// The newest of an item, and its revision.
    pub fn item(&self, key: &Key) -> Option<(u64, Item)> {
        let held = self.items.get(key)?;
        Some((held.revision, Item::read(&held.bytes).ok()?))
    }

    /// The next item behind a place.
    pub fn next(&self, (revision, key): &Position) -> Option<(&u64, &Key, &Held)> {
        let next = match key {
            Some(key) => {
                let from = (*revision, key.clone());
                self.by_revision.range((Bound::Excluded(from), Bound::Unbounded)).next()
            }
            // The least key there is: behind all of a revision is before all of the next.
            None => {
                self.by_revision.range((revision.saturating_add(1), Key::Document(String::new()))..).next()
            }
        };
        let (revision, key) = next?;
        self.items.get(key).map(|held| (revision, key, held))
    }

    /// The keys of the purges after a number, the oldest first.
    pub fn purges_after(&self, number: u64) -> impl Iterator<Item = &Arc<str>> {
        self.purges.iter().skip(number.saturating_sub(self.forgotten()) as usize)
    }

    /// Takes an item that is newer than what is held.
    pub fn put(&mut self, revision: u64, item: &Item) {
        let key = item.key();
        if let Item::List { version, text } = item
            && *version > self.list_version()
        {
            self.lists.push_back((*version, text.as_str().into()));
            if self.lists.len() > LISTS {
                self.lists.pop_front();
            }
            self.deltas.clear();
        }
        if let Item::Order { order, .. } = item {
            self.forget(order.since_ms);
        }
        let held = Held { revision, bytes: item.bytes().into() };
        if let Some(before) = self.items.insert(key.clone(), held) {
            self.by_revision.remove(&(before.revision, key.clone()));
        }
        self.by_revision.insert((revision, key));
    }

    /// Servers that were put back long before this time are warm: their orders say nothing any more.
    fn forget(&mut self, at_ms: u64) {
        let orders = self.items.range(Key::Order(String::new())..);
        let said = orders.filter_map(|(key, held)| Some((key, held.revision, Item::read(&held.bytes).ok()?)));
        let old =
            said.filter(|(.., item)| matches!(item, Item::Order { order, .. } if order.forgotten(at_ms)));
        let old: Vec<(u64, Key)> = old.map(|(key, revision, _)| (revision, key.clone())).collect();
        for entry in old {
            self.items.remove(&entry.1);
            self.by_revision.remove(&entry);
        }
    }

    /// Of each item, what was committed at a revision is held, or something newer.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Takes the next purge.
    pub fn purge(&mut self, key: &str) {
        self.purged += 1;
        self.purges.push_back(key.into());
        if self.purges.len() > PURGES {
            self.purges.pop_front();
        }
    }

    /// Purges are known from behind this number on, and none before.
    pub fn purges_from(&mut self, number: u64) {
        self.purges.clear();
        self.purged = number;
    }

    /// The list for whoever has an older version of it, if that can be told shortly.
    pub fn delta_from(&mut self, from: u64) -> Option<Arc<[u8]>> {
        let (version, new) = self.lists.back()?;
        let (_, old) = self.lists.iter().find(|(version, _)| *version == from).filter(|_| from < *version)?;
        let make = || {
            let delta = diff(old, new);
            let bytes = Item::ListDelta { from, version: *version, delta }.bytes();
            (bytes.len() * WORTH <= new.len()).then(|| bytes.into())
        };
        self.deltas.entry(from).or_insert_with(make).clone()
    }

    /// Takes over what a member has applied since the last time.
    pub fn follow(&mut self, applied: &Applied) {
        let (index, changes) = (applied.last.map_or(0, |last| last.index), &applied.changes);
        if index <= self.revision && self.revision > 0 {
            return;
        }
        for (revision, item) in changed(self.revision, applied) {
            self.put(revision, &item);
        }
        if self.purged < changes.forgotten() {
            self.purges_from(changes.forgotten());
        }
        for key in changes.purges_after(self.purged) {
            self.purge(key);
        }
        self.advance(index);
    }
}

/// What a member applied after a revision.
fn changed(after: u64, applied: &Applied) -> Vec<(u64, Item)> {
    let (state, changes) = (&applied.state, &applied.changes);
    let documents = state.names().filter_map(|name| {
        let latest = state.document(name).filter(|latest| latest.revision > after)?;
        let (name, text, author) = (name.to_owned(), latest.text.clone(), latest.author.clone());
        Some((latest.revision, Item::Document { name, text, author, at_ms: latest.at_ms }))
    });
    let list = state
        .list()
        .filter(|_| changes.list() > after)
        .map(|list| (changes.list(), Item::List { version: list.version, text: list.text.clone() }));
    let orders = state.orders().iter().filter_map(|(server, &order)| {
        let revision = changes.order(server);
        (revision > after).then(|| (revision, Item::Order { server: server.clone(), order }))
    });
    documents.chain(list).chain(orders).collect()
}
