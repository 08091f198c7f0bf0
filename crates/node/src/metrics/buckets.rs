//! A histogram of durations with fixed buckets, in the text format of Prometheus.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Upper bounds of the buckets, ascending; a last bucket without a bound follows.
const BOUNDS: [Duration; 8] = [
    Duration::from_millis(1),
    Duration::from_millis(5),
    Duration::from_millis(20),
    Duration::from_millis(50),
    Duration::from_millis(150),
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(5),
];

/// Counts durations by bucket. Any number of threads may record at once.
#[derive(Debug, Default)]
pub struct Buckets {
    counts: [AtomicU64; BOUNDS.len() + 1],
    sum_us: AtomicU64,
}

impl Buckets {
    /// Counts one duration.
    pub fn record(&self, duration: Duration) {
        let bucket = BOUNDS.partition_point(|bound| *bound < duration);
        self.counts[bucket].fetch_add(1, Ordering::Relaxed);
        self.sum_us.fetch_add(duration.as_micros() as u64, Ordering::Relaxed);
    }

    /// Appends the histogram in seconds. Writing to a string can't fail.
    pub fn text(&self, text: &mut String, name: &str) {
        let _ = writeln!(text, "# TYPE {name} histogram");
        let mut total = 0;
        for (n, count) in self.counts.iter().enumerate() {
            total += count.load(Ordering::Relaxed);
            let bound = BOUNDS.get(n).map_or("+Inf".to_owned(), |bound| bound.as_secs_f64().to_string());
            let _ = writeln!(text, "{name}_bucket{{le=\"{bound}\"}} {total}");
        }
        let _ = writeln!(text, "{name}_sum {}", self.sum_us.load(Ordering::Relaxed) as f64 / 1e6);
        let _ = writeln!(text, "{name}_count {total}");
    }
}
