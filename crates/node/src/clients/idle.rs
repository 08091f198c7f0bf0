//! The client connections without a pending reply or with a client that takes nothing of its reply, and the order in
//! which they are evicted.

use std::collections::BTreeMap;
use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until};

use crate::write_progress::LastProgress;

/// The age before which a new connection is not evicted if there is another choice, since its first request may be on
/// its way.
const NEW_CONNECTION_PERIOD: Duration = Duration::from_millis(300);
/// A connection is not evicted for a new one this soon after its last reply, since its next request may be on its way.
const RECENT_USE_PERIOD: Duration = Duration::from_secs(2);
/// A connection may be evicted for a new one once its client has taken nothing of its reply for this long.
const STALL_EVICTION_AGE: Duration = Duration::from_secs(5);
/// How often a stalled connection checks whether its client takes something again.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The state of a connection that may be evicted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum IdleState {
    /// The client has not sent a request yet.
    Unused,
    /// All requests of the client have been answered.
    BetweenRequests,
    /// The client has sent a part of a command.
    Sending,
    /// The client has taken nothing of its reply for [`STALL_EVICTION_AGE`].
    Stalled,
}

/// The position of a connection in the ranking: by state, then by how long it has been in that state. The number makes
/// it unique.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    state: IdleState,
    since: Instant,
    number: u64,
}

/// The connections by rank.
#[derive(Default)]
struct Ranking {
    /// Dropping a sender evicts its connection.
    entries: BTreeMap<Rank, oneshot::Sender<()>>,
    last_number: u64,
}

impl Ranking {
    /// The connection that has been in this state for longest.
    fn first(&self, state: IdleState) -> Option<Rank> {
        self.entries.keys().find(|rank| rank.state == state).copied()
    }

    fn count(&self, state: IdleState) -> usize {
        self.entries.keys().filter(|rank| rank.state == state).count()
    }
}

/// All client connections that may be evicted.
pub(crate) struct IdleConnections {
    ranking: Mutex<Ranking>,
    max_between_requests: usize,
}

impl IdleConnections {
    /// Creates an empty set that allows `max_between_requests` connections to be idle between requests.
    pub(crate) fn new(max_between_requests: usize) -> Self {
        IdleConnections { ranking: Mutex::default(), max_between_requests }
    }

    fn ranking(&self) -> MutexGuard<'_, Ranking> {
        self.ranking.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a connection for as long as the returned slot exists. If too many connections are idle between
    /// requests, the one that has been so for longest is evicted.
    ///
    /// The limit protects the node from clients that open a connection per request and never close it. Its cost is that
    /// a client that takes turns with more connections than the limit has to open a new one for each request.
    pub(crate) fn register(self: &Arc<Self>, state: IdleState, since: Instant) -> IdleSlot {
        let mut ranking = self.ranking();
        ranking.last_number += 1;
        let rank = Rank { state, since, number: ranking.last_number };
        let (sender, evicted) = oneshot::channel();
        ranking.entries.insert(rank, sender);
        if state == IdleState::BetweenRequests && ranking.count(state) > self.max_between_requests {
            let first = ranking.first(state);
            first.and_then(|rank| ranking.entries.remove(&rank));
        }
        drop(ranking);
        IdleSlot { rank, evicted, all: self.clone() }
    }

    /// Evicts one connection, by the first of these rules that finds one: an unused connection that is not new; one
    /// between requests that was not used recently; any unused one; one whose client takes nothing of its reply; one that
    /// is sending a command. A connection between requests that was used recently is never evicted here, since its next
    /// request may be on its way.
    pub(crate) fn evict_one(&self, now: Instant) {
        let mut ranking = self.ranking();
        let unused = ranking.first(IdleState::Unused);
        let between_requests = ranking.first(IdleState::BetweenRequests);
        let stalled = ranking.first(IdleState::Stalled);
        let sending = ranking.first(IdleState::Sending);
        let chosen = unused
            .filter(|rank| now >= rank.since + NEW_CONNECTION_PERIOD)
            .or(between_requests.filter(|rank| now >= rank.since + RECENT_USE_PERIOD))
            .or(unused)
            .or(stalled)
            .or(sending);
        if let Some(rank) = chosen {
            ranking.entries.remove(&rank);
        }
    }
}

/// The registration of a connection in [`IdleConnections`], removed on drop.
pub(crate) struct IdleSlot {
    rank: Rank,
    evicted: oneshot::Receiver<()>,
    all: Arc<IdleConnections>,
}

impl IdleSlot {
    /// The state that the connection was registered with.
    pub(crate) fn state(&self) -> IdleState {
        self.rank.state
    }

    /// Waits until the connection is evicted. Without a slot it waits forever.
    pub(crate) async fn evicted(slot: &mut Option<IdleSlot>) {
        match slot {
            Some(slot) => _ = (&mut slot.evicted).await,
            None => pending().await,
        }
    }
}

/// Waits until a connection is evicted because its client takes nothing of the reply that is being written.
pub(crate) async fn evicted_while_stalled(all: &Arc<IdleConnections>, progress: LastProgress) {
    loop {
        let last_progress = progress.at();
        sleep_until(last_progress + STALL_EVICTION_AGE).await;
        if progress.at() != last_progress {
            continue;
        }
        let mut slot = Some(all.register(IdleState::Stalled, last_progress));
        while progress.at() == last_progress {
            tokio::select! {
                () = IdleSlot::evicted(&mut slot) => return,
                () = sleep(STALL_CHECK_INTERVAL) => {}
            }
        }
    }
}

impl Drop for IdleSlot {
    fn drop(&mut self) {
        self.all.ranking().entries.remove(&self.rank);
    }
}
