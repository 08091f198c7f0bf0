//! Quotas add up, over any fleet, split of the traffic and order of events.

mod fleet;

use fleet::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stonefold_allotment::*;

/// What the server handles in the window that ends at `age`: the budget and its tolerance.
fn bound(slow_start: &SlowStart, capacity: f64, age: Micros) -> f64 {
    let budget = slow_start.budget(capacity, age);
    budget + 2.0 * budget.sqrt() + 2.0
}

#[derive(Clone, Debug)]
enum Step {
    /// Time passes, as a multiple of the window.
    Wait(f64),
    /// This many calls arrive at one node (a fraction of the node count).
    Calls(f64, usize),
    /// One call arrives at each node.
    All,
    /// A node is restarted.
    Restart(f64),
    /// The server is restarted.
    Start,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0.0..1.1).prop_map(Step::Wait),
        3 => (0.0..1.0, 1usize..40).prop_map(|(node, calls)| Step::Calls(node, calls)),
        4 => Just(Step::All),
        2 => (0.0..1.0).prop_map(Step::Restart),
        1 => Just(Step::Start),
    ]
}

fn slow_start() -> impl Strategy<Value = SlowStart> {
    let cold = prop_oneof![Just(0), 1u64..60 * SECOND];
    (cold, 0.0..=1.0, 0.5..8.0, 1_000u64..5 * SECOND).prop_map(
        |(cold, initial_capacity, overload_factor, fall)| SlowStart {
            duration: cold,
            initial_capacity,
            overload_factor,
            overload_window: fall,
        },
    )
}

/// Nodes that all know the capacity exactly, and what they sent.
struct Fleet {
    slow_start: SlowStart,
    capacity: f64,
    start: Micros,
    now: Micros,
    senders: Vec<Sender>,
    quotas: Vec<Quota>,
    sent: Vec<Micros>,
}

impl Fleet {
    fn new(slow_start: SlowStart, capacity: f64, nodes: usize, server: u64) -> Self {
        let now = 1_000 * SECOND;
        let senders: Vec<Sender> = (0..nodes).map(|index| Sender::new(Some(index), nodes, 0, 0)).collect();
        let quotas = vec![Quota::new(server); nodes];
        let mut fleet = Fleet { slow_start, capacity, start: now, now, senders, quotas, sent: Vec::new() };
        fleet.start();
        fleet
    }
    fn start(&mut self) {
        self.start = self.now;
        for (quota, sender) in self.quotas.iter_mut().zip(&self.senders) {
            quota.restart(sender, self.start, self.now, &self.slow_start);
        }
    }
    /// Sends as many of these calls as the node may, and checks the window that ends now.
    fn calls(&mut self, node: usize, calls: usize) {
        for _ in 0..calls {
            if self.quotas[node].remaining(&self.slow_start, self.capacity, self.now) == 0 {
                return;
            }
            self.quotas[node].record(&self.slow_start, self.now);
            self.sent.push(self.now);
            let within =
                |at: &&Micros| self.now - **at < self.slow_start.overload_window && **at >= self.start;
            let sum = self.sent.iter().rev().take_while(within).count() as f64;
            let most = bound(&self.slow_start, self.capacity, self.now - self.start);
            assert!(sum <= most, "{sum} calls in a window that allows {most}");
        }
    }
    fn take(&mut self, step: &Step, server: u64) {
        let nodes = self.quotas.len();
        let at = |part: f64| ((part * nodes as f64) as usize).min(nodes - 1);
        match *step {
            Step::Wait(spans) => self.now += (spans * self.slow_start.overload_window as f64) as Micros,
            Step::Calls(node, calls) => self.calls(at(node), calls),
            Step::All => (0..nodes).for_each(|node| self.calls(node, 1)),
            Step::Restart(node) => {
                let node = at(node);
                self.senders[node] = Sender::new(Some(node), nodes, self.now.max(self.start + 1), 0);
                self.quotas[node] = Quota::new(server);
                self.quotas[node].restart(&self.senders[node], self.start, self.now, &self.slow_start);
            }
            Step::Start => {
                self.now += 1; // two starts never happen at the same time
                self.start();
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
            fleet.take(step, server);
        }
    }

    #[test]
    fn quotas_add_up_to_the_tokens_and_differ_by_one_at_most(
        nodes in 1usize..900,
        server in any::<u64>(),
        tokens in 0u64..3_000,
    ) {
        let quotas: Vec<u64> = deal(nodes, server).iter().map(|quota| quota.share(tokens)).collect();
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
fn deal(count: usize, server: u64) -> Vec<Quota> {
    let deal = |index| {
        let mut quota = Quota::new(server);
        quota.resize(&Sender::new(Some(index), count, 0, 0));
        quota
    };
    (0..count).map(deal).collect()
}

#[test]
fn a_node_count_that_grows_by_a_tenth_stays_within_the_tolerance() {
    // Nodes learn of it at different times: at worst each has the larger of two quotas.
    for (from, to) in [(10, 11), (20, 22), (30, 33), (300, 330), (820, 900)] {
        for server in 0..10 {
            let (before, after) = (deal(from, server), deal(to, server));
            for budget in [10.0f64, 30.0, 70.0, 200.0, 1_000.0] {
                let tokens = tokens(budget);
                let old = |index: usize| before.get(index).map_or(0, |a: &Quota| a.share(tokens));
                let held =
                    (0..to).map(|index| old(index).max(after[index].share(tokens))).sum::<u64>() as f64;
                let most = budget + 2.0 * budget.sqrt() + 2.0;
                assert!(held <= most, "{from} to {to} nodes: {held} of {most} for a budget of {budget}");
            }
        }
    }
}

#[test]
fn an_index_out_of_range_or_none_is_drawn_from_the_seed() {
    // Quotas of the third of seven nodes, for many servers.
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
        assert_eq!(quotas(Sender::new(Some(0), 2, 0, 16).with_index(index, 7)), third, "after a reload too");
    }
    assert_ne!(quotas(Sender::new(Some(3), 7, 0, 0)), third);
    assert_eq!(quotas(Sender::new(None, 0, 0, 9)), [3; 64], "no node count is one node");
}

#[test]
fn a_restarted_node_uses_no_quota_twice() {
    let mut quota = Quota::new(1);
    let started = 10 * SECOND;
    quota.restart(&Sender::new(Some(0), 1, started, 0), 9 * SECOND, started, &SLOW_START);
    assert_eq!(
        quota.remaining(&SLOW_START, 100.0, started + SLOW_START.overload_window - 1),
        0,
        "its former process may have used the quota"
    );
    assert!(quota.remaining(&SLOW_START, 100.0, started + SLOW_START.overload_window * 2) > 50);
    // A server that started after the process got nothing from the former one.
    quota.restart(&Sender::new(Some(0), 1, started, 0), started, started, &SLOW_START);
    assert!(quota.remaining(&SLOW_START, 100.0, started + SLOW_START.overload_window / 2) > 20);
}

#[test]
fn a_second_start_of_the_server_forgets_no_call() {
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
fn extreme_values_give_one_token() {
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
    // A short run of `--example ramps`.
    for nodes in [4, 20, 30, 300, 900] {
        let plan = Plan {
            nodes,
            capacity: 0.0,
            demand: Demand::Everywhere(8.0),
            bias: 1.0,
            noisy: false,
            restarted: 0.1,
            server_restarts: true,
        };
        let (even, noisy) = (play_many(plan, 20, 1), play_many(Plan { noisy: true, ..plan }, 20, 1));
        assert_eq!(even.overloads, 0, "{nodes} nodes that know the capacity: {even:?}");
        assert!(even.used >= 0.8, "{nodes} nodes that know the capacity: {even:?}");
        assert_eq!(noisy.overloads, 0, "{nodes} nodes that estimate: {noisy:?}");
        assert!(noisy.used >= 0.8, "{nodes} nodes that estimate: {noisy:?}");
    }
}
