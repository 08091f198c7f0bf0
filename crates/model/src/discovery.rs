//! Discovery: knows of processes late, answers in turn, keeps the latest changes for those who watch.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;
use crate::random::Random;
use crate::site::DiscoveryKind;

/// Changes that are kept for watchers; whoever is further behind gets the whole list.
const KEPT: usize = 4096;

/// Whether a server takes requests, as it is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It runs.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It has gone.
    Deleted,
}

/// An entry: which server, and how it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The server's number.
    pub server: usize,
    /// How it stands.
    pub state: State,
    /// When it last started, in microseconds; 0 is long ago.
    pub started: Micros,
}

/// An answer: the whole list, or what has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The version it brings the asker to.
    pub version: u64,
    /// The whole list.
    pub full: bool,
    /// The entries.
    pub servers: Vec<Listed>,
}

/// Discovery.
#[derive(Debug)]
pub struct Discovery {
    kind: DiscoveryKind,
    random: Random,
    servers: BTreeMap<usize, Listed>,
    version: u64,
    changes: VecDeque<(u64, Listed)>,
    /// What it will come to know, and when.
    coming: BTreeMap<(Micros, u64), Listed>,
    last: u64,
    /// When it is free for the next call.
    free_at: Micros,
    away_until: Micros,
    stale_until: Micros,
}

impl Discovery {
    /// A discovery that knows of these servers.
    pub fn new(kind: &DiscoveryKind, seed: u64, servers: impl IntoIterator<Item = usize>) -> Discovery {
        let entry = |server| (server, Listed { server, state: State::Serving, started: 0 });
        Discovery {
            random: Random::new(seed, 3),
            servers: servers.into_iter().map(entry).collect(),
            version: 1,
            changes: VecDeque::new(),
            coming: BTreeMap::new(),
            last: 0,
            free_at: 0,
            away_until: 0,
            stale_until: 0,
            kind: kind.clone(),
        }
    }

    /// Something has changed; it will be known after a while.
    pub fn note(&mut self, now: Micros, listed: Listed) {
        let late = self
            .random
            .exponential(self.kind.notices_after.us() as f64)
            .min(10.0 * self.kind.notices_after.us() as f64);
        // What concerns one server is learned in its order.
        let before =
            self.coming.iter().rev().find(|(_, l)| l.server == listed.server).map_or(0, |((at, _), _)| *at);
        self.last += 1;
        self.coming.insert(((now + late as Micros).max(before), self.last), listed);
    }

    /// Answers nobody until then.
    pub fn away(&mut self, until: Micros) {
        self.away_until = until.max(self.away_until);
    }

    /// Learns nothing new until then.
    pub fn stale(&mut self, until: Micros) {
        self.stale_until = until.max(self.stale_until);
    }

    /// When it learns something next.
    pub fn next_event(&self) -> Option<Micros> {
        self.coming.first_key_value().map(|(&(at, _), _)| at.max(self.stale_until))
    }

    /// Lets time pass; tells the versions' last, if something was learned.
    pub fn advance(&mut self, now: Micros) -> Option<u64> {
        let before = self.version;
        while let Some(entry) = self.coming.first_entry()
            && entry.key().0.max(self.stale_until) <= now
        {
            let listed = entry.remove();
            self.version += 1;
            match listed.state {
                State::Deleted => _ = self.servers.remove(&listed.server),
                _ => _ = self.servers.insert(listed.server, listed),
            }
            self.changes.push_back((self.version, listed));
            if self.changes.len() > KEPT {
                self.changes.pop_front();
            }
        }
        (self.version > before).then_some(self.version)
    }

    /// The version that it knows.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When a call that comes now is answered; `None` if it fails.
    pub fn call(&mut self, now: Micros) -> Option<Micros> {
        let each = 1e6 / self.kind.calls_per_s.get();
        if now < self.away_until || self.free_at > now + self.kind.waits_for.us() {
            return None;
        }
        self.free_at = self.free_at.max(now) + each as Micros;
        Some(self.free_at)
    }

    /// What somebody is told who has the list up to a version; `None` asks for all.
    pub fn tell(&self, after: Option<u64>) -> Listing {
        let oldest = self.changes.front().map_or(self.version + 1, |(version, _)| *version);
        match after {
            Some(after) if after <= self.version && after + 1 >= oldest.min(self.version + 1) => {
                let newer = self.changes.iter().filter(|(version, _)| *version > after);
                Listing { version: self.version, full: false, servers: newer.map(|(_, l)| *l).collect() }
            }
            _ => Listing {
                version: self.version,
                full: true,
                servers: self.servers.values().copied().collect(),
            },
        }
    }
}
