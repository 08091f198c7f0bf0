//! Long random but legal event sequences, with the balancer's actions checked against an independent
//! statement of the rules. The world below is a list of what is due, not a model of servers.

mod common;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use common::SECOND;
use stonefold_balancer::*;

struct Attempt {
    server: ServerId,
    sent: Micros,
    /// How it ended, once the balancer knows.
    end: Option<Outcome>,
}

struct Expected {
    idempotency: Idempotency,
    write: bool,
    deadline: Micros,
    answered: bool,
    attempts: Vec<Attempt>,
    /// What the settings allowed when it arrived.
    max_attempts: usize,
    may_hedge: bool,
}

enum Due {
    Outcome(RequestId, usize, Outcome),
    Timer(TimerToken),
}

/// How attempts end; four of ten are served.
const OUTCOMES: [Outcome; 10] = [
    Outcome::Success,
    Outcome::Success,
    Outcome::Success,
    Outcome::Success,
    Outcome::ServerError,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::CacheMiss,
    Outcome::TimedOut,
];

struct World {
    balancer: Balancer,
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    due: BTreeMap<(Micros, u64), Due>,
    count: u64,
    requests: HashMap<RequestId, Expected>,
    /// The latest entry of each server in the endpoint list.
    listed: BTreeMap<ServerId, Endpoint>,
    disabled: BTreeSet<ServerId>,
    answers: usize,
    repeats: usize,
    timers: usize,
}

/// Settings drawn at random, among them absurd ones.
fn random_settings(rng: &mut fastrand::Rng) -> Settings {
    let scope = [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell][rng.usize(..3)];
    let class = |idempotency| RequestClass { latency_objective: 300_000, priority_weight: 1.0, idempotency };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Keyed { scope, window: rng.u64(50_000..2 * SECOND) }),
            class(Idempotency::NonIdempotent),
        ],
        tenant_quotas: vec![0.5, 0.5],
        over_quota_weight: 0.1,
        cache_mode: if rng.bool() { CacheMode::Aside } else { CacheMode::Through },
        watch_required: rng.bool(),
        cancellation: rng.bool(),
        hedging: rng.bool(),
        max_attempts: rng.usize(1..7),
        max_retry_after: if rng.bool() { SECOND } else { 0 },
        slow_start_duration: 10 * SECOND,
        initial_capacity: 0.2,
        timer_granularity: 5_000,
        node_count: rng.usize(1..500),
        idle_timeout: rng.u64(0..20 * SECOND),
        zone: Some(0),
        cross_zone_cost: [0.0, 0.05, f64::NAN, -1.0, f64::INFINITY][rng.usize(..5)],
        ..Settings::default()
    }
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = random_settings(&mut rng);
        let now = rng.u64(0..1 << 50);
        let mut world = World {
            balancer: Balancer::new(settings.clone(), seed, now),
            settings,
            rng,
            now,
            due: BTreeMap::new(),
            count: 0,
            requests: HashMap::new(),
            listed: BTreeMap::new(),
            disabled: BTreeSet::new(),
            answers: 0,
            repeats: 0,
            timers: 0,
        };
        world.update_endpoints(EndpointUpdate::Full);
        world
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.on_event(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn schedule(&mut self, when: Micros, what: Due) {
        self.count += 1;
        self.due.insert((when, self.count), what);
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request: id, server, timeout, .. } => self.attempt_sent(id, server, timeout),
            Action::Cancel(AttemptId { request: id, number: attempt }) => {
                assert!(self.settings.cancellation, "cancels are forbidden");
                assert!(attempt < self.requests[&id].attempts.len(), "no such attempt");
                let late = self.rng.bool();
                if !late {
                    self.due.retain(|_, d| !matches!(d, Due::Outcome(i, n, _) if (*i, *n) == (id, attempt)));
                    if self.requests[&id].attempts[attempt].end.is_none() {
                        self.schedule(self.now + 5_000, Due::Outcome(id, attempt, Outcome::Canceled));
                    }
                }
            }
            Action::Reject { request: id, retry_after } => {
                assert!(retry_after <= self.settings.max_retry_after);
                let request = &self.requests[&id];
                let proved = |a: &Attempt| a.end.is_some_and(|o| !o.may_have_run());
                let harmless = match request.idempotency {
                    Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => {
                        true
                    }
                    _ => request.attempts.iter().all(proved),
                };
                assert!(harmless, "a rejection of a request that may have taken effect");
                self.answer(id);
            }
            Action::Fail(id) => self.answer(id),
            Action::SetTimer { after, token } => {
                self.timers += 1;
                assert!(self.timers < 100 * (self.requests.len() + 100), "a timer that is set forever");
                self.schedule(self.now + after, Due::Timer(token));
            }
            Action::WatchEndpoints => assert!(self.settings.watch_required),
            Action::CloseIdleConnections(server) => {
                assert!(self.listed.contains_key(&server), "a server that was never listed");
            }
        }
    }

    fn answer(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("a known request");
        assert!(!request.answered, "two final answers");
        assert!(self.now <= request.deadline + 20_000, "answered too late");
        request.answered = true;
        self.answers += 1;
    }

    fn attempt_sent(&mut self, id: RequestId, server: ServerId, timeout: Micros) {
        let request = self.requests.get_mut(&id).expect("a known request");
        assert!(!request.answered, "nothing is sent after the final answer");
        assert!(request.attempts.len() < request.max_attempts);
        let to = &self.listed[&server];
        assert_eq!(to.state, EndpointState::Up, "draining servers get nothing");
        assert!(!self.disabled.contains(&server), "disabled servers get nothing");
        let aside = self.settings.cache_mode == CacheMode::Aside;
        assert!(!(aside && request.write) || to.is_origin, "writes go to the origin");
        let out = request.attempts.iter().filter(|a| a.end.is_none()).count();
        let may_hedge = request.may_hedge && !request.write && request.idempotency == Idempotency::Idempotent;
        assert!(out == 0 || may_hedge, "a hedged request that is not allowed");
        self.repeats += check_repeats(request, to, &self.listed, self.now);
        let attempt = request.attempts.len();
        request.attempts.push(Attempt { server, sent: self.now, end: None });
        let left = request.deadline - self.now;
        let limit = if timeout == 0 { left } else { timeout.min(left) };
        let outcome = OUTCOMES[self.rng.usize(..OUTCOMES.len())];
        let may_miss = aside && !to.is_origin;
        let outcome = if outcome == Outcome::CacheMiss && !may_miss { Outcome::Success } else { outcome };
        let elapsed = self.rng.u64(1_000..400_000);
        let cut = outcome == Outcome::TimedOut || elapsed >= limit;
        let (when, outcome) = if cut { (limit, Outcome::TimedOut) } else { (elapsed, outcome) };
        self.schedule(self.now + when, Due::Outcome(id, attempt, outcome));
    }

    fn update_endpoints(&mut self, update: EndpointUpdate) {
        let mut endpoints = Vec::new();
        for id in (0..8).map(ServerId) {
            if self.rng.u8(..4) == 0 {
                continue;
            }
            let state = match self.rng.u8(..8) {
                0 => EndpointState::Draining,
                1 if update == EndpointUpdate::Delta => EndpointState::Removed,
                _ => EndpointState::Up,
            };
            let started_at = (self.rng.u8(..4) == 0).then_some(self.now);
            let is_origin = id == ServerId(0) && self.settings.cache_mode == CacheMode::Aside;
            let cell = id.0 / 3;
            endpoints.push(Endpoint {
                state,
                started_at,
                is_origin,
                cell,
                machine_type: id.0 % 3,
                zone: id.0 % 2,
                ..Endpoint::up(id)
            });
        }
        match update {
            EndpointUpdate::Failed => endpoints.clear(),
            EndpointUpdate::Full => self.listed.values_mut().for_each(|m| m.state = EndpointState::Removed),
            EndpointUpdate::Delta => {}
        }
        self.listed.extend(endpoints.iter().map(|m| (m.id, m.clone())));
        self.handle(Event::Endpoints { update, endpoints });
    }

    fn request(&mut self, id: RequestId) {
        let class = Some(self.rng.usize(..4)).filter(|&c| c < 3);
        let write = self.rng.u8(..5) == 0;
        let timeout = if self.rng.u8(..20) == 0 { 0 } else { self.rng.u64(10_000..SECOND) };
        let idempotency = match class {
            Some(class) => self.settings.classes[class].idempotency,
            None if write => Idempotency::NonIdempotent,
            None => Idempotency::Idempotent,
        };
        let deadline = self.now + timeout;
        let (max_attempts, may_hedge) = (self.settings.max_attempts, self.settings.hedging);
        let attempts = Vec::new();
        self.requests.insert(
            id,
            Expected { idempotency, write, deadline, answered: false, attempts, max_attempts, may_hedge },
        );
        let key = (self.rng.u8(..8) != 0).then(|| format!("k{}", self.rng.u8(..20)));
        let tenant = Some(self.rng.usize(..3));
        self.handle(Event::Request(Request { id, class, tenant, key, timeout, is_write: write }));
    }

    fn finish_attempt(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let request = self.requests.get_mut(&id).unwrap();
        let a = &mut request.attempts[attempt];
        if a.end.is_some() {
            return;
        }
        a.end = Some(outcome);
        let elapsed = self.now - a.sent;
        if outcome == Outcome::Success && !request.answered {
            request.answered = true;
            self.answers += 1;
        }
        let settled = request.answered;
        let cache_hit = [None, Some(true), Some(false)][self.rng.usize(..3)];
        let utilization = [None, Some(0.5), Some(0.99)][self.rng.usize(..3)];
        let end = AttemptEnd {
            attempt: AttemptId::new(id, attempt),
            outcome,
            elapsed,
            settled,
            cache_hit,
            utilization,
            bytes_sent: true,
        };
        self.handle(Event::AttemptEnded(end));
    }

    /// Runs requests and other events; every request must be answered by its deadline and the grace period.
    fn run(&mut self, requests: u32) {
        for n in 0..requests {
            let pause = 5_000 * self.rng.u64(0..6);
            self.step(pause);
            match self.rng.u8(..60) {
                0 => self.update_endpoints(EndpointUpdate::Delta),
                1 => self.update_endpoints(EndpointUpdate::Full),
                2 => self.update_endpoints(EndpointUpdate::Failed),
                3 => {
                    let stray = TimerToken(self.rng.u64(..));
                    self.handle(Event::Timer(stray));
                }
                4 if n > 0 => {
                    let id = RequestId(self.rng.u32(..n));
                    if self.requests[&id].answered || self.now < self.requests[&id].deadline {
                        self.requests.get_mut(&id).unwrap().answered = true;
                        self.handle(Event::ClientDisconnected(id));
                    }
                }
                5 => {
                    let server = ServerId(self.rng.u32(..8));
                    self.disabled.insert(server);
                    self.handle(Event::Disable(server));
                }
                7 => {
                    self.settings.max_attempts = self.rng.usize(1..7);
                    self.settings.hedging = self.rng.bool();
                    self.settings.classes.rotate_left(1);
                    self.handle(Event::Settings(Box::new(self.settings.clone())));
                }
                6 => {
                    let server = ServerId(self.rng.u32(..8));
                    self.disabled.remove(&server);
                    self.handle(Event::Enable { server, since: self.now });
                }
                _ => {}
            }
            self.request(RequestId(n));
        }
        self.step(3 * SECOND);
        let lost: Vec<&RequestId> =
            self.requests.iter().filter(|(_, a)| !a.answered).map(|(id, _)| id).collect();
        assert!(lost.is_empty(), "requests without an answer: {lost:?}");
    }

    fn step(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some((&(when, count), _)) = self.due.first_key_value().filter(|((when, _), _)| *when <= end)
        {
            self.now = self.now.max(when);
            match self.due.remove(&(when, count)).unwrap() {
                Due::Outcome(id, attempt, outcome) => self.finish_attempt(id, attempt, outcome),
                Due::Timer(token) => self.handle(Event::Timer(token)),
            }
            let overdue = |a: &&Expected| !a.answered && self.now > a.deadline + 20_000;
            assert!(
                !self.count.is_multiple_of(64) || !self.requests.values().any(|a| overdue(&a)),
                "an answer is overdue"
            );
        }
        self.now = end;
    }
}

/// Checks an attempt at `to` against the former attempts that may have taken effect, and counts the repeats
/// that the servers have to discard.
fn check_repeats(
    request: &Expected,
    to: &Endpoint,
    listed: &BTreeMap<ServerId, Endpoint>,
    now: Micros,
) -> usize {
    let mut repeats = 0;
    for earlier in request.attempts.iter().filter(|a| a.end.is_none_or(Outcome::may_have_run)) {
        let first = &listed[&earlier.server];
        match request.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => {
                panic!("a non-idempotent request that may have taken effect is sent again")
            }
            Idempotency::Keyed { scope, window } => {
                assert!(now <= earlier.sent + window, "outside its deduplication window");
                match scope {
                    DeduplicationScope::All => {}
                    DeduplicationScope::Zone => assert_eq!(first.zone, to.zone),
                    DeduplicationScope::Cell => assert_eq!(first.cell, to.cell),
                }
                repeats += 1;
            }
        }
    }
    repeats
}

#[test]
fn random_legal_events_break_no_rule() {
    let (mut answers, mut repeats) = (0, 0);
    for seed in 0..400 {
        let mut world = World::new(seed);
        world.run(400);
        answers += world.answers;
        repeats += world.repeats;
    }
    assert!(answers > 20_000 && repeats > 100, "the sequences must exercise the rules: {answers}, {repeats}");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let trace = |seed| {
        let mut world = World::new(seed);
        world.run(200);
        let mut sends: Vec<_> = world.requests.iter().collect();
        sends.sort_by_key(|(id, _)| **id);
        let of = |a: &Expected| a.attempts.iter().map(|t| (t.server, t.sent)).collect::<Vec<_>>();
        sends.into_iter().map(|(_, a)| of(a)).collect::<Vec<_>>()
    };
    assert_eq!(trace(7), trace(7));
}
