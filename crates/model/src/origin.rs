//! The origin: a few workers, a queue, heavy-tailed times, and a stop after too much for too long.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;
use crate::random::Random;
use crate::site::OriginKind;
use crate::window::Window;

/// A request for the origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Fetch {
    /// It changes its key.
    pub write: bool,
    /// The miss it answers was at a cold cache server.
    pub cold: bool,
}

/// A fetch that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fetched {
    /// Which, as `offer` told.
    pub id: u64,
}

/// A stop of the origin, and what led to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spell {
    /// When it began.
    pub at: Micros,
    /// The part of the load before it that answered misses at cold cache servers.
    pub cold_share: f64,
}

/// The origin.
#[derive(Debug)]
pub struct Origin {
    kind: OriginKind,
    random: Random,
    at: Micros,
    last: u64,
    /// By the time at which they end.
    running: BTreeMap<(Micros, u64), ()>,
    waiting: VecDeque<(u64, Fetch)>,
    sent: Window,
    sent_cold: Window,
    stopped_until: Micros,
    spells: Vec<Spell>,
    factor: f64,
    /// Work done, in microseconds of a worker.
    worked: f64,
}

impl Origin {
    /// An idle origin.
    pub fn new(kind: &OriginKind, seed: u64) -> Origin {
        let span = kind.stop_after.us();
        Origin {
            random: Random::new(seed, 2),
            at: 0,
            last: 0,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            sent: Window::new(span),
            sent_cold: Window::new(span),
            stopped_until: 0,
            spells: Vec::new(),
            factor: 1.0,
            worked: 0.0,
            kind: kind.clone(),
        }
    }

    /// Fetches it can take each second.
    pub fn capacity(&self) -> f64 {
        self.kind.workers.get() as f64 * 1e6 / self.kind.time.us().max(1) as f64
    }

    /// Makes it so many times slower.
    pub fn slow(&mut self, factor: f64) {
        self.factor = factor.max(0.001);
    }

    /// Stops it until then; what it had is lost. Tells which.
    pub fn stop(&mut self, now: Micros, until: Micros) -> Vec<u64> {
        self.stopped_until = until.max(self.stopped_until);
        let lost =
            self.running.keys().map(|&(_, id)| id).chain(self.waiting.iter().map(|(id, _)| *id)).collect();
        self.running.clear();
        self.waiting.clear();
        self.sent.clear();
        self.sent_cold.clear();
        self.at = self.at.max(now);
        lost
    }

    /// Whether it has stopped.
    pub fn is_stopped(&self, now: Micros) -> bool {
        now < self.stopped_until
    }

    /// Its stops so far that were too much load's doing.
    pub fn spells(&self) -> &[Spell] {
        &self.spells
    }

    /// Microseconds of its workers spent so far.
    pub fn worked(&self) -> f64 {
        self.worked
    }

    /// Takes a request, or turns it away (`None`): its queue is full, or it has stopped. What stops with it is
    /// appended to `lost`.
    pub fn offer(
        &mut self,
        now: Micros,
        fetch: Fetch,
        done: &mut Vec<Fetched>,
        lost: &mut Vec<u64>,
    ) -> Option<u64> {
        self.advance(now, done);
        if self.is_stopped(now) {
            return None;
        }
        let sent = self.sent.add(now, 1.0);
        let cold = if fetch.cold { self.sent_cold.add(now, 1.0) } else { self.sent_cold.sum(now) };
        let multiple = self.kind.stop_multiple.get();
        if multiple > 0.0 && sent > multiple * self.capacity() * self.kind.stop_after.us() as f64 / 1e6 {
            self.spells.push(Spell { at: now, cold_share: cold / sent });
            lost.append(&mut self.stop(now, now + self.kind.stops_for.us()));
            return None;
        }
        self.last += 1;
        if self.running.len() < self.kind.workers.get() {
            self.begin(now, self.last, &fetch);
            self.advance(now, done);
        } else if self.waiting.len() < self.kind.queue.get() {
            self.waiting.push_back((self.last, fetch));
        } else {
            return None;
        }
        Some(self.last)
    }

    fn begin(&mut self, now: Micros, id: u64, fetch: &Fetch) {
        let times = if fetch.write { self.kind.write_times.get() } else { 1.0 };
        let mean = self.kind.time.us() as f64 * times * self.factor;
        let took = self.random.lognormal(mean, self.kind.sigma.get());
        self.worked += took;
        self.running.insert((now + took as Micros, id), ());
    }

    /// Calls a fetch off. One that has begun goes on: the origin does not notice.
    pub fn cancel(&mut self, id: u64) -> bool {
        let place = self.waiting.iter().position(|(waiting, _)| *waiting == id);
        place.is_some_and(|place| self.waiting.remove(place).is_some())
    }

    /// When something happens next, if nothing comes before.
    pub fn next_event(&self) -> Option<Micros> {
        self.running.first_key_value().map(|(&(at, _), ())| at)
    }

    /// Lets time pass; what ends on the way is appended.
    pub fn advance(&mut self, now: Micros, done: &mut Vec<Fetched>) {
        while let Some(((at, id), ())) = self.running.first_key_value().map(|(k, ())| (*k, ()))
            && at <= now
        {
            self.running.remove(&(at, id));
            self.at = self.at.max(at);
            done.push(Fetched { id });
            if let Some((id, fetch)) = self.waiting.pop_front() {
                self.begin(at, id, &fetch);
            }
        }
        self.at = self.at.max(now);
    }

    /// Fetches in hand.
    pub fn in_hand(&self) -> usize {
        self.running.len() + self.waiting.len()
    }
}
