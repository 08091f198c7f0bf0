//! The plan alone: how long a node pauses, waits and lets a call take.

use std::time::Duration;

use crate::discovery::pace::{Call, End, Pace};
use crate::message::DiscoverySettings;

const SECOND: Duration = Duration::from_secs(1);

fn pushed(nodes: usize) -> DiscoverySettings {
    DiscoverySettings { watch: false, max_poll_interval: 10 * SECOND, node_count: nodes }
}

fn next(pace: &Pace, following: DiscoverySettings, seed: u64) -> Call {
    pace.next(following, &mut fastrand::Rng::with_seed(seed))
}

/// A plan after so many calls that were refused at once.
fn refused(times: u32, following: DiscoverySettings) -> Pace {
    let mut pace = Pace::new(false);
    (0..times).for_each(|_| pace.ended(next(&pace, following, 0), End::Refused, Duration::ZERO));
    pace
}

#[test]
fn where_lists_are_pushed_a_watch_waits_for_two_seconds_in_a_fleet_of_any_size() {
    let waits = [1, 8, 48, 900, 100_000].map(|nodes| next(&Pace::new(false), pushed(nodes), 1).wait);
    assert_eq!(waits, [2 * SECOND; 5]);
}

#[test]
fn a_watch_waits_longer_where_a_discovery_that_pushes_is_crowded_up_to_a_bound_and_only_as_long() {
    let mut pace = Pace::new(false);
    let mut answered = |late: Duration| {
        let call = next(&pace, pushed(300), 1);
        pace.ended(call, End::Answered, call.wait + late);
        next(&pace, pushed(300), 1).wait
    };
    let crowded: Vec<u64> = (0..5).map(|_| answered(SECOND).as_secs()).collect();
    assert_eq!(crowded, [4, 8, 16, 20, 20]);
    assert_eq!((0..20).map(|_| answered(Duration::ZERO)).last(), Some(2 * SECOND));
    let refused = next(&refused(1, pushed(300)), pushed(300), 1);
    assert_eq!(refused.wait, 4 * SECOND);
}

#[test]
fn where_lists_are_asked_for_a_watch_waits_for_longer_than_the_time_for_asking_and_each_for_its_own() {
    for (ask_in, least) in [(0, 1_000), (3_000, 3_000), (10_000, 10_000), (60_000, 10_000)] {
        let asking = DiscoverySettings {
            watch: true,
            max_poll_interval: Duration::from_millis(ask_in),
            node_count: 6,
        };
        let wait = |seed| next(&Pace::new(false), asking, seed).wait.as_millis();
        let mut waits: Vec<u128> = (0..100).map(wait).collect();
        waits.sort();
        assert!(waits[0] >= least && waits[99] <= 2 * least, "{ask_in}: {waits:?}");
        assert!(waits[90] - waits[10] > least / 2, "spread: {waits:?}");
    }
}

#[test]
fn nodes_that_were_turned_away_together_come_back_apart_and_ever_later() {
    let pauses = |failed, nodes| {
        let of = |seed| next(&refused(failed, pushed(nodes)), pushed(nodes), seed).pause;
        let mut all: Vec<Duration> = (0..100).map(of).collect();
        all.sort();
        all
    };
    let (first, later, many) = (pauses(1, 4), pauses(4, 4), pauses(1, 48));
    assert!(first[99] <= SECOND * 6 / 10 && later[99] <= 3 * SECOND + SECOND / 2);
    assert!(later[50] > first[99], "later: {:?}", later[50]);
    assert!(many[50] > 3 * first[50], "more nodes call more rarely: {:?}", many[50]);
    assert!(later[10] < later[99] / 4 && later[90] > later[99] / 2, "spread over all of the time");
    assert!(pauses(u32::MAX >> 22, 100_000)[99] <= 3 * SECOND + SECOND / 2);
}

/// Put off for up to 3 s after an answer, the watches of 300 nodes stood in a queue with those that go on.
#[test]
fn a_watch_is_opened_at_once_after_an_answer_however_often_the_calls_before_it_were_turned_away() {
    for following in [pushed(300), DiscoverySettings { watch: true, ..pushed(300) }] {
        for (times, took) in [(0, SECOND), (1, Duration::from_millis(5)), (4, 2 * SECOND)] {
            let mut pace = refused(times, following);
            let call = next(&pace, following, 7);
            pace.ended(call, End::Answered, took);
            let watch = next(&pace, following, 7);
            assert!(watch.pause.is_zero() && !watch.wait.is_zero(), "{watch:?}");
        }
    }
}

#[test]
fn where_discovery_has_moved_or_was_silent_nothing_is_waited_for_after_the_answer() {
    let asking = DiscoverySettings { watch: true, ..pushed(300) };
    let (mut moved, mut silent) = (Pace::new(false), Pace::new(false));
    moved.moved();
    silent.ended(next(&silent, asking, 1), End::Silent, 11 * SECOND);
    for mut pace in [moved, silent] {
        pace.ended(next(&pace, asking, 1), End::Refused, Duration::ZERO);
        let call = next(&pace, asking, 1);
        assert!(call.wait.is_zero() && call.pause < SECOND, "{call:?}");
        pace.ended(call, End::Answered, 2 * SECOND);
        assert!(next(&pace, asking, 1).pause.is_zero());
    }
}

/// However calls end, and whatever the random numbers: from the begin of a call that fails to the end of the next one
/// less than 6 s pass, unless the first was a watch that was open for long.
#[test]
fn a_failed_call_and_the_next_one_take_less_than_six_seconds_together() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let following = DiscoverySettings {
            watch: rng.bool(),
            max_poll_interval: 10 * SECOND,
            node_count: [4, 30, 300, 900][rng.usize(..4)],
        };
        let mut pace = Pace::new(rng.bool());
        for _ in 0..20 {
            let call = pace.next(following, &mut rng);
            let end = [End::Refused, End::Broken, End::Silent][rng.usize(..3)];
            let took = if rng.bool() { call.limit } else { call.limit.mul_f64(rng.f64()) };
            pace.ended(call, end, took);
            let again = pace.next(following, &mut rng);
            if end == End::Silent {
                assert!(again.wait.is_zero(), "what may have fallen silent twice is seen at once");
            }
            let next = Duration::from_millis(2_200); // connect, queue and answer
            assert!(again.limit >= next || !again.wait.is_zero(), "{again:?}");
            let held = if call.wait.is_zero() { took } else { Duration::ZERO };
            assert!(held + again.pause + next <= Duration::from_millis(5_700), "{call:?} {end:?} {again:?}");
        }
    }
}
