//! Clients: the listener, and a session for each connection. Speaks RESP2; decides nothing.

mod absent;
mod command;
mod idle;
mod owed;
mod session;

use std::collections::HashSet;
use std::sync::atomic::{AtomicU32, AtomicUsize};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use stonefold_net::{Listener, SocketErrorKind};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::warn;

use idle::IdleConnections;
#[cfg(test)]
pub use owed::Due;
use session::Session;

use crate::bounds::Bounds;
use crate::message::{Message, SharedSettings};
use crate::metrics::Metrics;
use crate::relay::Budget;
use crate::stall::StallMonitor;
use crate::stopping::Plan;

/// After an accept that failed, for want of descriptors say.
const PAUSE: Duration = Duration::from_millis(5);

/// How connections end when the process does.
#[derive(Clone, Default)]
struct Closing {
    /// Those that have had a request close as soon as nothing is owed.
    used: CancellationToken,
    /// Those that have had none close too.
    silent: CancellationToken,
}

/// The clients' front while it serves.
pub struct Front {
    accepting: JoinHandle<()>,
    sessions: TaskTracker,
    closing: Closing,
}

impl Front {
    /// Serves clients that connect to this listener.
    pub fn start(wiring: Wiring, listener: Listener) -> Front {
        let (closing, sessions) = (Closing::default(), TaskTracker::new());
        let clients = Clients::new(wiring, closing.clone(), sessions.clone());
        Front { accepting: tokio::spawn(clients.accept(listener)), sessions, closing }
    }

    /// Stops as planned, from the time on at which word to stop came; ends when all connections have ended, or at the
    /// plan's end.
    pub async fn stop(self, stopped: Instant, plan: Plan) {
        let Front { accepting, sessions, closing } = self;
        sleep_until(stopped + plan.accepts).await;
        accepting.abort();
        let _ = accepting.await; // our descriptor of the listener is closed with it, the listener only if it is the last
        sessions.close();
        closing.used.cancel();
        tokio::select! {
            () = sessions.wait() => return,
            () = sleep_until(stopped + plan.silent) => closing.silent.cancel(),
        }
        tokio::select! {
            () = sessions.wait() => {}
            () = sleep_until(stopped + plan.end) => {}
        }
    }
}

/// The listener's side: what all sessions share.
#[derive(Clone)]
struct Clients {
    to: UnboundedSender<Message>,
    bounds: Bounds,
    terms: watch::Receiver<SharedSettings>,
    /// Connections on which nothing is owed.
    idle: Arc<IdleConnections>,
    /// Told when a session has ended.
    left: Arc<Notify>,
    next_id: Arc<AtomicU32>,
    open_ids: Arc<Mutex<HashSet<Bytes>>>,
    /// Bytes held by the open requests of all connections.
    held: Arc<AtomicUsize>,
    /// Room for buffers that are not small.
    budget: Budget,
    closing: Closing,
    sessions: TaskTracker,
    metrics: Arc<Metrics>,
    stalls: StallMonitor,
}

/// What the clients' side is given by the other parts of the node.
pub struct Wiring {
    pub to: UnboundedSender<Message>,
    pub bounds: Bounds,
    pub terms: watch::Receiver<SharedSettings>,
    pub metrics: Arc<Metrics>,
    pub budget: Budget,
    pub stalls: StallMonitor,
}

impl Clients {
    fn new(wiring: Wiring, closing: Closing, sessions: TaskTracker) -> Self {
        let Wiring { to, bounds, terms, metrics, budget, stalls } = wiring;
        let idle = Arc::new(IdleConnections::new(bounds.resting));
        let (left, next_id, open_ids, held) = Default::default();
        Clients {
            to,
            bounds,
            terms,
            idle,
            left,
            next_id,
            open_ids,
            held,
            budget,
            closing,
            sessions,
            metrics,
            stalls,
        }
    }

    /// Takes connections until it is aborted.
    async fn accept(self, listener: Listener) {
        loop {
            // Guards against: clients that leave no descriptors for the servers, and crowds of silent ones
            // that keep the usual ones out. Beyond the limit each newcomer takes the place of another. What
            // the servers leave free is the clients' too: many have asked once and stay.
            while self.sessions.len() >= self.bounds.limit() {
                self.make_room().await;
            }
            match listener.accept().await {
                Ok(stream) => {
                    let session = Session::new(self.clone());
                    self.sessions.spawn(session.run(stream));
                }
                // Guards against: an exit, or a busy loop, when descriptors run out. Only those make a client's place
                // worth taking.
                Err(error) => {
                    warn!(event = "accept_failed", front = "clients", %error, "a connection is not taken");
                    match SocketErrorKind::of(&error) {
                        SocketErrorKind::DescriptorsExhausted => self.make_room().await,
                        _ => sleep(PAUSE).await,
                    }
                }
            }
        }
    }

    /// Has a connection closed, and waits for its end, or for a while.
    async fn make_room(&self) {
        let left = self.left.notified();
        self.idle.evict_one(Instant::now());
        let _ = timeout(PAUSE, left).await; // looked at again either way
    }
}
