//! The client connections without a pending reply, in the order in which they are evicted for others.

use std::collections::BTreeMap;
use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

/// A new connection is not evicted before this time, in which its first request arrives.
const NEW_PERIOD: Duration = Duration::from_millis(300);
/// A connection is not evicted this soon after its last reply, if there is another.
const RECENT_USE_PERIOD: Duration = Duration::from_secs(2);

/// The state of a connection without a pending reply. The first states are evicted first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum IdleState {
    /// It has not had a request yet.
    Unused,
    /// It is between requests.
    BetweenRequests,
    /// It has sent a part of a command.
    Sending,
}

/// The position of a connection: by state, then by how long it has been in it. The number makes it unique.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    state: IdleState,
    since: Instant,
    number: u64,
}

#[derive(Default)]
struct Ranking {
    /// Dropping a sender evicts its connection.
    entries: BTreeMap<Rank, oneshot::Sender<()>>,
    last_number: u64,
}

impl Ranking {
    fn first(&self, state: IdleState) -> Option<Rank> {
        self.entries.keys().find(|rank| rank.state == state).copied()
    }

    fn count(&self, state: IdleState) -> usize {
        self.entries.keys().filter(|rank| rank.state == state).count()
    }
}

/// All client connections without a pending reply.
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

    /// Enters a connection for as long as the returned slot exists. If too many are idle between requests, the one that
    /// has been so for longest is evicted.
    ///
    /// The limit protects the node from clients that open a connection per request and never close it. Its cost: a client
    /// that uses more connections than the limit in turn pays for a new one with each request.
    pub(crate) fn enter(self: &Arc<Self>, state: IdleState, since: Instant) -> IdleSlot {
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

    /// Evicts one connection: an unused one if there is one that is not new, then one between requests that was not used
    /// recently, and otherwise one that is new or sending. The next request of a connection that was used recently may be
    /// on its way.
    pub(crate) fn evict_one(&self, now: Instant) {
        let mut ranking = self.ranking();
        let unused = ranking.first(IdleState::Unused);
        let between_requests = ranking.first(IdleState::BetweenRequests);
        let sending = ranking.first(IdleState::Sending);
        let chosen = unused
            .filter(|rank| now >= rank.since + NEW_PERIOD)
            .or(between_requests.filter(|rank| now >= rank.since + RECENT_USE_PERIOD))
            .or(unused)
            .or(sending);
        if let Some(rank) = chosen {
            ranking.entries.remove(&rank);
        }
    }
}

/// The entry of a connection in [`IdleConnections`], removed on drop.
pub(crate) struct IdleSlot {
    rank: Rank,
    evicted: oneshot::Receiver<()>,
    all: Arc<IdleConnections>,
}

impl IdleSlot {
    /// The state that was entered.
    pub(crate) fn state(&self) -> IdleState {
        self.rank.state
    }

    /// Waits until the connection is evicted; forever without a slot.
    pub(crate) async fn evicted(slot: &mut Option<IdleSlot>) {
        match slot {
            Some(slot) => _ = (&mut slot.evicted).await,
            None => pending().await,
        }
    }
}

impl Drop for IdleSlot {
    fn drop(&mut self) {
        self.all.ranking().entries.remove(&self.rank);
    }
}
