//! Many seeds of the simulation that the tests run few of:
//!
//!     cargo run --release -p stonefold-store --example simulate -- FIRST COUNT MEMBERS

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use sim::{Broken, run};

fn main() {
    let mut numbers = std::env::args().skip(1).map(|word| word.parse().expect("a number"));
    let (first, count, members) =
        (numbers.next().unwrap_or(0), numbers.next().unwrap_or(1_000), numbers.next().unwrap_or(3));
    let [next, ops, kills, wrong] = [first, 0, 0, 0].map(AtomicU64::new);
    let workers = thread::available_parallelism().map_or(2, |cores| cores.get());
    thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    let report = run(seed, members, Broken::Nothing);
                    ops.fetch_add(report.answered as u64, Ordering::Relaxed);
                    kills.fetch_add(report.kills, Ordering::Relaxed);
                    if let Err(what) = report.verdict {
                        wrong.fetch_add(1, Ordering::Relaxed);
                        println!("seed {seed}: {what}");
                    }
                }
            });
        }
    });
    println!(
        "{count} seeds of {members} members: {} operations answered, {} members killed, {} seeds wrong",
        ops.into_inner(),
        kills.into_inner(),
        wrong.load(Ordering::Relaxed)
    );
    std::process::exit(i32::from(wrong.into_inner() > 0));
}
