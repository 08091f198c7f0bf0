//! Extra attempts of late reads: hedged requests and retries.

mod common;
use common::*;
use stonefold_balancer::*;

#[test]
fn a_late_read_is_hedged_and_the_unanswered_attempt_cancelled() {
    // The hedged request goes to another cache, which is idle.
    let mut node = Node::new(settings(CacheMode::Through), 6);
    node.serve_many();
    let actions = node.read(1000, "k1");
    let first = sent_to(&actions).unwrap();
    let (after, token) = first_timer(&actions).expect("a timer for the hedged request");
    node.now += after;
    let second = sent_to(&node.timer(token)).expect("a hedged request");
    assert_ne!(second, first);
    let served = node.finish(1000, 1, Outcome::Success, 40_000);
    assert_eq!(cancelled_attempts(&served), [0], "the first attempt is cancelled");
}

#[test]
fn a_response_that_has_begun_cancels_the_other_attempt_and_is_not_cut_off() {
    let mut node = Node::new(settings(CacheMode::Through), 6);
    node.serve_many();
    let (after, token) = first_timer(&node.read(1000, "k1")).expect("a timer for the hedged request");
    node.now += after;
    sent_to(&node.timer(token)).expect("a hedged request");
    let started = node.handle(Event::ResponseStarted(AttemptId::new(RequestId(1000), 0)));
    assert_eq!(cancelled_attempts(&started), [1], "the other attempt is cancelled");
    node.now += 2 * SECOND;
    assert!(
        node.timer(token).is_empty(),
        "a response that has begun is not cut off, however slowly the client reads it"
    );
}

#[test]
fn hedged_requests_stay_within_their_budget() {
    let mut node = Node::new(settings(CacheMode::Through), 6);
    node.serve_many();
    let mut hedged = 0;
    for n in 1000..1200 {
        let actions = node.read(n, &format!("k{}", n - 1000));
        // No timer is set once answers usually take so long that a hedged request would miss the deadline.
        let Some((after, token)) = first_timer(&actions) else {
            node.finish(n, 0, Outcome::Success, 50_000);
            continue;
        };
        node.now += after;
        hedged += usize::from(sent_to(&node.timer(token)).is_some());
        node.finish(n, 0, Outcome::Success, after);
    }
    assert!((1..=30).contains(&hedged), "at most a tenth of 200 reads and a full budget of 10: {hedged}");
}

#[test]
fn hedging_and_cancelling_can_be_disabled() {
    let mut settings = settings(CacheMode::Through);
    (settings.hedging, settings.cancellation) = (false, false);
    let mut node = Node::new(settings, 6);
    let actions = node.read(1, "k");
    node.now += 900_000;
    if let Some((_, token)) = first_timer(&actions) {
        assert_eq!(sent_to(&node.timer(token)), None);
    }
    assert!(cancelled_attempts(&node.handle(Event::ClientDisconnected(RequestId(1)))).is_empty());
}

#[test]
fn a_miss_does_not_end_a_read_while_its_hedged_request_is_in_flight() {
    let mut node = Node::new(settings(CacheMode::Aside), 6);
    node.serve_many();
    let (after, token) = first_timer(&node.read(1000, "k1")).unwrap();
    node.now += after;
    assert!(sent_to(&node.timer(token)).is_some_and(|server| server != ServerId(99)));
    assert_eq!(
        sent_to(&node.finish(1000, 0, Outcome::CacheMiss, after)),
        None,
        "the hedged request may still be answered"
    );
    assert_eq!(sent_to(&node.finish(1000, 1, Outcome::CacheMiss, 10_000)), Some(ServerId(99)), "both missed");
}

#[test]
fn writes_are_not_hedged() {
    let mut aside = Node::new(settings(CacheMode::Aside), 6);
    assert_eq!(
        sent_to(&aside.request(1, "k", 1, true)),
        Some(ServerId(99)),
        "in cache-aside mode a write goes to the origin"
    );
    let mut through = Node::new(settings(CacheMode::Through), 6);
    let actions = through.request(1, "k", 1, true);
    assert!(sent_to(&actions).is_some());
    through.now += 500_000;
    let later = first_timer(&actions).map(|(_, token)| through.timer(token)).unwrap_or_default();
    assert_eq!(sent_to(&later), None, "a write is not hedged");
}

/// Runs the timers of a read whose attempt stays in flight. Returns after how long a second attempt was sent,
/// if any, and the number of timers until then.
fn run_timers_until_second_attempt(node: &mut Node, actions: Vec<Action>) -> (Option<Micros>, usize) {
    let (start, mut next) = (node.now, first_timer(&actions));
    for timers in 1..100 {
        let Some((after, token)) = next else { return (None, timers) };
        node.now += after;
        let actions = node.timer(token);
        if sent_to(&actions).is_some() {
            return (Some(node.now - start), timers);
        }
        next = first_timer(&actions);
    }
    panic!("the timer is set again without end");
}

#[test]
fn under_overload_a_read_at_a_silent_cache_is_retried_but_not_hedged() {
    // Hedged requests must not add to an overload, and a read must not fail because one cache is silent.
    let mut uncongested = Node::new(settings(CacheMode::Through), 6);
    uncongested.serve_many();
    let actions = uncongested.read(2000, "k1");
    let hedged_after =
        run_timers_until_second_attempt(&mut uncongested, actions).0.expect("a hedged request");
    let mut overloaded = Node::new(settings(CacheMode::Through), 6);
    overloaded.serve_many();
    for id in 1000..1003 {
        overloaded.read(id, &format!("k{id}"));
        overloaded.finish(id, 0, Outcome::ServerError, 1_000);
        overloaded.handle(Event::ClientDisconnected(RequestId(id)));
    }
    let actions = overloaded.read(2000, "k1");
    let retried_after = run_timers_until_second_attempt(&mut overloaded, actions).0.expect("a retry");
    assert!(retried_after > hedged_after, "retried after {retried_after} us, hedged after {hedged_after} us");
}

#[test]
fn the_timer_of_a_late_read_is_not_set_again_without_end() {
    let mut node = Node::new(settings(CacheMode::Through), 1);
    node.serve_many();
    let actions = node.read(2000, "k1");
    let (sent_after, timers) = run_timers_until_second_attempt(&mut node, actions);
    assert_eq!(sent_after, None, "there is no other cache");
    assert!(timers < 50, "{timers} timers");
}
