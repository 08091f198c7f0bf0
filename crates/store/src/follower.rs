//! A subscriber as a part of a running node, or a relay: a thread of its own, so that no request waits for it.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tokio_util::sync::{CancellationToken, DropGuard};
use tracing::{info, warn};

use crate::feed::publisher::Limits;
use crate::feed::route::Route;
use crate::feed::subscriber::{FRESH, Subscriber};
use crate::kept::{Kept, KeptError};
use crate::wire::{Feed, KeyError, Keys, OnPurge, Tcp, follow, serve_relay};

/// How often the key file is looked at, and how fresh it all is.
const LOOK: Duration = Duration::from_secs(1);
/// How often it is looked whether the start is over.
const START: Duration = Duration::from_millis(5);
const STACK: usize = 2 << 20;

/// What a subscriber is told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The folder in which it keeps what it acted on.
    pub dir: PathBuf,
    /// Where it serves others as a relay, a loopback address; nowhere if it is absent.
    pub listen: Option<SocketAddr>,
    /// The file of the subscribers' key.
    pub key_file: PathBuf,
    /// The cluster that it follows.
    pub cluster: u128,
    /// Publishers by tier, the nearest first; the last are members.
    pub publishers: Vec<Vec<SocketAddr>>,
    /// The node's start waits for them up to this.
    pub bound: Duration,
}

/// Why a subscriber can't start.
#[derive(Debug, thiserror::Error)]
pub enum FollowerError {
    /// It is no loopback address.
    #[error("{0} is no loopback address: the store listens on those alone")]
    NotLoopback(SocketAddr),
    /// The keys.
    #[error("{0}")]
    Keys(#[from] KeyError),
    /// The folder.
    #[error("{0}")]
    Kept(#[from] KeptError),
    /// The address.
    #[error("cannot listen at {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The thread.
    #[error("the subscriber's thread: {0}")]
    Thread(io::Error),
}

/// A running subscriber, which ends with this.
pub struct Follower {
    /// What it holds.
    pub feed: Feed,
    /// Whether the start is over: a publisher has told what is committed, or was waited for long enough.
    pub ready: watch::Receiver<bool>,
    /// The version of the newest list that the node acted on before it was started; 0 for none.
    pub acted: u64,
    _stop: DropGuard,
}

impl Follower {
    /// Waits until the start is over, or the subscriber has ended; for a caller without a runtime.
    pub fn wait(&self) {
        while !*self.ready.borrow() && self.ready.has_changed().is_ok() {
            thread::sleep(START);
        }
    }
}

/// Starts a subscriber on a thread of its own. `on_purge` is called on it, and must not block.
///
/// # Errors
/// If its folder, key or address can't be used: nothing of it is left running then.
pub fn start(settings: Settings, on_purge: OnPurge) -> Result<Follower, FollowerError> {
    if let Some(listen) = settings.listen.filter(|listen| !listen.ip().is_loopback()) {
        return Err(FollowerError::NotLoopback(listen));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(FollowerError::Thread)?;
    let keys = Keys::read(&settings.key_file)?;
    let tcp = Tcp::subscriber(keys, settings.cluster);
    let (kept, table) = Kept::open(&settings.dir, settings.cluster)?;
    let listener = settings
        .listen
        .map(|at| runtime.block_on(TcpListener::bind(at)).map_err(|error| FollowerError::Listen(at, error)));
    let listener = listener.transpose()?;
    let text = |tier: &Vec<SocketAddr>| tier.iter().map(SocketAddr::to_string).collect();
    let tiers: Vec<Vec<String>> = settings.publishers.iter().map(text).collect();
    let acted = kept.acted();
    let route = Route::new(kept.subscriber(), &tiers, fastrand::u64(..));
    let feed = Feed::new(settings.cluster, Subscriber::new(table, route));
    let (stop, (sender, ready)) = (CancellationToken::new(), watch::channel(false));
    let (follows, ends) = (feed.clone(), stop.clone());
    let work = move || {
        runtime.block_on(async move {
            if let Some(listener) = listener {
                let at = listener.local_addr().ok();
                info!(
                    event = "relay_listening",
                    at = at.map(tracing::field::display),
                    "others may follow this node"
                );
                let limits = Limits::default();
                tokio::spawn(serve_relay(listener, follows.clone(), tcp.clone(), limits, ends.clone()));
            }
            tokio::spawn(follow(follows.clone(), tcp.clone(), Some(kept), on_purge, ends.clone()));
            info!(event = "subscriber_started", "the store's state is followed");
            tokio::select! {
                () = ends.cancelled() => {}
                () = watch_over(&follows, &tcp, &settings, sender) => {}
            }
        });
    };
    thread::Builder::new()
        .name("store".into())
        .stack_size(STACK)
        .spawn(work)
        .map_err(FollowerError::Thread)?;
    Ok(Follower { feed, ready, acted, _stop: stop.drop_guard() })
}

fn fresh(feed: &Feed) -> bool {
    feed.stale_ms().is_some_and(|stale| stale <= FRESH)
}

/// Tells when the start is over, and when what is held gets stale; looks at the keys.
async fn watch_over(feed: &Feed, tcp: &Tcp, settings: &Settings, ready: watch::Sender<bool>) {
    let until = Instant::now() + settings.bound;
    while !fresh(feed) && Instant::now() < until {
        sleep(START).await;
    }
    let mut confirmed = fresh(feed);
    if !confirmed {
        warn!(event = "store_unconfirmed", "the node goes by its own disk, which may be behind");
    }
    ready.send_replace(true);
    loop {
        sleep(LOOK).await;
        match Keys::read(&settings.key_file) {
            Ok(keys) => tcp.set_keys(keys),
            Err(error) => warn!(event = "store_keys_unreadable", %error, "the keys stay as they were"),
        }
        let (now, stale_ms) = (fresh(feed), feed.stale_ms());
        if now != confirmed {
            match now {
                true => info!(event = "store_confirmed", "publishers tell what is committed"),
                false => warn!(event = "store_stale", stale_ms, "no publisher tells what is committed now"),
            }
            confirmed = now;
        }
    }
}
