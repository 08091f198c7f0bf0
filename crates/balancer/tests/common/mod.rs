//! Helpers for tests that drive the balancer through its public interface.
#![allow(dead_code, unreachable_pub)] // each test file uses only some of the helpers

use stonefold_balancer::*;

pub const SECOND: Micros = 1_000_000;

/// Three classes: 0 is idempotent, 1 has an idempotency key for all servers, 2 is not idempotent.
pub fn settings(mode: CacheMode) -> Settings {
    Settings {
        classes: vec![
            RequestClass {
                latency_objective: 300_000,
                priority_weight: 3.0,
                idempotency: Idempotency::Idempotent,
            },
            RequestClass {
                latency_objective: 800_000,
                priority_weight: 9.0,
                idempotency: Idempotency::Keyed { scope: DeduplicationScope::All, window: 2 * SECOND },
            },
            RequestClass {
                latency_objective: 800_000,
                priority_weight: 1.0,
                idempotency: Idempotency::NonIdempotent,
            },
        ],
        cache_mode: mode,
        max_attempts: 5,
        slow_start_duration: 20 * SECOND,
        initial_capacity: 0.2,
        timer_granularity: 5_000,
        ..Settings::default()
    }
}

/// A balancer that knows the caches 1 to n and, in cache-aside mode, the origin 99, with a virtual clock.
pub struct Node {
    pub balancer: Balancer,
    pub now: Micros,
}

impl Node {
    pub fn new(settings: Settings, caches: u32) -> Self {
        let aside = settings.cache_mode == CacheMode::Aside;
        let mut node = Node { balancer: Balancer::new(settings, 1, 0), now: 0 };
        let mut endpoints: Vec<Endpoint> = (1..=caches).map(|id| Endpoint::up(ServerId(id))).collect();
        if aside {
            endpoints.push(Endpoint { is_origin: true, ..Endpoint::up(ServerId(99)) });
        }
        node.handle(Event::Endpoints { update: EndpointUpdate::Full, endpoints });
        node
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.on_event(self.now, event, &mut actions);
        actions
    }

    pub fn update_endpoints(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) -> Vec<Action> {
        self.handle(Event::Endpoints { update, endpoints })
    }

    /// A read of class 0 with a time limit of one second.
    pub fn read(&mut self, id: u32, key: &str) -> Vec<Action> {
        self.request(id, key, 0, false)
    }

    /// A request with a time limit of one second.
    pub fn request(&mut self, id: u32, key: &str, class: usize, write: bool) -> Vec<Action> {
        self.handle(Event::Request(Request {
            class: Some(class),
            key: Some(key.into()),
            timeout: SECOND,
            is_write: write,
            ..Request::new(RequestId(id))
        }))
    }

    /// Ends an attempt; one that succeeds settles its request.
    pub fn finish(&mut self, id: u32, attempt: usize, outcome: Outcome, elapsed: Micros) -> Vec<Action> {
        let settled = outcome == Outcome::Success;
        let end = AttemptEnd::new(AttemptId::new(RequestId(id), attempt), outcome);
        self.handle(Event::AttemptEnded(AttemptEnd { elapsed, settled, ..end }))
    }

    /// Serves one read of `key` in `elapsed`; returns the server.
    pub fn serve(&mut self, id: u32, key: &str, elapsed: Micros) -> ServerId {
        let to = sent_to(&self.read(id, key)).expect("a read is sent");
        self.now += elapsed;
        self.finish(id, 0, Outcome::Success, elapsed);
        to
    }

    /// Serves 200 reads, so that every cache has answered.
    pub fn serve_many(&mut self) {
        for n in 0..200 {
            self.serve(n, &format!("k{n}"), 50_000);
        }
    }

    pub fn timer(&mut self, token: TimerToken) -> Vec<Action> {
        self.handle(Event::Timer(token))
    }
}

/// The server that the first attempt is sent to, if any.
pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// The delay and the token of the first timer that is set, if any.
pub fn first_timer(actions: &[Action]) -> Option<(Micros, TimerToken)> {
    actions.iter().find_map(|a| match a {
        Action::SetTimer { after, token } => Some((*after, *token)),
        _ => None,
    })
}

/// Whether the balancer gives a final answer: a rejection or a failure.
pub fn is_answered(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)))
}

/// The numbers of the attempts that are cancelled.
pub fn cancelled_attempts(actions: &[Action]) -> Vec<usize> {
    let number = |a: &Action| match a {
        Action::Cancel(attempt) => Some(attempt.number),
        _ => None,
    };
    actions.iter().filter_map(number).collect()
}

/// A node with the caches 0 to `caches` - 1, where cache `id` is in zone `id % zones`.
pub fn node_with_zones(settings: Settings, caches: u32, zones: u32) -> Node {
    let mut node = Node::new(settings, 0);
    let endpoint = |id| Endpoint { zone: id % zones, ..Endpoint::up(ServerId(id)) };
    node.update_endpoints(EndpointUpdate::Full, (0..caches).map(endpoint).collect());
    node
}
