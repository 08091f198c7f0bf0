//! Reads of one key share a fetch from the origin.

mod common;
use common::*;
use stonefold_balancer::*;

#[test]
fn misses_of_one_key_share_a_fetch() {
    let mut node = Node::new(settings(CacheMode::Aside), 6);
    let first = sent_to(&node.read(1, "k")).unwrap();
    node.read(2, "k");
    assert_eq!(sent_to(&node.finish(1, 0, Outcome::CacheMiss, 5_000)), Some(ServerId(99)));
    let second_miss = node.finish(2, 0, Outcome::CacheMiss, 5_000);
    assert_eq!(sent_to(&second_miss), None, "it waits for the fetch in progress");
    let fetched = node.finish(1, 1, Outcome::Success, 30_000);
    assert_eq!(sent_to(&fetched), Some(first), "it reads what the fetch stored");
}

#[test]
fn a_read_that_waits_for_a_fetch_is_answered_in_time() {
    let mut node = Node::new(settings(CacheMode::Aside), 4);
    node.read(1, "k");
    node.read(2, "k");
    node.finish(1, 0, Outcome::CacheMiss, 5_000);
    let second_miss = node.finish(2, 0, Outcome::CacheMiss, 5_000);
    let (after, token) = first_timer(&second_miss).expect("a timer for its deadline");
    assert!(after < SECOND);
    node.now += after;
    assert!(is_answered(&node.timer(token)));
}

#[test]
fn a_fetch_whose_client_disconnected_completes_and_serves_the_next_read() {
    let mut node = Node::new(settings(CacheMode::Aside), 3);
    node.serve_many();
    node.read(1000, "rare");
    let fetch = node.finish(1000, 0, Outcome::CacheMiss, 5_000);
    assert_eq!(sent_to(&fetch), Some(ServerId(99)));
    let disconnected = node.handle(Event::ClientDisconnected(RequestId(1000)));
    assert!(cancelled_attempts(&disconnected).is_empty(), "the origin completes it in any case");
    // The client sends its read again.
    node.read(1001, "rare");
    let second = node.finish(1001, 0, Outcome::CacheMiss, 5_000);
    assert_eq!(sent_to(&second), None, "it waits for the fetch in progress");
    node.now += 100_000;
    let fetched = node.finish(1000, 1, Outcome::Success, 100_000);
    assert!(
        sent_to(&fetched).is_some_and(|to| to != ServerId(99)),
        "it reads what the fetch stored: {fetched:?}"
    );
}

#[test]
fn a_fetch_that_is_handed_over_wakes_only_one_waiter() {
    for succeeds in [true, false] {
        let mut node = Node::new(settings(CacheMode::Aside), 3);
        node.serve_many();
        for id in 1000..2000 {
            node.read(id, "rare");
            node.finish(id, 0, Outcome::CacheMiss, 5_000);
        }
        // One client after the other disconnects before its fetch is sent; the next read takes it over.
        for id in 1000..1500 {
            node.handle(Event::ClientDisconnected(RequestId(id)));
            let handed_over = node.finish(id, 1, Outcome::NotSent, 0);
            assert_eq!(sent_to(&handed_over), Some(ServerId(99)), "{id}");
            assert!(handed_over.len() < 5, "{id}: {} actions", handed_over.len());
        }
        if succeeds {
            let fetched = node.finish(1500, 1, Outcome::Success, 100_000);
            assert!(
                sent_to(&fetched).is_some_and(|to| to != ServerId(99)),
                "the waiting reads get what it stored"
            );
        } else {
            node.now += SECOND - 5_000;
            assert!(
                is_answered(&node.timer(TimerToken(1999))),
                "waiting reads are answered by their deadline"
            );
        }
    }
}

#[test]
fn a_read_is_answered_by_its_deadline_though_its_fetch_continues() {
    let mut node = Node::new(settings(CacheMode::Aside), 3);
    node.serve_many();
    let request = Request { class: Some(0), key: Some("rare".into()), ..Request::new(RequestId(1000)) };
    node.handle(Event::Request(Request { timeout: 150_000, ..request }));
    let fetch = node.finish(1000, 0, Outcome::CacheMiss, 5_000);
    let wait = fetch.iter().find_map(|a| match a {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert!(wait >= Some(300_000), "the fetch may last long enough to serve other reads: {wait:?}");
    let (after, token) = first_timer(&fetch).expect("a timer for the deadline of the read");
    node.now += after;
    let end = node.timer(token);
    assert!(matches!(end[..], [Action::Reject { .. }]), "{end:?}");
    assert!(node.now < 200 * 50_000 + 150_000);
}
