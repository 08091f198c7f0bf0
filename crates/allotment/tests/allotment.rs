//! Parts add up: over any fleet, split of the traffic and order of events.

mod fleet;

use fleet::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stonefold_allotment::*;

/// What all stand in the span that ends at `age`, with what is left to chance.
fn bound(slow_start: &SlowStart, capacity: f64, age: Micros) -> f64 {
    let budget = slow_start.budget(capacity, age);
    budget + 2.0 * budget.sqrt() + 2.0
}

#[derive(Clone, Debug)]
enum Step {
    /// Time passes, in parts of the span.
    Wait(f64),
    /// Calls arrive at one node (a part of all nodes), so many of them.
    Calls(f64, usize),
    /// One call arrives at each node.
    All,
    /// A node is restarted.
    Restart(f64),
    /// The server is.
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

/// Nodes that all know the truth, and what they sent.
struct Fleet {
    slow_start: SlowStart,
    capacity: f64,
    start: Micros,
    now: Micros,
    senders: Vec<Sender>,
    allotments: Vec<Allotment>,
    sent: Vec<Micros>,
}

impl Fleet {
    fn new(slow_start: SlowStart, capacity: f64, nodes: usize, server: u64) -> Self {
        let now = 1_000 * SECOND;
        let senders: Vec<Sender> = (0..nodes).map(|index| Sender::new(Some(index), nodes, 0, 0)).collect();
        let allotments = vec![Allotment::new(server); nodes];
        let mut fleet =
            Fleet { slow_start, capacity, start: now, now, senders, allotments, sent: Vec::new() };
        fleet.start();
        fleet
    }
    fn start(&mut self) {
        self.start = self.now;
        for (allotment, sender) in self.allotments.iter_mut().zip(&self.senders) {
            allotment.begin(sender, self.start, self.now, &self.slow_start);
        }
    }
    /// Sends what the node may of so many calls, and looks at the span that ends now.
    fn calls(&mut self, node: usize, calls: usize) {
        for _ in 0..calls {
            if self.allotments[node].left(&self.slow_start, self.capacity, self.now) == 0 {
                return;
            }
            self.allotments[node].spend(&self.slow_start, self.now);
            self.sent.push(self.now);
            let within =
                |at: &&Micros| self.now - **at < self.slow_start.overload_window && **at >= self.start;
            let sum = self.sent.iter().rev().take_while(within).count() as f64;
            let most = bound(&self.slow_start, self.capacity, self.now - self.start);
            assert!(sum <= most, "{sum} calls in a span that stands {most}");
        }
    }
    fn take(&mut self, step: &Step, server: u64) {
        let nodes = self.allotments.len();
        let at = |part: f64| ((part * nodes as f64) as usize).min(nodes - 1);
        match *step {
            Step::Wait(spans) => self.now += (spans * self.slow_start.overload_window as f64) as Micros,
            Step::Calls(node, calls) => self.calls(at(node), calls),
            Step::All => (0..nodes).for_each(|node| self.calls(node, 1)),
            Step::Restart(node) => {
                let node = at(node);
                self.senders[node] = Sender::new(Some(node), nodes, self.now.max(self.start + 1), 0);
                self.allotments[node] = Allotment::new(server);
                self.allotments[node].begin(&self.senders[node], self.start, self.now, &self.slow_start);
            }
            Step::Start => {
                self.now += 1; // two starts are never at one time
                self.start();
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(23), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_sum_over_all_nodes_stays_within_the_budget_in_every_span(
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
        let quotas: Vec<u64> = dealt(nodes, server).iter().map(|allotment| allotment.quota(tokens)).collect();
        prop_assert_eq!(quotas.iter().sum::<u64>(), tokens);
        let (least, most) = (quotas.iter().min().unwrap(), quotas.iter().max().unwrap());
        prop_assert!(most - least <= 1);
    }

    #[test]
    fn tokens_are_whole_parts_of_the_bound(budget in 0.0..1e9) {
        let tokens = tokens(budget) as f64;
        prop_assert!(tokens <= budget + 2.0 * budget.sqrt() + 2.0);
        prop_assert!(tokens >= 0.8 * budget.floor());
    }
}

/// The allotments of all `of` nodes for a server.
fn dealt(of: usize, server: u64) -> Vec<Allotment> {
    let dealt = |index| {
        let mut allotment = Allotment::new(server);
        allotment.resize(&Sender::new(Some(index), of, 0, 0));
        allotment
    };
    (0..of).map(dealt).collect()
}

#[test]
fn a_node_count_that_grows_by_a_tenth_stays_within_what_is_left_to_chance() {
    // Each node learns of it at a time of its own: at worst each holds the larger of two quotas.
    for (from, to) in [(10, 11), (20, 22), (30, 33), (300, 330), (820, 900)] {
        for server in 0..10 {
            let (before, after) = (dealt(from, server), dealt(to, server));
            for budget in [10.0f64, 30.0, 70.0, 200.0, 1_000.0] {
                let tokens = tokens(budget);
                let old = |index: usize| before.get(index).map_or(0, |a: &Allotment| a.quota(tokens));
                let held =
                    (0..to).map(|index| old(index).max(after[index].quota(tokens))).sum::<u64>() as f64;
                let most = budget + 2.0 * budget.sqrt() + 2.0;
                assert!(held <= most, "{from} to {to} nodes: {held} of {most} for a budget of {budget}");
            }
        }
    }
}

#[test]
fn an_index_out_of_range_or_none_is_drawn_from_the_seed() {
    // Quotas of the third of seven, for many servers.
    let quotas = |sender: Sender| -> Vec<u64> {
        let quota = |server| {
            let mut allotment = Allotment::new(server);
            allotment.resize(&sender);
            allotment.quota(3)
        };
        (0..64).map(quota).collect()
    };
    let third = quotas(Sender::new(Some(2), 7, 0, 0));
    for index in [None, Some(7), Some(usize::MAX)] {
        assert_eq!(quotas(Sender::new(index, 7, 0, 16)), third);
        assert_eq!(quotas(Sender::new(Some(0), 2, 0, 16).moved(index, 7)), third, "after a reload too");
    }
    assert_ne!(quotas(Sender::new(Some(3), 7, 0, 0)), third);
    assert_eq!(quotas(Sender::new(None, 0, 0, 9)), [3; 64], "no node count is one node");
}

#[test]
fn a_restarted_node_spends_nothing_twice() {
    let mut allotment = Allotment::new(1);
    let started = 10 * SECOND;
    allotment.begin(&Sender::new(Some(0), 1, started, 0), 9 * SECOND, started, &SLOW_START);
    assert_eq!(
        allotment.left(&SLOW_START, 100.0, started + SLOW_START.overload_window - 1),
        0,
        "it may have sent all before"
    );
    assert!(allotment.left(&SLOW_START, 100.0, started + SLOW_START.overload_window * 2) > 50);
    // A server that started after the process did has got nothing from the one before it.
    allotment.begin(&Sender::new(Some(0), 1, started, 0), started, started, &SLOW_START);
    assert!(allotment.left(&SLOW_START, 100.0, started + SLOW_START.overload_window / 2) > 20);
}

#[test]
fn a_second_start_forgets_no_call() {
    let mut allotment = Allotment::new(1);
    let sender = Sender::new(Some(0), 1, 0, 0);
    allotment.begin(&sender, SECOND, SECOND, &SLOW_START);
    let now = 5 * SECOND;
    let left = allotment.left(&SLOW_START, 100.0, now);
    (0..left).for_each(|_| allotment.spend(&SLOW_START, now));
    allotment.begin(&sender, now + 1, now + 1, &SLOW_START);
    assert_eq!(allotment.left(&SLOW_START, 100.0, now + SLOW_START.overload_window - 1), 0);
}

#[test]
fn absurd_values_give_a_part_of_one_token() {
    let slow_start =
        SlowStart { duration: 1, initial_capacity: f64::NAN, overload_factor: -1.0, overload_window: 0 };
    let mut allotment = Allotment::new(0);
    allotment.begin(&Sender::new(None, 0, 0, 0), 0, 0, &slow_start);
    assert_eq!(allotment.left(&slow_start, f64::INFINITY, u64::MAX), 1);
    allotment.begin(&Sender::new(None, 0, u64::MAX, 0), 0, 0, &slow_start);
    assert_eq!(allotment.left(&slow_start, 1.0, 0), 0);
    for capacity in [f64::NAN, f64::NEG_INFINITY, 0.0] {
        assert_eq!(tokens(SLOW_START.budget(capacity, 0)), 1);
    }
}

#[test]
fn few_ramps_in_a_thousand_fall_and_most_of_the_budget_is_used() {
    // The short form of `--example ramps`.
    for nodes in [4, 20, 30, 300, 900] {
        let plan = Plan {
            nodes,
            capacity: 0.0,
            demand: Demand::Everywhere(8.0),
            bias: 1.0,
            noisy: false,
            restarted: 0.1,
            twice: true,
        };
        let (even, noisy) = (play_many(plan, 20, 1), play_many(Plan { noisy: true, ..plan }, 20, 1));
        assert_eq!(even.falls, 0, "{nodes} nodes that know the truth: {even:?}");
        assert!(even.used >= 0.8, "{nodes} nodes that know the truth: {even:?}");
        assert_eq!(noisy.falls, 0, "{nodes} nodes that estimate: {noisy:?}");
        assert!(noisy.used >= 0.8, "{nodes} nodes that estimate: {noisy:?}");
    }
}
