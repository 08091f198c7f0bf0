//! Runs the simulation of the members with many seeds; the tests run it with only a few:
//!
//!     cargo run --release -p stonefold-store --example simulate -- FIRST COUNT MEMBERS

#[path = "../tests/sim/mod.rs"]
mod sim;
mod support;

use std::process::exit;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use sim::{InjectedBug, run};

fn main() {
    let mut numbers = support::number_args::<u64>().expect("arguments must be numbers").into_iter();
    let (first, count) = (numbers.next().unwrap_or(0), numbers.next().unwrap_or(1_000));
    let members = numbers.next().unwrap_or(3);
    let [operations, kills, failed] = [0; 3].map(AtomicU64::new);
    let workers = thread::available_parallelism().map_or(2, |cores| cores.get());
    support::run_seeds(first..first + count, workers, |seed| {
        let report = run(seed, members, InjectedBug::None);
        operations.fetch_add(report.answered as u64, Ordering::Relaxed);
        kills.fetch_add(report.kills, Ordering::Relaxed);
        if let Err(violation) = report.verdict {
            failed.fetch_add(1, Ordering::Relaxed);
            println!("seed {seed}: {violation}");
        }
    });
    println!(
        "{count} seeds of {members} members: {} operations answered, {} members killed, {} seeds failed",
        operations.into_inner(),
        kills.into_inner(),
        failed.load(Ordering::Relaxed)
    );
    exit(i32::from(failed.into_inner() > 0));
}
