//! Tests of the event schedule: it is determined by its seed, and its events stay within their bounds.

use std::time::Duration;

use stonefold_soak::schedule::{Action, LONGEST_STALL, NodeSignal, TimedSignal, has_idle_clients, schedule};

const UNTIL: Duration = Duration::from_secs(60);

#[test]
fn a_seed_determines_events_that_overlap_and_stay_within_bounds() {
    let events = schedule(7, 12, UNTIL);
    assert_eq!(events, schedule(7, 12, UNTIL));
    assert_ne!(events, schedule(8, 12, UNTIL));
    assert!(events.windows(2).all(|pair| pair[0].at <= pair[1].at));
    assert!(events.iter().all(|event| event.at < UNTIL && event.node < 12));
    let stalls = events.iter().filter_map(|event| match event.action {
        Action::Stall(lasts) => Some(lasts),
        _ => None,
    });
    assert!(stalls.clone().count() > 20);
    assert!(stalls.max().unwrap() <= LONGEST_STALL);
    let calls = events.iter().filter_map(|event| match event.action {
        Action::Calls { lasts, .. } => Some((event.at, event.at + lasts)),
        _ => None,
    });
    let calls: Vec<_> = calls.collect();
    assert!(calls.windows(2).any(|pair| pair[1].0 < pair[0].1), "no system call faults overlap");
}

/// Guards against signals that only come one at a time: a shutdown or reload must also be interrupted by the other, and
/// by another of its kind.
#[test]
fn each_pair_of_signals_comes_both_close_together_and_apart() {
    let events = schedule(7, 12, UNTIL);
    let pairs: Vec<[TimedSignal; 2]> = events
        .iter()
        .filter_map(|event| match &event.action {
            Action::Signals(series) => Some(series),
            _ => None,
        })
        .flat_map(|series| series.windows(2).map(|pair| [pair[0], pair[1]]))
        .collect();
    let close = Duration::from_millis(30);
    for orders in [
        [NodeSignal::Reload, NodeSignal::Terminate],
        [NodeSignal::Terminate, NodeSignal::Reload],
        [NodeSignal::Terminate, NodeSignal::Terminate],
        [NodeSignal::Reload, NodeSignal::Reload],
    ] {
        let of_orders = pairs.iter().filter(|pair| pair.map(|signal| signal.order) == orders);
        let gaps: Vec<Duration> = of_orders.map(|[first, second]| second.after - first.after).collect();
        let (near, far): (Vec<Duration>, Vec<Duration>) = gaps.into_iter().partition(|gap| *gap < close);
        assert!(!near.is_empty() && !far.is_empty(), "{orders:?}: {near:?} {far:?}");
    }
}

/// Guards against all runs having idle clients, or none.
#[test]
fn some_runs_have_idle_clients_and_some_have_none() {
    let count = (0..50).filter(|seed| has_idle_clients(*seed)).count();
    assert!((10..40).contains(&count), "{count} of 50");
}
