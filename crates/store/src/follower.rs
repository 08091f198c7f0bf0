//! Runs a subscriber beside a node, as a relay if it is configured, on a thread of its own. It is not a follower in
//! Raft's sense: it never votes. The module's name is the target of the thread's log events, and is kept for operators
//! who filter by it.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tokio_util::sync::{CancellationToken, DropGuard};
use tracing::{info, warn};

use crate::feed::publisher::SessionLimits;
use crate::feed::selector::PublisherSelector;
use crate::feed::subscriber::{MAX_FRESH_AGE_MS, Subscriber};
use crate::service::{READY_POLL_INTERVAL, block_until_ready, reload_keys, spawn};
use crate::subscriber_folder::{FolderError, SubscriberFolder};
use crate::wire::{KeyError, Keys, OnPurge, SubscriberFeed, TcpTransport, follow, serve_relay};

/// The interval at which, after the startup, the freshness is checked and the key file is read again.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The settings of a node's subscriber.
#[derive(Clone, Debug)]
pub struct SubscriberSettings {
    /// The folder in which the subscriber saves the state.
    pub dir: PathBuf,
    /// The loopback address at which the subscriber serves others as a relay. `None` if it is not a relay.
    pub listen: Option<SocketAddr>,
    /// The file with the subscribers' keys.
    pub key_file: PathBuf,
    /// The cluster that the subscriber follows.
    pub cluster: u128,
    /// The publishers' addresses by tier, the nearest first. Members are in the last tier.
    pub publishers: Vec<Vec<SocketAddr>>,
    /// How long the startup waits for a publisher to confirm that the state is fresh.
    pub startup_timeout: Duration,
}

/// Why a subscriber can't start.
#[derive(Debug, thiserror::Error)]
pub enum SubscriberDaemonError {
    /// The address is not a loopback address.
    #[error("{0} is not a loopback address: the store listens on loopback addresses only")]
    NotLoopback(SocketAddr),
    /// The key file can't be used.
    #[error("{0}")]
    Keys(#[from] KeyError),
    /// The folder can't be used.
    #[error("{0}")]
    Folder(#[from] FolderError),
    /// Listening at the address has failed.
    #[error("cannot listen at {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The thread can't be started.
    #[error("cannot start the subscriber's thread: {0}")]
    Thread(io::Error),
}

/// A running subscriber. Dropping this stops it.
pub struct SubscriberDaemon {
    /// The state that the subscriber receives.
    pub feed: SubscriberFeed,
    /// Whether the startup is complete: a publisher has confirmed that the state is fresh, or the startup has timed
    /// out.
    pub ready: watch::Receiver<bool>,
    /// The version of the newest list that the node used before this start; 0 for none.
    pub list_in_use: u64,
    _stop: DropGuard,
}

impl SubscriberDaemon {
    /// Blocks until the startup is complete, or the subscriber has stopped.
    pub fn wait(&self) {
        block_until_ready(&self.ready);
    }
}

/// Starts a subscriber on a thread of its own. `on_purge` is called on that thread, and must not block.
///
/// # Errors
/// If the folder, the key file or the address can't be used, or the thread can't be started. Nothing is left running
/// then.
pub fn start(
    settings: SubscriberSettings,
    on_purge: OnPurge,
) -> Result<SubscriberDaemon, SubscriberDaemonError> {
    if let Some(listen) = settings.listen.filter(|listen| !listen.ip().is_loopback()) {
        return Err(SubscriberDaemonError::NotLoopback(listen));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(SubscriberDaemonError::Thread)?;
    let keys = Keys::read(&settings.key_file)?;
    let tcp = TcpTransport::subscriber(keys, settings.cluster);
    let (folder, table) = SubscriberFolder::open(&settings.dir, settings.cluster)?;
    let listener = settings.listen.map(|addr| bind(&runtime, addr)).transpose()?;
    let list_in_use = folder.list_in_use();
    let selector =
        PublisherSelector::new(folder.subscriber(), &publisher_addresses(&settings), fastrand::u64(..));
    let feed = SubscriberFeed::new(settings.cluster, Subscriber::new(table, selector));
    let stop = CancellationToken::new();
    let (ready_sender, ready) = watch::channel(false);
    let thread = SubscriberThread { settings, feed: feed.clone(), tcp, folder, listener, stop: stop.clone() };
    spawn(move || runtime.block_on(thread.run(on_purge, ready_sender)))
        .map_err(SubscriberDaemonError::Thread)?;
    Ok(SubscriberDaemon { feed, ready, list_in_use, _stop: stop.drop_guard() })
}

fn bind(runtime: &Runtime, addr: SocketAddr) -> Result<TcpListener, SubscriberDaemonError> {
    runtime.block_on(TcpListener::bind(addr)).map_err(|error| SubscriberDaemonError::Listen(addr, error))
}

/// The publishers' addresses as text, by tier.
fn publisher_addresses(settings: &SubscriberSettings) -> Vec<Vec<String>> {
    let addresses = |tier: &Vec<SocketAddr>| tier.iter().map(SocketAddr::to_string).collect();
    settings.publishers.iter().map(addresses).collect()
}

/// A subscriber, as its thread runs it.
struct SubscriberThread {
    settings: SubscriberSettings,
    feed: SubscriberFeed,
    tcp: TcpTransport,
    folder: SubscriberFolder,
    listener: Option<TcpListener>,
    stop: CancellationToken,
}

impl SubscriberThread {
    async fn run(self, on_purge: OnPurge, ready: watch::Sender<bool>) {
        let SubscriberThread { settings, feed, tcp, folder, listener, stop } = self;
        if let Some(listener) = listener {
            let addr = listener.local_addr().ok();
            info!(
                event = "relay_listening",
                at = addr.map(tracing::field::display),
                "the relay accepts subscribers"
            );
            let limits = SessionLimits::default();
            tokio::spawn(serve_relay(listener, feed.clone(), tcp.clone(), limits, stop.clone()));
        }
        tokio::spawn(follow(feed.clone(), tcp.clone(), Some(folder), on_purge, stop.clone()));
        info!(event = "subscriber_started", "the subscriber follows the store's state");
        tokio::select! {
            () = stop.cancelled() => {}
            () = monitor_freshness(&feed, &tcp, &settings, ready) => {}
        }
    }
}

fn is_fresh(feed: &SubscriberFeed) -> bool {
    feed.stale_ms().is_some_and(|stale_ms| stale_ms <= MAX_FRESH_AGE_MS)
}

/// Signals when the startup is complete, and then logs when the state becomes stale or fresh again.
async fn monitor_freshness(
    feed: &SubscriberFeed,
    tcp: &TcpTransport,
    settings: &SubscriberSettings,
    ready: watch::Sender<bool>,
) {
    let deadline = Instant::now() + settings.startup_timeout;
    while !is_fresh(feed) && Instant::now() < deadline {
        sleep(READY_POLL_INTERVAL).await;
    }
    let mut was_fresh = is_fresh(feed);
    if !was_fresh {
        warn!(
            event = "store_unconfirmed",
            "no publisher has confirmed the state in time; the node uses the state on its disk, which may be stale"
        );
    }
    ready.send_replace(true);
    loop {
        sleep(CHECK_INTERVAL).await;
        reload_keys(tcp, &settings.key_file);
        let (fresh, stale_ms) = (is_fresh(feed), feed.stale_ms());
        if fresh && !was_fresh {
            info!(event = "store_confirmed", "a publisher confirms that the state is fresh");
        } else if was_fresh && !fresh {
            warn!(event = "store_stale", stale_ms, "no publisher confirms that the state is fresh");
        }
        was_fresh = fresh;
    }
}
