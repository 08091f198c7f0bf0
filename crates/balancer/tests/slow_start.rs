//! What one node sends to caches that have restarted.

mod common;
use common::*;
use stonefold_balancer::*;

#[test]
fn a_restarted_cache_gets_load_in_proportion_to_its_reduced_capacity() {
    // In any second the cache may get at most 3 times its reduced capacity, as 3 is the overload factor. The load
    // before the restart counts as the full capacity.
    let mut node = Node::new(settings(CacheMode::Through), 5);
    let mut id = 0;
    let mut run = |node: &mut Node, seconds: u64| {
        let mut to_restarted = Vec::new();
        let end = node.now + seconds * SECOND;
        while node.now < end {
            id += 1;
            // 100 requests per second, 20 for each of the five caches.
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
    assert!(!sends.is_empty(), "the restarted cache gets requests");
    for &start in &sends {
        let within = sends.iter().filter(|&&t| t >= start && t < start + SECOND).count() as f64;
        let fraction = 0.2 + 0.8 * (start - sends[0] + 2 * SECOND) as f64 / (20 * SECOND) as f64;
        assert!(
            within <= 3.0 * fraction * before,
            "{within} attempts in a second with {fraction} of the capacity and {before} per second before"
        );
    }
    let early = sends.iter().filter(|&&t| t < sends[0] + 2 * SECOND).count() as f64 / 2.0;
    assert!(
        early < 0.6 * before,
        "it gets load in proportion to its capacity: {early} of {before} per second"
    );
}

#[test]
fn caches_that_all_restarted_get_their_share_of_the_former_load() {
    // Most reads miss at warming caches, so the capacity estimate must count misses, and what the caches
    // handled before their restart.
    let mut node = Node::new(settings(CacheMode::Aside), 5);
    let mut id = 0;
    // 100 reads per second, of which nine in ten miss; returns how many per second were sent to caches.
    let mut run = |node: &mut Node, seconds: u64| {
        let end = node.now + seconds * SECOND;
        let mut attempts_sent = 0;
        while node.now < end {
            id += 1;
            let mut next = sent_to(&node.read(id, &format!("k{id}")));
            node.now += 10_000;
            let is_at_cache = next.is_some_and(|server| server != ServerId(99));
            if is_at_cache {
                attempts_sent += 1;
                let outcome = if id % 10 == 0 { Outcome::Success } else { Outcome::CacheMiss };
                next = sent_to(&node.finish(id, 0, outcome, 10_000));
            }
            if next.is_some() {
                node.finish(id, usize::from(is_at_cache), Outcome::Success, 10_000);
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
    // In these seconds the caches have 0.28 to 0.44 of their capacity, and are overloaded only by 3 times
    // that.
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
    // Runs reads at this rate per second, whose attempts all end alike. Returns how many attempts the warming
    // cache got.
    let mut run = |node: &mut Node, seconds: u64, rate: u64, outcome: Outcome| {
        let end = node.now + seconds * SECOND;
        let mut attempts_sent = 0;
        while node.now < end {
            id += 1;
            let mut next = sent_to(&node.read(id, &format!("k{id}")));
            node.now += SECOND / rate;
            for attempt in 0.. {
                let Some(server) = next else { break };
                attempts_sent += u32::from(server == ServerId(1));
                next = sent_to(&node.finish(id, attempt, outcome, SECOND / rate));
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
    // Five seconds after its start, in a slow start of 20 s, the cache has 0.4 of its capacity, and is
    // overloaded only by 3 times that.
    assert!(retried < before * 0.4 * 3.0, "{retried} per second, and {before} before the restart");
}

#[test]
fn nodes_start_sending_to_a_warming_cache_at_different_times() {
    // If the quotas of all nodes opened at the same time, the cache would get one burst.
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
        first_sent.push(first.expect("a read is sent to the cache within seconds"));
    }
    let starting_at = |n| first_sent.iter().filter(|&&first| first == n).count();
    let most = (0..10).map(starting_at).max().unwrap();
    assert!(most <= 20, "{most} of 40 nodes start at the same time: {first_sent:?}");
}
