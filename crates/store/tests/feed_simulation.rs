//! Distribution in virtual time; see `feed_sim`. A thousand seeds: `cargo run --release --example feed_simulate`.

mod feed_sim;

use std::thread;

use feed_sim::{Broken, run};

#[test]
fn no_change_is_skipped_or_reverted_and_a_calm_network_is_timely() {
    let of = |worker: u64| {
        (worker..50).step_by(4).fold((0, 0), |(kills, disconnected), seed| {
            let report = run(seed, Broken::Nothing);
            assert_eq!(report.verdict, Ok(()), "seed {seed}");
            (kills + report.kills, disconnected + report.disconnected)
        })
    };
    let all: Vec<(u64, u64)> = thread::scope(|scope| {
        let runs: Vec<_> = (0..4).map(|worker| scope.spawn(move || of(worker))).collect();
        runs.into_iter().map(|run| run.join().unwrap()).collect()
    });
    let (kills, disconnected) = all.into_iter().fold((0, 0), |sum, of| (sum.0 + of.0, sum.1 + of.1));
    assert!(
        kills > 200 && disconnected > 5,
        "{kills} kills, {disconnected} slow subscribers disconnected: too few faults"
    );
}

#[test]
fn the_checker_detects_a_lost_record_a_lost_purge_and_a_step_back() {
    for (broken, what) in
        [(Broken::Record, "skipped"), (Broken::Purge, "comes after"), (Broken::Disk, "a step back")]
    {
        let found = (0..50)
            .find_map(|seed| run(seed, broken).verdict.err().filter(|violation| violation.contains(what)));
        assert!(found.is_some(), "{broken:?} shows in none of 50 seeds");
    }
}
