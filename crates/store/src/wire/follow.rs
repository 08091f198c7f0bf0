//! A subscriber's side: it connects, takes what comes, keeps what it acts on, and lets others read it.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::sync::CancellationToken;
use tracing::{debug, warn};

use super::link::{HANDSHAKE, Introduction, Link, WireError, locked};
use super::publish::Source;
use super::tcp::Tcp;
use crate::feed::frame::{FRAME, Item, Key};
use crate::feed::subscriber::{Action, Event, Figures, Subscriber};
use crate::feed::table::{Held, Table};
use crate::freshness::Millis;
use crate::kept::{Kept, KeptError};
use crate::message::Party;

/// Frames that wait to be taken.
const FRAMES: usize = 4;

/// Is told of purges: [`Event::Purged`] and [`Event::PurgesUnknown`], each once and in order. It must not block.
pub type OnPurge = Box<dyn FnMut(&Event) + Send>;

/// What a node may act on: what is on its disk as well.
#[derive(Debug, Default)]
pub struct View {
    items: BTreeMap<Key, Held>,
    list_version: u64,
}

impl View {
    /// An item, and its revision.
    pub fn item(&self, key: &Key) -> Option<(u64, Item)> {
        let held = self.items.get(key)?;
        Some((held.revision, Item::read(&held.bytes).ok()?))
    }

    /// All items.
    pub fn items(&self) -> &BTreeMap<Key, Held> {
        &self.items
    }

    /// The version of the list; 0 for none.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }
}

/// What a subscriber holds; its clones are the same one.
#[derive(Clone)]
pub struct Feed(Arc<Inner>);

struct Inner {
    cluster: u128,
    core: Mutex<Subscriber>,
    view: RwLock<View>,
    /// Grows with each change of items, and of anything.
    items: watch::Sender<u64>,
    all: watch::Sender<u64>,
    /// The newest list that the node acted on.
    acted: AtomicU64,
    start: Instant,
}

impl Feed {
    /// A subscriber of a cluster.
    pub fn new(cluster: u128, core: Subscriber) -> Feed {
        let (items, list_version) = (core.table.items().clone(), core.table.list_version());
        let view = RwLock::new(View { items, list_version });
        let (core, items, all) = (Mutex::new(core), watch::Sender::new(0), watch::Sender::new(0));
        Feed(Arc::new(Inner {
            cluster,
            core,
            view,
            items,
            all,
            acted: AtomicU64::new(0),
            start: Instant::now(),
        }))
    }

    /// What may be acted on now.
    pub fn view(&self) -> RwLockReadGuard<'_, View> {
        self.0.view.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Grows when what may be acted on has changed.
    pub fn items(&self) -> watch::Receiver<u64> {
        self.0.items.subscribe()
    }

    /// All that was committed so many ms ago is held; nothing if nobody could tell yet.
    pub fn stale_ms(&self) -> Option<Millis> {
        locked(&self.0.core).stale_ms(self.now())
    }

    /// The node acts on a list, whoever told it: from the next frame on that is on the disk.
    pub fn acts_on(&self, version: u64) {
        self.0.acted.fetch_max(version, Ordering::Relaxed);
    }

    /// Counts since the start.
    pub fn figures(&self) -> Figures {
        locked(&self.0.core).figures()
    }

    /// The revision that is held, and the publisher that tells more.
    pub fn standing(&self) -> (u64, Option<String>) {
        let core = locked(&self.0.core);
        (core.table.revision(), core.publisher().map(str::to_owned))
    }

    fn acted(&self) -> u64 {
        self.0.acted.load(Ordering::Relaxed)
    }

    fn now(&self) -> Millis {
        self.0.start.elapsed().as_millis() as Millis
    }

    fn core<R>(&self, work: impl FnOnce(&mut Subscriber, Millis) -> R) -> R {
        let now = self.now();
        work(&mut locked(&self.0.core), now)
    }

    fn at(&self, ms: Millis) -> Instant {
        // At least a little later, so that nothing spins.
        (self.0.start + Duration::from_millis(ms)).max(Instant::now() + Duration::from_millis(1))
    }
}

impl Source for Feed {
    const MEMBER: bool = false;

    fn cluster(&self) -> u128 {
        self.0.cluster
    }

    fn with<R>(&self, work: impl FnOnce(&mut Table, Option<Millis>) -> R) -> R {
        self.core(|core, now| {
            let stale = core.stale_ms(now);
            work(&mut core.table, stale)
        })
    }

    fn changed(&self) -> watch::Receiver<u64> {
        self.0.all.subscribe()
    }
}

/// What a subscriber does with what comes.
struct Taking {
    kept: Option<Kept>,
    /// Whether items are held that are not on the disk yet: they are not acted on.
    unkept: bool,
    on_purge: OnPurge,
}

/// Follows until it is told to stop. `tcp` has the keys; without `kept` nothing outlives the process.
pub async fn follow(feed: Feed, tcp: Tcp, kept: Option<Kept>, on_purge: OnPurge, stop: CancellationToken) {
    let mut taking = Taking { kept, unkept: false, on_purge };
    let work = async {
        loop {
            let action = feed.core(|core, now| core.poll(now).ok_or_else(|| core.due(now)));
            match action {
                Ok(Action::Connect(addr)) => {
                    let ended = session(&feed, &addr, &tcp, &mut taking).await;
                    feed.core(|core, now| core.closed(now));
                    match ended {
                        Ok(()) => debug!(event = "publisher_left", addr, "a publisher is left for another"),
                        Err(error) => told(&feed, &addr, &error),
                    }
                }
                Ok(Action::Send(_) | Action::Close(_)) => {} // there is no connection
                Err(due) => sleep_until(feed.at(due)).await,
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = work => {}
    }
}

/// Of ever more publishers lost or refused, ever fewer lines.
fn told(feed: &Feed, addr: &str, error: &FollowError) {
    let Figures { refused, moves, .. } = feed.figures();
    if moves.is_power_of_two() {
        warn!(event = "publisher_lost", addr, %error, moves, refused, "a publisher of the store's state is left");
    }
}

#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error("{0}")]
    Wire(#[from] WireError),
    #[error("{0}")]
    Refused(#[from] crate::feed::subscriber::Refused),
}

/// One connection, until the core wants another, or it ends.
async fn session(feed: &Feed, addr: &str, tcp: &Tcp, takes: &mut Taking) -> Result<(), FollowError> {
    let me = Introduction { cluster: feed.0.cluster, party: Party::Subscriber, addr: String::new() };
    let keys = tcp.keys();
    let link = timeout(HANDSHAKE, Link::connect(addr, &keys, &me)).await;
    let (mut sending, mut receiving) = link.unwrap_or(Err(WireError::Late))?.split();
    let hello = feed.core(|core, now| core.connected(now));
    sending.bytes(&hello).await?;
    let (frames, mut taken) = mpsc::channel(FRAMES);
    let hearing = async {
        loop {
            let bytes = match receiving.bytes(FRAME).await {
                Ok(bytes) => bytes,
                Err(error @ WireError::Io(_)) => return error,
                Err(error) => {
                    feed.core(|core, _| core.unreadable());
                    return error;
                }
            };
            let _ = frames.send(bytes).await; // whoever takes them is in this very function
        }
    };
    let taking = async {
        loop {
            let due = feed.at(feed.core(|core, now| core.due(now)));
            tokio::select! {
                bytes = taken.recv() => {
                    let Some(bytes) = bytes else { return Ok(()) };
                    takes.take(feed, &bytes)?;
                }
                () = sleep_until(due) => {}
            }
            match feed.core(|core, now| core.poll(now)) {
                Some(Action::Send(bytes)) => {
                    timeout(HANDSHAKE, sending.bytes(&bytes)).await.unwrap_or(Err(WireError::Late))?;
                }
                Some(Action::Close(why)) => {
                    debug!(event = "publisher_left", addr, ?why, "another publisher is tried");
                    return Ok(());
                }
                Some(Action::Connect(_)) | None => {}
            }
        }
    };
    tokio::select! {
        error = hearing => Err(error.into()),
        ended = taking => ended,
    }
}

impl Taking {
    /// Takes a frame.
    fn take(&mut self, feed: &Feed, bytes: &[u8]) -> Result<(), FollowError> {
        for event in feed.core(|core, now| core.received(bytes, now))? {
            match event {
                Event::Changed(_) => self.unkept = true,
                Event::Purged(..) | Event::PurgesUnknown(..) => (self.on_purge)(&event),
            }
        }
        let acted = self.kept.as_ref().is_some_and(|kept| kept.acted() < feed.acted());
        if self.unkept || acted {
            match self.keep(feed) {
                Ok(()) => self.unkept = false,
                // With the next frame it is tried again; there is one each second.
                Err(error) => warn!(event = "state_not_kept", %error, "what has changed is not acted on"),
            }
        }
        feed.0.all.send_modify(|changes| *changes += 1);
        Ok(())
    }

    /// Puts what is held to disk, and then lets the node see it.
    fn keep(&mut self, feed: &Feed) -> Result<(), KeptError> {
        let (revision, items, list_version) = feed
            .core(|core, _| (core.table.revision(), core.table.items().clone(), core.table.list_version()));
        if let Some(kept) = &mut self.kept {
            kept.write(feed.0.cluster, feed.acted(), revision, &items)?;
        }
        let mut view = feed.0.view.write().unwrap_or_else(PoisonError::into_inner);
        view.items = items;
        view.list_version = list_version;
        drop(view);
        feed.0.items.send_modify(|changes| *changes += 1);
        Ok(())
    }
}
