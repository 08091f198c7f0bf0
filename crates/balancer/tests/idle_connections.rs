//! How long connections stay open while they are idle.

mod common;
use std::collections::BTreeSet;

use common::*;
use stonefold_balancer::*;

/// The servers whose idle connections are closed.
fn closed_connections(actions: &[Action]) -> Vec<ServerId> {
    let server = |a: &Action| match a {
        Action::CloseIdleConnections(server) => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

/// The timer of the check of idle connections.
const IDLE_CHECK: TimerToken = TimerToken(u64::MAX - 1);

/// When idle connections are to be checked, by the timers that are set.
fn check_times(now: Micros, actions: &[Action]) -> Vec<Micros> {
    let at = |a: &Action| match a {
        Action::SetTimer { after, token: IDLE_CHECK } => Some(now + after),
        _ => None,
    };
    actions.iter().filter_map(at).collect()
}

/// How long the connection of a served read stays open while it is idle, at one of `nodes` nodes, after this
/// many failed connects.
fn idle_time(nodes: usize, failed_connects: u32) -> Micros {
    let mut node = Node::new(
        Settings { node_count: nodes, idle_timeout: 40 * SECOND, ..settings(CacheMode::Through) },
        1,
    );
    let mut due = BTreeSet::new();
    for id in 100..100 + failed_connects {
        node.now += 20 * SECOND; // the cache is probed although it is suspected
        let mut next = sent_to(&node.read(id, "k"));
        for attempt in 0.. {
            let Some(_) = next.take() else { break };
            let end = node.finish(id, attempt, Outcome::ConnectFailed, 1_000);
            due.extend(check_times(node.now, &end));
            next = sent_to(&end);
        }
    }
    node.now += 20 * SECOND;
    let to = sent_to(&node.read(1, "k")).unwrap();
    node.now += 20_000;
    let served_at = node.now;
    due.extend(check_times(served_at, &node.finish(1, 0, Outcome::Success, 20_000)));
    while let Some(at) = due.pop_first() {
        node.now = node.now.max(at);
        let actions = node.timer(IDLE_CHECK);
        if !closed_connections(&actions).is_empty() {
            assert_eq!(closed_connections(&actions), [to]);
            assert!(closed_connections(&node.timer(IDLE_CHECK)).is_empty(), "it is closed only once");
            return node.now - served_at;
        }
        due.extend(check_times(node.now, &actions));
    }
    panic!("the connection is never closed");
}

#[test]
fn failed_connects_shorten_the_idle_time_more_with_more_nodes() {
    // Idle connections from many nodes fill the connection tables of the caches, but closing connections
    // early costs a handshake per request.
    assert_eq!(idle_time(3, 0), 40 * SECOND);
    assert_eq!(idle_time(300, 0), 40 * SECOND, "no connect fails");
    assert!(idle_time(300, 2) <= 12 * SECOND);
    assert_eq!(idle_time(3, 20), 40 * SECOND, "few nodes keep their connections");
    assert!(idle_time(80, 20) <= 5 * SECOND);
    assert!(idle_time(800, 20) <= SECOND / 2);
}

#[test]
fn one_timer_serves_all_idle_connections() {
    let mut node = Node::new(settings(CacheMode::Through), 20);
    let ends = (0..200).map(|id| {
        node.read(id, &format!("k{id}"));
        node.now += 10_000;
        node.finish(id, 0, Outcome::Success, 10_000)
    });
    let timers = ends.filter(|end| first_timer(end).is_some()).count();
    assert_eq!(timers, 1);
}

#[test]
fn a_connection_in_use_is_not_closed() {
    let mut node = Node::new(Settings { node_count: 400, ..settings(CacheMode::Through) }, 1);
    node.read(1, "k");
    node.now += 20_000;
    let (after, token) = first_timer(&node.finish(1, 0, Outcome::Success, 20_000)).unwrap();
    node.now += after / 2;
    node.read(2, "k");
    node.now += after;
    assert!(closed_connections(&node.timer(token)).is_empty());
}
