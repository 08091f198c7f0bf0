//! Tests the backoff, wait and timeout that [`PollSchedule`] gives to polls, without any I/O.

use std::time::Duration;

use crate::discovery::poll_schedule::{Poll, PollOutcome, PollSchedule};
use crate::message::DiscoverySettings;

const SECOND: Duration = Duration::from_secs(1);

fn pushed(nodes: usize) -> DiscoverySettings {
    DiscoverySettings { watch: false, max_poll_interval: 10 * SECOND, node_count: nodes }
}

fn next(schedule: &PollSchedule, settings: DiscoverySettings, seed: u64) -> Poll {
    schedule.next(settings, &mut fastrand::Rng::with_seed(seed))
}

/// A schedule after the given number of polls, each rejected without delay.
fn rejected(times: u32, settings: DiscoverySettings) -> PollSchedule {
    let mut schedule = PollSchedule::new(false);
    (0..times)
        .for_each(|_| schedule.on_end(next(&schedule, settings, 0), PollOutcome::Rejected, Duration::ZERO));
    schedule
}

#[test]
fn a_watch_of_a_pushed_list_waits_two_seconds_in_a_fleet_of_any_size() {
    let waits = [1, 8, 48, 900, 100_000].map(|nodes| next(&PollSchedule::new(false), pushed(nodes), 1).wait);
    assert_eq!(waits, [2 * SECOND; 5]);
}

#[test]
fn a_watch_waits_longer_up_to_a_bound_while_discovery_is_overloaded() {
    let mut schedule = PollSchedule::new(false);
    let mut wait_after_answer = |late: Duration| {
        let poll = next(&schedule, pushed(300), 1);
        schedule.on_end(poll, PollOutcome::Answered, poll.wait + late);
        next(&schedule, pushed(300), 1).wait
    };
    let waits_while_overloaded: Vec<u64> = (0..5).map(|_| wait_after_answer(SECOND).as_secs()).collect();
    assert_eq!(waits_while_overloaded, [4, 8, 16, 20, 20]);
    assert_eq!((0..20).map(|_| wait_after_answer(Duration::ZERO)).last(), Some(2 * SECOND));
    let after_rejection = next(&rejected(1, pushed(300)), pushed(300), 1);
    assert_eq!(after_rejection.wait, 4 * SECOND);
}

#[test]
fn a_watch_of_a_shared_discovery_waits_longer_than_the_poll_interval_with_jitter() {
    for (interval_ms, shortest) in [(0, 1_000), (3_000, 3_000), (10_000, 10_000), (60_000, 10_000)] {
        let shared = DiscoverySettings {
            watch: true,
            max_poll_interval: Duration::from_millis(interval_ms),
            node_count: 6,
        };
        let wait = |seed| next(&PollSchedule::new(false), shared, seed).wait.as_millis();
        let mut waits: Vec<u128> = (0..100).map(wait).collect();
        waits.sort();
        assert!(waits[0] >= shortest && waits[99] <= 2 * shortest, "{interval_ms}: {waits:?}");
        assert!(waits[90] - waits[10] > shortest / 2, "spread: {waits:?}");
    }
}

#[test]
fn nodes_rejected_together_retry_with_growing_and_spread_out_backoffs() {
    let backoffs = |failed, nodes| {
        let backoff = |seed| next(&rejected(failed, pushed(nodes)), pushed(nodes), seed).backoff;
        let mut all: Vec<Duration> = (0..100).map(backoff).collect();
        all.sort();
        all
    };
    let (first, later, many) = (backoffs(1, 4), backoffs(4, 4), backoffs(1, 48));
    assert!(first[99] <= SECOND * 6 / 10 && later[99] <= 3 * SECOND + SECOND / 2);
    assert!(later[50] > first[99], "later: {:?}", later[50]);
    assert!(many[50] > 3 * first[50], "more nodes have longer backoffs: {:?}", many[50]);
    assert!(later[10] < later[99] / 4 && later[90] > later[99] / 2, "spread over the whole range");
    assert!(backoffs(u32::MAX >> 22, 100_000)[99] <= 3 * SECOND + SECOND / 2);
}

#[test]
fn after_an_answer_a_watch_opens_at_once_despite_earlier_rejections() {
    for settings in [pushed(300), DiscoverySettings { watch: true, ..pushed(300) }] {
        for (times, took) in [(0, SECOND), (1, Duration::from_millis(5)), (4, 2 * SECOND)] {
            let mut schedule = rejected(times, settings);
            let poll = next(&schedule, settings, 7);
            schedule.on_end(poll, PollOutcome::Answered, took);
            let watch = next(&schedule, settings, 7);
            assert!(watch.backoff.is_zero() && !watch.wait.is_zero(), "{watch:?}");
        }
    }
}

#[test]
fn after_a_new_address_or_a_silence_polls_are_immediate_until_one_is_answered() {
    let shared = DiscoverySettings { watch: true, ..pushed(300) };
    let (mut moved, mut silent) = (PollSchedule::new(false), PollSchedule::new(false));
    moved.on_new_address();
    silent.on_end(next(&silent, shared, 1), PollOutcome::TimedOut, 11 * SECOND);
    for mut schedule in [moved, silent] {
        schedule.on_end(next(&schedule, shared, 1), PollOutcome::Rejected, Duration::ZERO);
        let poll = next(&schedule, shared, 1);
        assert!(poll.wait.is_zero() && poll.backoff < SECOND, "{poll:?}");
        schedule.on_end(poll, PollOutcome::Answered, 2 * SECOND);
        assert!(next(&schedule, shared, 1).backoff.is_zero());
    }
}

/// For any outcome of polls and any random numbers, less than 6 s pass from the start of a failed poll to the end of
/// the next one, unless the first was a watch, which may have been open for long.
#[test]
fn a_failed_poll_and_the_next_one_take_less_than_six_seconds_together() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = DiscoverySettings {
            watch: rng.bool(),
            max_poll_interval: 10 * SECOND,
            node_count: [4, 30, 300, 900][rng.usize(..4)],
        };
        let mut schedule = PollSchedule::new(rng.bool());
        for _ in 0..20 {
            let poll = schedule.next(settings, &mut rng);
            let outcome = [PollOutcome::Rejected, PollOutcome::Broken, PollOutcome::TimedOut][rng.usize(..3)];
            let took = if rng.bool() { poll.overdue_after } else { poll.overdue_after.mul_f64(rng.f64()) };
            schedule.on_end(poll, outcome, took);
            let again = schedule.next(settings, &mut rng);
            if outcome == PollOutcome::TimedOut {
                assert!(again.wait.is_zero(), "a poll after a timeout must not wait for changes");
            }
            let next = Duration::from_millis(2_200); // connect, queueing and answer
            assert!(again.overdue_after >= next || !again.wait.is_zero(), "{again:?}");
            let spent = if poll.wait.is_zero() { took } else { Duration::ZERO };
            assert!(
                spent + again.backoff + next <= Duration::from_millis(5_700),
                "{poll:?} {outcome:?} {again:?}"
            );
        }
    }
}
