//! The adaptive limit on this node's attempts in flight at one tier (additive increase, multiplicative
//! decrease).
//!
//! Inputs are one congestion signal per finished attempt, the time in microseconds and the tier's mean
//! response time. The limit rises while it is used and answers are timely, and falls at most once per
//! response time while more than [`OVERLOAD_RATIO`] of the recent attempts show congestion: single failures
//! are no overload. Below half of the usual concurrency it rises quickly, so that a node recovers from a
//! restart or a congested period within a few answers.

use crate::api::Micros;

/// The tier is overloaded while more than this fraction of recent attempts show congestion.
const OVERLOAD_RATIO: f64 = 0.3;
/// No hedged requests are sent while more than this fraction of recent attempts show congestion.
const HEDGING_RATIO: f64 = OVERLOAD_RATIO / 2.0;
/// The usual concurrency is updated only while less than this fraction of recent attempts show congestion.
const UNCONGESTED_BELOW: f64 = OVERLOAD_RATIO / 3.0;
/// Attempts over which the congestion ratio is smoothed. Where attempts are rare, fewer of them count: a
/// sample's weight grows with the time since the one before.
const RATIO_SAMPLES: f64 = 16.0;
/// Attempts over which the usual concurrency is smoothed.
const USUAL_SAMPLES: f64 = 64.0;
/// The limit is raised only while more than this fraction of it is used.
const MIN_UTILIZATION: f64 = 0.5;
/// The limit rises quickly while it is below this fraction of the usual concurrency.
const FAST_INCREASE_BELOW: f64 = 0.5;
/// The rise of the limit per timely answer while it rises quickly, in attempts.
const FAST_INCREASE: f64 = 0.5;
/// Factor by which the limit falls under overload.
const DECREASE_FACTOR: f64 = 0.7;
/// The limit of a node at its start, in attempts, where few nodes share the servers.
pub(crate) const INITIAL_LIMIT: f64 = 8.0;
/// Smallest initial limit, in attempts, however many nodes share the servers.
const MIN_INITIAL_LIMIT: f64 = 2.0;
/// The usual concurrency that a node assumes at its start, in attempts, where few nodes share the servers.
const INITIAL_USUAL: f64 = 48.0;
/// The largest number of nodes of which each starts with the whole initial limit.
const NODES_AT_FULL_LIMIT: f64 = 8.0;

/// The fraction of the initial limits that each of `nodes` takes, so that many nodes that start together do
/// not overload the servers.
pub(crate) fn initial_share(nodes: usize) -> f64 {
    (NODES_AT_FULL_LIMIT / nodes as f64).min(1.0)
}

/// The lowest limit at the caches, in attempts, for one of `nodes` that share them: one attempt per cache,
/// and less where many nodes share them. An idle cache can then be used even under overload.
pub(crate) fn cache_limit_floor(caches: usize, nodes: usize) -> f64 {
    (caches as f64 * initial_share(nodes)).max(1.0)
}

/// What a finished attempt shows about its tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Congestion {
    /// An answer in time, without a sign of queueing.
    Absent,
    /// A failure, a rejection, or an answer that was late enough to have been queued.
    Present,
}

/// The limit of one tier and the statistics that move it.
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    in_flight: usize,
    /// Smoothed fraction of attempts that show congestion.
    congestion_ratio: f64,
    /// When the congestion ratio was last updated.
    ratio_updated_at: Micros,
    /// Smoothed concurrency while there is no congestion.
    usual_in_flight: f64,
    /// The limit is not lowered again before this time.
    next_decrease_at: Micros,
}

impl ConcurrencyLimit {
    /// The initial limit of one of `nodes` that share the servers.
    pub(crate) fn new(nodes: usize) -> Self {
        let share = initial_share(nodes);
        ConcurrencyLimit {
            limit: (INITIAL_LIMIT * share).max(MIN_INITIAL_LIMIT),
            in_flight: 0,
            congestion_ratio: 0.0,
            ratio_updated_at: 0,
            usual_in_flight: INITIAL_USUAL * share,
            next_decrease_at: 0,
        }
    }

    /// The limit, in attempts.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// Attempts in flight that count against the limit.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Whether another attempt would exceed the limit.
    pub(crate) fn is_full(&self) -> bool {
        self.in_flight as f64 + 1.0 > self.limit
    }

    /// Counts an attempt that was sent.
    pub(crate) fn acquire(&mut self) {
        self.in_flight += 1;
    }

    /// Counts attempts that ended or were written off.
    pub(crate) fn release(&mut self, attempts: usize) {
        self.in_flight = self.in_flight.saturating_sub(attempts);
    }

    /// Whether so many recent attempts show congestion that it is no coincidence.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.congestion_ratio > OVERLOAD_RATIO
    }

    /// Whether there is spare capacity for hedged requests.
    pub(crate) fn allows_hedging(&self) -> bool {
        !self.is_full() && self.congestion_ratio <= HEDGING_RATIO
    }

    /// The probability with which a read should back off before it is sent to this tier: the congestion
    /// ratio less [`OVERLOAD_RATIO`]. A value below 0, as without overload, means that no read backs off.
    pub(crate) fn delay_probability(&self) -> f64 {
        self.congestion_ratio - OVERLOAD_RATIO
    }

    /// Adapts the limit to the end of an attempt. Under overload it falls from the concurrency in use
    /// rather than from an unused limit above it, and not below `floor`. Times are in microseconds;
    /// `mean_latency` is the tier's, `time_constant` that of the node's rates.
    pub(crate) fn record(
        &mut self,
        congestion: Congestion,
        floor: f64,
        now: Micros,
        time_constant: f64,
        mean_latency: f64,
    ) {
        self.update_statistics(congestion, now, time_constant);
        let needed = self.in_flight as f64 + 1.0;
        match congestion {
            Congestion::Absent if needed > self.limit * MIN_UTILIZATION => {
                let is_low = self.limit < self.usual_in_flight * FAST_INCREASE_BELOW;
                self.limit += if is_low { FAST_INCREASE } else { 1.0 / self.limit };
            }
            Congestion::Present if self.is_overloaded() && now >= self.next_decrease_at => {
                self.limit = (self.limit.min(needed) * DECREASE_FACTOR).max(floor);
                self.next_decrease_at = now + mean_latency as Micros;
            }
            _ => {}
        }
    }

    /// Updates the congestion ratio and, while the ratio is low, the usual concurrency.
    fn update_statistics(&mut self, congestion: Congestion, now: Micros, time_constant: f64) {
        let age = now.saturating_sub(self.ratio_updated_at) as f64;
        let weight = 1.0 - (-age / time_constant).exp();
        self.ratio_updated_at = now;
        let sample = f64::from(u8::from(congestion == Congestion::Present));
        self.congestion_ratio += (sample - self.congestion_ratio) * weight.max(1.0 / RATIO_SAMPLES);
        if self.congestion_ratio < UNCONGESTED_BELOW {
            self.usual_in_flight += (self.in_flight as f64 + 1.0 - self.usual_in_flight) / USUAL_SAMPLES;
        }
    }
}
