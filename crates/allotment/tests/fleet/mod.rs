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

/// Simulates one slow start.
pub fn play(plan: &Plan, seed: u64) -> RunResult {
    let mut rng = Rng::with_seed(seed);
    let server = rng.u64(..);
    let shares = shares(plan, &mut rng);
    // Two cache servers for three nodes: what one node serves at all of them.
    let usual = plan.capacity * 2.0 / 3.0;
    let sender = |index, since| Sender::new(Some(index), plan.nodes, since, 0);
    let mut start = 20 * SECOND; // of the server
    let node = |(index, share): (usize, &f64)| {
        let rate = if plan.noisy { usual * share } else { 0.0 };
        let mut quota = Quota::new(server);
        quota.restart(&sender(index, 0), start, start, &SLOW_START);
        let within = start + rng.u64(0..SLOW_START.duration);
        let restart = (rng.f64() < plan.restarted).then_some(within);
        let estimate = Estimate::new(rate, plan.bias * plan.capacity * share, &mut rng);
        Node { quota, estimate, restart }
    };
    let mut nodes: Vec<Node> = shares.iter().enumerate().map(node).collect();
    let upto: Vec<f64> = shares.iter().scan(0.0, |sum, share| Some((*sum += share, *sum).1)).collect();
    let mut again = plan.server_restarts.then(|| start + rng.u64(SECOND..SLOW_START.duration));
    let arriving = |age| match (plan.demand, SLOW_START.budget(plan.capacity, age)) {
        (Demand::Together(times), budget) => times * budget,
        (Demand::Everywhere(times), budget) => times * budget.max(plan.nodes as f64),
    };
    let most = arriving(SLOW_START.duration + SLOW_START.overload_window); // calls per window, once the server is warm
    let (mut pressure, mut now, mut arrived, mut sent, mut budgets) = (Pressure::new(), start, 0.0, 0.0, 0.0);
    loop {
        let pause = (-(1.0 - rng.f64()).ln() / most * SLOW_START.overload_window as f64) as Micros;
        let stood = SLOW_START.budget(plan.capacity, now - start + SLOW_START.overload_window / 2)
            / SLOW_START.overload_window as f64;
        budgets += stood * pause as f64;
        now += pause;
        if now >= start + SLOW_START.duration {
            break;
        }
        if let Some(at) = again.take_if(|at| now >= *at) {
            start = at;
            pressure.restart();
            for (index, node) in nodes.iter_mut().enumerate() {
                let since = node.restart.filter(|&restart| restart <= now).unwrap_or(0);
                node.quota.restart(&sender(index, since), start, now, &SLOW_START);
            }
        }
        if rng.f64() * most > arriving(now - start) {
            continue;
        }
        arrived += 1.0;
        let dice = rng.f64() * plan.nodes as f64;
        let index = upto.partition_point(|&sum| sum < dice).min(plan.nodes - 1);
        let node = &mut nodes[index];
        if let Some(at) = node.restart.filter(|&at| at <= now && at > start) {
            node.restart = None;
            node.quota = Quota::new(server);
            node.quota.restart(&sender(index, at), start, at, &SLOW_START);
        }
        let capacity = node.estimate.now(now, &mut rng);
        if node.quota.remaining(&SLOW_START, capacity, now) > 0 {
            node.quota.record(&SLOW_START, now);
            sent += 1.0;
            pressure.call(now, SLOW_START.budget(plan.capacity, now - start));
        }
    }
    RunResult { used: sent / budgets, served: sent / arrived, ..pressure.result }
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
