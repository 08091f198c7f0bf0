//! Every request is answered in time, whatever the input.

mod common;
use common::*;
use stonefold_balancer::*;

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once() {
    let mut node = Node::new(settings(CacheMode::Through), 4);
    node.read(1, "k");
    node.now += SECOND;
    assert!(is_answered(&node.finish(1, 0, Outcome::TimedOut, SECOND)));
}

#[test]
fn a_request_that_the_origin_rejected_is_answered_in_time() {
    // A backoff must not last beyond the deadline of the request.
    let mut node = Node::new(settings(CacheMode::Aside), 4);
    node.read(1, "k");
    node.finish(1, 0, Outcome::CacheMiss, 5_000);
    node.now += SECOND - 40_000;
    let after_failure = node.finish(1, 1, Outcome::ConnectFailed, 150_000);
    if !is_answered(&after_failure) {
        let (after, token) = first_timer(&after_failure).expect("a timer for the backoff");
        assert!(after <= 40_000);
        node.now += after;
        assert!(is_answered(&node.timer(token)));
    }
}

#[test]
fn nothing_is_sent_after_the_final_answer() {
    let mut node = Node::new(settings(CacheMode::Through), 4);
    let actions = node.read(1, "k");
    node.handle(Event::ClientDisconnected(RequestId(1)));
    node.now += 300_000;
    let later = first_timer(&actions).map(|(_, token)| node.timer(token)).unwrap_or_default();
    assert!(later.is_empty());
    let late_outcome = node.finish(1, 0, Outcome::ConnectFailed, 300_000);
    assert!(sent_to(&late_outcome).is_none() && !is_answered(&late_outcome), "{late_outcome:?}");
    assert!(node.finish(1, 0, Outcome::ConnectFailed, 300_000).is_empty(), "a second outcome is ignored");
    assert!(node.handle(Event::ClientDisconnected(RequestId(1))).is_empty(), "the id is no longer known");
}

#[test]
fn an_empty_endpoint_list_gives_a_timely_answer() {
    let mut through = Node::new(settings(CacheMode::Through), 0);
    assert!(is_answered(&through.read(1, "k")));
    let mut aside = Node::new(settings(CacheMode::Aside), 0);
    assert_eq!(sent_to(&aside.read(1, "k")), Some(ServerId(99)), "the origin serves reads without any cache");
}

#[test]
fn extreme_but_legal_values_are_handled() {
    let mut node = Node::new(settings(CacheMode::Through), 0);
    node.now = u64::MAX / 4;
    let weights = [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1e-300];
    let mut endpoints: Vec<Endpoint> =
        (1..).zip(weights).map(|(id, weight)| Endpoint { weight, ..Endpoint::up(ServerId(id)) }).collect();
    endpoints.push(Endpoint { started_at: Some(u64::MAX), ..Endpoint::up(ServerId(1)) });
    node.update_endpoints(EndpointUpdate::Full, endpoints);
    for (id, timeout) in [(1, 0), (2, 1), (3, u64::MAX)] {
        let actions = node.handle(Event::Request(Request { timeout, ..Request::new(RequestId(id)) }));
        assert!(sent_to(&actions).is_some() || is_answered(&actions), "timeout {timeout}");
    }
    let many = (1..=5_000).map(|id| Endpoint::up(ServerId(id))).collect();
    node.update_endpoints(EndpointUpdate::Full, many);
    assert!(sent_to(&node.read(10, "k")).is_some());
}

#[test]
fn nothing_is_sent_without_time_for_an_answer() {
    // Under overload, capacity must not be spent on reads that would time out before they are served.
    let mut node = Node::new(settings(CacheMode::Through), 4);
    for id in 0..400 {
        node.serve(id, &format!("k{}", id % 50), 100_000);
    }
    let short = Request { class: Some(0), timeout: 60_000, ..Request::new(RequestId(1000)) };
    let actions = node.handle(Event::Request(short.clone()));
    assert!(is_answered(&actions) && sent_to(&actions).is_none(), "{actions:?}");
    let ample = Request { id: RequestId(1001), timeout: 600_000, ..short };
    assert!(sent_to(&node.handle(Event::Request(ample))).is_some());
}

#[test]
fn unknown_ids_and_a_clock_that_goes_back_are_harmless() {
    let mut node = Node::new(settings(CacheMode::Through), 4);
    assert!(node.finish(7, 0, Outcome::Success, 1_000).is_empty(), "an unknown request");
    assert!(node.timer(TimerToken(7)).is_empty(), "an unknown timer");
    assert!(node.handle(Event::ResponseStarted(AttemptId::new(RequestId(7), 0))).is_empty());
    assert!(node.handle(Event::ClientDisconnected(RequestId(7))).is_empty());
    assert!(sent_to(&node.read(7, "k")).is_some());
    assert!(node.read(7, "other").is_empty(), "an id that is still in use");
    assert!(node.finish(7, 3, Outcome::Success, 1_000).is_empty(), "an unknown attempt");
    // A clock that goes back is treated like one that stands still.
    node.now = SECOND;
    node.read(8, "k");
    node.now = 0;
    assert!(sent_to(&node.read(9, "k")).is_some());
}

#[test]
fn a_read_is_sent_only_if_about_the_usual_response_time_is_left() {
    let mut node = Node::new(settings(CacheMode::Aside), 3);
    node.serve_many(); // each in 50 ms, which becomes the usual response time
    for (id, timeout, is_sent) in [(900, 60_000, true), (901, 20_000, false)] {
        let request =
            Request { class: Some(0), key: Some("k".into()), timeout, ..Request::new(RequestId(id)) };
        let actions = node.handle(Event::Request(request));
        assert_eq!(sent_to(&actions).is_some(), is_sent, "time limit of {timeout} us");
        assert_eq!(is_answered(&actions), !is_sent, "time limit of {timeout} us");
    }
}
