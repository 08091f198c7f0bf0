//! Updates of the endpoint list, and the watch that delivers them.

mod common;
use common::*;
use stonefold_balancer::*;

#[test]
fn draining_and_removed_servers_get_nothing_once_they_are_reported() {
    let mut node = Node::new(settings(CacheMode::Through), 4);
    node.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint { state: EndpointState::Draining, ..Endpoint::up(ServerId(1)) }],
    );
    node.update_endpoints(EndpointUpdate::Full, [1, 2, 3].map(|id| Endpoint::up(ServerId(id))).into());
    node.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint { state: EndpointState::Draining, ..Endpoint::up(ServerId(2)) }],
    );
    for n in 0..100 {
        let to = node.serve(n, &format!("k{n}"), 20_000);
        assert!(to == ServerId(1) || to == ServerId(3), "{to:?} is draining or was omitted from a full list");
    }
}

#[test]
fn the_list_is_watched_at_once_and_again_after_a_failure() {
    let mut node = Node::new(Settings { watch_required: true, ..settings(CacheMode::Through) }, 0);
    let mut balancer = Balancer::new(Settings { watch_required: true, ..settings(CacheMode::Through) }, 1, 0);
    let mut first = Vec::new();
    let endpoints = vec![Endpoint::up(ServerId(1))];
    balancer.on_event(0, Event::Endpoints { update: EndpointUpdate::Full, endpoints }, &mut first);
    assert!(first.contains(&Action::WatchEndpoints));
    for _ in 0..8 {
        let failed = node.update_endpoints(EndpointUpdate::Failed, Vec::new());
        let (after, token) = first_timer(&failed).expect("a timer for the next watch");
        assert!(after > 0 && after <= 10 * SECOND, "the watch starts again before the list is stale");
        node.now += after;
        assert_eq!(node.timer(token), [Action::WatchEndpoints]);
    }
}

#[test]
fn the_backoff_of_a_failed_watch_grows_with_the_number_of_nodes() {
    let mean = |nodes| {
        let settings = Settings { watch_required: true, node_count: nodes, ..settings(CacheMode::Through) };
        let backoff = |seed| {
            let mut balancer = Balancer::new(settings.clone(), seed, 0);
            let mut actions = Vec::new();
            let endpoints = Vec::new();
            balancer.on_event(
                0,
                Event::Endpoints { update: EndpointUpdate::Failed, endpoints },
                &mut actions,
            );
            first_timer(&actions).expect("a timer for the next watch").0
        };
        (0..200).map(backoff).sum::<Micros>() / 200
    };
    let (few, many) = (mean(4), mean(48));
    assert!(many > 3 * few, "{few} us for few nodes, {many} us for many");
    assert!(mean(100_000) <= settings(CacheMode::Through).max_poll_interval);
}

#[test]
fn the_backoff_leaves_several_watches_before_the_list_is_stale() {
    let settings = Settings { watch_required: true, node_count: 300, ..settings(CacheMode::Through) };
    let end = settings.max_poll_interval * 6 / 10; // 6 s; a list is stale after 10 s
    let watches = |seed| {
        let mut node = Node { balancer: Balancer::new(settings.clone(), seed, 0), now: 0 };
        let mut fail = || {
            first_timer(&node.update_endpoints(EndpointUpdate::Failed, Vec::new()))
                .expect("a timer for the next watch")
                .0
        };
        let waits: Vec<Micros> = (0..20).map(|_| fail()).collect();
        let mut at = 0;
        let times = waits.iter().map(|wait| {
            at += wait;
            at
        });
        times.filter(|&at| at <= end).count()
    };
    let few = (0..200).filter(|&seed| watches(seed) < 3).count();
    assert!(few < 20, "{few} of 200 nodes start fewer than three watches in that time");
}
