//! The quotas of all nodes add up to what the server handles, for any fleet, any split of the traffic and any
//! order of events.

mod fleet;

use fleet::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stonefold_allotment::*;

/// What the server handles in the window that ends at `age`: the budget plus its tolerance.
fn bound(slow_start: &SlowStart, capacity: f64, age: Micros) -> f64 {
    let budget = slow_start.budget(capacity, age);
    budget + 2.0 * budget.sqrt() + 2.0
}

/// An event in a fleet. A node is given as a fraction of the node count.
#[derive(Clone, Debug)]
enum Step {
    /// This multiple of the window passes.
    Wait(f64),
    /// This many calls arrive at this node.
    Calls(f64, usize),
    /// One call arrives at each node.
    CallEverywhere,
    /// This node is restarted.
    RestartNode(f64),
    /// The server is restarted.
    RestartServer,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0.0..1.1).prop_map(Step::Wait),
        3 => (0.0..1.0, 1usize..40).prop_map(|(node, calls)| Step::Calls(node, calls)),
        4 => Just(Step::CallEverywhere),
        2 => (0.0..1.0).prop_map(Step::RestartNode),
        1 => Just(Step::RestartServer),
    ]
}

fn slow_start() -> impl Strategy<Value = SlowStart> {
    let duration = prop_oneof![Just(0), 1u64..60 * SECOND];
    (duration, 0.0..=1.0, 0.5..8.0, 1_000u64..5 * SECOND).prop_map(
        |(duration, initial_capacity, overload_factor, overload_window)| SlowStart {
            duration,
            initial_capacity,
            overload_factor,
            overload_window,
        },
    )
}

/// Nodes that all know the capacity exactly, and the calls that they sent.
struct Fleet {
    slow_start: SlowStart,
    capacity: f64,
    /// When the server last started.
    started_at: Micros,
    now: Micros,
    senders: Vec<Sender>,
    quotas: Vec<Quota>,
    /// When calls were sent, by all nodes.
    sent: Vec<Micros>,
}

impl Fleet {
    fn new(slow_start: SlowStart, capacity: f64, nodes: usize, server: u64) -> Self {
        let now = 1_000 * SECOND;
        let senders: Vec<Sender> = (0..nodes).map(|index| Sender::new(Some(index), nodes, 0, 0)).collect();
        let quotas = vec![Quota::new(server); nodes];
        let mut fleet =
            Fleet { slow_start, capacity, started_at: now, now, senders, quotas, sent: Vec::new() };
        fleet.start_server();
        fleet
    }

    /// The server starts, and all nodes learn of it at once.
    fn start_server(&mut self) {
        self.started_at = self.now;
        for (quota, sender) in self.quotas.iter_mut().zip(&self.senders) {
            quota.restart(sender, self.started_at, self.now, &self.slow_start);
        }
    }

    /// Sends as many of these calls as the node may, and checks the window that ends now.
    fn send_calls(&mut self, node: usize, calls: usize) {
        for _ in 0..calls {
            if self.quotas[node].remaining(&self.slow_start, self.capacity, self.now) == 0 {
                return;
            }
            self.quotas[node].record(&self.slow_start, self.now);
            self.sent.push(self.now);
            let within =
                |at: &&Micros| self.now - **at < self.slow_start.overload_window && **at >= self.started_at;
            let calls_in_window = self.sent.iter().rev().take_while(within).count() as f64;
            let most = bound(&self.slow_start, self.capacity, self.now - self.started_at);
            assert!(calls_in_window <= most, "{calls_in_window} calls in a window that allows {most}");
        }
    }

    fn apply(&mut self, step: &Step, server: u64) {
        let nodes = self.quotas.len();
        let node_at = |fraction: f64| ((fraction * nodes as f64) as usize).min(nodes - 1);
        match *step {
            Step::Wait(windows) => self.now += (windows * self.slow_start.overload_window as f64) as Micros,
            Step::Calls(node, calls) => self.send_calls(node_at(node), calls),
            Step::CallEverywhere => (0..nodes).for_each(|node| self.send_calls(node, 1)),
            Step::RestartNode(node) => {
                let node = node_at(node);
                self.senders[node] = Sender::new(Some(node), nodes, self.now.max(self.started_at + 1), 0);
                self.quotas[node] = Quota::new(server);
                self.quotas[node].restart(&self.senders[node], self.started_at, self.now, &self.slow_start);
            }
            Step::RestartServer => {
                self.now += 1; // two starts never happen at the same time
                self.start_server();
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(23), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_sum_over_all_nodes_stays_within_the_budget_in_every_window(
        slow_start in slow_start(),
        capacity in prop_oneof![0.0..3.0, 0.0..400.0],
        nodes in prop_oneof![1usize..40, 1usize..900],
        server in any::<u64>(),
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        let mut fleet = Fleet::new(slow_start, capacity, nodes, server);
        for step in &steps {
            fleet.apply(step, server);
        }
    }

    #[test]
    fn quotas_add_up_to_the_tokens_and_differ_by_one_at_most(
        nodes in 1usize..900,
        server in any::<u64>(),
        tokens in 0u64..3_000,
    ) {
        let quotas: Vec<u64> = quotas_of_all(nodes, server).iter().map(|quota| quota.share(tokens)).collect();
        prop_assert_eq!(quotas.iter().sum::<u64>(), tokens);
        let (least, most) = (quotas.iter().min().unwrap(), quotas.iter().max().unwrap());
        prop_assert!(most - least <= 1);
    }

    #[test]
    fn tokens_stay_within_the_tolerance_and_near_the_budget(budget in 0.0..1e9) {
        let tokens = tokens(budget) as f64;
        prop_assert!(tokens <= budget + 2.0 * budget.sqrt() + 2.0);
        prop_assert!(tokens >= 0.8 * budget.floor());
    }
}

/// The quotas of all `count` nodes for a server.
fn quotas_of_all(count: usize, server: u64) -> Vec<Quota> {
    let quota_of = |index| {
        let mut quota = Quota::new(server);
        quota.resize(&Sender::new(Some(index), count, 0, 0));
        quota
    };
    (0..count).map(quota_of).collect()
}

#[test]
fn a_node_count_that_grows_by_a_tenth_stays_within_the_tolerance() {
    // Nodes learn of the change at different times: at worst each has the larger of its two quotas.
    for (from, to) in [(10, 11), (20, 22), (30, 33), (300, 330), (820, 900)] {
        for server in 0..10 {
            let (before, after) = (quotas_of_all(from, server), quotas_of_all(to, server));
            for budget in [10.0f64, 30.0, 70.0, 200.0, 1_000.0] {
                let tokens = tokens(budget);
                let old = |index: usize| before.get(index).map_or(0, |quota: &Quota| quota.share(tokens));
                let held =
                    (0..to).map(|index| old(index).max(after[index].share(tokens))).sum::<u64>() as f64;
                let most = budget + 2.0 * budget.sqrt() + 2.0;
                assert!(
                    held <= most,
                    "{from} to {to} nodes: {held} tokens, of {most} tolerated for a budget of {budget}"
                );
            }
        }
    }
}

#[test]
fn a_missing_or_out_of_range_index_is_drawn_from_the_seed() {
    // A sender's quotas for 64 servers, each of which has three tokens that all senders share.
    let quotas = |sender: Sender| -> Vec<u64> {
        let quota = |server| {
            let mut quota = Quota::new(server);
            quota.resize(&sender);
            quota.share(3)
        };
        (0..64).map(quota).collect()
    };
    let third = quotas(Sender::new(Some(2), 7, 0, 0));
    for index in [None, Some(7), Some(usize::MAX)] {
        assert_eq!(quotas(Sender::new(index, 7, 0, 16)), third);
        assert_eq!(
            quotas(Sender::new(Some(0), 2, 0, 16).with_index(index, 7)),
            third,
            "with a new index and node count too"
        );
    }
    assert_ne!(quotas(Sender::new(Some(3), 7, 0, 0)), third);
    assert_eq!(quotas(Sender::new(None, 0, 0, 9)), [3; 64], "a node count of 0 counts as one node");
}

#[test]
fn a_restarted_node_does_not_use_its_quota_twice() {
    let mut quota = Quota::new(1);
    let started = 10 * SECOND;
    quota.restart(&Sender::new(Some(0), 1, started, 0), 9 * SECOND, started, &SLOW_START);
    assert_eq!(
        quota.remaining(&SLOW_START, 100.0, started + SLOW_START.overload_window - 1),
        0,
        "its former process may have used the quota"
    );
    assert!(quota.remaining(&SLOW_START, 100.0, started + SLOW_START.overload_window * 2) > 50);
    // A server that started no earlier than the node's process got no calls from its former process.
    quota.restart(&Sender::new(Some(0), 1, started, 0), started, started, &SLOW_START);
    assert!(quota.remaining(&SLOW_START, 100.0, started + SLOW_START.overload_window / 2) > 20);
}

#[test]
fn calls_before_a_second_start_of_the_server_still_count() {
    let mut quota = Quota::new(1);
    let sender = Sender::new(Some(0), 1, 0, 0);
    quota.restart(&sender, SECOND, SECOND, &SLOW_START);
    let now = 5 * SECOND;
    let left = quota.remaining(&SLOW_START, 100.0, now);
    (0..left).for_each(|_| quota.record(&SLOW_START, now));
    quota.restart(&sender, now + 1, now + 1, &SLOW_START);
    assert_eq!(quota.remaining(&SLOW_START, 100.0, now + SLOW_START.overload_window - 1), 0);
}

#[test]
fn extreme_values_give_at_most_one_token() {
    let slow_start =
        SlowStart { duration: 1, initial_capacity: f64::NAN, overload_factor: -1.0, overload_window: 0 };
    let mut quota = Quota::new(0);
    quota.restart(&Sender::new(None, 0, 0, 0), 0, 0, &slow_start);
    assert_eq!(quota.remaining(&slow_start, f64::INFINITY, u64::MAX), 1);
    quota.restart(&Sender::new(None, 0, u64::MAX, 0), 0, 0, &slow_start);
    assert_eq!(quota.remaining(&slow_start, 1.0, 0), 0);
    for capacity in [f64::NAN, f64::NEG_INFINITY, 0.0] {
        assert_eq!(tokens(SLOW_START.budget(capacity, 0)), 1);
    }
}

#[test]
fn slow_starts_are_not_overloaded_and_use_most_of_the_budget() {
    // A short run of the simulation of `--example ramps`.
    for nodes in [4, 20, 30, 300, 900] {
        let scenario = Scenario {
            nodes,
            capacity: 0.0,
            demand: Demand::Everywhere(8.0),
            bias: 1.0,
            noisy: false,
            restarted: 0.1,
            server_restarts: true,
        };
        let (exact, noisy) =
            (simulate_many(scenario, 20, 1), simulate_many(Scenario { noisy: true, ..scenario }, 20, 1));
        assert_eq!(exact.overloads, 0, "{nodes} nodes that know the capacity: {exact:?}");
        assert!(exact.used >= 0.8, "{nodes} nodes that know the capacity: {exact:?}");
        assert_eq!(noisy.overloads, 0, "{nodes} nodes that estimate the capacity: {noisy:?}");
        assert!(noisy.used >= 0.8, "{nodes} nodes that estimate the capacity: {noisy:?}");
    }
}
