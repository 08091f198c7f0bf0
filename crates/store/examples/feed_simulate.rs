//! Many seeds of the simulation of distribution that the tests run few of:
//!
//!     cargo run --release -p stonefold-store --example feed_simulate -- FIRST COUNT [WORKERS]

#[path = "../tests/feed_sim/mod.rs"]
mod feed_sim;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use feed_sim::{Broken, run};

fn main() {
    let mut numbers = std::env::args().skip(1).map(|word| word.parse().expect("a number"));
    let (first, count, workers) =
        (numbers.next().unwrap_or(0), numbers.next().unwrap_or(1_000), numbers.next().unwrap_or(2));
    let [next, changes, purges, kills, cut, wrong] = [first, 0, 0, 0, 0, 0].map(AtomicU64::new);
    thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    let report = run(seed, Broken::Nothing);
                    changes.fetch_add(report.changes as u64, Ordering::Relaxed);
                    purges.fetch_add(report.purges, Ordering::Relaxed);
                    kills.fetch_add(report.kills, Ordering::Relaxed);
                    cut.fetch_add(report.cut, Ordering::Relaxed);
                    if let Err(what) = report.verdict {
                        wrong.fetch_add(1, Ordering::Relaxed);
                        println!("seed {seed}: {what}");
                    }
                }
            });
        }
    });
    println!(
        "{count} seeds: {} changes, {} of them purges, {} kills, {} slow subscribers cut, {} seeds wrong",
        changes.into_inner(),
        purges.into_inner(),
        kills.into_inner(),
        cut.into_inner(),
        wrong.load(Ordering::Relaxed)
    );
    std::process::exit(i32::from(wrong.into_inner() > 0));
}
