//! Many nodes together stay within what a server in slow start handles.

mod common;
use common::*;
use stonefold_balancer::*;

const CACHES: u32 = 8;
/// Reads per second that each node serves without faults.
const USUAL: u64 = 2;

/// Nodes with the same endpoint list; attempts are answered after 10 ms unless a test states otherwise.
struct Fleet {
    nodes: Vec<Node>,
    now: Micros,
    next: u32,
    /// When attempts were sent to each cache.
    sent: Vec<Vec<Micros>>,
    started: Micros,
}

/// A latency objective so long that the assumed initial capacity, which follows from it, is negligible.
fn fleet_settings(nodes: usize) -> Settings {
    let slow_class =
        RequestClass { latency_objective: 30 * SECOND, ..settings(CacheMode::Through).classes[0].clone() };
    Settings { node_count: nodes, classes: vec![slow_class], ..settings(CacheMode::Through) }
}

fn node(settings: Settings, seed: u64, now: Micros) -> Node {
    Node { balancer: Balancer::new(settings, seed, now), now }
}

/// A read of its own key, with ample time.
fn read_with_ample_time(node: &mut Node, id: u32) -> Vec<Action> {
    let key = Some(format!("k{id}"));
    let read = Request { class: Some(0), key, timeout: 60 * SECOND, ..Request::new(RequestId(id)) };
    node.handle(Event::Request(read))
}

impl Fleet {
    /// `count` nodes, each of which has served its usual reads for 20 s.
    fn new(count: usize) -> Self {
        let of = |index| Settings { node_index: Some(index), ..fleet_settings(count) };
        let nodes = (0..count).map(|index| node(of(index), index as u64, 0)).collect();
        let mut fleet = Fleet { nodes, now: 0, next: 0, sent: vec![Vec::new(); CACHES as usize], started: 0 };
        fleet.list_caches(None);
        for _ in 0..20 * USUAL {
            fleet.now += SECOND / USUAL;
            (0..count).for_each(|index| fleet.reads(index, 1));
        }
        fleet
    }

    fn list_caches(&mut self, started: Option<Micros>) {
        let endpoints: Vec<Endpoint> =
            (0..CACHES).map(|id| Endpoint { started_at: started, ..Endpoint::up(ServerId(id)) }).collect();
        for node in &mut self.nodes {
            node.now = self.now;
            node.update_endpoints(EndpointUpdate::Full, endpoints.clone());
        }
    }

    /// All caches restart, and all nodes learn of it at once.
    fn restart_caches(&mut self) {
        self.started = self.now;
        self.sent.iter_mut().for_each(Vec::clear);
        self.list_caches(Some(self.started));
    }

    /// A new process in place of a node.
    fn restart_node(&mut self, index: usize) {
        let settings = Settings { node_index: Some(index), ..fleet_settings(self.nodes.len()) };
        self.nodes[index] = node(settings, self.now + index as u64, self.now);
        let endpoint = |id| Endpoint { started_at: Some(self.started), ..Endpoint::up(ServerId(id)) };
        self.nodes[index].update_endpoints(EndpointUpdate::Full, (0..CACHES).map(endpoint).collect());
    }

    /// Reads that arrive at a node at once and are then served.
    fn reads(&mut self, index: usize, reads: u32) {
        let node = &mut self.nodes[index];
        node.now = self.now;
        let mut out = Vec::new();
        for _ in 0..reads {
            self.next += 1;
            if let Some(to) = sent_to(&read_with_ample_time(node, self.next)) {
                self.sent[to.0 as usize].push(self.now);
                out.push(self.next);
            }
        }
        node.now += 10_000;
        for id in out {
            node.finish(id, 0, Outcome::Success, 10_000);
        }
    }

    /// What a cache handles in the window that ends now: the budget, and the budget with its tolerance.
    fn capacity_in_window(&self) -> (f64, f64) {
        let settings = fleet_settings(self.nodes.len());
        let capacity = (self.nodes.len() as u64 * USUAL) as f64 / f64::from(CACHES);
        let budget = settings.slow_start().budget(capacity, self.now - self.started);
        (budget, budget + 2.0 * budget.sqrt() + 2.0)
    }

    /// What each cache was sent in the window that ends now.
    fn sent_in_window(&self) -> Vec<usize> {
        let window = fleet_settings(1).overload_window;
        let recent = |sent: &Vec<Micros>| sent.iter().filter(|&&at| self.now - at < window).count();
        self.sent.iter().map(recent).collect()
    }

    fn assert_within_capacity(&self) {
        let (_, most) = self.capacity_in_window();
        let worst = *self.sent_in_window().iter().max().unwrap();
        assert!(worst as f64 <= most, "{} nodes sent {worst} where a cache handles {most}", self.nodes.len());
    }
}

/// A burst at all nodes, some time without requests after all caches have restarted.
fn burst(nodes: usize, after: Micros, reads: impl Fn(usize) -> u32) -> Fleet {
    let mut fleet = Fleet::new(nodes);
    fleet.restart_caches();
    fleet.now += after;
    (0..nodes).for_each(|index| fleet.reads(index, reads(index)));
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
    // Soon after the restart, when the estimate of the caches' capacity is still fresh.
    for nodes in [4, 20, 30, 300] {
        let fleet = burst(nodes, 6 * SECOND / 5, |_| 16);
        fleet.assert_within_capacity();
        let mean = fleet.sent_in_window().iter().sum::<usize>() as f64 / f64::from(CACHES);
        let (budget, _) = fleet.capacity_in_window();
        assert!(mean >= 0.8 * budget.floor(), "{nodes} nodes: {mean} of {budget}");
        println!("{nodes} nodes: {mean} of {budget}");
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
                fleet.reads(index, 16);
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
        (0..nodes).for_each(|index| fleet.reads(index, 16));
        // The budget of the first start is the larger one.
        let worst = fleet.sent_in_window().into_iter().max().unwrap();
        assert!(worst <= *before.iter().max().unwrap(), "{nodes} nodes: {worst} after {before:?}");
    }
}

/// Reads whose attempts are all rejected, for some seconds; returns when attempts were sent.
fn rejected_reads(fleet: &mut Node, seconds: u64) -> Vec<Micros> {
    let mut sends = Vec::new();
    let end = fleet.now + seconds * SECOND;
    let mut id = 10_000;
    while fleet.now < end {
        id += 1;
        let mut to = sent_to(&read_with_ample_time(fleet, id));
        for attempt in 0.. {
            let Some(_) = to else { break };
            sends.push(fleet.now);
            to = sent_to(&fleet.finish(id, attempt, Outcome::Rejected, 0));
        }
        fleet.now += 5_000;
    }
    sends
}

#[test]
fn retries_and_an_enabled_server_use_the_same_quota() {
    let mut node = Node::new(fleet_settings(1), 1);
    for id in 0..400 {
        read_with_ample_time(&mut node, id);
        node.now += 100_000; // ten a second
        node.finish(id, 0, Outcome::Success, 100_000);
    }
    node.handle(Event::Disable(ServerId(1)));
    node.now += SECOND;
    let since = node.now;
    node.handle(Event::Enable { server: ServerId(1), since });
    let mut sends = rejected_reads(&mut node, 3);
    // Enabled again: it may have been restarted again, and what it was sent before still counts.
    node.handle(Event::Enable { server: ServerId(1), since: node.now });
    sends.extend(rejected_reads(&mut node, 1));
    assert!(sends.len() > 4, "it gets requests");
    for &end in &sends {
        let within = sends.iter().filter(|&&at| at <= end && end - at < SECOND).count() as f64;
        let budget = settings(CacheMode::Through).slow_start().budget(10.0, end - since);
        assert!(within <= budget + 2.0 * budget.sqrt() + 2.0, "{within} in a second, {budget} is the budget");
    }
}

#[test]
fn after_a_reload_quotas_follow_the_new_index() {
    // So little is served that both nodes together may send one call per window.
    let of = |index| Settings { node_index: Some(index), ..fleet_settings(2) };
    let mut nodes = [0, 1].map(|index| node(of(index), 0, 0));
    let started = 60 * SECOND;
    for node in &mut nodes {
        let endpoint = |started| vec![Endpoint { started_at: started, ..Endpoint::up(ServerId(1)) }];
        node.update_endpoints(EndpointUpdate::Full, endpoint(None));
        node.now = started;
        node.update_endpoints(EndpointUpdate::Delta, endpoint(Some(started)));
    }
    let is_sent = |node: &mut Node, at: Micros| {
        node.now = started + at;
        sent_to(&read_with_ample_time(node, at as u32)).is_some()
    };
    let before = nodes.each_mut().map(|node| is_sent(node, 2 * SECOND));
    assert_eq!(before.iter().filter(|&&sent| sent).count(), 1, "{before:?}");
    for (index, node) in nodes.iter_mut().enumerate() {
        node.handle(Event::Settings(Box::new(of(1 - index))));
    }
    let mut after = nodes.each_mut().map(|node| is_sent(node, 4 * SECOND));
    after.reverse();
    assert_eq!(after, before, "the quota follows the index");
}
