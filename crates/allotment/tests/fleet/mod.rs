//! Simulates in virtual time a fleet that sends to one server in slow start, by the decisions of this crate
//! alone.
#![allow(dead_code, unreachable_pub)] // the example and the tests each use only some items

use std::collections::VecDeque;

use fastrand::Rng;
use stonefold_allotment::{Micros, Quota, Sender, SlowStart};

pub const SECOND: Micros = 1_000_000;

/// Typical parameters of slow start.
pub const SLOW_START: SlowStart = SlowStart {
    duration: 9 * SECOND,
    initial_capacity: 0.3,
    overload_factor: 3.0,
    overload_window: 3 * SECOND / 2,
};

/// Time constant of the rates from which nodes estimate the capacity, in seconds.
const RATE_TIME_CONSTANT: f64 = 2.25;

/// The calls that arrive for the server.
#[derive(Clone, Copy, Debug)]
pub enum Demand {
    /// The calls of all nodes together are this multiple of the server's budget.
    Together(f64),
    /// The calls of each node are, on average, this multiple of its part of the budget, or of one call per window if
    /// that is more.
    Everywhere(f64),
}

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub nodes: usize,
    /// Calls per second that the warm server handles.
    pub capacity: f64,
    pub demand: Demand,
    /// The mean of the nodes' estimates, as a multiple of the true capacity.
    pub bias: f64,
    /// Whether nodes differ in traffic (lognormal, and one in thirty sees five times as much) and each
    /// estimates the capacity from its own. Otherwise all have the same traffic and the same estimate.
    pub noisy: bool,
    /// The fraction of the nodes that are restarted during slow start.
    pub restarted: f64,
    /// Whether the server is restarted during slow start.
    pub server_restarts: bool,
}

/// The result of one run.
#[derive(Clone, Copy, Debug)]
pub struct RunResult {
    /// The most by which the calls of a window exceeded its budget `N`, in square roots of `N`.
    pub excess: f64,
    /// Whether a window had more than `N + 2√N + 2` calls, which overload the server.
    pub overloaded: bool,
    /// The calls that were sent, as a fraction of all budgets.
    pub used: f64,
    /// The calls that were sent, as a fraction of those that arrived.
    pub served: f64,
}

/// A node's estimate of the capacity, extrapolated from its own traffic to all nodes.
struct Estimate {
    /// The mean of the estimate, in calls per second.
    mean: f64,
    /// The standard deviation of the relative error.
    deviation: f64,
    /// The present relative error.
    error: f64,
    /// When the error was last drawn.
    drawn_at: Micros,
}

impl Estimate {
    /// An estimate from a rate of `rate` calls per second, which is measured with a time constant of
    /// [`RATE_TIME_CONSTANT`].
    fn new(rate: f64, mean: f64, rng: &mut Rng) -> Self {
        let deviation = if rate > 0.0 { (1.0 / (2.0 * RATE_TIME_CONSTANT * rate)).sqrt() } else { 0.0 };
        Estimate { mean, deviation, error: deviation * standard_normal(rng), drawn_at: 0 }
    }
    /// The estimate at this time, in calls per second. Its error changes gradually.
    fn sample(&mut self, now: Micros, rng: &mut Rng) -> f64 {
        let correlation = (-((now - self.drawn_at) as f64) / 1e6 / RATE_TIME_CONSTANT).exp();
        self.error = self.error * correlation
            + self.deviation * (1.0 - correlation * correlation).sqrt() * standard_normal(rng);
        self.drawn_at = now;
        self.mean * (1.0 + self.error).max(0.0)
    }
}

/// A sample of the standard normal distribution (Box-Muller transform).
fn standard_normal(rng: &mut Rng) -> f64 {
    (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos()
}

/// A node that sends to the server.
struct Node {
    quota: Quota,
    estimate: Estimate,
    /// When the node restarts, if at all.
    restart_at: Option<Micros>,
}

impl Node {
    /// A node that sees `share` times the mean traffic.
    fn new(
        scenario: &Scenario,
        server: u64,
        index: usize,
        share: f64,
        started_at: Micros,
        rng: &mut Rng,
    ) -> Self {
        // What one node serves at all cache servers, where there are two of them for every three nodes.
        let usual_rate = scenario.capacity * 2.0 / 3.0;
        let rate = if scenario.noisy { usual_rate * share } else { 0.0 };
        let mut quota = Quota::new(server);
        quota.restart(&sender(scenario, index, 0), started_at, started_at, &SLOW_START);
        let restart_at = started_at + rng.u64(0..SLOW_START.duration);
        let restart_at = (rng.f64() < scenario.restarted).then_some(restart_at);
        let estimate = Estimate::new(rate, scenario.bias * scenario.capacity * share, rng);
        Node { quota, estimate, restart_at }
    }
}

/// The identity of a node as a sender, in a process that has been running since `running_since`.
fn sender(scenario: &Scenario, index: usize, running_since: Micros) -> Sender {
    Sender::new(Some(index), scenario.nodes, running_since, 0)
}

/// Compares the calls that one server gets with what it handles.
pub struct OverloadMeter {
    /// When the calls of the latest window came, oldest first.
    calls: VecDeque<Micros>,
    pub result: RunResult,
}

impl OverloadMeter {
    pub fn new() -> Self {
        let result = RunResult { excess: f64::NEG_INFINITY, overloaded: false, used: 0.0, served: 0.0 };
        OverloadMeter { calls: VecDeque::new(), result }
    }
    /// Notes that the server restarts: calls to its former process no longer count.
    pub fn restart(&mut self) {
        self.calls.clear();
    }
    /// Counts a call, where the server handles `budget` calls in the window that ends now.
    pub fn record_call(&mut self, now: Micros, budget: f64) {
        self.calls.push_back(now);
        while self.calls.front().is_some_and(|&at| now - at >= SLOW_START.overload_window) {
            self.calls.pop_front();
        }
        let excess = self.calls.len() as f64 - budget;
        self.result.excess = self.result.excess.max(excess / budget.sqrt());
        self.result.overloaded |= excess > 2.0 * budget.sqrt() + 2.0;
    }
}

/// The traffic that each node sees, as a multiple of the mean.
fn traffic_shares(scenario: &Scenario, rng: &mut Rng) -> Vec<f64> {
    let mut share = || if rng.f64() < 1.0 / 30.0 { 5.0 } else { (standard_normal(rng) / 2.0).exp() };
    let shares: Vec<f64> = (0..scenario.nodes).map(|_| if scenario.noisy { share() } else { 1.0 }).collect();
    let mean = shares.iter().sum::<f64>() / scenario.nodes as f64;
    shares.into_iter().map(|share| share / mean).collect()
}

/// A fleet and the server it sends to.
struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: Rng,
    server: u64,
    nodes: Vec<Node>,
    /// For each node, the sum of its traffic share and of those before it.
    cumulative_shares: Vec<f64>,
    /// When the server last started.
    started_at: Micros,
    /// When the server restarts, if at all.
    server_restart_at: Option<Micros>,
    now: Micros,
    meter: OverloadMeter,
    /// Calls that arrived at the nodes.
    arrived: f64,
    /// Calls that were sent to the server.
    sent: f64,
    /// The sum of the server's budgets.
    budgets: f64,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let server = rng.u64(..);
        let shares = traffic_shares(scenario, &mut rng);
        let started_at = 20 * SECOND;
        let node =
            |(index, share): (usize, &f64)| Node::new(scenario, server, index, *share, started_at, &mut rng);
        let nodes = shares.iter().enumerate().map(node).collect();
        let cumulative = shares.iter().scan(0.0, |sum, share| Some((*sum += share, *sum).1));
        let cumulative_shares = cumulative.collect();
        let server_restart_at =
            scenario.server_restarts.then(|| started_at + rng.u64(SECOND..SLOW_START.duration));
        Simulation {
            scenario,
            rng,
            server,
            nodes,
            cumulative_shares,
            started_at,
            server_restart_at,
            now: started_at,
            meter: OverloadMeter::new(),
            arrived: 0.0,
            sent: 0.0,
            budgets: 0.0,
        }
    }

    /// The number of calls that arrive in the window that ends at this age of the server.
    fn demand(&self, age: Micros) -> f64 {
        let budget = SLOW_START.budget(self.scenario.capacity, age);
        match self.scenario.demand {
            Demand::Together(times) => times * budget,
            Demand::Everywhere(times) => times * budget.max(self.scenario.nodes as f64),
        }
    }

    /// Runs until the server is warm.
    fn run(mut self) -> RunResult {
        let peak_demand = self.demand(SLOW_START.duration + SLOW_START.overload_window);
        while self.advance(peak_demand) {
            self.restart_server_if_due();
            if self.rng.f64() * peak_demand <= self.demand(self.now - self.started_at) {
                self.make_call();
            }
        }
        let (used, served) = (self.sent / self.budgets, self.sent / self.arrived);
        RunResult { used, served, ..self.meter.result }
    }

    /// Advances to the next call at the peak demand; returns whether the server is still warming up then.
    fn advance(&mut self, peak_demand: f64) -> bool {
        let window = SLOW_START.overload_window;
        let interval = (-(1.0 - self.rng.f64()).ln() / peak_demand * window as f64) as Micros;
        let age = self.now - self.started_at;
        let budget_per_microsecond =
            SLOW_START.budget(self.scenario.capacity, age + window / 2) / window as f64;
        self.budgets += budget_per_microsecond * interval as f64;
        self.now += interval;
        self.now < self.started_at + SLOW_START.duration
    }

    /// Restarts the server if that is due, and lets all nodes know at once.
    fn restart_server_if_due(&mut self) {
        let now = self.now;
        let Some(restarted_at) = self.server_restart_at.take_if(|restart_at| now >= *restart_at) else {
            return;
        };
        self.started_at = restarted_at;
        self.meter.restart();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let since = node.restart_at.filter(|&restart_at| restart_at <= now).unwrap_or(0);
            node.quota.restart(&sender(self.scenario, index, since), restarted_at, now, &SLOW_START);
        }
    }

    /// A call arrives at a random node, which sends it if its quota allows that.
    fn make_call(&mut self) {
        self.arrived += 1.0;
        let position = self.rng.f64() * self.scenario.nodes as f64;
        let index =
            self.cumulative_shares.partition_point(|&sum| sum < position).min(self.scenario.nodes - 1);
        let (now, started_at) = (self.now, self.started_at);
        let node = &mut self.nodes[index];
        if let Some(restarted_at) = node.restart_at.filter(|&at| at <= now && at > started_at) {
            node.restart_at = None;
            node.quota = Quota::new(self.server);
            node.quota.restart(
                &sender(self.scenario, index, restarted_at),
                started_at,
                restarted_at,
                &SLOW_START,
            );
        }
        let capacity = node.estimate.sample(now, &mut self.rng);
        if node.quota.remaining(&SLOW_START, capacity, now) > 0 {
            node.quota.record(&SLOW_START, now);
            self.sent += 1.0;
            self.meter.record_call(now, SLOW_START.budget(self.scenario.capacity, now - started_at));
        }
    }
}

/// Simulates one slow start.
pub fn simulate(scenario: &Scenario, seed: u64) -> RunResult {
    Simulation::new(scenario, seed).run()
}

/// The results of many runs of the same scenario.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    /// The highest [`RunResult::excess`].
    pub worst_excess: f64,
    /// The number of runs in which the server was overloaded.
    pub overloads: usize,
    /// The mean of [`RunResult::used`].
    pub used: f64,
    /// The mean of [`RunResult::served`].
    pub served: f64,
}

/// Simulates `ramps` slow starts with the seeds from `seed` on. The server handles between 10 and 100 calls
/// per second when warm; where the scenario restarts it, one run in five has a second start.
pub fn simulate_many(scenario: Scenario, ramps: u64, seed: u64) -> Summary {
    let mut summary = Summary { worst_excess: f64::NEG_INFINITY, overloads: 0, used: 0.0, served: 0.0 };
    for seed in seed..seed + ramps {
        let mut rng = Rng::with_seed(!seed);
        let (capacity, server_restarts) =
            (10.0 * 10f64.powf(rng.f64()), scenario.server_restarts && rng.u8(0..5) == 0);
        let result = simulate(&Scenario { capacity, server_restarts, ..scenario }, seed);
        summary.worst_excess = summary.worst_excess.max(result.excess);
        summary.overloads += usize::from(result.overloaded);
        summary.used += result.used / ramps as f64;
        summary.served += result.served / ramps as f64;
    }
    summary
}
