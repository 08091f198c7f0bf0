//! Response time estimates: a smoothed mean, its mean deviation and the uncongested baseline.
//!
//! Mean and deviation are smoothed as in TCP's round-trip time estimator (RFC 6298), which needs two numbers
//! and no history. The baseline is the lowest mean seen lately: the response time without queueing.

use crate::api::{Micros, RequestClass};

/// The expected response time is the latency objective divided by this, until answers have been measured.
pub(crate) const EXPECTED_LATENCY_DIVISOR: f64 = 3.0;
/// The expected deviation, as a part of the expected mean, until answers have been measured.
const EXPECTED_DEVIATION: f64 = 0.25;
/// Answers over which mean and deviation are smoothed.
const SMOOTHING_SAMPLES: f64 = 16.0;
/// Growth of the baseline per answer, so that it follows a lasting change within thousands of answers.
const BASELINE_GROWTH: f64 = 1.0005;

/// Response times of one kind of request, in microseconds.
pub(crate) struct LatencyEstimate {
    mean: f64,
    deviation: f64,
    baseline: f64,
}

impl LatencyEstimate {
    /// An estimate before the first answer, from the expected mean in microseconds.
    pub(crate) fn expecting(mean: f64) -> Self {
        LatencyEstimate { mean, deviation: mean * EXPECTED_DEVIATION, baseline: mean }
    }

    /// An estimate before the first answer, from a latency objective in microseconds.
    pub(crate) fn for_objective(objective: f64) -> Self {
        LatencyEstimate::expecting(objective / EXPECTED_LATENCY_DIVISOR)
    }

    /// Takes in the response time of one answer.
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

    /// The mean and this many mean deviations: a time by which few answers are still missing.
    pub(crate) fn mean_plus_deviations(&self, deviations: f64) -> Micros {
        (self.mean + deviations * self.deviation) as Micros
    }
}

/// Response times by class, with an entry of their own for requests without a known class.
pub(crate) struct ClassLatencies {
    unclassified: LatencyEstimate,
    by_class: Vec<LatencyEstimate>,
}

impl ClassLatencies {
    /// Estimates before the first answer; requests without a class are expected to meet `default_objective`
    /// (in microseconds).
    pub(crate) fn new(default_objective: f64, classes: &[RequestClass]) -> Self {
        let mut latencies = ClassLatencies {
            unclassified: LatencyEstimate::for_objective(default_objective),
            by_class: Vec::with_capacity(classes.len()),
        };
        latencies.add_classes(classes);
        latencies
    }

    /// Adds the classes that are listed behind those known; the estimates of these stay.
    pub(crate) fn add_classes(&mut self, classes: &[RequestClass]) {
        for class in classes.iter().skip(self.by_class.len()) {
            self.by_class.push(LatencyEstimate::for_objective(class.latency_objective as f64));
        }
    }

    /// The estimate for a class.
    pub(crate) fn get(&self, class: Option<usize>) -> &LatencyEstimate {
        class.and_then(|class| self.by_class.get(class)).unwrap_or(&self.unclassified)
    }

    /// The estimate for a class, to record into.
    pub(crate) fn get_mut(&mut self, class: Option<usize>) -> &mut LatencyEstimate {
        class.and_then(|class| self.by_class.get_mut(class)).unwrap_or(&mut self.unclassified)
    }
}
