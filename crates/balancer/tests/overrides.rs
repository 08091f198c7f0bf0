//! Servers that operators disable and enable, and settings that change.

mod common;
use common::*;
use stonefold_balancer::*;

/// The servers that reads of many keys are sent to.
fn servers_used(node: &mut Node, from: u32) -> std::collections::BTreeSet<ServerId> {
    (from..from + 60).map(|n| node.serve(n, &format!("k{n}"), 10_000)).collect()
}

#[test]
fn a_disabled_server_gets_nothing_until_enabled_whatever_the_list_says() {
    let mut node = Node::new(settings(CacheMode::Through), 3);
    node.serve_many();
    let disabled = ServerId(2);
    node.handle(Event::Disable(disabled));
    node.handle(Event::Disable(disabled));
    assert!(!servers_used(&mut node, 1000).contains(&disabled));
    assert_eq!(node.balancer.cache_counts(), CacheCounts { listed: 3, avoided: 1 });
    // The server is removed from the list, listed again, and reported as restarted.
    node.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint { state: EndpointState::Removed, ..Endpoint::up(disabled) }],
    );
    let now = node.now;
    node.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint { started_at: Some(now), ..Endpoint::up(disabled) }],
    );
    assert!(!servers_used(&mut node, 2000).contains(&disabled));
    node.update_endpoints(EndpointUpdate::Full, (1..=3).map(|id| Endpoint::up(ServerId(id))).collect());
    assert!(!servers_used(&mut node, 3000).contains(&disabled));
    node.handle(Event::Enable { server: disabled, since: node.now });
    node.now += SECOND;
    assert!(servers_used(&mut node, 4000).contains(&disabled));
    assert_eq!(node.balancer.cache_counts(), CacheCounts { listed: 3, avoided: 0 });
}

#[test]
fn an_enabled_server_is_in_slow_start_though_the_list_has_no_start_time() {
    let mut node = Node::new(settings(CacheMode::Through), 3);
    node.serve_many();
    let server = ServerId(2);
    let served_by_it = |node: &mut Node, from: u32| {
        (from..from + 300).filter(|n| node.serve(*n, &format!("k{n}"), 10_000) == server).count()
    };
    let before = served_by_it(&mut node, 1000);
    node.handle(Event::Disable(server));
    node.handle(Event::Enable { server, since: node.now });
    let slow_start = served_by_it(&mut node, 1000 + 300);
    assert!(slow_start > 0 && slow_start < before / 2, "{before} reads before, {slow_start} in slow start");
    // A list without a start time does not end its slow start.
    node.update_endpoints(EndpointUpdate::Full, (1..=3).map(|id| Endpoint::up(ServerId(id))).collect());
    let still = served_by_it(&mut node, 2000);
    assert!(still < before / 2, "{before} reads before, {still} after a list without a start time");
}

#[test]
fn a_server_disabled_before_it_is_listed_gets_nothing_once_it_is() {
    let mut node = Node::new(settings(CacheMode::Through), 2);
    node.handle(Event::Disable(ServerId(3)));
    node.update_endpoints(EndpointUpdate::Delta, vec![Endpoint::up(ServerId(3))]);
    node.serve_many();
    assert!(!servers_used(&mut node, 1000).contains(&ServerId(3)));
}

#[test]
fn an_open_request_keeps_its_rules_when_the_settings_change() {
    let old = settings(CacheMode::Through);
    let mut node = Node::new(old.clone(), 3);
    node.serve_many();
    // At first class 0 is idempotent with five attempts, then it is non-idempotent with one.
    assert!(sent_to(&node.read(1000, "k")).is_some());
    let mut new = Settings { max_attempts: 1, ..old };
    new.classes[0].idempotency = Idempotency::NonIdempotent;
    new.classes.push(RequestClass {
        latency_objective: 100_000,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
    });
    node.handle(Event::Settings(Box::new(new)));
    assert!(
        sent_to(&node.finish(1000, 0, Outcome::ServerError, 10_000)).is_some(),
        "retried by the rules at its arrival"
    );
    assert!(sent_to(&node.read(1001, "k")).is_some());
    let ended = node.finish(1001, 0, Outcome::ServerError, 10_000);
    assert!(matches!(ended[..], [Action::Fail(RequestId(1001)), ..]), "{ended:?}");
    // Requests of the new class are served.
    assert!(sent_to(&node.request(1002, "k", 3, false)).is_some());
    node.finish(1002, 0, Outcome::Success, 10_000);
}
