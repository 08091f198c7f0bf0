//! Load reports of a cache server: sampled periodically, with noise, and published with a delay.

use crate::Micros;
use crate::random::Random;
use crate::site::CacheKind;

/// The load that a server publishes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Moving average of the service time without queueing, in milliseconds.
    pub latency_ms: f64,
    /// Queued requests.
    pub queue: f64,
    /// Fetches from the origin in flight.
    pub fetches: f64,
}

/// A report that is not published yet.
#[derive(Clone, Copy, Debug)]
struct Unpublished {
    publish_at: Micros,
    report: LoadReport,
}

/// Samples and publishes the reports of one server.
#[derive(Debug, Default)]
pub(super) struct LoadReporter {
    published: LoadReport,
    unpublished: Option<Unpublished>,
    /// Time of the latest sample; 0 before the first.
    sampled_at: Micros,
}

impl LoadReporter {
    /// Whether the next report is due.
    pub(super) fn is_due(&self, kind: &CacheKind, now: Micros) -> bool {
        now >= self.sampled_at + kind.report_every.us() || self.sampled_at == 0
    }

    /// Samples the load. An earlier report that is not published yet is replaced.
    pub(super) fn sample(&mut self, kind: &CacheKind, now: Micros, load: LoadReport, random: &mut Random) {
        let noise = kind.report_noise.get();
        let mut with_noise = |value: f64| value * (1.0 + noise * (2.0 * random.unit() - 1.0));
        let report = LoadReport {
            latency_ms: with_noise(load.latency_ms),
            queue: with_noise(load.queue).round(),
            fetches: load.fetches,
        };
        self.sampled_at = now.max(1);
        self.unpublished = Some(Unpublished { publish_at: now + kind.report_delay.us(), report });
    }

    /// The latest report that is published by now.
    pub(super) fn latest(&mut self, now: Micros) -> LoadReport {
        if let Some(due) = self.unpublished.take_if(|next| next.publish_at <= now) {
            self.published = due.report;
        }
        self.published
    }
}
