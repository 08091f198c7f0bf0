//! Graceful shutdown.

mod common;
use common::*;
use stonefold_balancer::*;

#[test]
fn requests_open_at_shutdown_are_answered_before_the_process_ends() {
    let mut node = Node::new(settings(CacheMode::Aside), 3);
    assert!(
        sent_to(&node.request(1, "a", 1, true)).is_some(),
        "a write is sent, with a time limit of one second"
    );
    assert!(sent_to(&node.read(2, "b")).is_some());
    let (after, token) = first_timer(&node.handle(Event::Shutdown { deadline: 300_000 }))
        .expect("a timer for the last answers");
    node.read(3, "c");
    node.now += after;
    let last = node.timer(token);
    let ends: Vec<&Action> =
        last.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))).collect();
    assert!(
        matches!(
            ends[..],
            [Action::Fail(RequestId(1)), Action::Reject { request: RequestId(2), .. }, Action::Reject { .. }]
        ),
        "{last:?}"
    );
    assert_eq!(cancelled_attempts(&last).len(), 3, "no attempt is left in flight");
}

#[test]
fn nothing_is_sent_that_cannot_be_answered_before_the_process_ends() {
    let mut node = Node::new(settings(CacheMode::Through), 3);
    node.serve_many();
    node.handle(Event::Shutdown { deadline: node.now + 10_000 });
    let actions = node.read(1000, "a");
    assert!(sent_to(&actions).is_none() && is_answered(&actions), "{actions:?}");
}
