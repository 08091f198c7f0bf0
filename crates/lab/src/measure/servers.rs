//! A balancer with a number of servers, driven directly by events without a network.

use stonefold_balancer::{
    Action, AttemptEnd, AttemptId, Balancer, Endpoint, EndpointUpdate, Event, Micros, Outcome, Request,
    RequestId, ServerId, Settings,
};

/// Number of zones, as in a site of the intended size.
const ZONES: u32 = 30;
/// Number of nodes, as in a site of the intended size.
const NODES: usize = 900;
/// Time from an answer to the next request, in microseconds.
const REQUEST_INTERVAL: Micros = 1_000;
/// Time from a request to its answer, in microseconds.
const ANSWER_TIME: Micros = 300;
/// Number of keys, which are requested in turn.
const KEYS: u32 = 10_000;
/// Timeout of a request, in microseconds.
const REQUEST_TIMEOUT: Micros = 1_000_000;

/// A balancer, its virtual time and its latest request.
pub struct BalancerHarness {
    balancer: Balancer,
    actions: Vec<Action>,
    now: Micros,
    /// Number of the latest request, from 1; 0 before the first.
    last_request: u32,
}

impl BalancerHarness {
    /// Creates a balancer with this number of listed servers.
    pub fn new(servers: usize, seed: u64) -> BalancerHarness {
        let settings = Settings { node_count: NODES, ..Settings::default() };
        let (now, mut actions) = (1, Vec::new());
        let mut balancer = Balancer::new(settings, seed, now);
        let endpoint = |id| Endpoint { zone: id % ZONES, cell: id / 4, ..Endpoint::up(ServerId(id)) };
        let endpoints = (1..=servers as u32).map(endpoint).collect();
        balancer.on_event(now, Event::Endpoints { update: EndpointUpdate::Full, endpoints }, &mut actions);
        actions.clear();
        BalancerHarness { balancer, actions, now, last_request: 0 }
    }

    /// Creates the next request.
    pub fn next_request(&mut self) -> Request {
        self.now += REQUEST_INTERVAL;
        self.last_request += 1;
        let key = Some(format!("record:{}", self.last_request % KEYS));
        Request { key, timeout: REQUEST_TIMEOUT, ..Request::new(RequestId(self.last_request)) }
    }

    /// Passes a request to the balancer. Returns whether it was sent to a server.
    pub fn decide(&mut self, request: Request) -> bool {
        self.actions.clear();
        self.balancer.on_event(self.now, Event::Request(request), &mut self.actions);
        self.actions.iter().any(|action| matches!(action, Action::Send { .. }))
    }

    /// Answers the latest request with success.
    pub fn answer(&mut self) {
        self.now += ANSWER_TIME;
        self.actions.clear();
        let end = AttemptEnd {
            elapsed: ANSWER_TIME,
            cache_hit: Some(true),
            ..AttemptEnd::new(AttemptId::new(RequestId(self.last_request), 0), Outcome::Success)
        };
        self.balancer.on_event(self.now, Event::AttemptEnded(end), &mut self.actions);
    }
}
