//! Which servers are avoided because they don't answer (passive health checks).
//!
//! A server is suspected after two attempts in a row without an answer, or while an attempt at it is long
//! overdue. A suspected server is ejected, except for one request at a time that probes whether it has
//! recovered.
//!
//! Inputs: the outcomes of this node's attempts and the attempts in flight; times are in microseconds. A
//! node with little traffic notices an outlier late, but needs no message from other nodes.

use crate::api::{Micros, Outcome};
use crate::in_flight::InFlight;
use crate::latency::LatencyEstimate;

/// Number of attempts in a row without an answer after which a server is suspected.
const SUSPECT_AFTER_FAILURES: u32 = 2;
/// An attempt is overdue when its response time exceeds the mean by this many mean deviations.
const OVERDUE_AFTER_DEVIATIONS: f64 = 6.0;
/// Time between two probes of an ejected server, as a multiple of the time after which an attempt is
/// overdue.
const PROBE_INTERVAL_FACTOR: Micros = 4;

/// The time after which an attempt without an answer is overdue, in microseconds from its send.
pub(crate) fn overdue_after(latency: &LatencyEstimate) -> Micros {
    latency.mean_plus_deviations(OVERDUE_AFTER_DEVIATIONS).max(1)
}

/// When an ejected server or an unreachable zone may be probed next, if an attempt is sent to it now.
pub(crate) fn next_probe_at(now: Micros, overdue_after: Micros) -> Micros {
    now + PROBE_INTERVAL_FACTOR * overdue_after
}

/// The health of one server, learned from this node's traffic alone.
pub(crate) struct ServerHealth {
    /// Attempts in a row without an answer.
    consecutive_failures: u32,
    /// Whether the server has ever answered.
    has_answered: bool,
    /// While the server is suspected: from when one request may probe it.
    probe_at: Micros,
}

impl ServerHealth {
    /// The state of a server that this node has not used yet: not suspected.
    pub(crate) fn new(now: Micros) -> Self {
        ServerHealth { consecutive_failures: 0, has_answered: false, probe_at: now }
    }

    /// Drops the failures counted so far, which a former process of the server may have caused.
    pub(crate) fn reset(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Whether the server has ever answered this node.
    pub(crate) fn has_answered(&self) -> bool {
        self.has_answered
    }

    /// Whether the server is suspected not to answer.
    pub(crate) fn is_suspect(&self, in_flight: &InFlight, now: Micros) -> bool {
        self.consecutive_failures >= SUSPECT_AFTER_FAILURES || in_flight.has_overdue(now)
    }

    /// Whether the server is avoided: it is suspected, and no probe is due.
    pub(crate) fn is_ejected(&self, in_flight: &InFlight, now: Micros) -> bool {
        let may_be_probed = now >= self.probe_at && in_flight.is_empty();
        self.is_suspect(in_flight, now) && !may_be_probed
    }

    /// Notes that an attempt is sent to the server although it is suspected; the next may follow at
    /// `probe_at`.
    pub(crate) fn record_probe(&mut self, probe_at: Micros) {
        self.probe_at = probe_at;
    }

    /// Counts the end of an attempt. A cancelled attempt counts as a failure only if it was overdue; an
    /// answer of any kind, also an error or a rejection, ends a row of failures.
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
