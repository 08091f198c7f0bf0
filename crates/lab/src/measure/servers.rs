//! A balancer before so many servers, without anything round it.

use stonefold_balancer::{
    Action, AttemptEnd, AttemptId, Balancer, Endpoint, EndpointUpdate, Event, Micros, Outcome, Request,
    RequestId, ServerId, Settings,
};

/// Zones of the size that the plan is made for, and nodes.
const ZONES: u32 = 30;
const NODES: usize = 900;
/// Time between requests, and until each one's answer.
const GAP: Micros = 1_000;
const ANSWER: Micros = 300;
/// Keys that are asked for in turn.
const KEYS: u32 = 10_000;
const BUDGET: Micros = 1_000_000;

/// A balancer at work, and its time.
pub struct Decider {
    balancer: Balancer,
    actions: Vec<Action>,
    now: Micros,
    last: u32,
}

impl Decider {
    /// A balancer that knows of so many servers.
    pub fn new(servers: usize, seed: u64) -> Decider {
        let settings = Settings { node_count: NODES, ..Settings::default() };
        let (now, mut actions) = (1, Vec::new());
        let mut balancer = Balancer::new(settings, seed, now);
        let member = |id| Endpoint { zone: id % ZONES, cell: id / 4, ..Endpoint::up(ServerId(id)) };
        let members = (1..=servers as u32).map(member).collect();
        balancer.on_event(
            now,
            Event::Endpoints { update: EndpointUpdate::Full, endpoints: members },
            &mut actions,
        );
        actions.clear();
        Decider { balancer, actions, now, last: 0 }
    }

    /// The next request: where it is sent.
    pub fn next(&mut self) -> Request {
        self.now += GAP;
        self.last += 1;
        let key = Some(format!("record:{}", self.last % KEYS));
        Request { key, timeout: BUDGET, ..Request::new(RequestId(self.last)) }
    }

    /// Decides; tells whether it was sent somewhere.
    pub fn decide(&mut self, request: Request) -> bool {
        self.actions.clear();
        self.balancer.on_event(self.now, Event::Request(request), &mut self.actions);
        self.actions.iter().any(|action| matches!(action, Action::Send { .. }))
    }

    /// The last request is served.
    pub fn serve(&mut self) {
        self.now += ANSWER;
        self.actions.clear();
        let end = AttemptEnd {
            elapsed: ANSWER,
            cache_hit: Some(true),
            ..AttemptEnd::new(AttemptId::new(RequestId(self.last), 0), Outcome::Success)
        };
        self.balancer.on_event(self.now, Event::AttemptEnded(end), &mut self.actions);
    }
}
