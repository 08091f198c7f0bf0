//! A fleet that sends to one server in slow start, in virtual time, decided by the crate alone.
#![allow(dead_code, unreachable_pub)] // the example and the tests each use a part

use std::collections::VecDeque;

use fastrand::Rng;
use stonefold_allotment::{Micros, Quota, Sender, SlowStart};

pub const SECOND: Micros = 1_000_000;

/// A typical configuration.
pub const SLOW_START: SlowStart = SlowStart {
    duration: 9 * SECOND,
    initial_capacity: 0.3,
    overload_factor: 3.0,
    overload_window: 3 * SECOND / 2,
};

/// Time constant of the rates from which nodes estimate, in seconds.
const TAU: f64 = 2.25;

/// What arrives for the server.
#[derive(Clone, Copy, Debug)]
pub enum Demand {
    /// This many times its budget, from all nodes together.
    Together(f64),
    /// At each node this many times its part of the budget, or of one call per window.
    Everywhere(f64),
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub nodes: usize,
    /// Calls per second that the warm server handles.
    pub capacity: f64,
    pub demand: Demand,
    /// The mean of the nodes' estimates, as a multiple of the true capacity.
    pub bias: f64,
    /// Nodes differ in traffic (lognormal, and one in thirty sees five times as much) and each estimates from
    /// its own. Else all see and know the same.
    pub noisy: bool,
    /// The part of the nodes that are restarted during slow start.
    pub restarted: f64,
    /// The server starts again during slow start.
    pub server_restarts: bool,
}

/// The result of one run.
#[derive(Clone, Copy, Debug)]
pub struct RunResult {
    /// The most by which a window exceeded its budget `N`, in square roots of `N`.
    pub excess: f64,
    /// A window had more than `N + 2√N + 2` calls.
    pub overloaded: bool,
    /// What was sent, as a part of all budgets.
    pub used: f64,
    /// What was sent, as a part of what arrived.
    pub served: f64,
}

/// A node's estimate of the capacity, extrapolated from its own traffic to all nodes.
struct Estimate {
    mean: f64,
    deviation: f64,
    error: f64,
    at: Micros,
}

impl Estimate {
    /// An estimate from a rate of `rate` calls per second, counted with a time constant of `TAU`.
    fn new(rate: f64, mean: f64, rng: &mut Rng) -> Self {
        let deviation = if rate > 0.0 { (1.0 / (2.0 * TAU * rate)).sqrt() } else { 0.0 };
        Estimate { mean, deviation, error: deviation * normal(rng), at: 0 }
    }
    fn now(&mut self, now: Micros, rng: &mut Rng) -> f64 {
        let kept = (-((now - self.at) as f64) / 1e6 / TAU).exp();
        self.error = self.error * kept + self.deviation * (1.0 - kept * kept).sqrt() * normal(rng);
        self.at = now;
        self.mean * (1.0 + self.error).max(0.0)
    }
}

fn normal(rng: &mut Rng) -> f64 {
    (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos()
}

struct Node {
    quota: Quota,
    estimate: Estimate,
    /// When the node restarts, if at all.
    restart: Option<Micros>,
}

impl Node {
    /// A node that sees this share of the traffic, 1 being the mean.
    fn new(plan: &Plan, server: u64, index: usize, share: f64, started_at: Micros, rng: &mut Rng) -> Self {
        // Two cache servers for three nodes: what one node serves at all of them.
        let usual_rate = plan.capacity * 2.0 / 3.0;
        let rate = if plan.noisy { usual_rate * share } else { 0.0 };
        let mut quota = Quota::new(server);
        quota.restart(&sender(plan, index, 0), started_at, started_at, &SLOW_START);
        let restart = started_at + rng.u64(0..SLOW_START.duration);
        let restart = (rng.f64() < plan.restarted).then_some(restart);
        let estimate = Estimate::new(rate, plan.bias * plan.capacity * share, rng);
        Node { quota, estimate, restart }
    }
}

/// The sender that a node is, since its process began.
fn sender(plan: &Plan, index: usize, running_since: Micros) -> Sender {
    Sender::new(Some(index), plan.nodes, running_since, 0)
}

/// Calls that one server got, compared with what it handles.
pub struct Pressure {
    calls: VecDeque<Micros>,
    pub result: RunResult,
}

impl Pressure {
    pub fn new() -> Self {
        let result = RunResult { excess: f64::NEG_INFINITY, overloaded: false, used: 0.0, served: 0.0 };
        Pressure { calls: VecDeque::new(), result }
    }
    /// The server restarts: calls to its former process no longer count.
    pub fn restart(&mut self) {
        self.calls.clear();
    }
    pub fn call(&mut self, now: Micros, budget: f64) {
        self.calls.push_back(now);
        while self.calls.front().is_some_and(|&at| now - at >= SLOW_START.overload_window) {
            self.calls.pop_front();
        }
        let over = self.calls.len() as f64 - budget;
        self.result.excess = self.result.excess.max(over / budget.sqrt());
        self.result.overloaded |= over > 2.0 * budget.sqrt() + 2.0;
    }
}

/// How much of all traffic each node sees, 1 being the mean.
fn shares(plan: &Plan, rng: &mut Rng) -> Vec<f64> {
    let mut share = || if rng.f64() < 1.0 / 30.0 { 5.0 } else { (normal(rng) / 2.0).exp() };
    let shares: Vec<f64> = (0..plan.nodes).map(|_| if plan.noisy { share() } else { 1.0 }).collect();
    let mean = shares.iter().sum::<f64>() / plan.nodes as f64;
    shares.into_iter().map(|share| share / mean).collect()
}

/// A fleet and the server it sends to.
struct Simulation<'a> {
    plan: &'a Plan,
    rng: Rng,
    server: u64,
    nodes: Vec<Node>,
    /// The part of all traffic that this node and those before it see.
    cumulative_shares: Vec<f64>,
    /// When the server started last.
    started_at: Micros,
    /// When the server restarts, if at all.
    server_restart: Option<Micros>,
    now: Micros,
    pressure: Pressure,
    arrived: f64,
    sent: f64,
    budgets: f64,
}

impl<'a> Simulation<'a> {
    fn new(plan: &'a Plan, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let server = rng.u64(..);
        let shares = shares(plan, &mut rng);
        let started_at = 20 * SECOND;
        let node =
            |(index, share): (usize, &f64)| Node::new(plan, server, index, *share, started_at, &mut rng);
        let nodes = shares.iter().enumerate().map(node).collect();
        let cumulative = shares.iter().scan(0.0, |sum, share| Some((*sum += share, *sum).1));
        let cumulative_shares = cumulative.collect();
        let server_restart = plan.server_restarts.then(|| started_at + rng.u64(SECOND..SLOW_START.duration));
        Simulation {
            plan,
            rng,
            server,
            nodes,
            cumulative_shares,
            started_at,
            server_restart,
            now: started_at,
            pressure: Pressure::new(),
            arrived: 0.0,
            sent: 0.0,
            budgets: 0.0,
        }
    }

    /// Calls that arrive in a window that ends at this age of the server.
    fn demand(&self, age: Micros) -> f64 {
        let budget = SLOW_START.budget(self.plan.capacity, age);
        match self.plan.demand {
            Demand::Together(times) => times * budget,
            Demand::Everywhere(times) => times * budget.max(self.plan.nodes as f64),
        }
    }

    /// Runs until the server is warm.
    fn run(mut self) -> RunResult {
        let peak_demand = self.demand(SLOW_START.duration + SLOW_START.overload_window);
        while self.advance(peak_demand) {
            self.restart_server_if_due();
            if self.rng.f64() * peak_demand <= self.demand(self.now - self.started_at) {
                self.call();
            }
        }
        let (used, served) = (self.sent / self.budgets, self.sent / self.arrived);
        RunResult { used, served, ..self.pressure.result }
    }

    /// Advances to the next call at the peak demand; returns whether the server still warms up then.
    fn advance(&mut self, peak_demand: f64) -> bool {
        let window = SLOW_START.overload_window;
        let pause = (-(1.0 - self.rng.f64()).ln() / peak_demand * window as f64) as Micros;
        let age = self.now - self.started_at;
        let budget_per_microsecond = SLOW_START.budget(self.plan.capacity, age + window / 2) / window as f64;
        self.budgets += budget_per_microsecond * pause as f64;
        self.now += pause;
        self.now < self.started_at + SLOW_START.duration
    }

    fn restart_server_if_due(&mut self) {
        let now = self.now;
        let Some(restart) = self.server_restart.take_if(|restart| now >= *restart) else { return };
        self.started_at = restart;
        self.pressure.restart();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let since = node.restart.filter(|&restart| restart <= now).unwrap_or(0);
            node.quota.restart(&sender(self.plan, index, since), restart, now, &SLOW_START);
        }
    }

    /// A call arrives at a random node, which sends it if its quota allows that.
    fn call(&mut self) {
        self.arrived += 1.0;
        let dice = self.rng.f64() * self.plan.nodes as f64;
        let index = self.cumulative_shares.partition_point(|&sum| sum < dice).min(self.plan.nodes - 1);
        let (now, started_at) = (self.now, self.started_at);
        let node = &mut self.nodes[index];
        if let Some(restart) = node.restart.filter(|&restart| restart <= now && restart > started_at) {
            node.restart = None;
            node.quota = Quota::new(self.server);
            node.quota.restart(&sender(self.plan, index, restart), started_at, restart, &SLOW_START);
        }
        let capacity = node.estimate.now(now, &mut self.rng);
        if node.quota.remaining(&SLOW_START, capacity, now) > 0 {
            node.quota.record(&SLOW_START, now);
            self.sent += 1.0;
            self.pressure.call(now, SLOW_START.budget(self.plan.capacity, now - started_at));
        }
    }
}

/// Simulates one slow start.
pub fn play(plan: &Plan, seed: u64) -> RunResult {
    Simulation::new(plan, seed).run()
}

/// The results of many runs of the same plan.
#[derive(Clone, Copy, Debug)]
pub struct Sum {
    pub worst: f64,
    pub overloads: usize,
    pub used: f64,
    pub served: f64,
}

/// Simulates `ramps` slow starts with seeds from `seed` on, with capacities between 10 and 100 calls per
/// second and, in one of five, two starts of the server.
pub fn play_many(plan: Plan, ramps: u64, seed: u64) -> Sum {
    let mut sum = Sum { worst: f64::NEG_INFINITY, overloads: 0, used: 0.0, served: 0.0 };
    for seed in seed..seed + ramps {
        let mut rng = Rng::with_seed(!seed);
        let (capacity, server_restarts) =
            (10.0 * 10f64.powf(rng.f64()), plan.server_restarts && rng.u8(0..5) == 0);
        let result = play(&Plan { capacity, server_restarts, ..plan }, seed);
        sum.worst = sum.worst.max(result.excess);
        sum.overloads += usize::from(result.overloaded);
        sum.used += result.used / ramps as f64;
        sum.served += result.served / ramps as f64;
    }
    sum
}
