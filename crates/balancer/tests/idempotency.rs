//! Which requests may be sent again after an attempt that may have taken effect.

mod common;
use common::*;
use stonefold_balancer::*;

#[test]
fn reads_without_a_class_are_idempotent_and_writes_without_one_are_not() {
    let mut node = Node::new(settings(CacheMode::Through), 6);
    let mut request = Request { timeout: SECOND, ..Request::new(RequestId(1)) };
    assert!(sent_to(&node.handle(Event::Request(request.clone()))).is_some());
    assert!(
        sent_to(&node.finish(1, 0, Outcome::ConnectionReset, 1_000)).is_some(),
        "a read without a class is idempotent"
    );
    (request.id, request.is_write, request.class) = (RequestId(2), true, Some(77));
    assert!(sent_to(&node.handle(Event::Request(request))).is_some());
    let after = node.finish(2, 0, Outcome::ConnectionReset, 1_000);
    assert_eq!(
        after.first(),
        Some(&Action::Fail(RequestId(2))),
        "a write of an unknown class is not idempotent"
    );
}

#[test]
fn an_attempt_with_an_idempotency_key_may_use_all_the_time_left() {
    // An attempt that is cut off early fails although it may have taken effect.
    let mut node = Node::new(settings(CacheMode::Through), 6);
    for id in 0..100 {
        node.request(id, &format!("k{id}"), 1, true);
        node.now += 50_000;
        node.finish(id, 0, Outcome::Success, 50_000);
    }
    let actions = node.request(1000, "k", 1, true);
    let has_all_time_left =
        |a: &Action| matches!(a, Action::Send { timeout, .. } if *timeout == 0 || *timeout >= SECOND);
    assert!(actions.iter().any(has_all_time_left), "{actions:?}");
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_had_no_effect() {
    for (outcome, is_retried) in [
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
        (Outcome::ServerError, false),
        (Outcome::TimedOut, false),
        (Outcome::ConnectionReset, false),
    ] {
        let mut node = Node::new(settings(CacheMode::Through), 4);
        node.request(1, "k", 2, true);
        let actions = node.finish(1, 0, outcome, 10_000);
        assert_eq!(sent_to(&actions).is_some(), is_retried, "{outcome:?}");
        let failed = actions.contains(&Action::Fail(RequestId(1)));
        assert_eq!(failed, !is_retried, "it fails if it may have taken effect: {outcome:?}");
    }
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_only_within_its_scope() {
    let mut settings = settings(CacheMode::Through);
    settings.classes[1].idempotency =
        Idempotency::Keyed { scope: DeduplicationScope::Zone, window: 2 * SECOND };
    let endpoint = |id| Endpoint { zone: id % 2, ..Endpoint::up(ServerId(id)) };
    let mut retried = 0;
    for n in 0..40 {
        let mut node = Node::new(settings.clone(), 0);
        node.update_endpoints(EndpointUpdate::Full, (1..=6).map(endpoint).collect());
        let first = sent_to(&node.request(n, &format!("k{n}"), 1, true)).unwrap();
        if let Some(second) = sent_to(&node.finish(n, 0, Outcome::ConnectionReset, 1_000)) {
            assert_eq!(first.0 % 2, second.0 % 2, "retried in another zone");
            retried += 1;
        }
    }
    assert!(retried > 0);
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_only_within_its_window() {
    let mut settings = settings(CacheMode::Through);
    settings.classes[1].idempotency = Idempotency::Keyed { scope: DeduplicationScope::All, window: 200_000 };
    let mut node = Node::new(settings, 4);
    node.request(1, "k", 1, true);
    node.now += 250_000;
    let actions = node.finish(1, 0, Outcome::ConnectionReset, 250_000);
    assert_eq!(sent_to(&actions), None);
    assert!(actions.contains(&Action::Fail(RequestId(1))));
}
