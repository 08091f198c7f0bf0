//! The state that a subscriber has received, shared with its node and with the subscribers of its relay.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::connection::lock;
use super::publish::FeedSource;
use crate::feed::frame::{Item, ItemKey};
use crate::feed::subscriber::{Counters, Subscriber};
use crate::feed::table::{EncodedItem, FeedTable};
use crate::freshness::Millis;

/// The shortest time until the subscriber is polled again, which prevents a busy loop.
const MIN_POLL_DELAY: Duration = Duration::from_millis(1);

/// The state that a node may use. If the subscriber has a folder, this state is saved there first.
#[derive(Debug, Default)]
pub struct FeedView {
    items: BTreeMap<ItemKey, EncodedItem>,
    list_version: u64,
}

impl FeedView {
    /// Returns an item and its revision.
    pub fn item(&self, key: &ItemKey) -> Option<(u64, Item)> {
        let item = self.items.get(key)?;
        Some((item.revision, Item::decode(&item.bytes).ok()?))
    }

    /// All items, by their keys.
    pub fn items(&self) -> &BTreeMap<ItemKey, EncodedItem> {
        &self.items
    }

    /// The version of the endpoint list; 0 for none.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }
}

/// A handle to a subscriber and the state that it has received. Clones share them.
#[derive(Clone)]
pub struct SubscriberFeed(Arc<Inner>);

struct Inner {
    cluster: u128,
    subscriber: Mutex<Subscriber>,
    view: RwLock<FeedView>,
    /// The number of changes of the view.
    view_changes: watch::Sender<u64>,
    /// The number of frames that were applied to the table.
    table_changes: watch::Sender<u64>,
    /// The version of the newest list that the node has used.
    list_in_use: AtomicU64,
    start: Instant,
}

impl SubscriberFeed {
    /// Creates the feed of a cluster's subscriber, whose table is the first view.
    pub fn new(cluster: u128, subscriber: Subscriber) -> SubscriberFeed {
        let (items, list_version) = (subscriber.table.items().clone(), subscriber.table.list_version());
        SubscriberFeed(Arc::new(Inner {
            cluster,
            subscriber: Mutex::new(subscriber),
            view: RwLock::new(FeedView { items, list_version }),
            view_changes: watch::Sender::new(0),
            table_changes: watch::Sender::new(0),
            list_in_use: AtomicU64::new(0),
            start: Instant::now(),
        }))
    }

    /// Returns the state that the node may use now. The view doesn't change while the guard is held.
    pub fn view(&self) -> RwLockReadGuard<'_, FeedView> {
        self.0.view.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver that is notified of each change of the view.
    pub fn view_changes(&self) -> watch::Receiver<u64> {
        self.0.view_changes.subscribe()
    }

    /// The age of the received state, in ms: everything that was committed that long ago has been received. `None` if
    /// no publisher has confirmed this yet.
    pub fn stale_ms(&self) -> Option<Millis> {
        lock(&self.0.subscriber).stale_ms(self.now())
    }

    /// Records that the node uses this version of the list, from whatever source. The version is saved when the next
    /// frame is applied.
    pub fn use_list(&self, version: u64) {
        self.0.list_in_use.fetch_max(version, Ordering::Relaxed);
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        lock(&self.0.subscriber).counters()
    }

    /// The revision up to which the state is complete.
    pub fn revision(&self) -> u64 {
        lock(&self.0.subscriber).table.revision()
    }

    /// The address of the publisher that the subscriber is connected to.
    pub fn publisher(&self) -> Option<String> {
        lock(&self.0.subscriber).publisher().map(str::to_owned)
    }

    /// The version of the newest list that the node has used since the start; 0 for none.
    pub(super) fn list_in_use(&self) -> u64 {
        self.0.list_in_use.load(Ordering::Relaxed)
    }

    /// The time of the subscriber's clock.
    fn now(&self) -> Millis {
        self.0.start.elapsed().as_millis() as Millis
    }

    /// Runs `work` with the subscriber, which is locked meanwhile, and the time of its clock.
    pub(super) fn with_subscriber<R>(&self, work: impl FnOnce(&mut Subscriber, Millis) -> R) -> R {
        let now = self.now();
        work(&mut lock(&self.0.subscriber), now)
    }

    /// Converts a time of the subscriber's clock to an instant, but to none earlier than [`MIN_POLL_DELAY`] from now.
    pub(super) fn instant(&self, time: Millis) -> Instant {
        (self.0.start + Duration::from_millis(time)).max(Instant::now() + MIN_POLL_DELAY)
    }

    /// Replaces the view.
    pub(super) fn set_view(&self, items: BTreeMap<ItemKey, EncodedItem>, list_version: u64) {
        let mut view = self.0.view.write().unwrap_or_else(PoisonError::into_inner);
        *view = FeedView { items, list_version };
        drop(view);
        self.0.view_changes.send_modify(|changes| *changes += 1);
    }

    /// Notifies the relay's sessions that the table may have changed.
    pub(super) fn notify_table_change(&self) {
        self.0.table_changes.send_modify(|changes| *changes += 1);
    }
}

impl FeedSource for SubscriberFeed {
    const IS_MEMBER: bool = false;

    fn cluster(&self) -> u128 {
        self.0.cluster
    }

    fn with_table<R>(&self, work: impl FnOnce(&mut FeedTable, Option<Millis>) -> R) -> R {
        self.with_subscriber(|subscriber, now| {
            let stale_ms = subscriber.stale_ms(now);
            work(&mut subscriber.table, stale_ms)
        })
    }

    fn changes(&self) -> watch::Receiver<u64> {
        self.0.table_changes.subscribe()
    }
}
