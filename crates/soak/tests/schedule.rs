//! The schedule is a function of its seed.

use std::time::Duration;

use stonefold_soak::schedule::{Action, LONGEST_STALL, schedule};

const UNTIL: Duration = Duration::from_secs(60);

#[test]
fn a_seed_gives_the_same_events_which_overlap_and_stay_within_the_rules() {
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
    assert!(calls.windows(2).any(|pair| pair[1].0 < pair[0].1), "none overlap");
}
