//! The client connections on which nothing is owed, in the order in which they are evicted for others.

use std::collections::BTreeMap;
use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

/// What is on its way from a new client has come after so long.
const NEW: Duration = Duration::from_millis(300);
/// A connection that has been of use is left in peace for so long.
const IN_USE: Duration = Duration::from_secs(2);

/// What a connection does on which nothing is owed; those that are evicted first come first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdleState {
    /// Has had no request yet.
    Silent,
    /// Rests between requests.
    Resting,
    /// Has sent a part of a command.
    Sending,
}

/// Of one state, those that have waited for longest come first.
type Rank = (IdleState, Instant, u64);

#[derive(Default)]
struct Ranking {
    entries: BTreeMap<Rank, oneshot::Sender<()>>,
    last: u64,
}

/// All connections without an open request.
pub struct IdleConnections {
    ranking: Mutex<Ranking>,
    most_resting: usize,
}

impl IdleConnections {
    /// Lets so many rest between requests, at most.
    pub fn new(most_resting: usize) -> Self {
        IdleConnections { ranking: Mutex::default(), most_resting }
    }

    fn ranking(&self) -> MutexGuard<'_, Ranking> {
        self.ranking.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Enters a connection, for as long as the slot is held. Beyond the most that may rest, the one that has rested
    /// for longest is evicted.
    ///
    /// Guards against: clients that ask once on each connection and keep it, until they may open no more. Covers
    /// pools that never shrink. It hurts clients that keep more connections than that and use all in turn: each
    /// request then pays for a new one.
    pub fn enter(self: &Arc<Self>, state: IdleState, since: Instant) -> IdleSlot {
        let mut ranking = self.ranking();
        ranking.last += 1;
        let rank = (state, since, ranking.last);
        let (sender, evicted) = oneshot::channel();
        ranking.entries.insert(rank, sender);
        let resting = || ranking.entries.keys().filter(|rank| rank.0 == IdleState::Resting);
        if state == IdleState::Resting && resting().count() > self.most_resting {
            let first = resting().next().copied();
            first.and_then(|rank| ranking.entries.remove(&rank)); // its holder sees the sender go
        }
        drop(ranking);
        IdleSlot { rank, evicted, all: self.clone() }
    }

    /// Has one closed: the silent first, then those at rest, and one that is just sending or new only for want of
    /// others.
    ///
    /// Guards against: honest connections closed as readily as silent ones, right after an answer, when their
    /// next request may be on its way, or while they send.
    pub fn evict_one(&self, now: Instant) {
        let entries = &mut self.ranking().entries;
        let first = |state| entries.keys().find(|rank| rank.0 == state).copied();
        let waited = |rank: &Rank, time| now >= rank.1 + time;
        let (silent, sending) = (first(IdleState::Silent), first(IdleState::Sending));
        let chosen = silent
            .filter(|rank| waited(rank, NEW))
            .or_else(|| first(IdleState::Resting).filter(|rank| waited(rank, IN_USE)))
            .or(silent)
            .or(sending);
        if let Some(rank) = chosen {
            entries.remove(&rank); // its holder sees the sender go
        }
    }
}

/// A connection's entry among those that may be evicted.
pub struct IdleSlot {
    rank: Rank,
    evicted: oneshot::Receiver<()>,
    all: Arc<IdleConnections>,
}

impl IdleSlot {
    pub fn state(&self) -> IdleState {
        self.rank.0
    }

    /// Waits until the connection is evicted; for ever without a slot.
    pub async fn evicted(slot: &mut Option<IdleSlot>) {
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
