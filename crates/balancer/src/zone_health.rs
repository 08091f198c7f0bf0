//! Which zones can be reached, and how much farther away each is than the nearest.
//!
//! When connections to several servers of one zone fail in a row while another zone answers, the zone is
//! taken for unreachable as a whole. Its servers are then not tried one by one; single requests find out when
//! the zone can be reached again.
//!
//! Inputs: the outcomes and response times (in microseconds) of this node's attempts, by zone.

use std::collections::BTreeMap;

use crate::api::{Micros, Outcome};

/// Connection failures in a row after which a zone is taken for unreachable.
const UNREACHABLE_AFTER_FAILURES: u32 = 3;
/// Growth of the lowest response time per answer, so that a zone that has moved away is noticed in seconds.
const LOWEST_LATENCY_GROWTH: f64 = 1.0001;

/// What is known of one zone.
#[derive(Default)]
struct ZoneState {
    /// Connections that failed in a row, to whichever of its servers.
    connect_failures: u32,
    /// When an unreachable zone may be tried again.
    probe_at: Micros,
    /// The lowest response time of late, in microseconds; none before the first answer.
    lowest_latency: Option<f64>,
}

impl ZoneState {
    /// Takes in the response time of an answer.
    fn record_latency(&mut self, elapsed: Micros) {
        let lowest = self.lowest_latency.map_or(f64::MAX, |lowest| lowest * LOWEST_LATENCY_GROWTH);
        self.lowest_latency = Some(lowest.min(elapsed as f64));
    }
}

/// The zones, by number.
#[derive(Default)]
pub(crate) struct ZoneHealth {
    zones: BTreeMap<u32, ZoneState>,
}

impl ZoneHealth {
    /// An attempt is sent to a zone. If it fails too and the zone is unreachable then, the zone is tried
    /// again at `probe_at`.
    pub(crate) fn record_send(&mut self, zone: u32, probe_at: Micros) {
        let zone = self.zones.entry(zone).or_default();
        if zone.connect_failures + 1 >= UNREACHABLE_AFTER_FAILURES {
            zone.probe_at = probe_at;
        }
    }

    /// An attempt at a zone has ended.
    pub(crate) fn record_outcome(&mut self, zone: u32, outcome: Outcome, elapsed: Micros) {
        let zone = self.zones.entry(zone).or_default();
        match outcome {
            Outcome::ConnectFailed => zone.connect_failures += 1,
            _ => zone.connect_failures = 0,
        }
        if matches!(outcome, Outcome::Success | Outcome::CacheMiss) {
            zone.record_latency(elapsed);
        }
    }

    /// What answers of a zone take beyond those of the nearest zone, in microseconds.
    pub(crate) fn extra_latency(&self, zone: u32) -> Micros {
        let nearest = self.zones.values().filter_map(|zone| zone.lowest_latency).reduce(f64::min);
        let lowest = self.zones.get(&zone).and_then(|zone| zone.lowest_latency);
        lowest.zip(nearest).map_or(0, |(lowest, nearest)| (lowest - nearest) as Micros)
    }

    /// Whether a zone can't be reached and is not due to be tried again, while another zone answers.
    pub(crate) fn is_unreachable(&self, zone: u32, now: Micros) -> bool {
        let failing = |zone: &ZoneState| zone.connect_failures >= UNREACHABLE_AFTER_FAILURES;
        let avoided = self.zones.get(&zone).is_some_and(|zone| failing(zone) && now < zone.probe_at);
        avoided && self.zones.values().any(|zone| zone.connect_failures == 0)
    }
}
