//! What one node sends caches that have restarted.

mod common;
use common::*;
use stonefold_balancer::*;

#[test]
fn a_restarted_cache_gets_no_more_than_its_reduced_capacity() {
    // In any second the cache gets less than its overload factor of 3 times its reduced capacity.
    let mut node = Node::new(settings(CacheMode::Through), 5);
    let mut id = 0;
    let mut run = |node: &mut Node, seconds: u64| {
        let mut to_restarted = Vec::new();
        let end = node.now + seconds * SECOND;
        while node.now < end {
            id += 1;
            // 100 requests a second, 20 for each of the five caches.
            let to = sent_to(&node.read(id, &format!("k{}", id % 997))).unwrap();
            to_restarted.extend((to == ServerId(5)).then_some(node.now));
            node.now += 10_000;
            node.finish(id, 0, Outcome::Success, 10_000);
        }
        to_restarted
    };
    let before = run(&mut node, 20).len() as f64 / 20.0;
    let restarted = Endpoint { started_at: Some(node.now), ..Endpoint::up(ServerId(5)) };
    node.update_endpoints(EndpointUpdate::Delta, vec![restarted]);
    let sends = run(&mut node, 10);
    assert!(!sends.is_empty(), "it gets requests");
    for &start in &sends {
        let within = sends.iter().filter(|&&t| t >= start && t < start + SECOND).count() as f64;
        let fraction = 0.2 + 0.8 * (start - sends[0] + 2 * SECOND) as f64 / (20 * SECOND) as f64;
        assert!(within <= 3.0 * fraction * before, "{within} sends in a second at {fraction} of {before}");
    }
    let early = sends.iter().filter(|&&t| t < sends[0] + 2 * SECOND).count() as f64 / 2.0;
    assert!(early < 0.6 * before, "in proportion to its warm-up: {early} of {before} a second");
}

#[test]
fn caches_that_all_restarted_get_their_share_of_the_former_load() {
    // Caches that warm up mostly miss: the capacity estimate must count misses, and what was handled before.
    let mut node = Node::new(settings(CacheMode::Aside), 5);
    let mut id = 0;
    // A hundred reads a second, nearly all of which miss; returns how many were sent to caches.
    let mut run = |node: &mut Node, seconds: u64| {
        let end = node.now + seconds * SECOND;
        let mut attempts_sent = 0;
        while node.now < end {
            id += 1;
            let mut to = sent_to(&node.read(id, &format!("k{id}")));
            node.now += 10_000;
            let cached = to.is_some_and(|to| to != ServerId(99));
            if cached {
                attempts_sent += 1;
                let outcome = if id % 10 == 0 { Outcome::Success } else { Outcome::CacheMiss };
                to = sent_to(&node.finish(id, 0, outcome, 10_000));
            }
            if to.is_some() {
                node.finish(id, usize::from(cached), Outcome::Success, 10_000);
            }
            node.handle(Event::ClientDisconnected(RequestId(id)));
        }
        attempts_sent as f64 / seconds as f64
    };
    let before = run(&mut node, 20);
    let restarted = |id| Endpoint { started_at: Some(node.now), ..Endpoint::up(ServerId(id)) };
    let restarted = [1, 2, 3, 4, 5].map(restarted).into();
    node.update_endpoints(EndpointUpdate::Delta, restarted);
    run(&mut node, 2);
    let share = run(&mut node, 4) / before;
    // They have 0.28 to 0.44 of their capacity, and handle 3 times that.
    assert!(share > 0.5, "warming caches got {share} of their former load");
}

#[test]
fn a_few_unanswered_attempts_do_not_start_slow_start() {
    let mut node = Node::new(settings(CacheMode::Aside), 1);
    node.serve_many();
    for id in 1000..1003 {
        node.read(id, "k");
        node.finish(id, 0, Outcome::ConnectionReset, 1_000);
        node.handle(Event::ClientDisconnected(RequestId(id)));
    }
    node.now += SECOND;
    node.serve(1003, "k", 20_000);
    for id in 1004..1024 {
        assert_eq!(sent_to(&node.read(id, &format!("k{id}"))), Some(ServerId(1)));
        node.now += 1_000;
        node.finish(id, 0, Outcome::Success, 1_000);
    }
}

#[test]
fn client_retries_do_not_raise_the_quota_of_a_warming_cache() {
    let mut node = Node::new(Settings { overload_factor: 3.0, ..settings(CacheMode::Through) }, 4);
    let mut id = 1000;
    // Reads at this rate per second; returns how many attempts the first cache got.
    let mut run = |node: &mut Node, seconds: u64, rate: u64, outcome: Outcome| {
        let end = node.now + seconds * SECOND;
        let mut attempts_sent = 0;
        while node.now < end {
            id += 1;
            let mut to = sent_to(&node.read(id, &format!("k{id}")));
            node.now += SECOND / rate;
            for attempt in 0.. {
                let Some(server) = to else { break };
                attempts_sent += u32::from(server == ServerId(1));
                to = sent_to(&node.finish(id, attempt, outcome, SECOND / rate));
            }
        }
        attempts_sent
    };
    let before = run(&mut node, 10, 100, Outcome::Success) as f64 / 10.0;
    node.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint { started_at: Some(node.now), ..Endpoint::up(ServerId(1)) }],
    );
    run(&mut node, 2, 2_000, Outcome::Rejected);
    let retried = f64::from(run(&mut node, 3, 2_000, Outcome::Rejected)) / 3.0;
    // Five seconds of twenty after its start it has 0.4 of its capacity, and handles 3 times that.
    assert!(retried < before * 0.4 * 3.0, "{retried} a second, and {before} before");
}

#[test]
fn nodes_do_not_start_sending_to_a_warming_cache_in_step() {
    // Quotas that all open at the same moment would hit the cache with one burst.
    let mut first_sent = Vec::new();
    for seed in 0..40 {
        let mut node = Node { balancer: Balancer::new(settings(CacheMode::Through), seed, 0), now: 0 };
        node.update_endpoints(EndpointUpdate::Full, vec![Endpoint::up(ServerId(1))]);
        for id in 0..40 {
            node.serve(id, "k", 10_000);
            node.now += SECOND;
        }
        node.update_endpoints(
            EndpointUpdate::Delta,
            vec![Endpoint { started_at: Some(node.now), ..Endpoint::up(ServerId(1)) }],
        );
        let first = (1000..1010).position(|id| {
            node.now += SECOND / 4;
            sent_to(&node.read(id, "k")).is_some()
        });
        first_sent.push(first.expect("sent to within seconds"));
    }
    let at_once = |n| first_sent.iter().filter(|&&first| first == n).count();
    let most = (0..10).map(at_once).max().unwrap();
    assert!(most <= 20, "{most} of 40 nodes at the same time: {first_sent:?}");
}
