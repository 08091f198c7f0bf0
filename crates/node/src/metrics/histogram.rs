//! A histogram of durations with fixed buckets.

use std::fmt::Write;
use std::time::Duration;

use super::prometheus::{MICROS_PER_SECOND, write_type};
use crate::counter::Counter;

/// The upper bounds of the buckets, ascending. They are followed by a last bucket without a bound.
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
pub(crate) struct DurationHistogram {
    counts: [Counter; BOUNDS.len() + 1],
    sum_us: Counter,
}

impl DurationHistogram {
    /// Counts one duration.
    pub(crate) fn record(&self, duration: Duration) {
        let bucket = BOUNDS.partition_point(|bound| *bound < duration);
        self.counts[bucket].increment();
        self.sum_us.add(duration.as_micros() as u64);
    }

    /// Appends the histogram, in seconds.
    pub(super) fn write(&self, text: &mut String, name: &str) {
        write_type(text, name, "histogram");
        let mut total = 0;
        for (index, count) in self.counts.iter().enumerate() {
            total += count.get();
            let bound = BOUNDS.get(index).map_or("+Inf".to_owned(), |bound| bound.as_secs_f64().to_string());
            let _ = writeln!(text, "{name}_bucket{{le=\"{bound}\"}} {total}");
        }
        let _ = writeln!(text, "{name}_sum {}", self.sum_us.get() as f64 / MICROS_PER_SECOND);
        let _ = writeln!(text, "{name}_count {total}");
    }
}
