//! Which caches may serve a key, and which of them gets a read.

mod common;
use common::*;
use stonefold_balancer::*;

#[test]
fn an_idle_fleet_serves_a_key_from_the_same_cache_at_every_node() {
    let mut a = Node::new(settings(CacheMode::Through), 10);
    let mut b = Node::new(settings(CacheMode::Through), 10);
    for n in 0..50 {
        let key = format!("k{n}");
        let first = a.serve(n, &key, 50_000);
        assert_eq!(first, b.serve(n, &key, 50_000));
        assert_eq!(first, a.serve(100 + n, &key, 50_000));
    }
}

#[test]
fn keys_spread_over_all_caches_and_only_those_of_a_removed_cache_move() {
    let mut node = Node::new(settings(CacheMode::Through), 10);
    let before: Vec<ServerId> = (0..400).map(|n| node.serve(n, &format!("k{n}"), 50_000)).collect();
    let removed = Endpoint { state: EndpointState::Removed, ..Endpoint::up(ServerId(4)) };
    node.update_endpoints(EndpointUpdate::Delta, vec![removed]);
    for (n, &old) in (0..).zip(&before) {
        let new = node.serve(1000 + n, &format!("k{n}"), 50_000);
        assert!(new == old || old == ServerId(4), "key k{n} moved from {old:?} to {new:?}");
        assert_ne!(new, ServerId(4));
    }
    assert!((1..=10).all(|id| before.contains(&ServerId(id))));
}

#[test]
fn a_static_weight_attracts_keys_and_a_live_one_does_not() {
    let reads_at_weighted = |is_static| {
        let mut node = Node::new(Settings { static_weights: is_static, ..settings(CacheMode::Through) }, 0);
        let endpoint =
            |id| Endpoint { weight: if id == 1 { 4.0 } else { 1.0 }, ..Endpoint::up(ServerId(id)) };
        node.update_endpoints(EndpointUpdate::Full, (1..=5).map(endpoint).collect());
        (0..400).filter(|&n| node.serve(n, &format!("k{n}"), 50_000) == ServerId(1)).count()
    };
    assert!(
        (150..250).contains(&reads_at_weighted(true)),
        "a server with half of the total weight: {}",
        reads_at_weighted(true)
    );
    assert!(
        (40..120).contains(&reads_at_weighted(false)),
        "one of five caches: {}",
        reads_at_weighted(false)
    );
}

#[test]
fn the_candidate_with_fewest_in_flight_gets_the_read_and_the_set_stays_small() {
    let mut node = Node::new(settings(CacheMode::Through), 10);
    node.serve_many();
    let used: Vec<ServerId> = (0..6).map(|n| sent_to(&node.read(1000 + n, "hot")).unwrap()).collect();
    let mut set = used.clone();
    set.sort();
    set.dedup();
    assert!(set.len() <= 3, "candidates: {set:?}");
    assert!(set.len() >= 2);
    let busiest =
        set.iter().map(|server| used.iter().filter(|other| other == &server).count()).max().unwrap();
    assert!(busiest <= 3, "the load is spread: {used:?}");
}

#[test]
fn the_origin_is_never_a_candidate() {
    let mut node = Node::new(settings(CacheMode::Aside), 3);
    for n in 0..200 {
        assert_ne!(sent_to(&node.read(n, &format!("k{n}"))), Some(ServerId(99)));
        node.finish(n, 0, Outcome::Success, 20_000);
    }
}

/// The fraction of the last 600 of 800 reads that goes to the caches 1 to 5, which answer `slowdown` times as slowly
/// as the other five and have a machine type of their own.
fn share_of_slow_machine_type(slowdown: Micros) -> f64 {
    let mut node = Node::new(settings(CacheMode::Through), 0);
    let machine_type = |id| if id <= 5 { 1 } else { 2 };
    let endpoint = |id| Endpoint { machine_type: machine_type(id), ..Endpoint::up(ServerId(id)) };
    node.update_endpoints(EndpointUpdate::Full, (1..=10).map(endpoint).collect());
    let mut at_slow = 0;
    for n in 0..800 {
        let to = sent_to(&node.read(n, &format!("k{n}"))).unwrap();
        let elapsed = if to.0 <= 5 { 20_000 * slowdown } else { 20_000 };
        node.now += elapsed;
        node.finish(n, 0, Outcome::Success, elapsed);
        at_slow += usize::from(n >= 200 && to.0 <= 5);
    }
    at_slow as f64 / 600.0
}

#[test]
fn without_listed_weights_a_slow_machine_type_gets_fewer_keys() {
    let even = share_of_slow_machine_type(1);
    assert!((0.4..0.6).contains(&even), "{even}");
    let slow = share_of_slow_machine_type(3);
    assert!(slow < 0.35, "three times as slow: {slow}");
}

#[test]
fn a_cross_zone_price_prefers_local_caches_and_all_remain_candidates() {
    // Attempts at caches in other zones cost money, and fail while their zone cannot be reached.
    let local_reads = |price| {
        let settings = Settings { zone: Some(1), cross_zone_cost: price, ..settings(CacheMode::Through) };
        let mut node = node_with_zones(settings, 12, 4);
        (0..400).filter(|&id| node.serve(id, &format!("k{id}"), 10_000).0 % 4 == 1).count()
    };
    assert!(
        (60..140).contains(&local_reads(0.0)),
        "a quarter if zones cost nothing to cross: {}",
        local_reads(0.0)
    );
    assert!((250..400).contains(&local_reads(0.05)), "{}", local_reads(0.05));
}
