//! What several examples have in common.
#![allow(dead_code)] // each example uses a part of it

use std::fs;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Any error; it ends an example.
pub(crate) type Failure = Box<dyn std::error::Error + Send + Sync>;

/// The kernel's clock ticks in a second.
const TICKS_PER_SECOND: f64 = 100.0;
/// Where user time is in `/proc/self/stat`, counted from the field after the program's name. System time is next.
const USER_TIME_FIELD: usize = 11;

/// The numbers on the command line.
pub(crate) fn number_args<T: std::str::FromStr>() -> Result<Vec<T>, T::Err> {
    std::env::args().skip(1).map(|argument| argument.parse()).collect()
}

/// Runs `run` with each seed, on some threads.
pub(crate) fn run_seeds(seeds: Range<u64>, threads: usize, run: impl Fn(u64) + Sync) {
    let next = AtomicU64::new(seeds.start);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    run(seed);
                }
            });
        }
    });
}

/// The processor time of this process so far, in seconds.
pub(crate) fn cpu_seconds() -> Result<f64, Failure> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |field: usize| fields.get(field).ok_or("stat")?.parse::<u64>().map_err(Failure::from);
    Ok((ticks(USER_TIME_FIELD)? + ticks(USER_TIME_FIELD + 1)?) as f64 / TICKS_PER_SECOND)
}

/// The resident memory of this process, in KiB.
pub(crate) fn resident_kib() -> Result<u64, Failure> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find(|line| line.starts_with("VmRSS")).ok_or("status")?;
    Ok(line.split_whitespace().nth(1).ok_or("status")?.parse()?)
}
