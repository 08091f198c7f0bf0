//! The state of a publisher or a subscriber: the latest value of each item, in the order of revisions, and the latest
//! purges.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::Bound;
use std::sync::Arc;

use super::delta::diff;
use super::frame::{Item, ItemKey};
use crate::applied::AppliedState;
use crate::state::limits::MAX_RETAINED_PURGES;

/// The number of list versions whose texts are retained, to compute deltas from.
const MAX_RETAINED_LISTS: usize = 4;
/// A delta is sent instead of the complete list if the list is at least this many times as long.
const MIN_DELTA_RATIO: usize = 2;

/// A position in the order of revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Position {
    /// The revision at which the position is.
    pub revision: u64,
    /// The last item of this revision that precedes the position. `None` if all items of the revision precede it.
    pub after_item: Option<ItemKey>,
}

/// An encoded item and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedItem {
    /// The index of the log entry that set the item.
    pub revision: u64,
    /// The encoded item.
    pub bytes: Arc<[u8]>,
}

/// A version of the list and its text.
#[derive(Clone, Debug)]
struct ListText {
    version: u64,
    text: Arc<str>,
}

/// The items and purges of a publisher or a subscriber.
#[derive(Clone, Debug, Default)]
pub struct FeedTable {
    revision: u64,
    items: BTreeMap<ItemKey, EncodedItem>,
    /// The keys of all items, in the order of their revisions.
    by_revision: BTreeSet<(u64, ItemKey)>,
    /// The keys of the latest purges, the newest last.
    purges: VecDeque<Arc<str>>,
    last_purge: u64,
    /// The latest lists, the newest last.
    lists: VecDeque<ListText>,
    /// Encoded deltas to the newest list, by the version that they start from. `None` if a delta is too long to be
    /// worth sending.
    deltas: HashMap<u64, Option<Arc<[u8]>>>,
}

impl FeedTable {
    /// The revision up to which the table is complete: it has each item at this revision or a later one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The newest revision of any item, or that up to which the table is complete if it is newer.
    pub fn head_revision(&self) -> u64 {
        self.by_revision.last().map_or(0, |(revision, _)| *revision).max(self.revision)
    }

    /// The number of the last purge that is known.
    pub fn last_purge(&self) -> u64 {
        self.last_purge
    }

    /// The number of the last purge that is no longer retained. All later ones are.
    pub fn last_dropped_purge(&self) -> u64 {
        self.last_purge - self.purges.len() as u64
    }

    /// The version of the list; 0 for none.
    pub fn list_version(&self) -> u64 {
        self.lists.back().map_or(0, |list| list.version)
    }

    /// The text of the newest list.
    pub fn list_text(&self) -> Option<&Arc<str>> {
        self.lists.back().map(|list| &list.text)
    }

    /// All items, by their keys.
    pub fn items(&self) -> &BTreeMap<ItemKey, EncodedItem> {
        &self.items
    }

    /// Returns an item and its revision.
    pub fn item(&self, key: &ItemKey) -> Option<(u64, Item)> {
        let item = self.items.get(key)?;
        Some((item.revision, Item::decode(&item.bytes).ok()?))
    }

    /// Returns the next item after a position.
    pub fn next_after(&self, position: &Position) -> Option<(&ItemKey, &EncodedItem)> {
        let start = match &position.after_item {
            Some(key) => Bound::Excluded((position.revision, key.clone())),
            // The smallest possible key at the next revision.
            None => {
                let next_revision = position.revision.saturating_add(1);
                Bound::Included((next_revision, ItemKey::Document(String::new())))
            }
        };
        let (_, key) = self.by_revision.range((start, Bound::Unbounded)).next()?;
        self.items.get(key).map(|item| (key, item))
    }

    /// The keys of the retained purges after the one with this number, the oldest first.
    pub fn purges_after(&self, number: u64) -> impl Iterator<Item = &Arc<str>> {
        self.purges.iter().skip(number.saturating_sub(self.last_dropped_purge()) as usize)
    }

    /// Stores an item that is newer than the one in the table.
    pub fn put(&mut self, revision: u64, item: &Item) {
        let key = item.key();
        match item {
            Item::List { version, text } if *version > self.list_version() => {
                self.lists.push_back(ListText { version: *version, text: text.as_str().into() });
                if self.lists.len() > MAX_RETAINED_LISTS {
                    self.lists.pop_front();
                }
                self.deltas.clear();
            }
            Item::Override { admin_override, .. } => self.remove_expired_overrides(admin_override.since_ms),
            _ => {}
        }
        let new = EncodedItem { revision, bytes: item.encode().into() };
        if let Some(old) = self.items.insert(key.clone(), new) {
            self.by_revision.remove(&(old.revision, key.clone()));
        }
        self.by_revision.insert((revision, key));
    }

    /// Removes the overrides that enabled a server so long before this time that they have no effect any more.
    fn remove_expired_overrides(&mut self, at_ms: u64) {
        let is_expired = |item: &EncodedItem| match Item::decode(&item.bytes) {
            Ok(Item::Override { admin_override, .. }) => admin_override.is_expired(at_ms),
            _ => false,
        };
        let overrides = self.items.range(ItemKey::Override(String::new())..);
        let expired = overrides.filter(|(_, item)| is_expired(item));
        let expired: Vec<(u64, ItemKey)> = expired.map(|(key, item)| (item.revision, key.clone())).collect();
        for entry in expired {
            self.items.remove(&entry.1);
            self.by_revision.remove(&entry);
        }
    }

    /// Marks the table as complete up to a revision.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Adds the next purge.
    pub fn add_purge(&mut self, key: &str) {
        self.last_purge += 1;
        self.purges.push_back(key.into());
        if self.purges.len() > MAX_RETAINED_PURGES {
            self.purges.pop_front();
        }
    }

    /// Drops all retained purges, and sets the number of the last purge.
    pub fn reset_purges(&mut self, last_purge: u64) {
        self.purges.clear();
        self.last_purge = last_purge;
    }

    /// Returns the encoded delta from an older version of the list, if it is short enough to be sent instead of the
    /// list.
    pub fn delta_from(&mut self, from: u64) -> Option<Arc<[u8]>> {
        let newest = self.lists.back()?;
        let old = self.lists.iter().find(|list| list.version == from && from < newest.version)?;
        let encode = || {
            let delta = diff(&old.text, &newest.text);
            let bytes = Item::ListDelta { from, version: newest.version, delta }.encode();
            (bytes.len() * MIN_DELTA_RATIO <= newest.text.len()).then(|| bytes.into())
        };
        self.deltas.entry(from).or_insert_with(encode).clone()
    }

    /// Copies the changes that a member has applied since the last call.
    pub fn sync_from(&mut self, applied: &AppliedState) {
        let index = applied.last_index();
        if index <= self.revision && self.revision > 0 {
            return;
        }
        for (revision, item) in changed_items(self.revision, applied) {
            self.put(revision, &item);
        }
        let dropped = applied.changes.last_dropped_purge();
        if self.last_purge < dropped {
            self.reset_purges(dropped);
        }
        for key in applied.changes.purges_after(self.last_purge) {
            self.add_purge(key);
        }
        self.advance(index);
    }
}

/// Returns the items of a member's applied state that have changed after a revision, with their revisions.
fn changed_items(after: u64, applied: &AppliedState) -> Vec<(u64, Item)> {
    let (state, changes) = (&applied.state, &applied.changes);
    let documents = state.document_names().filter_map(|name| {
        let latest = state.document(name).filter(|latest| latest.revision > after)?;
        let (name, text, author) = (name.to_owned(), latest.text.clone(), latest.author.clone());
        Some((latest.revision, Item::Document { name, text, author, at_ms: latest.at_ms }))
    });
    let list = state
        .list()
        .filter(|_| changes.list() > after)
        .map(|list| (changes.list(), Item::List { version: list.version, text: list.text.clone() }));
    let overrides = state.overrides().iter().filter_map(|(server, &admin_override)| {
        let revision = changes.admin_override(server);
        let item = Item::Override { server: server.clone(), admin_override };
        (revision > after).then_some((revision, item))
    });
    documents.chain(list).chain(overrides).collect()
}
