//! Requests that wait for capacity: in which order they are admitted, and which are shed.

mod common;
use common::*;
use stonefold_balancer::*;

#[test]
fn reads_that_are_still_in_time_are_admitted_before_late_ones() {
    let mut node = Node::new(settings(CacheMode::Aside), 6);
    let fetch = |node: &mut Node, id| sent_to(&node.finish(id, 0, Outcome::CacheMiss, 10_000)).is_some();
    let late = 500;
    node.read(late, "late");
    node.now += 200_000; // more than half of the latency objective of 300 ms: the read is late
    let first_queued = (1..100).find(|&id| {
        node.read(id, &format!("k{id}"));
        !fetch(&mut node, id)
    });
    let in_time = first_queued.expect("the origin's concurrency limit is reached");
    assert!(!fetch(&mut node, late), "the late read is queued too");
    let next = node.finish(1, 1, Outcome::Success, 20_000);
    let admitted = next.iter().find_map(|a| match a {
        Action::Send { request: id, server: ServerId(99), .. } => Some(id.0),
        _ => None,
    });
    assert_eq!(admitted, Some(in_time));
}

/// A node that has reached its concurrency limit at the caches, and the id of the first read in its queue.
fn node_at_its_limit() -> (Node, u32) {
    let mut node = Node::new(settings(CacheMode::Through), 3);
    let mut n = 0;
    while sent_to(&node.read(n, &format!("k{n}"))).is_some() {
        n += 1;
    }
    (node, n)
}

#[test]
fn a_queued_read_is_rejected_after_half_of_its_time() {
    let (mut node, first_queued) = node_at_its_limit();
    let actions = node.read(first_queued + 1, "late");
    let (after, token) = first_timer(&actions).expect("a timer for the check of the queued read");
    assert!(sent_to(&actions).is_none() && !is_answered(&actions));
    assert!(after <= SECOND / 2, "{after}");
    node.now += after;
    let rejected = node.timer(token);
    assert!(
        matches!(rejected[..], [Action::Reject { request: RequestId(id), .. }] if id == first_queued + 1),
        "{rejected:?}"
    );
}

#[test]
fn a_queued_read_that_is_checked_early_is_checked_again() {
    let (mut node, first_queued) = node_at_its_limit();
    let (_, token) = first_timer(&node.read(first_queued + 1, "late")).unwrap();
    node.now += SECOND / 4;
    let (after, again) = first_timer(&node.timer(token)).expect("another check");
    assert_eq!((after, again), (SECOND / 4, token));
    node.now += after;
    assert!(is_answered(&node.timer(token)));
}

#[test]
fn a_response_that_has_begun_frees_capacity_for_a_queued_read() {
    let (mut node, first_queued) = node_at_its_limit();
    assert!(sent_to(&node.read(first_queued + 1, "late")).is_none(), "the limit is reached");
    let started = node.handle(Event::ResponseStarted(AttemptId::new(RequestId(0), 0)));
    let admitted = started.iter().find_map(|a| match a {
        Action::Send { request, .. } => Some(*request),
        _ => None,
    });
    assert!(admitted.is_some_and(|id| id >= RequestId(first_queued)), "{started:?}");
}

#[test]
fn the_queue_is_bounded_and_the_oldest_request_is_shed() {
    let (mut node, first_queued) = node_at_its_limit();
    let rejected: Vec<RequestId> = (first_queued + 1..first_queued + 40)
        .flat_map(|id| node.read(id, &format!("late-{id}")))
        .filter_map(|action| match action {
            Action::Reject { request: id, .. } => Some(id),
            _ => None,
        })
        .collect();
    assert!(rejected.len() > 20, "{} rejected", rejected.len());
    assert!(rejected.iter().take(20).zip(rejected.iter().skip(1)).all(|(a, b)| a < b), "{rejected:?}");
}

/// Guards against a connection that always has a newer read waiting, so that those of other connections are shed.
#[test]
fn reads_of_a_crowded_connection_wait_behind_others() {
    let (mut node, first_queued) = node_at_its_limit();
    let crowded = Request {
        class: Some(0),
        key: Some("k".into()),
        timeout: SECOND,
        is_crowded: true,
        ..Request::new(RequestId(0))
    };
    for id in first_queued + 1..first_queued + 100 {
        let actions = node.handle(Event::Request(Request { id: RequestId(id), ..crowded.clone() }));
        let shed_first = |action: &Action| matches!(action, Action::Reject { request, .. } if *request == RequestId(first_queued));
        assert!(!actions.iter().any(shed_first), "shed at read {id}");
    }
    let next = node.finish(0, 0, Outcome::Success, 10_000);
    let is_admitted = |action: &Action| matches!(action, Action::Send { request, .. } if *request == RequestId(first_queued));
    assert!(next.iter().any(is_admitted), "{next:?}");
}
