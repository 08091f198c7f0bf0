//! Runs a member of the store beside a node, on a separate thread.

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
use crate::replica::{Replica, ReplicaOptions, StartError};
use crate::service::{block_until_ready, reload_keys, spawn};
use crate::wire::{KeyError, Keys, TcpTransport, serve};

/// The interval, after the startup, at which the committed index is confirmed by a quorum and the key file is reread.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// The settings of a node's member of the store.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The folder that holds the store's file.
    pub dir: PathBuf,
    /// The loopback address that the member listens on.
    pub listen: SocketAddr,
    /// The file with the key that all members share.
    pub key_file: PathBuf,
    /// How long the node's startup waits for the other members.
    pub startup_timeout: Duration,
}

/// The reason why a node's member of the store can't start.
#[derive(Debug, thiserror::Error)]
pub enum MemberDaemonError {
    /// The address is not a loopback address.
    #[error("{0} is no loopback address: the store listens only on loopback addresses")]
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
    /// Binding to the address failed.
    #[error("cannot listen at {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The thread can't be started, or ended during its start.
    #[error("cannot run the store's thread: {0}")]
    Thread(io::Error),
}

/// A running member of the store. Dropping this value stops the member.
pub struct MemberDaemon {
    /// The member's replica.
    pub replica: Replica<TcpTransport>,
    /// Whether the startup is complete: a quorum has confirmed what is committed, or the startup has timed out.
    pub ready: watch::Receiver<bool>,
    _stop: DropGuard,
}

impl MemberDaemon {
    /// Blocks until the startup is complete, or the member has stopped.
    pub fn wait(&self) {
        block_until_ready(&self.ready);
    }
}

/// Starts a member of the store on a separate thread.
///
/// # Errors
/// If its folder, key or address can't be used. On an error nothing is left running.
pub fn start(settings: MemberSettings) -> Result<MemberDaemon, MemberDaemonError> {
    if !settings.listen.ip().is_loopback() {
        return Err(MemberDaemonError::NotLoopback(settings.listen));
    }
    let (start_sender, start_result) = mpsc::sync_channel(1);
    let (ready_sender, ready) = watch::channel(false);
    let stop = CancellationToken::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(MemberDaemonError::Thread)?;
    let thread_stop = stop.clone();
    let run = move || {
        runtime.block_on(async move {
            match MemberThread::start(settings).await {
                Ok(member) => {
                    let _ = start_sender.send(Ok(member.replica.clone())); // `start` waits for it
                    member.run(ready_sender, thread_stop).await;
                }
                Err(error) => _ = start_sender.send(Err(error)),
            }
        });
    };
    spawn(run).map_err(MemberDaemonError::Thread)?;
    let thread_ended = |_| MemberDaemonError::Thread(io::Error::other("it ended during its start"));
    let replica = start_result.recv().map_err(thread_ended)??;
    Ok(MemberDaemon { replica, ready, _stop: stop.drop_guard() })
}

/// The parts of a member that its thread owns.
struct MemberThread {
    replica: Replica<TcpTransport>,
    listener: TcpListener,
    tcp: TcpTransport,
    settings: MemberSettings,
}

impl MemberThread {
    async fn start(settings: MemberSettings) -> Result<MemberThread, MemberDaemonError> {
        let keys = Keys::read(&settings.key_file)?;
        let disk = Disk::open(&settings.dir)?;
        let addr = settings.listen;
        let listener =
            TcpListener::bind(addr).await.map_err(|error| MemberDaemonError::Listen(addr, error))?;
        let identity = disk.identity();
        let tcp = TcpTransport::member(keys, identity.cluster, identity.member, addr.to_string());
        let options = ReplicaOptions {
            startup_timeout: settings.startup_timeout,
            ..ReplicaOptions::new(addr.to_string())
        };
        let replica = Replica::start(disk, options, tcp.clone()).await?;
        info!(event = "store_started", member = identity.member, at = %addr, "the store's replica has started");
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
                error,
                "no quorum has confirmed the state: the node uses the one on its own disk, which may be stale"
            );
        }
        ready.send_replace(true);
        confirm_regularly(&replica, &tcp, &settings, is_confirmed, &stop).await;
        replica.stop().await;
        server.abort();
    }
}

/// Waits until a quorum has confirmed what is committed, or the startup has timed out. Returns the result of the last
/// attempt.
async fn wait_for_startup(replica: &Replica<TcpTransport>, timeout: Duration) -> Result<(), RequestError> {
    let mut last_result = Ok(());
    while !replica.freshness(|freshness, now| freshness.startup_complete(now)) {
        last_result = replica.confirm(Instant::now() + timeout.min(CONFIRM_INTERVAL)).await;
    }
    last_result
}

/// Confirms regularly what is committed until the member is stopped. Logs when a quorum begins to answer and when it
/// ceases to.
async fn confirm_regularly(
    replica: &Replica<TcpTransport>,
    tcp: &TcpTransport,
    settings: &MemberSettings,
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
            info!(event = "store_confirmed", "a quorum of the store's members answers");
        } else if was_confirmed && !is_confirmed {
            let stale_ms = replica.status().stale_ms;
            warn!(
                event = "store_stale",
                stale_ms, "no quorum of the store's members answers: changes are rejected"
            );
        }
        was_confirmed = is_confirmed;
    }
}
