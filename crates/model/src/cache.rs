//! A cache server: cores that share their time among the requests in service, slots, a waiting room, a store.
//!
//! Service is processor sharing (Kleinrock, Queueing Systems II, 4.4): of n requests in service each gets
//! min(1, cores/n) of a core. What one has got since the start is then the same for all, so that one number tells
//! whose service ends next.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use ordered_float::OrderedFloat;

use crate::Micros;
use crate::random::Random;
use crate::site::{CacheKind, Rules};
use crate::store::Store;
use crate::window::Window;

/// Names a job of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Reads a key.
    Read(String),
    /// A write: this server only says that it lacks the key.
    Write(String),
}

/// A request, as it reaches the server.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// What is to be done.
    pub work: Work,
    /// How much work it is: microseconds of a standard core.
    pub cost: f64,
    /// When nobody waits any longer; what has not begun by then is dropped.
    pub until: Micros,
}

/// Why a request is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The waiting room is full.
    Full,
    /// It has fallen over, or was stopped.
    Down,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The value is there, of so many bytes.
    Hit(u64),
    /// It is not.
    Miss,
    /// It is not, and another request was told so and fetches.
    Pending,
    /// An error; it may have run.
    Failed,
    /// Its time was up before it began; nothing is said of it.
    Expired,
}

/// A job that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Done {
    /// The job.
    pub id: JobId,
    /// How it ended.
    pub end: End,
}

/// What a server tells of its load, a while ago.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Service time lately, without waiting, in milliseconds.
    pub latency_ms: f64,
    /// Requests waiting.
    pub queue: f64,
    /// Fetches that it knows to be out.
    pub fetches: f64,
}

/// A capacity that grows while cold is taken as steady for so long.
const GRAIN: Micros = 20_000;
/// A fetch is held to be out for so long.
const FETCH: Micros = 2_000_000;

#[derive(Debug)]
struct Running {
    job: Job,
    begun: Micros,
}

/// A cache server.
#[derive(Debug)]
pub struct Cache {
    kind: CacheKind,
    rules: Rules,
    speed: f64,
    random: Random,
    /// When it started cold; nothing is long ago.
    started: Option<Micros>,
    down: bool,
    /// It has fallen over, and nobody has asked yet.
    fell: bool,
    /// How much slower than usual it is made, 1 being not at all; 0 stops it.
    factor: f64,
    /// Until when it pauses, and when the next pause begins.
    paused_until: Micros,
    next_pause: Micros,
    at: Micros,
    /// What each request in service would have got since the start.
    got: f64,
    /// By what `got` will be when they end; those called off are still in it.
    ends: BinaryHeap<Reverse<(OrderedFloat<f64>, JobId)>>,
    running: BTreeMap<JobId, Running>,
    waiting: VecDeque<(JobId, Job)>,
    last: u64,
    store: Store,
    /// Keys that were missed, and until when their fetch is held to be out.
    fetches: BTreeMap<String, Micros>,
    /// Work that reached it, turned away or not.
    pressure: Window,
    latency_ms: f64,
    report: Report,
    /// The next one, and when it is told.
    coming: Option<(Micros, Report)>,
    reported: Micros,
}

impl Cache {
    /// A server that has run since long ago; `number` sets it apart from others of the same seed.
    pub fn new(kind: &CacheKind, rules: &Rules, seed: u64, number: u64, now: Micros) -> Cache {
        let mut random = Random::new(seed, 1_000 + number);
        let speed = kind.speed.get() * random.lognormal(1.0, kind.speed_spread.get());
        let mut cache = Cache {
            speed,
            random,
            started: None,
            down: false,
            fell: false,
            factor: 1.0,
            paused_until: 0,
            next_pause: Micros::MAX,
            at: now,
            got: 0.0,
            ends: BinaryHeap::new(),
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            last: 0,
            store: Store::new(kind.memory.bytes()),
            fetches: BTreeMap::new(),
            pressure: Window::new(rules.overload_for.us()),
            latency_ms: 0.0,
            report: Report::default(),
            coming: None,
            reported: 0,
            kind: kind.clone(),
            rules: rules.clone(),
        };
        cache.plan_pause(now);
        cache
    }

    /// Stops: all that it had is lost. Tells the jobs that will not end.
    pub fn stop(&mut self, now: Micros) -> Vec<JobId> {
        self.advance(now, &mut Vec::new());
        self.down = true;
        let lost = self.running.keys().copied().chain(self.waiting.iter().map(|(id, _)| *id)).collect();
        self.running.clear();
        self.ends.clear();
        self.waiting.clear();
        self.fetches.clear();
        self.store.clear();
        self.pressure.clear();
        lost
    }

    /// Starts again, cold and empty.
    pub fn start(&mut self, now: Micros) {
        self.stop(now);
        (self.down, self.factor, self.started, self.at) = (false, 1.0, Some(now), now);
        self.plan_pause(now);
    }

    /// Makes it so many times slower; 0 stops it where it stands.
    pub fn slow(&mut self, now: Micros, factor: f64, done: &mut Vec<Done>) {
        self.advance(now, done);
        self.factor = factor;
    }

    /// Whether it has fallen over or was stopped.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Whether it has fallen over since this was last asked.
    pub fn has_fallen(&mut self) -> bool {
        std::mem::take(&mut self.fell)
    }

    /// When it last started cold.
    pub fn started(&self) -> Option<Micros> {
        self.started
    }

    /// Whether its capacity is still growing.
    pub fn is_cold(&self, now: Micros) -> bool {
        self.started.is_some_and(|at| now < at + self.kind.cold.us())
    }

    /// What it can do now, in standard cores.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.kind.cores.get() as f64 * self.speed * self.warmth(now)
    }

    fn warmth(&self, now: Micros) -> f64 {
        let (from, cold) = (self.kind.cold_from.get(), self.kind.cold.us());
        match self.started.map(|at| now.saturating_sub(at)).filter(|&age| age < cold) {
            Some(age) => from + (1.0 - from) * age as f64 / cold as f64,
            None => 1.0,
        }
    }

    /// What each request in service gets, in standard cores.
    fn rate(&self, now: Micros) -> f64 {
        if self.factor <= 0.0 || now < self.paused_until || self.running.is_empty() {
            return 0.0;
        }
        let share = (self.kind.cores.get() as f64 / self.running.len() as f64).min(1.0);
        self.speed * self.warmth(now) * share / self.factor
    }

    fn plan_pause(&mut self, now: Micros) {
        let every = self.kind.pause_every.us();
        self.next_pause = match every {
            0 => Micros::MAX,
            _ => now + self.random.exponential(every as f64) as Micros + 1,
        };
    }

    /// Takes a request, or turns it away. What it costs counts as pressure either way.
    pub fn offer(&mut self, now: Micros, job: Job, done: &mut Vec<Done>) -> Result<JobId, Refusal> {
        self.advance(now, done);
        if self.down {
            return Err(Refusal::Down);
        }
        self.press(now, job.cost);
        if self.down {
            return Err(Refusal::Down);
        }
        self.last += 1;
        let id = JobId(self.last);
        if self.running.len() < self.kind.slots.get() {
            self.begin(now, id, job);
            self.advance(now, done); // what costs nothing has ended
        } else if self.waiting.len() < self.kind.queue.get() {
            self.waiting.push_back((id, job));
        } else {
            return Err(Refusal::Full);
        }
        Ok(id)
    }

    /// A connection was made: its handshake is work too.
    pub fn connected(&mut self, now: Micros) {
        if !self.down {
            self.press(now, self.kind.handshake.us() as f64);
        }
    }

    /// Counts work that reached the server. A cold one that is sent too much for too long collapses.
    fn press(&mut self, now: Micros, cost: f64) {
        let span = self.rules.overload_for.us() as f64;
        let sent = self.pressure.add(now, cost);
        let bearable = self.rules.overload_factor.get() * self.capacity(now) * span;
        if self.is_cold(now) && sent > bearable {
            (self.down, self.fell) = (true, true);
        }
    }

    fn begin(&mut self, now: Micros, id: JobId, job: Job) {
        self.ends.push(Reverse((OrderedFloat(self.got + job.cost.max(0.0)), id)));
        self.running.insert(id, Running { job, begun: now });
    }

    /// Calls a job off; tells whether it was still there. Its work stops.
    pub fn cancel(&mut self, now: Micros, id: JobId, done: &mut Vec<Done>) -> bool {
        self.advance(now, done);
        let was = self.running.remove(&id).is_some() || {
            let place = self.waiting.iter().position(|(waiting, _)| *waiting == id);
            place.is_some_and(|place| self.waiting.remove(place).is_some())
        };
        self.fill(now, done);
        was
    }

    /// Puts requests that wait into free slots.
    fn fill(&mut self, now: Micros, done: &mut Vec<Done>) {
        while self.running.len() < self.kind.slots.get()
            && let Some((id, job)) = self.waiting.pop_front()
        {
            match job.until <= now {
                true => done.push(Done { id, end: End::Expired }),
                false => self.begin(now, id, job),
            }
        }
    }

    /// When something happens next, if nothing comes before.
    pub fn next_event(&mut self) -> Option<Micros> {
        self.drop_called_off();
        if self.running.is_empty() || self.down || self.factor <= 0.0 {
            return None;
        }
        if self.at < self.paused_until {
            return Some(self.paused_until);
        }
        let Reverse((OrderedFloat(end), _)) = *self.ends.peek()?;
        let rate = self.rate(self.at);
        let left = ((end - self.got).max(0.0) / rate).ceil() as Micros;
        let grain = if self.is_cold(self.at) { GRAIN } else { Micros::MAX };
        Some((self.at + left.min(grain)).min(self.next_pause.max(self.at)))
    }

    fn drop_called_off(&mut self) {
        while self.ends.peek().is_some_and(|Reverse((_, id))| !self.running.contains_key(id)) {
            self.ends.pop();
        }
    }

    /// Lets time pass; what ends on the way is appended.
    pub fn advance(&mut self, now: Micros, done: &mut Vec<Done>) {
        while let Some(next) = self.next_event().filter(|&next| next <= now) {
            self.got += self.rate(self.at) * next.saturating_sub(self.at) as f64;
            self.at = self.at.max(next);
            if self.at >= self.next_pause {
                self.paused_until = self.at + self.random.exponential(self.kind.pause.us() as f64) as Micros;
                self.plan_pause(self.paused_until);
            }
            self.end_due(done);
        }
        if now > self.at {
            self.got += self.rate(self.at) * (now - self.at) as f64;
            self.at = now;
        }
        // An idle server pauses unseen.
        if self.running.is_empty() && self.next_pause <= self.at {
            self.plan_pause(self.at);
        }
    }

    /// Ends those that have got what they cost.
    fn end_due(&mut self, done: &mut Vec<Done>) {
        // Guards against: a rest of rounding for which time would never come.
        const EPSILON: f64 = 1e-3;
        while let Some(&Reverse((OrderedFloat(end), id))) = self.ends.peek() {
            if !self.running.contains_key(&id) {
                self.ends.pop();
                continue;
            }
            if end > self.got + EPSILON {
                break;
            }
            self.ends.pop();
            if let Some(Running { job, begun }) = self.running.remove(&id) {
                let took = self.at.saturating_sub(begun) as f64 / 1e3;
                self.latency_ms += (took - self.latency_ms) / 16.0;
                let end = self.outcome(&job);
                done.push(Done { id, end });
            }
            self.fill(self.at, done);
        }
        if self.running.is_empty() {
            self.got = 0.0; // keeps the precision over long runs
            self.ends.clear();
        }
    }

    fn outcome(&mut self, job: &Job) -> End {
        if self.random.chance(self.kind.errors.get()) {
            return End::Failed;
        }
        let now = self.at;
        match &job.work {
            Work::Write(_) => End::Miss,
            Work::Read(key) => match self.store.get(now, key) {
                Some(size) => End::Hit(size),
                None => {
                    let out = self.fetches.insert(key.clone(), now + FETCH);
                    if self.fetches.len() > self.kind.slots.get() * 16 {
                        self.fetches.retain(|_, until| *until > now);
                    }
                    if out.is_some_and(|until| until > now) { End::Pending } else { End::Miss }
                }
            },
        }
    }

    /// The origin has answered for a key that was missed here.
    pub fn keep(&mut self, now: Micros, key: &str, size: u64) {
        self.fetches.remove(key);
        if !self.down {
            let until = now.saturating_add(self.kind.keeps_for.us());
            self.store.put(key, size, until);
        }
    }

    /// It has held a value since before the start, and will for some part of its time.
    pub fn hold(&mut self, now: Micros, key: &str, size: u64) {
        let left = self.kind.keeps_for.us() as f64 * self.random.unit();
        self.store.put(key, size, now.saturating_add(left as Micros));
    }

    /// A write to a key voids the copy.
    pub fn void(&mut self, key: &str) {
        self.store.drop(key);
    }

    /// What it tells of its load: made anew now and then, a little off, and told late.
    pub fn report(&mut self, now: Micros) -> Report {
        if now >= self.reported + self.kind.report_every.us() || self.reported == 0 {
            let noise = self.kind.report_noise.get();
            let mut near = |value: f64| value * (1.0 + noise * (2.0 * self.random.unit() - 1.0));
            let report = Report {
                latency_ms: near(self.latency_ms),
                queue: near(self.waiting.len() as f64).round(),
                fetches: self.fetches.values().filter(|&&until| until > now).count() as f64,
            };
            self.reported = now.max(1);
            // One that is made before the last was told takes its place.
            self.coming = Some((now + self.kind.report_delay.us(), report));
        }
        if let Some((_, report)) = self.coming.take_if(|(at, _)| *at <= now) {
            self.report = report;
        }
        self.report
    }

    /// Requests in service.
    pub fn in_service(&self) -> usize {
        self.running.len()
    }
    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
    /// Bytes kept.
    pub fn bytes(&self) -> u64 {
        self.store.bytes()
    }
    /// Objects kept.
    pub fn objects(&self) -> usize {
        self.store.objects()
    }
}
