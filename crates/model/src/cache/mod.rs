//! A cache server: cores shared by the requests in service, a bounded number of slots, a bounded queue and a store.
//!
//! Service is processor sharing (Kleinrock, Queueing Systems II, 4.4): of n requests in service each gets
//! min(1, cores/n) of a core. The service attained since the start is therefore the same for all of them, and one
//! number decides which of them ends next.

mod job;
mod load_report;
mod service;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use ordered_float::OrderedFloat;

use crate::Micros;
use crate::cache::load_report::LoadReporter;
use crate::cache::service::RunningJob;
use crate::random::{Random, stream};
use crate::site::{CacheKind, RuleThresholds};
use crate::store::ObjectStore;
use crate::window::Window;

pub use job::{Completion, Job, JobId, Outcome, Rejection, Work};
pub use load_report::LoadReport;

/// A cache server.
#[derive(Debug)]
pub struct Cache {
    kind: CacheKind,
    rules: RuleThresholds,
    /// Speed of this server's cores, relative to a standard core.
    speed: f64,
    random: Random,
    /// When the server last started; `None` if it has been running since before the simulation.
    started_at: Option<Micros>,
    down: bool,
    /// The server has collapsed since [`Cache::take_collapsed`] was last called.
    collapsed: bool,
    /// Slowdown factor: 1 is the usual speed, 0 stops all progress.
    slowdown: f64,
    paused_until: Micros,
    next_pause: Micros,
    /// Time up to which the server has been advanced.
    now: Micros,
    /// Service that a request in service since the start would have attained, in microseconds of a standard core.
    attained_service: f64,
    /// Attained service at which each job ends. Cancelled jobs are removed lazily.
    ends: BinaryHeap<Reverse<(OrderedFloat<f64>, JobId)>>,
    running: BTreeMap<JobId, RunningJob>,
    queue: VecDeque<(JobId, Job)>,
    last_id: u64,
    store: ObjectStore,
    /// KeyDistribution being fetched from the origin after a miss, and when the fetch times out.
    fetches: BTreeMap<String, Micros>,
    /// Work of all requests that reached the server, including rejected ones.
    offered_load: Window,
    /// Moving average of the service time, in milliseconds.
    latency_ms: f64,
    reporter: LoadReporter,
}

impl Cache {
    /// Creates a warm server. `number` selects its random stream among the servers of the same seed.
    #[must_use]
    pub fn new(kind: &CacheKind, rules: &RuleThresholds, seed: u64, number: u64, now: Micros) -> Cache {
        let mut random = Random::new(seed, stream::FIRST_CACHE + number);
        let speed = kind.speed.get() * random.lognormal(1.0, kind.speed_spread.get());
        let mut cache = Cache {
            speed,
            random,
            started_at: None,
            down: false,
            collapsed: false,
            slowdown: 1.0,
            paused_until: 0,
            next_pause: Micros::MAX,
            now,
            attained_service: 0.0,
            ends: BinaryHeap::new(),
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            last_id: 0,
            store: ObjectStore::new(kind.memory.bytes()),
            fetches: BTreeMap::new(),
            offered_load: Window::new(rules.overload_for.us()),
            latency_ms: 0.0,
            reporter: LoadReporter::default(),
            kind: kind.clone(),
            rules: rules.clone(),
        };
        cache.schedule_pause(now);
        cache
    }

    /// Stops the server and empties its store. Returns the jobs that are lost.
    pub fn stop(&mut self, now: Micros) -> Vec<JobId> {
        self.advance(now, &mut Vec::new());
        self.down = true;
        let queued = self.queue.iter().map(|(id, _)| *id);
        let lost = self.running.keys().copied().chain(queued).collect();
        self.running.clear();
        self.ends.clear();
        self.queue.clear();
        self.fetches.clear();
        self.store.clear();
        self.offered_load.clear();
        lost
    }

    /// Restarts the server with an empty store; its capacity grows during the warm-up.
    pub fn start(&mut self, now: Micros) {
        self.stop(now);
        self.down = false;
        self.slowdown = 1.0;
        self.started_at = Some(now);
        self.now = now;
        self.schedule_pause(now);
    }

    /// Sets the slowdown factor: 1 is the usual speed, 0 stops all progress.
    pub fn set_slowdown(&mut self, now: Micros, factor: f64, completions: &mut Vec<Completion>) {
        self.advance(now, completions);
        self.slowdown = factor;
    }

    /// Whether the server has collapsed or was stopped.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Whether the server has collapsed since the last call.
    pub fn take_collapsed(&mut self) -> bool {
        std::mem::take(&mut self.collapsed)
    }

    /// When the server last restarted; `None` if it never did.
    #[must_use]
    pub fn started_at(&self) -> Option<Micros> {
        self.started_at
    }

    /// Whether the capacity is still growing after a restart.
    #[must_use]
    pub fn is_warming_up(&self, now: Micros) -> bool {
        self.started_at.is_some_and(|at| now < at + self.kind.warm_up.us())
    }

    /// Current capacity, in standard cores.
    #[must_use]
    pub fn capacity(&self, now: Micros) -> f64 {
        self.kind.cores.get() as f64 * self.speed * self.warm_up_fraction(now)
    }

    /// Fraction of the full capacity that is available.
    fn warm_up_fraction(&self, now: Micros) -> f64 {
        let (from, duration) = (self.kind.warm_up_from.get(), self.kind.warm_up.us());
        match self.started_at.map(|at| now.saturating_sub(at)).filter(|&age| age < duration) {
            Some(age) => from + (1.0 - from) * age as f64 / duration as f64,
            None => 1.0,
        }
    }

    /// Service rate of each request in service, in standard cores.
    fn service_rate(&self, now: Micros) -> f64 {
        if self.slowdown <= 0.0 || now < self.paused_until || self.running.is_empty() {
            return 0.0;
        }
        let cores_per_request = (self.kind.cores.get() as f64 / self.running.len() as f64).min(1.0);
        self.speed * self.warm_up_fraction(now) * cores_per_request / self.slowdown
    }

    /// Caches a value that the origin returned after a miss.
    pub fn insert(&mut self, now: Micros, key: &str, size: u64) {
        self.fetches.remove(key);
        if !self.down {
            let expires_at = now.saturating_add(self.kind.time_to_live.us());
            self.store.insert(key, size, expires_at);
        }
    }

    /// Caches a value as if before the start, with a random part of its time to live left.
    pub fn prewarm(&mut self, now: Micros, key: &str, size: u64) {
        let remaining = self.kind.time_to_live.us() as f64 * self.random.unit();
        self.store.insert(key, size, now.saturating_add(remaining as Micros));
    }

    /// Removes the cached value of a key that was written.
    pub fn invalidate(&mut self, key: &str) {
        self.store.remove(key);
    }

    /// Samples a load report if one is due and returns the latest published one.
    pub fn report(&mut self, now: Micros) -> LoadReport {
        if self.reporter.is_due(&self.kind, now) {
            let load = LoadReport {
                latency_ms: self.latency_ms,
                queue: self.queue.len() as f64,
                fetches: self.fetches.values().filter(|&&expires_at| expires_at > now).count() as f64,
            };
            self.reporter.sample(&self.kind, now, load, &mut self.random);
        }
        self.reporter.latest(now)
    }

    /// Number of requests in service.
    #[must_use]
    pub fn in_service(&self) -> usize {
        self.running.len()
    }

    /// Number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Size of the cached objects, in bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.store.bytes()
    }

    /// Number of cached objects.
    #[must_use]
    pub fn objects(&self) -> usize {
        self.store.objects()
    }
}
