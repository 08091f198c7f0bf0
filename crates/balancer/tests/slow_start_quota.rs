//! The nodes together stay within what a server in slow start handles.

mod common;
use common::*;
use stonefold_balancer::*;

const CACHES: u32 = 8;
/// Reads per second that each node serves before the restart.
const READS_PER_SECOND: u64 = 2;

/// Nodes with the same endpoint list; attempts are answered after 10 ms unless a test states otherwise.
struct Fleet {
    nodes: Vec<Node>,
    now: Micros,
    /// The id of the latest read.
    last_id: u32,
    /// When attempts were sent to each cache.
    sent: Vec<Vec<Micros>>,
    /// When the caches started.
    started_at: Micros,
}

/// Settings with so long a latency objective that the assumed initial capacity, which follows from it, is
/// negligible.
fn fleet_settings(nodes: usize) -> Settings {
    let class =
        RequestClass { latency_objective: 30 * SECOND, ..settings(CacheMode::Through).classes[0].clone() };
    Settings { node_count: nodes, classes: vec![class], ..settings(CacheMode::Through) }
}

fn node_at(settings: Settings, seed: u64, now: Micros) -> Node {
    Node { balancer: Balancer::new(settings, seed, now), now }
}

/// Sends a read of the key `k{id}` with a time limit of 60 s.
fn read_with_ample_time(node: &mut Node, id: u32) -> Vec<Action> {
    let key = Some(format!("k{id}"));
    let read = Request { class: Some(0), key, timeout: 60 * SECOND, ..Request::new(RequestId(id)) };
    node.handle(Event::Request(read))
}

impl Fleet {
    /// `count` nodes, each of which has served [`READS_PER_SECOND`] for 20 s.
    fn new(count: usize) -> Self {
        let settings_of = |index| Settings { node_index: Some(index), ..fleet_settings(count) };
        let nodes = (0..count).map(|index| node_at(settings_of(index), index as u64, 0)).collect();
        let mut fleet =
            Fleet { nodes, now: 0, last_id: 0, sent: vec![Vec::new(); CACHES as usize], started_at: 0 };
        fleet.list_caches(None);
        for _ in 0..20 * READS_PER_SECOND {
            fleet.now += SECOND / READS_PER_SECOND;
            (0..count).for_each(|index| fleet.run_reads(index, 1));
        }
        fleet
    }

    /// Gives all nodes a full list of the caches with this start time.
    fn list_caches(&mut self, started_at: Option<Micros>) {
        let endpoints: Vec<Endpoint> =
            (0..CACHES).map(|id| Endpoint { started_at, ..Endpoint::up(ServerId(id)) }).collect();
        for node in &mut self.nodes {
            node.now = self.now;
            node.update_endpoints(EndpointUpdate::Full, endpoints.clone());
        }
    }

    /// Restarts all caches; all nodes learn of it at once.
    fn restart_caches(&mut self) {
        self.started_at = self.now;
        self.sent.iter_mut().for_each(Vec::clear);
        self.list_caches(Some(self.started_at));
    }

    /// Replaces a node by a new process with the same index.
    fn restart_node(&mut self, index: usize) {
        let settings = Settings { node_index: Some(index), ..fleet_settings(self.nodes.len()) };
        self.nodes[index] = node_at(settings, self.now + index as u64, self.now);
        let endpoint = |id| Endpoint { started_at: Some(self.started_at), ..Endpoint::up(ServerId(id)) };
        self.nodes[index].update_endpoints(EndpointUpdate::Full, (0..CACHES).map(endpoint).collect());
    }

    /// Runs reads that arrive at a node together and are then served.
    fn run_reads(&mut self, index: usize, reads: u32) {
        let node = &mut self.nodes[index];
        node.now = self.now;
        let mut in_flight = Vec::new();
        for _ in 0..reads {
            self.last_id += 1;
            if let Some(to) = sent_to(&read_with_ample_time(node, self.last_id)) {
                self.sent[to.0 as usize].push(self.now);
                in_flight.push(self.last_id);
            }
        }
        node.now += 10_000;
        for id in in_flight {
            node.finish(id, 0, Outcome::Success, 10_000);
        }
    }

    /// What a cache handles in the window that ends now: the budget, and the budget plus its tolerance.
    fn capacity_in_window(&self) -> (f64, f64) {
        let settings = fleet_settings(self.nodes.len());
        let capacity = (self.nodes.len() as u64 * READS_PER_SECOND) as f64 / f64::from(CACHES);
        let budget = settings.slow_start().budget(capacity, self.now - self.started_at);
        (budget, budget + 2.0 * budget.sqrt() + 2.0)
    }

    /// How many attempts each cache was sent in the window that ends now.
    fn sent_in_window(&self) -> Vec<usize> {
        let window = fleet_settings(1).overload_window;
        let recent = |sent: &Vec<Micros>| sent.iter().filter(|&&at| self.now - at < window).count();
        self.sent.iter().map(recent).collect()
    }

    fn assert_within_capacity(&self) {
        let (_, most) = self.capacity_in_window();
        let worst = *self.sent_in_window().iter().max().unwrap();
        assert!(
            worst as f64 <= most,
            "{} nodes sent a cache {worst} attempts, and it handles {most}",
            self.nodes.len()
        );
    }
}

/// A fleet with a burst of reads at all nodes, after a time without requests since all caches restarted.
fn burst(nodes: usize, after: Micros, reads: impl Fn(usize) -> u32) -> Fleet {
    let mut fleet = Fleet::new(nodes);
    fleet.restart_caches();
    fleet.now += after;
    (0..nodes).for_each(|index| fleet.run_reads(index, reads(index)));
    fleet
}

#[test]
fn a_burst_at_all_nodes_stays_within_the_capacity_of_a_warming_cache() {
    for nodes in [4, 20, 30, 300] {
        burst(nodes, 10 * SECOND, |_| 16).assert_within_capacity();
    }
}

#[test]
fn a_burst_at_all_nodes_uses_most_of_the_capacity_of_a_warming_cache() {
    // The burst comes soon after the restart, while the estimate of the caches' capacity is still recent.
    for nodes in [4, 20, 30, 300] {
        let fleet = burst(nodes, 6 * SECOND / 5, |_| 16);
        fleet.assert_within_capacity();
        let mean = fleet.sent_in_window().iter().sum::<usize>() as f64 / f64::from(CACHES);
        let (budget, _) = fleet.capacity_in_window();
        assert!(
            mean >= 0.8 * budget.floor(),
            "{nodes} nodes: {mean} attempts per cache of a budget of {budget}"
        );
        println!("{nodes} nodes: {mean} attempts per cache of a budget of {budget}");
    }
}

#[test]
fn nodes_with_many_times_the_mean_traffic_keep_to_their_quotas() {
    for nodes in [4, 20, 30, 300] {
        burst(nodes, 10 * SECOND, |index| if index % 10 == 0 { 100 } else { 4 }).assert_within_capacity();
    }
}

#[test]
fn restarted_nodes_do_not_use_their_quota_twice() {
    for nodes in [4, 20, 30, 300] {
        let mut fleet = burst(nodes, 10 * SECOND, |_| 16);
        for part in 1..20 {
            fleet.now += SECOND / 20;
            let restarted = (0..nodes).filter(|index| index % 20 == part || index % 2 == 0);
            restarted.for_each(|index| {
                fleet.restart_node(index);
                fleet.run_reads(index, 16);
            });
            fleet.assert_within_capacity();
        }
    }
}

#[test]
fn a_second_start_in_one_window_opens_no_second_quota() {
    for nodes in [4, 20, 30, 300] {
        let mut fleet = burst(nodes, 10 * SECOND, |_| 16);
        let before = fleet.sent_in_window();
        fleet.list_caches(Some(fleet.now - 1));
        fleet.now += SECOND / 2;
        (0..nodes).for_each(|index| fleet.run_reads(index, 16));
        // The budget of the first start is the larger one.
        let worst = fleet.sent_in_window().into_iter().max().unwrap();
        assert!(
            worst <= *before.iter().max().unwrap(),
            "{nodes} nodes: {worst} attempts in a window, {before:?} before the second start"
        );
    }
}

/// Runs reads whose attempts are all rejected, for some seconds. Returns when attempts were sent.
fn rejected_reads(node: &mut Node, seconds: u64) -> Vec<Micros> {
    let mut sends = Vec::new();
    let end = node.now + seconds * SECOND;
    let mut id = 10_000;
    while node.now < end {
        id += 1;
        let mut next = sent_to(&read_with_ample_time(node, id));
        for attempt in 0.. {
            let Some(_) = next else { break };
            sends.push(node.now);
            next = sent_to(&node.finish(id, attempt, Outcome::Rejected, 0));
        }
        node.now += 5_000;
    }
    sends
}

#[test]
fn retries_and_an_enabled_server_use_the_same_quota() {
    let mut node = Node::new(fleet_settings(1), 1);
    for id in 0..400 {
        read_with_ample_time(&mut node, id);
        node.now += 100_000; // ten reads per second
        node.finish(id, 0, Outcome::Success, 100_000);
    }
    node.handle(Event::Disable(ServerId(1)));
    node.now += SECOND;
    let since = node.now;
    node.handle(Event::Enable { server: ServerId(1), since });
    let mut sends = rejected_reads(&mut node, 3);
    // Operators enable the server again, as they may have restarted it again. What it was sent before still
    // counts.
    node.handle(Event::Enable { server: ServerId(1), since: node.now });
    sends.extend(rejected_reads(&mut node, 1));
    assert!(sends.len() > 4, "the enabled server gets requests");
    for &end in &sends {
        let within = sends.iter().filter(|&&at| at <= end && end - at < SECOND).count() as f64;
        let budget = settings(CacheMode::Through).slow_start().budget(10.0, end - since);
        assert!(
            within <= budget + 2.0 * budget.sqrt() + 2.0,
            "{within} attempts in a second with a budget of {budget}"
        );
    }
}

#[test]
fn after_a_change_of_settings_quotas_follow_the_new_index() {
    // The nodes serve so little that both together may send one call per window.
    let settings_of = |index| Settings { node_index: Some(index), ..fleet_settings(2) };
    let mut nodes = [0, 1].map(|index| node_at(settings_of(index), 0, 0));
    let restarted_at = 60 * SECOND;
    for node in &mut nodes {
        let endpoints = |started_at| vec![Endpoint { started_at, ..Endpoint::up(ServerId(1)) }];
        node.update_endpoints(EndpointUpdate::Full, endpoints(None));
        node.now = restarted_at;
        node.update_endpoints(EndpointUpdate::Delta, endpoints(Some(restarted_at)));
    }
    let is_sent = |node: &mut Node, age: Micros| {
        node.now = restarted_at + age;
        sent_to(&read_with_ample_time(node, age as u32)).is_some()
    };
    let before = nodes.each_mut().map(|node| is_sent(node, 2 * SECOND));
    assert_eq!(before.iter().filter(|&&sent| sent).count(), 1, "{before:?}");
    for (index, node) in nodes.iter_mut().enumerate() {
        node.handle(Event::Settings(Box::new(settings_of(1 - index))));
    }
    let mut after = nodes.each_mut().map(|node| is_sent(node, 4 * SECOND));
    after.reverse();
    assert_eq!(after, before, "the quota follows the index");
}
