//! Serves clients: accepts their connections and runs a session for each. Translates RESP2 to messages for the driver,
//! which makes all decisions about requests.

mod command;
mod disconnect;
mod idle;
mod pending_replies;
mod session;
mod turns;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize};
use std::time::Duration;

use stonefold_net::{Listener, SocketErrorKind, descriptor_available};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::warn;

use idle::IdleConnections;
use pending_replies::OpenRequestIds;
#[cfg(test)]
pub(crate) use pending_replies::ReplyDeadline;
pub(crate) use pending_replies::RequestMemory;
use session::Session;
use turns::TurnSchedule;

use crate::client_limits::ClientLimits;
use crate::memory_budget::MemoryBudget;
use crate::message::{Message, SharedSettings};
use crate::metrics::Metrics;
use crate::shutdown::ShutdownSchedule;
use crate::stall::StallMonitor;

/// How long to wait after a failed `accept` before the next one.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How long to wait for an evicted connection to close before the limits are checked again.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(5);

/// What the sessions need from the other parts of the node.
pub(crate) struct ClientContext {
    /// Sends messages to the driver.
    pub(crate) driver: UnboundedSender<Message>,
    pub(crate) limits: ClientLimits,
    pub(crate) settings: watch::Receiver<SharedSettings>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) budget: MemoryBudget,
    pub(crate) stalls: StallMonitor,
}

/// The listener for clients and all their sessions.
pub(crate) struct ClientServer {
    accepting: JoinHandle<()>,
    sessions: TaskTracker,
    closing: ClosingTokens,
}

impl ClientServer {
    /// Starts to accept connections.
    pub(crate) fn start(context: ClientContext, listener: Listener) -> ClientServer {
        let closing = ClosingTokens::default();
        let sessions = TaskTracker::new();
        let acceptor = Acceptor {
            session_context: SessionContext::new(context, closing.clone()),
            sessions: sessions.clone(),
        };
        ClientServer { accepting: tokio::spawn(acceptor.run(listener)), sessions, closing }
    }

    /// Shuts down on a schedule that counts from `stopped_at`. Returns when all connections have ended. From the
    /// schedule's `close_all_at` on only those stay open whose clients are still taking replies: the kill at the end of
    /// the shutdown loses none of these, but an exit before it would.
    pub(crate) async fn stop(self, stopped_at: Instant, schedule: ShutdownSchedule) {
        let ClientServer { accepting, sessions, closing } = self;
        sleep_until(stopped_at + schedule.accept_until).await;
        accepting.abort();
        let _ = accepting.await; // closes this process's descriptor of the listener, which a successor may share
        sessions.close();
        closing.used.cancel();
        tokio::select! {
            () = sessions.wait() => return,
            () = sleep_until(stopped_at + schedule.close_unused_at) => closing.unused.cancel(),
        }
        tokio::select! {
            () = sessions.wait() => return,
            () = sleep_until(stopped_at + schedule.close_all_at) => closing.all.cancel(),
        }
        sessions.wait().await;
    }
}

/// Tells sessions to close during a shutdown.
#[derive(Clone, Default)]
struct ClosingTokens {
    /// Closes connections that have had a request, each as soon as it has no pending reply.
    used: CancellationToken,
    /// Closes connections that have had no request.
    unused: CancellationToken,
    /// Closes every connection that has no pending reply, even in the middle of a command.
    all: CancellationToken,
}

/// What all sessions share.
#[derive(Clone)]
struct SessionContext {
    /// Sends messages to the driver.
    driver: UnboundedSender<Message>,
    limits: ClientLimits,
    settings: watch::Receiver<SharedSettings>,
    idle: Arc<IdleConnections>,
    turns: Arc<TurnSchedule>,
    /// Notified when a session has ended.
    session_ended: Arc<Notify>,
    next_request_id: Arc<AtomicU32>,
    open_request_ids: OpenRequestIds,
    /// The memory of the open requests and pending replies of all connections, in bytes.
    request_memory: Arc<AtomicUsize>,
    /// The memory for read buffers larger than the small one that each connection has, and for values in transit.
    budget: MemoryBudget,
    closing: ClosingTokens,
    metrics: Arc<Metrics>,
    stalls: StallMonitor,
}

impl SessionContext {
    fn new(context: ClientContext, closing: ClosingTokens) -> Self {
        let ClientContext { driver, limits, settings, metrics, budget, stalls } = context;
        SessionContext {
            driver,
            idle: Arc::new(IdleConnections::new(limits.idle_connections)),
            turns: Arc::new(TurnSchedule::new()),
            limits,
            settings,
            session_ended: Arc::default(),
            next_request_id: Arc::default(),
            open_request_ids: OpenRequestIds::default(),
            request_memory: Arc::default(),
            budget,
            closing,
            metrics,
            stalls,
        }
    }
}

/// Accepts connections and starts their sessions.
struct Acceptor {
    session_context: SessionContext,
    sessions: TaskTracker,
}

impl Acceptor {
    /// Runs until it is aborted.
    ///
    /// At the limit each new connection replaces another one. The limit leaves descriptors for connections to servers,
    /// and the replacement lets new clients in however many unused connections there are. An error of `accept` must
    /// neither end the loop nor make it spin.
    async fn run(self, listener: Listener) {
        loop {
            while self.sessions.len() >= self.session_context.limits.max_connections() {
                self.evict_connection().await;
            }
            match listener.accept().await {
                Ok(socket) => {
                    let session = Session::new(self.session_context.clone());
                    self.sessions.spawn(session.run(socket));
                }
                Err(error) => {
                    warn!(event = "accept_failed", front = "clients", %error, "failed to accept a client connection");
                    let exhausted = SocketErrorKind::of(&error) == SocketErrorKind::DescriptorsExhausted;
                    if exhausted && !descriptor_available() {
                        self.evict_connection().await;
                    } else {
                        sleep(ACCEPT_RETRY_INTERVAL).await;
                    }
                }
            }
        }
    }

    /// Evicts a connection, and waits up to [`EVICTION_TIMEOUT`] for a session to end.
    async fn evict_connection(&self) {
        let session_ended = self.session_context.session_ended.notified();
        self.session_context.idle.evict_one(Instant::now());
        let _ = timeout(EVICTION_TIMEOUT, session_ended).await; // the caller checks the limit again
    }
}
