//! Every decision of stonefold: events in, actions out. The interface it speaks is `api.rs`; what it keeps
//! is `state.rs`.
//!
//! The ordinary path: `arrive` and `advance` bring a read to `choose`, which takes from its key's candidate
//! set the cache with fewest of our requests in flight; `hedge` adds a copy where there is idle room;
//! `outcome` lets the first served answer win, and only when all that were asked have missed does the read
//! go to the origin. Every send and every final answer passes `guard`. `admission` is about who waits for a
//! place, `health` about which servers are used, `accounting` about what they bear. All else are exceptions,
//! each with what it guards against.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use stonefold_allotment::Sender;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::*;
use crate::state::*;

mod accounting;
mod admission;
mod choose;
mod guard;
mod health;
mod hedge;

/// A cache this many times slower than its fellows has no idle room.
const SLOW: f64 = 3.0;
/// Copies and further tries that one request earns, and most that are saved up.
const COPY_SHARE: f64 = 0.1;
const RETRY_SHARE: f64 = 0.2;
const SAVED: f64 = 10.0;
/// A gate whose attempts go badly in more than this part is overrun, not unlucky.
const STRAINED: f64 = 0.3;
/// Attempts of ours at a gate at the start, and what is held to be usual at first.
const START: f64 = 8.0;
const USUAL: f64 = 48.0;
/// So many nodes may start with all of that.
const FEW_NODES: f64 = 8.0;
const IDLE_TIMER: TimerToken = TimerToken(u64::MAX - 1);
/// A zone is cut off from ours when this many connections fail in a row while another zone answers.
const CUT: u32 = 3;
const LIST_TIMER: TimerToken = TimerToken(u64::MAX);
const LAST_TIMER: TimerToken = TimerToken(u64::MAX - 2);

/// Decides for one node; see [`on_event`](Balancer::on_event).
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    sender: Sender, // which of all nodes this is
    servers: BTreeMap<ServerId, Server>,
    /// Those out by hand, listed or not, and since when others are back.
    banned: BTreeSet<ServerId>,
    returned: BTreeMap<ServerId, Micros>,
    origin: Option<ServerId>,
    caches: usize, // how many caches are up
    open: HashMap<RequestId, Open>,
    timings: Vec<Timing>, // response times by class; the first is for requests of no known class
    arrived: Rate,
    served: Rate,
    unserved: Rate, // refused, failed, or given up by their clients
    start: f64,     // requests a second that are borne in any case: what our first places could serve
    tenants: Vec<Rate>,
    unsized_list: bool,          // the list tells no sizes: all weigh the same
    zones: BTreeMap<u32, Reach>, // how the zones answer
    kinds: BTreeMap<u32, Pace>,  // how quick the kinds of machines are
    thin_at: Micros,             // when idle connections are looked at next
    copies: f64,
    retries: f64,
    /// Fetches that are out or wait for a place, by key, with those who wait for them.
    flights: HashMap<u64, Vec<RequestId>>,
    gates: [Gate; 2], // limits on what is out at the caches together, and at the origin
    /// Calls for the list that failed in a row; none before the first call.
    list_failures: Option<u32>,
    /// When the process ends, as far as we know.
    ends: Micros,
}

impl Balancer {
    /// A balancer that knows no server yet. Random choices come from `seed` alone.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let aims = settings.classes.iter().map(|c| c.latency_objective as f64);
        let usual = aims.clone().reduce(f64::min).filter(|&aim| aim > 0.0).unwrap_or(1e6);
        // Guards against: dozens of nodes that start together, each with places enough for a few.
        let part = (FEW_NODES / settings.node_count as f64).min(1.0);
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            now,
            sender: Sender::new(settings.node_index, settings.node_count, now, seed),
            servers: BTreeMap::new(),
            banned: BTreeSet::new(),
            returned: BTreeMap::new(),
            origin: None,
            caches: 0,
            open: HashMap::new(),
            timings: [usual].into_iter().chain(aims).map(|aim| Timing::guess(aim / 3.0)).collect(),
            arrived: Rate::new(now),
            served: Rate::new(now),
            unserved: Rate::new(now),
            start: START * part / (usual / 3e6),
            tenants: settings.tenant_quotas.iter().map(|_| Rate::new(now)).collect(),
            unsized_list: true,
            zones: BTreeMap::new(),
            kinds: BTreeMap::new(),
            thin_at: Micros::MAX,
            copies: 1.0,
            retries: SAVED / 2.0,
            flights: HashMap::new(),
            gates: [CACHES, ORIGIN].map(|_| Gate::new(usual / 3.0, (START * part).max(2.0), USUAL * part)),
            list_failures: None,
            ends: Micros::MAX,
            settings,
        }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.settings.watch_required && self.list_failures.is_none() {
            self.list_failures = Some(0);
            out.push(Action::WatchEndpoints);
        }
        match event {
            Event::Endpoints { update, endpoints } => self.members(update, endpoints, out),
            Event::Request(request) if self.open.contains_key(&request.id) => {} // an id in use
            Event::Request(request) => self.arrive(request, out),
            Event::AttemptEnded(end) => self.outcome(end, out),
            Event::ResponseStarted(AttemptId { request: id, number: attempt }) => {
                if let Some(r) = self.open.get_mut(&id).filter(|r| attempt < r.tries.len()) {
                    r.streaming = true;
                    let to = r.tries[attempt].server;
                    self.served.add(self.now, self.tau());
                    self.cancel(id, Some(attempt), out);
                    self.free_place(id, attempt, to);
                    self.admit_queued(CACHES, out);
                }
            }
            Event::ClientDisconnected(id) => self.end(id, false, out),
            Event::Timer(LIST_TIMER) if self.settings.watch_required => out.push(Action::WatchEndpoints),
            Event::Timer(IDLE_TIMER) => self.thin_out(out),
            Event::Timer(LAST_TIMER) => self.finish_all(out),
            Event::Timer(token) => self.timer(RequestId(token.0 as u32), out),
            Event::Settings(settings) => self.retune(*settings),
            Event::Disable(server) => self.disable(server, out),
            Event::Enable { server, since } => self.enable(server, since),
            Event::Shutdown { deadline: at } => {
                self.ends = at;
                self.open.values_mut().for_each(|r| r.deadline = r.deadline.min(at));
                out.push(Action::SetTimer { after: at.saturating_sub(self.now).max(1), token: LAST_TIMER });
            }
        }
    }

    /// Goes by new settings; what is learned by class and by tenant stays.
    fn retune(&mut self, settings: Settings) {
        for class in settings.classes.iter().skip(self.timings.len() - 1) {
            self.timings.push(Timing::guess(class.latency_objective as f64 / 3.0));
        }
        let tenants = settings.tenant_quotas.len().max(self.tenants.len());
        self.tenants.resize_with(tenants, || Rate::new(self.now));
        self.sender = self.sender.moved(settings.node_index, settings.node_count);
        let cold = self.servers.values_mut().filter(|s| s.cold_since.is_some());
        cold.for_each(|s| s.allotment.resize(&self.sender));
        self.settings = settings;
    }

    // ---- the list ----

    fn members(&mut self, scope: EndpointUpdate, members: Vec<Endpoint>, out: &mut Vec<Action>) {
        if scope == EndpointUpdate::Failed {
            // Asked again soon at first, then more rarely, and never so rarely that the list counts as told:
            // on sockets that is 6 s after a change, asked or not, so there have to be some tries by then.
            // Full jitter. Guards against: a herd that was turned away together and comes back together.
            let failures = self.list_failures.map_or(1, |n| n + 1).min(4);
            self.list_failures = Some(failures);
            // All nodes share one discovery: the more there are, the more rarely each asks.
            let nodes = (self.settings.node_count as u64 / 8).clamp(1, 8);
            let wait = ((nodes * self.settings.max_poll_interval / 32) << failures)
                .min(self.settings.max_poll_interval / 4);
            let after = self.rng.u64(0..=wait).max(self.settings.timer_granularity);
            return out.push(Action::SetTimer { after, token: LIST_TIMER });
        }
        self.list_failures = self.list_failures.map(|_| 0);
        if scope == EndpointUpdate::Full {
            self.servers.values_mut().for_each(|s| s.member.state = EndpointState::Removed);
        }
        for mut member in members {
            let steady = self.settings.static_weights && member.weight.is_finite();
            member.weight = if steady && member.weight > 0.0 { member.weight } else { 1.0 };
            let cold_since = self.cold_since(&member);
            let server =
                self.servers.entry(member.id).or_insert_with(|| Server::new(member.clone(), self.now));
            if server.cold_since != cold_since {
                server.restart(cold_since, self.now, &self.sender, &self.settings);
            }
            server.banned = self.banned.contains(&member.id);
            server.member = member;
        }
        // Guards against: a part spent twice, where a list omits a cold server once.
        let (fall, now) = (self.settings.overload_window, self.now);
        let kept = |s: &Server| !s.out.is_empty() || s.allotment.spent_in(fall, now) > 0;
        self.servers.retain(|_, s| s.member.state != EndpointState::Removed || kept(s));
        self.take_stock();
    }

    /// What follows from which servers there are.
    fn take_stock(&mut self) {
        self.origin = self.servers.values().find(|s| s.is_origin()).map(|s| s.member.id);
        let caches = || self.servers.values().filter(|s| s.is_cache());
        self.caches = caches().count();
        self.kinds.values_mut().for_each(|kind| kind.weight = 0.0);
        for s in caches() {
            self.kinds.entry(s.member.machine_type).or_insert_with(Pace::new).weight += s.member.weight;
        }
        self.unsized_list = caches().zip(caches().skip(1)).all(|(a, b)| a.member.weight == b.member.weight);
    }

    // ---- the ordinary path ----

    fn arrive(&mut self, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        let class = request.class.filter(|&c| c < self.settings.classes.len());
        let told = class.map(|c| &self.settings.classes[c]);
        let effect = self.settings.idempotency(request.class, request.is_write);
        let key = match &request.key {
            Some(key) => xxh3_64_with_seed(key.as_bytes(), 0),
            None => self.rng.u64(..),
        };
        let mut open = Open::new(&request, key, effect, self.now);
        open.class = class.map_or(0, |c| c + 1);
        (open.most, open.copies) = (self.settings.max_attempts, self.settings.hedging);
        open.aim = told.map_or(request.timeout, |c| c.latency_objective);
        open.deadline = open.deadline.min(self.ends);
        open.worth = self.worth(&request);
        self.open.insert(id, open);
        self.copies = (self.copies + COPY_SHARE).min(SAVED);
        self.retries = (self.retries + RETRY_SHARE).min(SAVED);
        self.advance(id, out);
    }

    /// The next step of a request that has no attempt out.
    fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.open.get_mut(&id).filter(|r| !r.settled) else { return };
        if r.outstanding() > 0 {
            return; // a miss or failure ends nothing while a copy is out
        }
        r.wait = Wait::Nothing;
        let (stored, again) = (r.stored, !r.tries.is_empty() && r.stored.is_none());
        let (aside, most, class) = (self.settings.cache_mode == CacheMode::Aside, r.most, r.class);
        if self.now + self.settings.timer_granularity >= r.deadline || r.tries.len() >= most {
            self.finish(id, out);
        } else if aside && (r.write || r.missed() && stored.is_none()) {
            self.fetch(id, out);
        } else if again && self.retries < 1.0 && !r.write {
            self.finish(id, out); // a failing fleet is not asked much more than a healthy one
        } else if self.gates[CACHES].full() && !self.pick(id).is_some_and(|s| self.idle(s, class)) {
            self.queue(CACHES, id, out); // slow caches may hold all places: idle room needs none
        } else {
            self.retries -= if again { 1.0 } else { 0.0 };
            self.ask_cache(id, out);
        }
    }

    fn outcome(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let id = end.attempt.request;
        let Some(r) = self.open.get_mut(&id) else { return };
        let Some(t) = r.tries.get_mut(end.attempt.number).filter(|t| t.out) else { return };
        (t.out, t.may_have_run) = (false, end.may_have_run());
        t.missed = end.outcome == Outcome::CacheMiss;
        let (to, key) = (t.server, r.key);
        let stored = r.tries.iter().find(|t| t.missed).map(|t| t.server);
        let at_origin = self.servers.get(&to).is_some_and(|s| s.member.is_origin);
        let landed = r.leads && at_origin;
        r.leads &= !landed;
        let lost = self.observe(&end, to);
        if end.settled {
            self.end(id, true, out);
        } else {
            self.advance(id, out);
        }
        if landed {
            self.land(key, stored.filter(|_| end.outcome == Outcome::Success), out);
        }
        lost.into_iter().for_each(|id| self.hedge(id, out));
        self.admit_queued(usize::from(at_origin), out);
        if let Some(s) = self.servers.get_mut(&to).filter(|s| s.out.is_empty()) {
            s.idle_since = Some(self.now);
            let until = s.idle_until(self.settings.idle_timeout);
            self.thin_by(until, out);
        }
        if self.open.get(&id).is_some_and(|r| r.settled && r.outstanding() == 0) {
            self.open.remove(&id);
        }
    }

    fn timer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.open.get(&id).filter(|r| !r.settled && !r.streaming) else { return };
        if self.now + self.settings.timer_granularity >= r.deadline && self.fetching(id).is_some() {
            self.finish(id, out);
        } else if r.outstanding() > 0 {
            self.hedge(id, out);
        } else if r.wait == Wait::Place {
            match self.hopeless_at(id).saturating_sub(self.now) {
                0 => self.finish(id, out),
                left => self.wake(id, left, out), // answers have become quicker: it may yet be in time
            }
        } else if r.wait == Wait::Pause || self.now + self.settings.timer_granularity >= r.deadline {
            self.advance(id, out);
        }
    }

    /// A timer for a request, due before its end at the latest.
    fn wake(&self, id: RequestId, after: Micros, out: &mut Vec<Action>) {
        let left = self.open[&id].deadline.saturating_sub(self.now + self.settings.timer_granularity);
        out.push(Action::SetTimer { after: after.min(left).max(1), token: TimerToken(id.0.into()) });
    }
}
