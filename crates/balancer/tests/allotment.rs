//! What many nodes together send to cold servers: it adds up.

mod common;
use common::*;
use stonefold_balancer::*;

const CACHES: u32 = 8;
/// Reads a second that each node serves while all is well.
const USUAL: u64 = 2;

/// Nodes that are told all the same; attempts are served after a hundredth of a second where not said otherwise.
struct Fleet {
    nodes: Vec<Node>,
    now: Micros,
    next: u32,
    /// When something was sent to each cache.
    sent: Vec<Vec<Micros>>,
    started: Micros,
}

/// An aim so long that what is borne in any case doesn't matter here: it follows from the aim.
fn fleet_settings(nodes: usize) -> Settings {
    let patient =
        RequestClass { latency_objective: 30 * SECOND, ..settings(CacheMode::Through).classes[0].clone() };
    Settings { node_count: nodes, classes: vec![patient], ..settings(CacheMode::Through) }
}

fn node(settings: Settings, seed: u64, now: Micros) -> Node {
    Node { balancer: Balancer::new(settings, seed, now), now }
}

/// A read of a key of its own that has time enough.
fn patient_read(node: &mut Node, id: u32) -> Vec<Action> {
    let key = Some(format!("k{id}"));
    let read = Request { class: Some(0), key, timeout: 60 * SECOND, ..Request::new(RequestId(id)) };
    node.tell(Event::Request(read))
}

impl Fleet {
    /// `count` nodes, each of which has served its usual reads for 20 s.
    fn new(count: usize) -> Self {
        let of = |index| Settings { node_index: Some(index), ..fleet_settings(count) };
        let nodes = (0..count).map(|index| node(of(index), index as u64, 0)).collect();
        let mut fleet = Fleet { nodes, now: 0, next: 0, sent: vec![Vec::new(); CACHES as usize], started: 0 };
        fleet.list(None);
        for _ in 0..20 * USUAL {
            fleet.now += SECOND / USUAL;
            (0..count).for_each(|index| fleet.reads(index, 1));
        }
        fleet
    }

    fn list(&mut self, started: Option<Micros>) {
        let members: Vec<Endpoint> =
            (0..CACHES).map(|id| Endpoint { started_at: started, ..Endpoint::up(ServerId(id)) }).collect();
        for node in &mut self.nodes {
            node.now = self.now;
            node.list(EndpointUpdate::Full, members.clone());
        }
    }

    /// All caches restart, and all nodes are told at once.
    fn restart_caches(&mut self) {
        self.started = self.now;
        self.sent.iter_mut().for_each(Vec::clear);
        self.list(Some(self.started));
    }

    /// A new process in the place of a node.
    fn restart_node(&mut self, index: usize) {
        let settings = Settings { node_index: Some(index), ..fleet_settings(self.nodes.len()) };
        self.nodes[index] = node(settings, self.now + index as u64, self.now);
        let member = |id| Endpoint { started_at: Some(self.started), ..Endpoint::up(ServerId(id)) };
        self.nodes[index].list(EndpointUpdate::Full, (0..CACHES).map(member).collect());
    }

    /// So many reads arrive at a node at once; then they are served.
    fn reads(&mut self, index: usize, reads: u32) {
        let node = &mut self.nodes[index];
        node.now = self.now;
        let mut out = Vec::new();
        for _ in 0..reads {
            self.next += 1;
            if let Some(to) = sent(&patient_read(node, self.next)) {
                self.sent[to.0 as usize].push(self.now);
                out.push(self.next);
            }
        }
        node.now += 10_000;
        for id in out {
            node.end(id, 0, Outcome::Success, 10_000);
        }
    }

    /// What a cache stands in the span that ends now: the budget, and with what is left to chance.
    fn stands(&self) -> (f64, f64) {
        let settings = fleet_settings(self.nodes.len());
        let capacity = (self.nodes.len() as u64 * USUAL) as f64 / f64::from(CACHES);
        let budget = settings.slow_start().budget(capacity, self.now - self.started);
        (budget, budget + 2.0 * budget.sqrt() + 2.0)
    }

    /// What each cache was sent in the span that ends now.
    fn within(&self) -> Vec<usize> {
        let fall = fleet_settings(1).overload_window;
        let lately = |sent: &Vec<Micros>| sent.iter().filter(|&&at| self.now - at < fall).count();
        self.sent.iter().map(lately).collect()
    }

    fn assert_stands(&self) {
        let (_, most) = self.stands();
        let worst = *self.within().iter().max().unwrap();
        assert!(worst as f64 <= most, "{} nodes sent {worst} where a cache stands {most}", self.nodes.len());
    }
}

/// A burst at all nodes, some time after all caches have restarted in which nothing came.
fn burst(nodes: usize, after: Micros, reads: impl Fn(usize) -> u32) -> Fleet {
    let mut fleet = Fleet::new(nodes);
    fleet.restart_caches();
    fleet.now += after;
    (0..nodes).for_each(|index| fleet.reads(index, reads(index)));
    fleet
}

#[test]
fn a_burst_at_all_nodes_stays_within_what_a_cold_cache_stands() {
    // Guards against: parts below one call that each node saves up to a whole one (#23).
    for nodes in [4, 20, 30, 300] {
        burst(nodes, 10 * SECOND, |_| 16).assert_stands();
    }
}

#[test]
fn a_burst_at_all_nodes_is_given_most_of_what_a_cold_cache_stands() {
    // Soon after the restart, when the nodes still know what the caches bore.
    for nodes in [4, 20, 30, 300] {
        let fleet = burst(nodes, 6 * SECOND / 5, |_| 16);
        fleet.assert_stands();
        let mean = fleet.within().iter().sum::<usize>() as f64 / f64::from(CACHES);
        let (budget, _) = fleet.stands();
        assert!(mean >= 0.8 * budget.floor(), "{nodes} nodes: {mean} of {budget}");
        println!("{nodes} nodes: {mean} of {budget}");
    }
}

#[test]
fn nodes_with_many_times_the_mean_traffic_keep_to_their_parts() {
    for nodes in [4, 20, 30, 300] {
        burst(nodes, 10 * SECOND, |index| if index % 10 == 0 { 100 } else { 4 }).assert_stands();
    }
}

#[test]
fn restarted_nodes_do_not_spend_again_what_they_spent_before() {
    for nodes in [4, 20, 30, 300] {
        let mut fleet = burst(nodes, 10 * SECOND, |_| 16);
        for part in 1..20 {
            fleet.now += SECOND / 20;
            let restarted = (0..nodes).filter(|index| index % 20 == part || index % 2 == 0);
            restarted.for_each(|index| {
                fleet.restart_node(index);
                fleet.reads(index, 16);
            });
            fleet.assert_stands();
        }
    }
}

#[test]
fn a_second_start_in_one_span_opens_no_second_part() {
    for nodes in [4, 20, 30, 300] {
        let mut fleet = burst(nodes, 10 * SECOND, |_| 16);
        let before = fleet.within();
        fleet.list(Some(fleet.now - 1));
        fleet.now += SECOND / 2;
        (0..nodes).for_each(|index| fleet.reads(index, 16));
        // The former start's budget is the larger one.
        let worst = fleet.within().into_iter().max().unwrap();
        assert!(worst <= *before.iter().max().unwrap(), "{nodes} nodes: {worst} after {before:?}");
    }
}

/// One node and one cache: reads whose attempts all break off, for some seconds; tells when anything was sent.
fn broken_reads(fleet: &mut Node, seconds: u64) -> Vec<Micros> {
    let mut sends = Vec::new();
    let end = fleet.now + seconds * SECOND;
    let mut id = 10_000;
    while fleet.now < end {
        id += 1;
        let mut to = sent(&patient_read(fleet, id));
        for attempt in 0.. {
            let Some(_) = to else { break };
            sends.push(fleet.now);
            to = sent(&fleet.end(id, attempt, Outcome::Rejected, 0));
        }
        fleet.now += 5_000;
    }
    sends
}

#[test]
fn further_tries_and_a_return_by_hand_spend_from_the_same_part() {
    let mut node = Node::new(fleet_settings(1), 1);
    for id in 0..400 {
        patient_read(&mut node, id);
        node.now += 100_000; // ten a second
        node.end(id, 0, Outcome::Success, 100_000);
    }
    node.tell(Event::Disable(ServerId(1)));
    node.now += SECOND;
    let since = node.now;
    node.tell(Event::Enable { server: ServerId(1), since });
    let mut sends = broken_reads(&mut node, 3);
    // Put back once more: it may have been restarted once more, and what it was sent still counts.
    node.tell(Event::Enable { server: ServerId(1), since: node.now });
    sends.extend(broken_reads(&mut node, 1));
    assert!(sends.len() > 4, "it is let in");
    for &end in &sends {
        let within = sends.iter().filter(|&&at| at <= end && end - at < SECOND).count() as f64;
        let budget = settings(CacheMode::Through).slow_start().budget(10.0, end - since);
        assert!(within <= budget + 2.0 * budget.sqrt() + 2.0, "{within} in a second, {budget} is the budget");
    }
}

#[test]
fn after_a_reload_the_parts_are_those_of_the_new_index() {
    // So little is served that one call in a span is all that two nodes may send together.
    let of = |index| Settings { node_index: Some(index), ..fleet_settings(2) };
    let mut nodes = [0, 1].map(|index| node(of(index), 0, 0));
    let started = 60 * SECOND;
    for node in &mut nodes {
        let member = |started| vec![Endpoint { started_at: started, ..Endpoint::up(ServerId(1)) }];
        node.list(EndpointUpdate::Full, member(None));
        node.now = started;
        node.list(EndpointUpdate::Delta, member(Some(started)));
    }
    let asks = |node: &mut Node, at: Micros| {
        node.now = started + at;
        sent(&patient_read(node, at as u32)).is_some()
    };
    let before = nodes.each_mut().map(|node| asks(node, 2 * SECOND));
    assert_eq!(before.iter().filter(|&&sent| sent).count(), 1, "{before:?}");
    for (index, node) in nodes.iter_mut().enumerate() {
        node.tell(Event::Settings(Box::new(of(1 - index))));
    }
    let mut after = nodes.each_mut().map(|node| asks(node, 4 * SECOND));
    after.reverse();
    assert_eq!(after, before, "the part goes with the index");
}
