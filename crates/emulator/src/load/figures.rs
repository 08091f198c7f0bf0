//! The results of a load's requests.

use hdrhistogram::Histogram;
use serde::Serialize;
use stonefold_model::{Answer, Micros};

/// Longest latency that is recorded as it was, in microseconds: one minute. Longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The results of the requests in a period of time.
#[derive(Clone, Debug)]
pub struct LoadFigures {
    /// Answered with their value.
    pub served: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed, including wrong answers and broken connections.
    pub failed: u64,
    /// Not sent, since too many requests were in flight.
    pub not_sent: u64,
    /// Retries after a rejection; the request itself counts once, by its last answer.
    pub retries: u64,
    /// Latencies of the served requests from the intended start to the last byte, in microseconds, with a precision of
    /// three digits.
    pub latency: Histogram<u64>,
}

impl Default for LoadFigures {
    fn default() -> LoadFigures {
        // The bounds, 1 us to one minute with three digits, are valid.
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds");
        LoadFigures { served: 0, rejected: 0, failed: 0, not_sent: 0, retries: 0, latency }
    }
}

/// The numbers and latency quantiles of [`LoadFigures`].
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LoadSummary {
    /// Requests that got a final result: served, rejected or failed.
    pub requests: u64,
    /// Requests answered with their value.
    pub served: u64,
    /// Requests rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests not sent, since too many were in flight: the load was the bottleneck.
    pub not_sent: u64,
    /// Retries after a rejection.
    #[serde(rename = "again")]
    pub retries: u64,
    /// Median latency of the served requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the served requests, in milliseconds.
    pub p99_ms: f64,
    /// Maximum latency of the served requests, in milliseconds.
    pub max_ms: f64,
}

impl LoadFigures {
    /// Returns the numbers and latency quantiles.
    pub fn summary(&self) -> LoadSummary {
        let quantile_ms = |quantile: f64| self.latency.value_at_quantile(quantile) as f64 / 1e3;
        LoadSummary {
            requests: self.served + self.rejected + self.failed,
            served: self.served,
            rejected: self.rejected,
            failed: self.failed,
            not_sent: self.not_sent,
            retries: self.retries,
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            max_ms: self.latency.max() as f64 / 1e3,
        }
    }

    /// Counts a request that ended after `latency` microseconds.
    pub(super) fn record(&mut self, answer: Answer, latency: Micros) {
        match answer {
            Answer::Served => {
                self.served += 1;
                self.latency.saturating_record(latency.max(1));
            }
            Answer::Rejected => self.rejected += 1,
            Answer::Failed | Answer::Wrong => self.failed += 1,
        }
    }
}
