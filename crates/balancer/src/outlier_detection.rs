//! Which servers are avoided because they don't answer (passive health checks).
//!
//! A server is suspected after two attempts in a row without an answer, or while an attempt at it is long
//! overdue. It is ejected then, but for one request at a time that finds out whether it has recovered.
//!
//! Inputs: the outcomes of this node's attempts and the attempts in flight; times are in microseconds. A node
//! with little traffic notices an outlier late, but needs no message from others.

use crate::api::{Micros, Outcome};
use crate::in_flight::InFlight;
use crate::latency::LatencyEstimate;

/// Attempts in a row without an answer after which a server is suspected.
const SUSPECT_AFTER_FAILURES: u32 = 2;
/// An attempt is overdue when its response time exceeds the mean by this many deviations.
const OVERDUE_AFTER_DEVIATIONS: f64 = 6.0;
/// An ejected server is tried again after this many times the time in which an attempt becomes overdue.
const PROBE_INTERVAL_FACTOR: Micros = 4;

/// How long after its send an attempt without an answer is overdue, in microseconds.
pub(crate) fn overdue_after(latency: &LatencyEstimate) -> Micros {
    latency.mean_plus_deviations(OVERDUE_AFTER_DEVIATIONS).max(1)
}

/// When an ejected server or zone is tried again after an attempt that is sent now.
pub(crate) fn next_probe_at(now: Micros, overdue_after: Micros) -> Micros {
    now + PROBE_INTERVAL_FACTOR * overdue_after
}

/// The health of one server, learned from this node's traffic alone.
pub(crate) struct ServerHealth {
    /// Attempts in a row without an answer.
    consecutive_failures: u32,
    /// Whether the server has ever answered.
    has_answered: bool,
    /// While the server is ejected: when one request may try it.
    probe_at: Micros,
}

impl ServerHealth {
    /// Nothing is known against the server.
    pub(crate) fn new(now: Micros) -> Self {
        ServerHealth { consecutive_failures: 0, has_answered: false, probe_at: now }
    }

    /// The server has restarted: failures of its former process don't count.
    pub(crate) fn reset(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Whether the server has ever answered this node.
    pub(crate) fn has_answered(&self) -> bool {
        self.has_answered
    }

    /// Whether the server seems not to answer.
    pub(crate) fn is_suspect(&self, in_flight: &InFlight, now: Micros) -> bool {
        self.consecutive_failures >= SUSPECT_AFTER_FAILURES || in_flight.has_overdue(now)
    }

    /// Whether the server is avoided: it is suspected, and no single request is due to try it.
    pub(crate) fn is_ejected(&self, in_flight: &InFlight, now: Micros) -> bool {
        let may_be_probed = now >= self.probe_at && in_flight.is_empty();
        self.is_suspect(in_flight, now) && !may_be_probed
    }

    /// An attempt is sent to the server although it is suspected: the next one may follow at `probe_at`.
    pub(crate) fn record_probe(&mut self, probe_at: Micros) {
        self.probe_at = probe_at;
    }

    /// An attempt has ended. A cancelled attempt counts as a failure only if it was overdue.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome, was_overdue: bool) {
        match outcome {
            Outcome::Success | Outcome::CacheMiss | Outcome::ServerError | Outcome::Rejected => {
                self.consecutive_failures = 0;
                self.has_answered = true;
            }
            Outcome::ConnectFailed | Outcome::ConnectionReset | Outcome::TimedOut => {
                self.consecutive_failures += 1;
            }
            Outcome::Canceled => self.consecutive_failures += u32::from(was_overdue),
            Outcome::NotSent => {}
        }
    }
}
