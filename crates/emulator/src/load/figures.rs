//! What came of the requests of a load.

use hdrhistogram::Histogram;
use serde::Serialize;
use stonefold_model::{Answer, Micros};

/// Latencies are kept up to a minute, to three digits.
const LONGEST: u64 = 60_000_000;

/// What came of the requests of a stretch of time.
#[derive(Clone, Debug)]
pub struct Figures {
    /// By how they ended.
    pub served: u64,
    /// Refused.
    pub rejected: u64,
    /// Failed, wrong answers and broken connections among them.
    pub failed: u64,
    /// Not sent, since too many were out.
    pub not_sent: u64,
    /// Asked once more after a refusal; the request counts once, by its last answer.
    pub retries: u64,
    /// Of those served: from the intended start to the last byte, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for Figures {
    fn default() -> Figures {
        // These bounds are valid: 1 to a minute, three digits.
        let latency = Histogram::new_with_bounds(1, LONGEST, 3).expect("valid bounds");
        Figures { served: 0, rejected: 0, failed: 0, not_sent: 0, retries: 0, latency }
    }
}

/// Figures as numbers.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Summary {
    /// Requests that ended.
    pub requests: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Not sent, since too many were out: the load was the bottleneck.
    pub not_sent: u64,
    /// Asked once more after a refusal.
    #[serde(rename = "again")]
    pub retries: u64,
    /// Half of those served took no longer, in milliseconds.
    pub p50_ms: f64,
    /// Of a hundred of those served 99 took no longer, in milliseconds.
    pub p99_ms: f64,
    /// The slowest of those served, in milliseconds.
    pub max_ms: f64,
}

impl Figures {
    /// As numbers.
    pub fn summary(&self) -> Summary {
        let at = |quantile: f64| self.latency.value_at_quantile(quantile) as f64 / 1e3;
        Summary {
            requests: self.served + self.rejected + self.failed,
            served: self.served,
            rejected: self.rejected,
            failed: self.failed,
            not_sent: self.not_sent,
            retries: self.retries,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            max_ms: self.latency.max() as f64 / 1e3,
        }
    }

    /// Counts a request that ended after this time, in microseconds.
    pub(super) fn add(&mut self, answer: Answer, took: Micros) {
        match answer {
            Answer::Served => {
                self.served += 1;
                self.latency.saturating_record(took.max(1));
            }
            Answer::Rejected => self.rejected += 1,
            Answer::Failed | Answer::Wrong => self.failed += 1,
        }
    }
}
