//! Simulations of the distribution to subscribers in virtual time; see `feed_sim`. A thousand seeds are run by
//! `cargo run --release --example feed_simulate`.

mod feed_sim;

use std::thread;

use feed_sim::{InjectedBug, run};

#[test]
fn no_change_is_skipped_or_reverted_and_without_faults_all_arrive_in_time() {
    let run_worker = |worker: u64| {
        (worker..50).step_by(4).fold((0, 0), |(kills, disconnected), seed| {
            let report = run(seed, InjectedBug::None);
            assert_eq!(report.verdict, Ok(()), "seed {seed}");
            (kills + report.kills, disconnected + report.disconnected)
        })
    };
    let counts: Vec<(u64, u64)> = thread::scope(|scope| {
        let runs: Vec<_> = (0..4).map(|worker| scope.spawn(move || run_worker(worker))).collect();
        runs.into_iter().map(|run| run.join().unwrap()).collect()
    });
    let (kills, disconnected) =
        counts.into_iter().fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    assert!(
        kills > 200 && disconnected > 5,
        "{kills} kills, {disconnected} slow subscribers disconnected: too few faults"
    );
}

#[test]
fn the_checker_detects_a_lost_record_a_lost_purge_and_an_older_version() {
    for (bug, expected) in [
        (InjectedBug::OmittedRecord, "skipped"),
        (InjectedBug::DroppedPurge, "comes after"),
        (InjectedBug::LostSavedState, "went back"),
    ] {
        let found = (0..50)
            .find_map(|seed| run(seed, bug).verdict.err().filter(|violation| violation.contains(expected)));
        assert!(found.is_some(), "{bug:?} is detected with none of 50 seeds");
    }
}
