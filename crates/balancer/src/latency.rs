//! Response time estimates: a smoothed mean, the mean deviation from it, and the uncongested baseline.
//!
//! Mean and deviation are smoothed as in TCP's round-trip time estimator (RFC 6298), which needs two
//! numbers and no history. The baseline is the lowest recent mean: the response time without queueing.

use crate::api::{Micros, RequestClass};

/// Until answers have been measured, the expected response time is the latency objective divided by this.
pub(crate) const EXPECTED_LATENCY_DIVISOR: f64 = 3.0;
/// The expected deviation until answers have been measured, as a fraction of the expected mean.
const EXPECTED_DEVIATION: f64 = 0.25;
/// Number of answers over which mean and deviation are smoothed.
const SMOOTHING_SAMPLES: f64 = 16.0;
/// Growth of the baseline per answer, so that it follows a lasting rise within thousands of answers.
const BASELINE_GROWTH: f64 = 1.0005;

/// The response times of one group of requests, such as a class or a tier, in microseconds.
pub(crate) struct LatencyEstimate {
    mean: f64,
    deviation: f64,
    baseline: f64,
}

impl LatencyEstimate {
    /// The estimate before the first answer, from the expected mean in microseconds.
    pub(crate) fn expecting(mean: f64) -> Self {
        LatencyEstimate { mean, deviation: mean * EXPECTED_DEVIATION, baseline: mean }
    }

    /// The estimate before the first answer, from a latency objective in microseconds.
    pub(crate) fn for_objective(objective: f64) -> Self {
        LatencyEstimate::expecting(objective / EXPECTED_LATENCY_DIVISOR)
    }

    /// Records the response time of one answer.
    pub(crate) fn record(&mut self, elapsed: Micros) {
        let error = elapsed as f64 - self.mean;
        self.mean += error / SMOOTHING_SAMPLES;
        self.deviation += (error.abs() - self.deviation) / SMOOTHING_SAMPLES;
        self.baseline = self.mean.min(self.baseline * BASELINE_GROWTH);
    }

    /// The smoothed mean, in microseconds.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// The mean without congestion, in microseconds.
    pub(crate) fn baseline(&self) -> f64 {
        self.baseline
    }

    /// The mean plus this many mean deviations, in microseconds: few answers take longer.
    pub(crate) fn mean_plus_deviations(&self, deviations: f64) -> Micros {
        (self.mean + deviations * self.deviation) as Micros
    }
}

/// Response times by class, with a separate estimate for requests without a known class.
pub(crate) struct ClassLatencies {
    unclassified: LatencyEstimate,
    by_class: Vec<LatencyEstimate>,
}

impl ClassLatencies {
    /// The estimates before the first answer. For requests without a class the latency objective is
    /// `default_objective` (in microseconds).
    pub(crate) fn new(default_objective: f64, classes: &[RequestClass]) -> Self {
        let mut latencies = ClassLatencies {
            unclassified: LatencyEstimate::for_objective(default_objective),
            by_class: Vec::with_capacity(classes.len()),
        };
        latencies.add_classes(classes);
        latencies
    }

    /// Adds an estimate for each class that is listed after the known ones, whose estimates stay.
    pub(crate) fn add_classes(&mut self, classes: &[RequestClass]) {
        for class in classes.iter().skip(self.by_class.len()) {
            self.by_class.push(LatencyEstimate::for_objective(class.latency_objective as f64));
        }
    }

    /// The estimate for a class, or for requests without a known one.
    pub(crate) fn get(&self, class: Option<usize>) -> &LatencyEstimate {
        class.and_then(|class| self.by_class.get(class)).unwrap_or(&self.unclassified)
    }

    /// The same estimate as [`get`](Self::get), for recording.
    pub(crate) fn get_mut(&mut self, class: Option<usize>) -> &mut LatencyEstimate {
        class.and_then(|class| self.by_class.get_mut(class)).unwrap_or(&mut self.unclassified)
    }
}
