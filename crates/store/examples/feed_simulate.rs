//! Runs the simulation of the distribution to subscribers with many seeds; the tests run it with only a few:
//!
//!     cargo run --release -p stonefold-store --example feed_simulate -- FIRST COUNT [WORKERS]

#[path = "../tests/feed_sim/mod.rs"]
mod feed_sim;
mod support;

use std::process::exit;
use std::sync::atomic::{AtomicU64, Ordering};

use feed_sim::{InjectedBug, run};

fn main() {
    let mut numbers = support::number_args::<u64>().expect("arguments must be numbers").into_iter();
    let (first, count) = (numbers.next().unwrap_or(0), numbers.next().unwrap_or(1_000));
    let workers = numbers.next().unwrap_or(2) as usize;
    let [changes, purges, kills, disconnected, failed] = [0; 5].map(AtomicU64::new);
    support::run_seeds(first..first + count, workers, |seed| {
        let report = run(seed, InjectedBug::None);
        changes.fetch_add(report.changes as u64, Ordering::Relaxed);
        purges.fetch_add(report.purges, Ordering::Relaxed);
        kills.fetch_add(report.kills, Ordering::Relaxed);
        disconnected.fetch_add(report.disconnected, Ordering::Relaxed);
        if let Err(violation) = report.verdict {
            failed.fetch_add(1, Ordering::Relaxed);
            println!("seed {seed}: {violation}");
        }
    });
    println!(
        "{count} seeds: {} changes, {} of them purges, {} kills, {} slow subscribers disconnected, {} seeds failed",
        changes.into_inner(),
        purges.into_inner(),
        kills.into_inner(),
        disconnected.into_inner(),
        failed.load(Ordering::Relaxed)
    );
    exit(i32::from(failed.into_inner() > 0));
}
