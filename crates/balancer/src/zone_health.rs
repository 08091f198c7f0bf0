//! Which zones can be reached, and how much longer answers of each take than those of the nearest.
//!
//! When several connections in a row to servers of one zone fail while another zone can be reached, the
//! zone as a whole counts as unreachable. Its servers are then not tried one by one; single requests probe
//! whether the zone can be reached again.
//!
//! Inputs: the outcomes and response times (in microseconds) of this node's attempts, by zone.

use std::collections::BTreeMap;

use crate::api::{Micros, Outcome};

/// Number of connections in a row that fail after which a zone counts as unreachable.
const UNREACHABLE_AFTER_FAILURES: u32 = 3;
/// Growth of the lowest response time per answer, so that within seconds it follows a zone whose answers
/// have come to take longer.
const LOWEST_LATENCY_GROWTH: f64 = 1.0001;

/// The state of one zone.
#[derive(Default)]
struct ZoneState {
    /// Number of connections that failed in a row, to any of its servers.
    connect_failures: u32,
    /// While the zone is unreachable: from when one request may probe it.
    probe_at: Micros,
    /// The lowest recent response time, in microseconds; `None` before the first answer.
    lowest_latency: Option<f64>,
}

impl ZoneState {
    /// Records the response time of an answer.
    fn record_latency(&mut self, elapsed: Micros) {
        let lowest = self.lowest_latency.map_or(f64::MAX, |lowest| lowest * LOWEST_LATENCY_GROWTH);
        self.lowest_latency = Some(lowest.min(elapsed as f64));
    }
}

/// The state of all zones.
#[derive(Default)]
pub(crate) struct ZoneHealth {
    /// The zones, by number.
    zones: BTreeMap<u32, ZoneState>,
}

impl ZoneHealth {
    /// Notes that an attempt is sent to a zone. If its connection fails too and the zone counts as
    /// unreachable then, the zone is not probed before `probe_at`.
    pub(crate) fn record_send(&mut self, zone: u32, probe_at: Micros) {
        let zone = self.zones.entry(zone).or_default();
        if zone.connect_failures + 1 >= UNREACHABLE_AFTER_FAILURES {
            zone.probe_at = probe_at;
        }
    }

    /// Counts the end of an attempt at a zone. Any outcome except a failed connect ends a row of failures.
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

    /// How much longer answers of a zone take than those of the nearest zone, in microseconds.
    pub(crate) fn extra_latency(&self, zone: u32) -> Micros {
        let nearest = self.zones.values().filter_map(|zone| zone.lowest_latency).reduce(f64::min);
        let lowest = self.zones.get(&zone).and_then(|zone| zone.lowest_latency);
        lowest.zip(nearest).map_or(0, |(lowest, nearest)| (lowest - nearest) as Micros)
    }

    /// Whether a zone is avoided: it can't be reached and no probe is due, while another zone can be
    /// reached.
    pub(crate) fn is_unreachable(&self, zone: u32, now: Micros) -> bool {
        let failing = |zone: &ZoneState| zone.connect_failures >= UNREACHABLE_AFTER_FAILURES;
        let avoided = self.zones.get(&zone).is_some_and(|zone| failing(zone) && now < zone.probe_at);
        avoided && self.zones.values().any(|zone| zone.connect_failures == 0)
    }
}
