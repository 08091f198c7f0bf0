//! The state that a subscriber receives, as its node and its relay's subscribers read it.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::connection::lock;
use super::publish::Source;
use crate::feed::frame::{Item, ItemKey};
use crate::feed::subscriber::{Counters, Subscriber};
use crate::feed::table::{EncodedItem, Table};
use crate::freshness::Millis;

/// The shortest time until the subscriber is polled again, so that it isn't polled in a busy loop.
const MIN_POLL_DELAY: Duration = Duration::from_millis(1);

/// The state that a node may use: it is saved on its disk.
#[derive(Debug, Default)]
pub struct View {
    items: BTreeMap<ItemKey, EncodedItem>,
    list_version: u64,
}

impl View {
    /// An item, and its revision.
    pub fn item(&self, key: &ItemKey) -> Option<(u64, Item)> {
        let item = self.items.get(key)?;
        Some((item.revision, Item::decode(&item.bytes).ok()?))
    }

    /// All items.
    pub fn items(&self) -> &BTreeMap<ItemKey, EncodedItem> {
        &self.items
    }

    /// The version of the list; 0 for none.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }
}

/// The state of a subscriber; its clones are the same one.
#[derive(Clone)]
pub struct Feed(Arc<Inner>);

struct Inner {
    cluster: u128,
    subscriber: Mutex<Subscriber>,
    view: RwLock<View>,
    /// Counts changes of the view.
    view_changes: watch::Sender<u64>,
    /// Counts frames.
    table_changes: watch::Sender<u64>,
    /// The newest list that the node has used.
    list_in_use: AtomicU64,
    start: Instant,
}

impl Feed {
    /// The feed of a cluster's subscriber.
    pub fn new(cluster: u128, subscriber: Subscriber) -> Feed {
        let (items, list_version) = (subscriber.table.items().clone(), subscriber.table.list_version());
        Feed(Arc::new(Inner {
            cluster,
            subscriber: Mutex::new(subscriber),
            view: RwLock::new(View { items, list_version }),
            view_changes: watch::Sender::new(0),
            table_changes: watch::Sender::new(0),
            list_in_use: AtomicU64::new(0),
            start: Instant::now(),
        }))
    }

    /// The state that the node may use now.
    pub fn view(&self) -> RwLockReadGuard<'_, View> {
        self.0.view.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts the changes of the view.
    pub fn view_changes(&self) -> watch::Receiver<u64> {
        self.0.view_changes.subscribe()
    }

    /// Everything that was committed this many ms ago has been received; nothing if no publisher has confirmed it yet.
    pub fn stale_ms(&self) -> Option<Millis> {
        lock(&self.0.subscriber).stale_ms(self.now())
    }

    /// Notes that the node uses a list, whichever way it came. It is saved with the next frame.
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

    /// The publisher that the subscriber is connected to.
    pub fn publisher(&self) -> Option<String> {
        lock(&self.0.subscriber).publisher().map(str::to_owned)
    }

    pub(super) fn list_in_use(&self) -> u64 {
        self.0.list_in_use.load(Ordering::Relaxed)
    }

    fn now(&self) -> Millis {
        self.0.start.elapsed().as_millis() as Millis
    }

    /// Runs `work` on the subscriber, with the current time.
    pub(super) fn with_subscriber<R>(&self, work: impl FnOnce(&mut Subscriber, Millis) -> R) -> R {
        let now = self.now();
        work(&mut lock(&self.0.subscriber), now)
    }

    /// The point in time at which the subscriber's clock shows this, or shortly if that is past.
    pub(super) fn instant(&self, time: Millis) -> Instant {
        (self.0.start + Duration::from_millis(time)).max(Instant::now() + MIN_POLL_DELAY)
    }

    /// Replaces the view.
    pub(super) fn set_view(&self, items: BTreeMap<ItemKey, EncodedItem>, list_version: u64) {
        let mut view = self.0.view.write().unwrap_or_else(PoisonError::into_inner);
        *view = View { items, list_version };
        drop(view);
        self.0.view_changes.send_modify(|changes| *changes += 1);
    }

    pub(super) fn notify_table_change(&self) {
        self.0.table_changes.send_modify(|changes| *changes += 1);
    }
}

impl Source for Feed {
    const IS_MEMBER: bool = false;

    fn cluster(&self) -> u128 {
        self.0.cluster
    }

    fn with_table<R>(&self, work: impl FnOnce(&mut Table, Option<Millis>) -> R) -> R {
        self.with_subscriber(|subscriber, now| {
            let stale_ms = subscriber.stale_ms(now);
            work(&mut subscriber.table, stale_ms)
        })
    }

    fn changes(&self) -> watch::Receiver<u64> {
        self.0.table_changes.subscribe()
    }
}
