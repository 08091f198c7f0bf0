//! A summary of durations: a quantile of all that were recorded.

use std::fmt::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

use super::prometheus::{MICROS_PER_SECOND, write_type};

/// Longer durations are recorded as this one.
pub(super) const MAX_RECORDED: Duration = Duration::from_secs(60);
/// Significant decimal digits of a recorded duration.
const SIGNIFICANT_DIGITS: u8 = 2;
/// The quantile that the metrics show.
const QUANTILE: f64 = 0.99;

/// Records durations and shows a quantile of them. It takes about 20 KB for any number of durations.
#[derive(Debug)]
pub(crate) struct DurationSummary(Mutex<Histogram<u64>>);

impl Default for DurationSummary {
    fn default() -> DurationSummary {
        let micros = Histogram::new_with_max(MAX_RECORDED.as_micros() as u64, SIGNIFICANT_DIGITS);
        DurationSummary(Mutex::new(micros.expect("the bounds are in order")))
    }
}

impl DurationSummary {
    fn lock(&self) -> MutexGuard<'_, Histogram<u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records one duration.
    pub(crate) fn record(&self, duration: Duration) {
        let micros = duration.as_micros().min(MAX_RECORDED.as_micros()) as u64;
        self.lock().saturating_record(micros);
    }

    /// Appends the summary, in seconds.
    pub(super) fn write(&self, text: &mut String, name: &str) {
        let durations = self.lock();
        let quantile = durations.value_at_quantile(QUANTILE) as f64 / MICROS_PER_SECOND;
        write_type(text, name, "summary");
        let _ = writeln!(text, "{name}{{quantile=\"{QUANTILE}\"}} {quantile}");
        let _ = writeln!(text, "{name}_count {}", durations.len());
    }
}
