//! The store as a part of a running node: a thread of its own, so that no request waits for its disk.

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

use crate::disk::{Disk, DiskError};
use crate::replica::{Options, Replica, StartError};
use crate::wire::{KeyError, Keys, Tcp, serve};

/// How often the others are asked what is committed, once the start is over; and the key file is looked at.
const CONFIRM: Duration = Duration::from_secs(1);
/// How often a caller without a runtime looks.
const LOOK: Duration = Duration::from_millis(5);
const STACK: usize = 2 << 20;

/// What a node's store is told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The folder it is kept in.
    pub dir: PathBuf,
    /// Where others reach it: a loopback address.
    pub listen: SocketAddr,
    /// The file of the key that all members share.
    pub key_file: PathBuf,
    /// The node's start waits for the others up to this.
    pub bound: Duration,
}

/// Why a node's store can't start.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// It is no loopback address.
    #[error("{0} is no loopback address: the store listens on those alone")]
    NotLoopback(SocketAddr),
    /// The keys.
    #[error("{0}")]
    Keys(#[from] KeyError),
    /// The disk.
    #[error("{0}")]
    Disk(#[from] DiskError),
    /// What is on it.
    #[error("{0}")]
    Start(#[from] StartError),
    /// The address.
    #[error("cannot listen at {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The thread.
    #[error("the store's thread: {0}")]
    Thread(io::Error),
}

/// A running store, which ends with this.
pub struct Daemon {
    /// Its replica.
    pub replica: Replica<Tcp>,
    /// Whether the start is over: what is committed is known, or was waited for long enough.
    pub ready: watch::Receiver<bool>,
    _stop: DropGuard,
}

impl Daemon {
    /// Waits until the start is over, or the store has ended; for a caller without a runtime.
    pub fn wait(&self) {
        while !*self.ready.borrow() && self.ready.has_changed().is_ok() {
            thread::sleep(LOOK);
        }
    }
}

/// Starts a store on a thread of its own.
///
/// # Errors
/// If its folder, key or address can't be used: nothing of it is left running then.
pub fn start(settings: Settings) -> Result<Daemon, DaemonError> {
    if !settings.listen.ip().is_loopback() {
        return Err(DaemonError::NotLoopback(settings.listen));
    }
    let (told, hears) = std::sync::mpsc::sync_channel(1);
    let stop = CancellationToken::new();
    let (sender, ready) = watch::channel(false);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(DaemonError::Thread)?;
    let ends = stop.clone();
    let work = move || {
        runtime.block_on(async move {
            match begin(&settings).await {
                Ok((replica, listener, tcp)) => {
                    let _ = told.send(Ok(replica.clone())); // whoever waits for it does so below
                    run(replica, listener, tcp, &settings, sender, ends).await;
                }
                Err(error) => _ = told.send(Err(error)),
            }
        });
    };
    thread::Builder::new().name("store".into()).stack_size(STACK).spawn(work).map_err(DaemonError::Thread)?;
    let ended = |_| DaemonError::Thread(io::Error::other("it ended at its start"));
    let replica = hears.recv().map_err(ended)??;
    Ok(Daemon { replica, ready, _stop: stop.drop_guard() })
}

async fn begin(settings: &Settings) -> Result<(Replica<Tcp>, TcpListener, Tcp), DaemonError> {
    let keys = Keys::read(&settings.key_file)?;
    let disk = Disk::open(&settings.dir)?;
    let at = settings.listen;
    let listener = TcpListener::bind(at).await.map_err(|error| DaemonError::Listen(at, error))?;
    let identity = disk.identity();
    let tcp = Tcp::member(keys, identity.cluster, identity.member, at.to_string());
    let options = Options { bound: settings.bound, ..Options::at(at.to_string()) };
    let replica = Replica::start(disk, options, tcp.clone()).await?;
    info!(event = "store_started", member = identity.member, at = %at, "the store's replica runs");
    Ok((replica, listener, tcp))
}

async fn run(
    replica: Replica<Tcp>,
    listener: TcpListener,
    tcp: Tcp,
    settings: &Settings,
    ready: watch::Sender<bool>,
    stop: CancellationToken,
) {
    let serving = tokio::spawn(serve(listener, replica.clone(), tcp.clone(), stop.clone()));
    let mut first = Ok(());
    while !replica.freshness(|freshness, now| freshness.ready(now)) {
        first = replica.confirm(Instant::now() + settings.bound.min(CONFIRM)).await;
    }
    let mut confirmed = replica.freshness(|freshness, _| freshness.is_confirmed());
    if !confirmed {
        let error = first.err().map(|error| error.to_string());
        warn!(event = "store_unconfirmed", error, "the node goes by its own disk, which may be behind");
    }
    ready.send_replace(true);
    while !stop.is_cancelled() {
        tokio::select! {
            () = stop.cancelled() => {}
            () = sleep(CONFIRM) => {
                match Keys::read(&settings.key_file) {
                    Ok(keys) => tcp.set_keys(keys),
                    Err(error) => warn!(event = "store_keys_unreadable", %error, "the keys stay as they were"),
                }
                let now = replica.confirm(Instant::now() + CONFIRM).await.is_ok();
                if now != confirmed {
                    let stale_ms = replica.status().stale_ms;
                    match now {
                        true => info!(event = "store_confirmed", "a quorum of the store answers"),
                        false => warn!(event = "store_stale", stale_ms, "no quorum of the store: no changes are taken"),
                    }
                    confirmed = now;
                }
            }
        }
    }
    replica.stop().await;
    serving.abort();
}
