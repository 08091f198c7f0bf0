//! Helpers that the examples share.
#![allow(dead_code)] // each example uses only some of them

use std::fs;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Any error. It ends the example.
pub(crate) type ExampleError = Box<dyn std::error::Error + Send + Sync>;

/// The number of the kernel's clock ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;
/// The index of the user time in `/proc/self/stat`, counted from the field after the program's name. The system time is
/// the next field.
const USER_TIME_FIELD: usize = 11;

/// Parses the command line's arguments as numbers.
pub(crate) fn number_args<T: std::str::FromStr>() -> Result<Vec<T>, T::Err> {
    std::env::args().skip(1).map(|argument| argument.parse()).collect()
}

/// Calls `run` with each seed, on this number of threads.
pub(crate) fn run_seeds(seeds: Range<u64>, threads: usize, run: impl Fn(u64) + Sync) {
    let next_seed = AtomicU64::new(seeds.start);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
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
pub(crate) fn cpu_seconds() -> Result<f64, ExampleError> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |field: usize| {
        fields
            .get(field)
            .ok_or("/proc/self/stat has too few fields")?
            .parse::<u64>()
            .map_err(ExampleError::from)
    };
    Ok((ticks(USER_TIME_FIELD)? + ticks(USER_TIME_FIELD + 1)?) as f64 / TICKS_PER_SECOND)
}

/// The resident memory of this process, in KiB.
pub(crate) fn resident_kib() -> Result<u64, ExampleError> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line =
        text.lines().find(|line| line.starts_with("VmRSS")).ok_or("/proc/self/status has no VmRSS line")?;
    Ok(line.split_whitespace().nth(1).ok_or("/proc/self/status has no VmRSS value")?.parse()?)
}
