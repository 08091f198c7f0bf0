//! The origin: a few workers, a queue, lognormal service times, and an outage after sustained overload.

use std::collections::{BTreeSet, VecDeque};

use crate::Micros;
use crate::random::{Random, stream};
use crate::site::OriginKind;
use crate::window::Window;

/// One second, in microseconds.
const SECOND_US: f64 = 1e6;
/// Lowest slowdown factor.
const MIN_SLOWDOWN: f64 = 0.001;

/// A request to the origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Fetch {
    /// Whether the request is a write; otherwise it is a read.
    pub write: bool,
    /// Whether the request follows a miss at a cache server that is warming up.
    pub warming_up: bool,
}

/// The end of a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchCompletion {
    /// Identifier that [`Origin::offer`] returned.
    pub id: u64,
}

/// An outage of the origin caused by overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// When the outage began.
    pub at: Micros,
    /// Fraction of the preceding load that followed misses at cache servers that are warming up.
    pub warm_up_share: f64,
}

/// The origin.
#[derive(Debug)]
pub struct Origin {
    kind: OriginKind,
    random: Random,
    now: Micros,
    last_id: u64,
    /// End and identifier of the fetches in service.
    running_fetches: BTreeSet<(Micros, u64)>,
    queue: VecDeque<(u64, Fetch)>,
    offered: Window,
    /// The part of the offered load that follows misses at cache servers that are warming up.
    offered_warming_up: Window,
    stopped_until: Micros,
    overload_outages: Vec<Outage>,
    slowdown: f64,
    /// Work done, in microseconds of a worker.
    worked: f64,
}

impl Origin {
    /// Creates an idle origin.
    #[must_use]
    pub fn new(kind: &OriginKind, seed: u64) -> Origin {
        let span = kind.stop_after.us();
        Origin {
            random: Random::new(seed, stream::ORIGIN),
            now: 0,
            last_id: 0,
            running_fetches: BTreeSet::new(),
            queue: VecDeque::new(),
            offered: Window::new(span),
            offered_warming_up: Window::new(span),
            stopped_until: 0,
            overload_outages: Vec::new(),
            slowdown: 1.0,
            worked: 0.0,
            kind: kind.clone(),
        }
    }

    /// Capacity, in fetches per second.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.kind.workers.get() as f64 * SECOND_US / self.kind.time.us().max(1) as f64
    }

    /// Sets the slowdown factor; 1 is the usual speed.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(MIN_SLOWDOWN);
    }

    /// Stops the origin until a time. Returns the identifiers of the fetches that are lost.
    pub fn stop(&mut self, now: Micros, until: Micros) -> Vec<u64> {
        self.stopped_until = until.max(self.stopped_until);
        let queued = self.queue.iter().map(|(id, _)| *id);
        let lost = self.running_fetches.iter().map(|&(_, id)| id).chain(queued).collect();
        self.running_fetches.clear();
        self.queue.clear();
        self.offered.clear();
        self.offered_warming_up.clear();
        self.now = self.now.max(now);
        lost
    }

    /// Whether the origin is stopped.
    #[must_use]
    pub fn is_stopped(&self, now: Micros) -> bool {
        now < self.stopped_until
    }

    /// The outages caused by overload so far.
    #[must_use]
    pub fn overload_outages(&self) -> &[Outage] {
        &self.overload_outages
    }

    /// Work done so far, in microseconds of a worker.
    #[must_use]
    pub fn worked(&self) -> f64 {
        self.worked
    }

    /// Admits a request and returns its identifier, or `None` if the queue is full or the origin is stopped.
    ///
    /// Fetches that end until now are appended to `completions`; those lost in an outage that this request causes, to
    /// `lost`.
    pub fn offer(
        &mut self,
        now: Micros,
        fetch: Fetch,
        completions: &mut Vec<FetchCompletion>,
        lost: &mut Vec<u64>,
    ) -> Option<u64> {
        self.advance(now, completions);
        if self.is_stopped(now) {
            return None;
        }
        let offered = self.offered.add(now, 1.0);
        let warming_up = if fetch.warming_up {
            self.offered_warming_up.add(now, 1.0)
        } else {
            self.offered_warming_up.sum(now)
        };
        let multiple = self.kind.stop_multiple.get();
        if multiple > 0.0
            && offered > multiple * self.capacity() * self.kind.stop_after.us() as f64 / SECOND_US
        {
            self.overload_outages.push(Outage { at: now, warm_up_share: warming_up / offered });
            lost.append(&mut self.stop(now, now + self.kind.outage_duration.us()));
            return None;
        }
        self.last_id += 1;
        if self.running_fetches.len() < self.kind.workers.get() {
            self.begin(now, self.last_id, &fetch);
            self.advance(now, completions);
        } else if self.queue.len() < self.kind.queue.get() {
            self.queue.push_back((self.last_id, fetch));
        } else {
            return None;
        }
        Some(self.last_id)
    }

    fn begin(&mut self, now: Micros, id: u64, fetch: &Fetch) {
        let cost_factor = if fetch.write { self.kind.write_cost_factor.get() } else { 1.0 };
        let mean = self.kind.time.us() as f64 * cost_factor * self.slowdown;
        let service_time = self.random.lognormal(mean, self.kind.sigma.get());
        self.worked += service_time;
        self.running_fetches.insert((now + service_time as Micros, id));
    }

    /// Cancels a queued fetch and returns whether it was queued. A fetch in service goes on.
    pub fn cancel(&mut self, id: u64) -> bool {
        let position = self.queue.iter().position(|(queued, _)| *queued == id);
        position.is_some_and(|position| self.queue.remove(position).is_some())
    }

    /// Time of the next event if no further call changes the origin.
    #[must_use]
    pub fn next_event(&self) -> Option<Micros> {
        self.running_fetches.first().map(|&(at, _)| at)
    }

    /// Advances the time and appends the fetches that end until then.
    pub fn advance(&mut self, now: Micros, completions: &mut Vec<FetchCompletion>) {
        while let Some(&(at, id)) = self.running_fetches.first()
            && at <= now
        {
            self.running_fetches.remove(&(at, id));
            self.now = self.now.max(at);
            completions.push(FetchCompletion { id });
            if let Some((id, fetch)) = self.queue.pop_front() {
                self.begin(at, id, &fetch);
            }
        }
        self.now = self.now.max(now);
    }

    /// Number of fetches in service or queued.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.running_fetches.len() + self.queue.len()
    }
}
