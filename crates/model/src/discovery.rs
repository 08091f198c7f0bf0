//! The discovery service: publishes changes with a delay, answers calls at a limited rate, and keeps the latest changes
//! for watches.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;
use crate::random::{Random, stream};
use crate::site::DiscoveryKind;

/// Number of changes kept for watches; a watcher that is further behind gets the full list.
const MAX_CHANGES: usize = 4096;

/// Highest propagation delay, as a multiple of the mean.
const MAX_DELAY_FACTOR: f64 = 10.0;
/// One second, in microseconds.
const SECOND_US: f64 = 1e6;

/// State of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The server accepts requests.
    Serving,
    /// The server finishes its requests and accepts no new ones.
    Draining,
    /// The server is removed from the list.
    Deleted,
}

/// An entry of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Number of the server.
    pub server: usize,
    /// State of the server.
    pub state: State,
    /// When the server last started; 0 if before the simulation.
    pub started: Micros,
}

/// An answer: the full list, or the changes since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Version of the list after this answer.
    pub version: u64,
    /// Whether the answer is the full list.
    pub full: bool,
    /// The entries, or their changes in order.
    pub servers: Vec<Listed>,
}

/// The discovery service.
#[derive(Debug)]
pub struct Discovery {
    kind: DiscoveryKind,
    random: Random,
    servers: BTreeMap<usize, Listed>,
    version: u64,
    /// The latest changes with the version that each made, oldest first.
    changes: VecDeque<(u64, Listed)>,
    /// Changes that are not visible yet, by the time at which they will be and a sequence number.
    pending: BTreeMap<(Micros, u64), Listed>,
    last_sequence: u64,
    /// When the next call can be served.
    free_at: Micros,
    unavailable_until: Micros,
    frozen_until: Micros,
}

impl Discovery {
    /// Creates a discovery service that lists these servers.
    #[must_use]
    pub fn new(kind: &DiscoveryKind, seed: u64, servers: impl IntoIterator<Item = usize>) -> Discovery {
        let entry = |server| (server, Listed { server, state: State::Serving, started: 0 });
        Discovery {
            random: Random::new(seed, stream::DISCOVERY),
            servers: servers.into_iter().map(entry).collect(),
            version: 1,
            changes: VecDeque::new(),
            pending: BTreeMap::new(),
            last_sequence: 0,
            free_at: 0,
            unavailable_until: 0,
            frozen_until: 0,
            kind: kind.clone(),
        }
    }

    /// Records a change, which becomes visible after a random delay.
    pub fn record_change(&mut self, now: Micros, listed: Listed) {
        let mean = self.kind.propagation_delay.us() as f64;
        let delay = self.random.exponential(mean).min(MAX_DELAY_FACTOR * mean);
        // Changes of one server become visible in order.
        let mut latest_first = self.pending.iter().rev();
        let earlier = latest_first.find(|(_, change)| change.server == listed.server);
        let not_before = earlier.map_or(0, |((at, _), _)| *at);
        self.last_sequence += 1;
        self.pending.insert(((now + delay as Micros).max(not_before), self.last_sequence), listed);
    }

    /// Fails all calls until a time.
    pub fn set_unavailable_until(&mut self, until: Micros) {
        self.unavailable_until = until.max(self.unavailable_until);
    }

    /// Publishes no changes until a time.
    pub fn freeze_until(&mut self, until: Micros) {
        self.frozen_until = until.max(self.frozen_until);
    }

    /// When the next change becomes visible.
    #[must_use]
    pub fn next_event(&self) -> Option<Micros> {
        self.pending.first_key_value().map(|(&(at, _), _)| at.max(self.frozen_until))
    }

    /// Advances the time and returns the new version if changes became visible.
    pub fn advance(&mut self, now: Micros) -> Option<u64> {
        let before = self.version;
        while let Some(entry) = self.pending.first_entry()
            && entry.key().0.max(self.frozen_until) <= now
        {
            let listed = entry.remove();
            self.version += 1;
            match listed.state {
                State::Deleted => _ = self.servers.remove(&listed.server),
                State::Serving | State::Draining => _ = self.servers.insert(listed.server, listed),
            }
            self.changes.push_back((self.version, listed));
            if self.changes.len() > MAX_CHANGES {
                self.changes.pop_front();
            }
        }
        (self.version > before).then_some(self.version)
    }

    /// Version of the list.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Admits a call and returns when it is answered; `None` if it fails.
    pub fn call(&mut self, now: Micros) -> Option<Micros> {
        let service_time = SECOND_US / self.kind.calls_per_s.get();
        if now < self.unavailable_until || self.free_at > now + self.kind.max_queue_delay.us() {
            return None;
        }
        self.free_at = self.free_at.max(now) + service_time as Micros;
        Some(self.free_at)
    }

    /// Returns the changes after a version, or the full list if they are not kept or no version is given.
    #[must_use]
    pub fn listing_since(&self, after: Option<u64>) -> Listing {
        let oldest = self.changes.front().map_or(self.version + 1, |(version, _)| *version);
        match after {
            Some(after) if after <= self.version && after + 1 >= oldest.min(self.version + 1) => {
                let newer = self.changes.iter().filter(|(version, _)| *version > after);
                Listing {
                    version: self.version,
                    full: false,
                    servers: newer.map(|(_, change)| *change).collect(),
                }
            }
            _ => Listing {
                version: self.version,
                full: true,
                servers: self.servers.values().copied().collect(),
            },
        }
    }
}
