//! A member of the store beside a node, on a thread of its own.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tokio_util::sync::{CancellationToken, DropGuard};
use tracing::{info, warn};

use crate::disk::{Disk, DiskError};
use crate::message::RequestError;
use crate::replica::{Options, Replica, StartError};
use crate::service::{block_until_ready, reload_keys, spawn};
use crate::wire::{KeyError, Keys, TcpTransport, serve};

/// How often, after the startup, a quorum is asked what is committed, and the key file is read again.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// The settings of a node's member of the store.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The folder of the store's file.
    pub dir: PathBuf,
    /// The address that it listens at, a loopback address.
    pub listen: SocketAddr,
    /// The file of the key that all members share.
    pub key_file: PathBuf,
    /// How long the node's startup waits for the other members.
    pub startup_timeout: Duration,
}

/// Why a node's member of the store can't start.
#[derive(Debug, thiserror::Error)]
pub enum MemberDaemonError {
    /// The address is no loopback address.
    #[error("{0} is no loopback address: the store listens on those alone")]
    NotLoopback(SocketAddr),
    /// The key file can't be used.
    #[error("{0}")]
    Keys(#[from] KeyError),
    /// The disk can't be used.
    #[error("{0}")]
    Disk(#[from] DiskError),
    /// The replica can't start.
    #[error("{0}")]
    Start(#[from] StartError),
    /// The address can't be listened at.
    #[error("cannot listen at {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The thread can't be started.
    #[error("the store's thread: {0}")]
    Thread(io::Error),
}

/// A running member of the store, which stops when this is dropped.
pub struct MemberDaemon {
    /// The member's replica.
    pub replica: Replica<TcpTransport>,
    /// Whether the startup is complete: what is committed is known, or the startup has timed out.
    pub ready: watch::Receiver<bool>,
    _stop: DropGuard,
}

impl MemberDaemon {
    /// Blocks until the startup is complete, or the member has stopped.
    pub fn wait(&self) {
        block_until_ready(&self.ready);
    }
}

/// Starts a member of the store on a thread of its own.
///
/// # Errors
/// If its folder, key or address can't be used. Nothing is left running then.
pub fn start(settings: Settings) -> Result<MemberDaemon, MemberDaemonError> {
    if !settings.listen.ip().is_loopback() {
        return Err(MemberDaemonError::NotLoopback(settings.listen));
    }
    let (started, starting) = mpsc::sync_channel(1);
    let (ready_sender, ready) = watch::channel(false);
    let stop = CancellationToken::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(MemberDaemonError::Thread)?;
    let stopped = stop.clone();
    let run = move || {
        runtime.block_on(async move {
            match MemberThread::start(settings).await {
                Ok(member) => {
                    let _ = started.send(Ok(member.replica.clone())); // it is received below
                    member.run(ready_sender, stopped).await;
                }
                Err(error) => _ = started.send(Err(error)),
            }
        });
    };
    spawn(run).map_err(MemberDaemonError::Thread)?;
    let ended = |_| MemberDaemonError::Thread(io::Error::other("it ended at its start"));
    let replica = starting.recv().map_err(ended)??;
    Ok(MemberDaemon { replica, ready, _stop: stop.drop_guard() })
}

/// The member as its thread runs it.
struct MemberThread {
    replica: Replica<TcpTransport>,
    listener: TcpListener,
    tcp: TcpTransport,
    settings: Settings,
}

impl MemberThread {
    async fn start(settings: Settings) -> Result<MemberThread, MemberDaemonError> {
        let keys = Keys::read(&settings.key_file)?;
        let disk = Disk::open(&settings.dir)?;
        let addr = settings.listen;
        let listener =
            TcpListener::bind(addr).await.map_err(|error| MemberDaemonError::Listen(addr, error))?;
        let identity = disk.identity();
        let tcp = TcpTransport::member(keys, identity.cluster, identity.member, addr.to_string());
        let options = Options { startup_timeout: settings.startup_timeout, ..Options::new(addr.to_string()) };
        let replica = Replica::start(disk, options, tcp.clone()).await?;
        info!(event = "store_started", member = identity.member, at = %addr, "the store's replica runs");
        Ok(MemberThread { replica, listener, tcp, settings })
    }

    async fn run(self, ready: watch::Sender<bool>, stop: CancellationToken) {
        let MemberThread { replica, listener, tcp, settings } = self;
        let server = tokio::spawn(serve(listener, replica.clone(), tcp.clone(), stop.clone()));
        let confirmation = wait_for_startup(&replica, settings.startup_timeout).await;
        let is_confirmed = replica.freshness(|freshness, _| freshness.is_confirmed());
        if !is_confirmed {
            let error = confirmation.err().map(|error| error.to_string());
            warn!(
                event = "store_unconfirmed",
                error, "the node uses the state on its own disk, which may be stale"
            );
        }
        ready.send_replace(true);
        confirm_regularly(&replica, &tcp, &settings, is_confirmed, &stop).await;
        replica.stop().await;
        server.abort();
    }
}

/// Waits until a quorum has confirmed what is committed, or the startup has timed out; the last attempt's result.
async fn wait_for_startup(replica: &Replica<TcpTransport>, timeout: Duration) -> Result<(), RequestError> {
    let mut last = Ok(());
    while !replica.freshness(|freshness, now| freshness.startup_complete(now)) {
        last = replica.confirm(Instant::now() + timeout.min(CONFIRM_INTERVAL)).await;
    }
    last
}

/// Asks a quorum regularly what is committed until the member is stopped, and logs when there is none and when there is
/// one again.
async fn confirm_regularly(
    replica: &Replica<TcpTransport>,
    tcp: &TcpTransport,
    settings: &Settings,
    mut was_confirmed: bool,
    stop: &CancellationToken,
) {
    while !stop.is_cancelled() {
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(CONFIRM_INTERVAL) => {}
        }
        reload_keys(tcp, &settings.key_file);
        let is_confirmed = replica.confirm(Instant::now() + CONFIRM_INTERVAL).await.is_ok();
        if is_confirmed && !was_confirmed {
            info!(event = "store_confirmed", "a quorum of the store answers");
        } else if was_confirmed && !is_confirmed {
            let stale_ms = replica.status().stale_ms;
            warn!(event = "store_stale", stale_ms, "no quorum of the store answers: changes are rejected");
        }
        was_confirmed = is_confirmed;
    }
}
