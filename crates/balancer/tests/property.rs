//! Long random but legal event sequences, with the balancer's actions checked against an independent
//! statement of the rules. The simulation is a list of scheduled events, not a model of servers.

mod common;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use common::SECOND;
use stonefold_balancer::*;

/// An attempt that the balancer sent.
struct Attempt {
    server: ServerId,
    sent_at: Micros,
    /// How the attempt ended, once the balancer knows.
    end: Option<Outcome>,
}

/// A request and what the rules allow for it.
struct ExpectedRequest {
    idempotency: Idempotency,
    is_write: bool,
    deadline: Micros,
    /// Whether it has its final answer, or its client disconnected.
    is_answered: bool,
    attempts: Vec<Attempt>,
    /// The number of attempts that the settings allowed when it arrived.
    max_attempts: usize,
    /// Whether the settings allowed hedged requests when it arrived.
    may_hedge: bool,
}

/// What happens at a scheduled time: an attempt ends, or a timer expires.
enum ScheduledEvent {
    Outcome(RequestId, usize, Outcome),
    Timer(TimerToken),
}

/// The outcomes of attempts, of which four in ten are successes.
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

/// A balancer, the events scheduled for it, and the requests with what the rules allow for them.
struct Simulation {
    balancer: Balancer,
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    /// The scheduled events, by their time and a sequence number.
    scheduled: BTreeMap<(Micros, u64), ScheduledEvent>,
    /// The number of events scheduled so far, the sequence number of the latest.
    events_scheduled: u64,
    requests: HashMap<RequestId, ExpectedRequest>,
    /// The latest entry of each server in the endpoint list.
    listed: BTreeMap<ServerId, Endpoint>,
    disabled: BTreeSet<ServerId>,
    /// Requests with a final answer.
    answers: usize,
    /// Repetitions that the servers had to discard, from [`check_repeats`].
    repeats: usize,
    /// Timers set.
    timers: usize,
}

/// Random settings, some of them with values that make no sense, such as a negative or infinite price.
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

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = random_settings(&mut rng);
        let now = rng.u64(0..1 << 50);
        let mut simulation = Simulation {
            balancer: Balancer::new(settings.clone(), seed, now),
            settings,
            rng,
            now,
            scheduled: BTreeMap::new(),
            events_scheduled: 0,
            requests: HashMap::new(),
            listed: BTreeMap::new(),
            disabled: BTreeSet::new(),
            answers: 0,
            repeats: 0,
            timers: 0,
        };
        simulation.update_endpoints(EndpointUpdate::Full);
        simulation
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.on_event(self.now, event, &mut actions);
        for action in actions {
            self.apply(action);
        }
    }

    fn schedule(&mut self, at: Micros, event: ScheduledEvent) {
        self.events_scheduled += 1;
        self.scheduled.insert((at, self.events_scheduled), event);
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Send { request: id, server, timeout, .. } => self.attempt_sent(id, server, timeout),
            Action::Cancel(AttemptId { request: id, number: attempt }) => {
                assert!(self.settings.cancellation, "attempts are cancelled though the settings forbid it");
                assert!(attempt < self.requests[&id].attempts.len(), "no such attempt");
                // A cancellation that is late has no effect.
                let late = self.rng.bool();
                if !late {
                    self.scheduled.retain(|_, event| {
                        !matches!(event, ScheduledEvent::Outcome(i, n, _) if (*i, *n) == (id, attempt))
                    });
                    if self.requests[&id].attempts[attempt].end.is_none() {
                        self.schedule(
                            self.now + 5_000,
                            ScheduledEvent::Outcome(id, attempt, Outcome::Canceled),
                        );
                    }
                }
            }
            Action::Reject { request: id, retry_after } => {
                assert!(retry_after <= self.settings.max_retry_after);
                let request = &self.requests[&id];
                let had_no_effect =
                    |attempt: &Attempt| attempt.end.is_some_and(|outcome| !outcome.may_have_run());
                let may_reject = match request.idempotency {
                    Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => {
                        true
                    }
                    _ => request.attempts.iter().all(had_no_effect),
                };
                assert!(may_reject, "a request that may have taken effect is rejected");
                self.answer(id);
            }
            Action::Fail(id) => self.answer(id),
            Action::SetTimer { after, token } => {
                self.timers += 1;
                assert!(self.timers < 100 * (self.requests.len() + 100), "timers are set without end");
                self.schedule(self.now + after, ScheduledEvent::Timer(token));
            }
            Action::WatchEndpoints => assert!(self.settings.watch_required),
            Action::CloseIdleConnections(server) => {
                assert!(self.listed.contains_key(&server), "a server that was never listed");
            }
        }
    }

    fn answer(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("a known request");
        assert!(!request.is_answered, "a request gets two final answers");
        assert!(self.now <= request.deadline + 20_000, "a request is answered too late");
        request.is_answered = true;
        self.answers += 1;
    }

    fn attempt_sent(&mut self, id: RequestId, server: ServerId, timeout: Micros) {
        let request = self.requests.get_mut(&id).expect("a known request");
        assert!(!request.is_answered, "nothing is sent after the final answer");
        assert!(request.attempts.len() < request.max_attempts);
        let endpoint = &self.listed[&server];
        assert_eq!(endpoint.state, EndpointState::Up, "draining servers get nothing");
        assert!(!self.disabled.contains(&server), "disabled servers get nothing");
        let aside = self.settings.cache_mode == CacheMode::Aside;
        assert!(!(aside && request.is_write) || endpoint.is_origin, "writes go to the origin");
        let in_flight = request.attempts.iter().filter(|attempt| attempt.end.is_none()).count();
        let may_hedge =
            request.may_hedge && !request.is_write && request.idempotency == Idempotency::Idempotent;
        assert!(in_flight == 0 || may_hedge, "a hedged request is sent that is not allowed");
        self.repeats += check_repeats(request, endpoint, &self.listed, self.now);
        let attempt = request.attempts.len();
        request.attempts.push(Attempt { server, sent_at: self.now, end: None });
        let left = request.deadline - self.now;
        let cut_off_after = if timeout == 0 { left } else { timeout.min(left) };
        let outcome = OUTCOMES[self.rng.usize(..OUTCOMES.len())];
        let may_miss = aside && !endpoint.is_origin;
        let outcome = if outcome == Outcome::CacheMiss && !may_miss { Outcome::Success } else { outcome };
        let elapsed = self.rng.u64(1_000..400_000);
        let is_cut_off = outcome == Outcome::TimedOut || elapsed >= cut_off_after;
        let (ends_after, outcome) =
            if is_cut_off { (cut_off_after, Outcome::TimedOut) } else { (elapsed, outcome) };
        self.schedule(self.now + ends_after, ScheduledEvent::Outcome(id, attempt, outcome));
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
            EndpointUpdate::Full => {
                self.listed.values_mut().for_each(|endpoint| endpoint.state = EndpointState::Removed);
            }
            EndpointUpdate::Delta => {}
        }
        self.listed.extend(endpoints.iter().map(|endpoint| (endpoint.id, endpoint.clone())));
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
            ExpectedRequest {
                idempotency,
                is_write: write,
                deadline,
                is_answered: false,
                attempts,
                max_attempts,
                may_hedge,
            },
        );
        let key = (self.rng.u8(..8) != 0).then(|| format!("k{}", self.rng.u8(..20)));
        let tenant = Some(self.rng.usize(..3));
        self.handle(Event::Request(Request {
            id,
            class,
            tenant,
            key,
            timeout,
            is_write: write,
            is_crowded: false,
        }));
    }

    fn finish_attempt(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let request = self.requests.get_mut(&id).unwrap();
        let attempt_sent = &mut request.attempts[attempt];
        if attempt_sent.end.is_some() {
            return;
        }
        attempt_sent.end = Some(outcome);
        let elapsed = self.now - attempt_sent.sent_at;
        if outcome == Outcome::Success && !request.is_answered {
            request.is_answered = true;
            self.answers += 1;
        }
        let settled = request.is_answered;
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

    /// Runs requests and other events. Every request must be answered by 20 ms after its deadline.
    fn run(&mut self, requests: u32) {
        for n in 0..requests {
            let pause = 5_000 * self.rng.u64(0..6);
            self.step(pause);
            match self.rng.u8(..60) {
                0 => self.update_endpoints(EndpointUpdate::Delta),
                1 => self.update_endpoints(EndpointUpdate::Full),
                2 => self.update_endpoints(EndpointUpdate::Failed),
                3 => {
                    let unknown = TimerToken(self.rng.u64(..));
                    self.handle(Event::Timer(unknown));
                }
                4 if n > 0 => {
                    let id = RequestId(self.rng.u32(..n));
                    if self.requests[&id].is_answered || self.now < self.requests[&id].deadline {
                        self.requests.get_mut(&id).unwrap().is_answered = true;
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
        let unanswered: Vec<&RequestId> =
            self.requests.iter().filter(|(_, request)| !request.is_answered).map(|(id, _)| id).collect();
        assert!(unanswered.is_empty(), "requests without a final answer: {unanswered:?}");
    }

    /// Handles the events of the next `time`.
    fn step(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some((&(at, sequence), _)) =
            self.scheduled.first_key_value().filter(|((at, _), _)| *at <= until)
        {
            self.now = self.now.max(at);
            match self.scheduled.remove(&(at, sequence)).unwrap() {
                ScheduledEvent::Outcome(id, attempt, outcome) => self.finish_attempt(id, attempt, outcome),
                ScheduledEvent::Timer(token) => self.handle(Event::Timer(token)),
            }
            let is_overdue =
                |request: &&ExpectedRequest| !request.is_answered && self.now > request.deadline + 20_000;
            assert!(
                !self.events_scheduled.is_multiple_of(64)
                    || !self.requests.values().any(|request| is_overdue(&request)),
                "a final answer is overdue"
            );
        }
        self.now = until;
    }
}

/// Checks an attempt at `to` against the earlier attempts that may have taken effect. Returns how many
/// of these it repeats; the servers have to discard such repetitions.
fn check_repeats(
    request: &ExpectedRequest,
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
                assert!(
                    now <= earlier.sent_at + window,
                    "a request is sent again after its deduplication window"
                );
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
        let mut simulation = Simulation::new(seed);
        simulation.run(400);
        answers += simulation.answers;
        repeats += simulation.repeats;
    }
    assert!(answers > 20_000 && repeats > 100, "the sequences must exercise the rules: {answers}, {repeats}");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let trace = |seed| {
        let mut simulation = Simulation::new(seed);
        simulation.run(200);
        let mut requests: Vec<_> = simulation.requests.iter().collect();
        requests.sort_by_key(|(id, _)| **id);
        let attempts = |request: &ExpectedRequest| {
            request.attempts.iter().map(|attempt| (attempt.server, attempt.sent_at)).collect::<Vec<_>>()
        };
        requests.into_iter().map(|(_, request)| attempts(request)).collect::<Vec<_>>()
    };
    assert_eq!(trace(7), trace(7));
}
