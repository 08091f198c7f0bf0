//! How many requests per second the servers are known to handle for this node.
//!
//! The quota of a server in slow start follows from this estimate. Clients that repeat rejected requests
//! must not raise it, so each unserved request outweighs several arrivals.
//!
//! Inputs: arrivals and ends of requests with their times in microseconds; rates are per second.

use crate::api::Micros;
use crate::latency::EXPECTED_LATENCY_DIVISOR;

/// Microseconds per second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Number of arrivals that each unserved request outweighs.
const UNSERVED_PENALTY: f64 = 4.0;
/// Time constant of the rates, as a fraction of the duration of slow start.
const TIME_CONSTANT_FRACTION: f64 = 0.25;
/// Shortest time constant of the rates, in microseconds.
const MIN_TIME_CONSTANT: f64 = 1e6;

/// The rate of an event, from a sum that decays exponentially.
pub(crate) struct DecayingRate {
    sum: f64,
    updated_at: Micros,
}

impl DecayingRate {
    /// A rate of zero.
    pub(crate) fn new(now: Micros) -> Self {
        DecayingRate { sum: 0.0, updated_at: now }
    }

    /// Events per second; `time_constant` is in microseconds.
    pub(crate) fn per_second(&self, now: Micros, time_constant: f64) -> f64 {
        let decay = (-((now - self.updated_at) as f64) / time_constant).exp();
        self.sum * decay / time_constant * MICROS_PER_SECOND
    }

    /// Counts one event and returns the rate after it, per second.
    pub(crate) fn record(&mut self, now: Micros, time_constant: f64) -> f64 {
        let decay = (-((now - self.updated_at) as f64) / time_constant).exp();
        self.sum = self.sum * decay + 1.0;
        self.updated_at = now;
        self.sum / time_constant * MICROS_PER_SECOND
    }
}

/// Rates of arrivals and of how they ended at this node.
pub(crate) struct LoadEstimate {
    arrived: DecayingRate,
    served: DecayingRate,
    /// Requests that were rejected, failed, or were abandoned by the client.
    unserved: DecayingRate,
    /// Requests per second that the servers are assumed to handle before any rate was measured.
    assumed_capacity: f64,
    /// Time constant of all rates, in microseconds.
    time_constant: f64,
}

impl LoadEstimate {
    /// The estimate before the first request. The assumed capacity is that of `concurrency` attempts at
    /// once, each of which takes the response time that is expected for `objective` (in microseconds).
    pub(crate) fn new(concurrency: f64, objective: f64, slow_start_duration: Micros, now: Micros) -> Self {
        let seconds_per_request = objective / (EXPECTED_LATENCY_DIVISOR * MICROS_PER_SECOND);
        LoadEstimate {
            arrived: DecayingRate::new(now),
            served: DecayingRate::new(now),
            unserved: DecayingRate::new(now),
            assumed_capacity: concurrency / seconds_per_request,
            time_constant: time_constant(slow_start_duration),
        }
    }

    /// Follows a change of the duration of slow start, in microseconds.
    pub(crate) fn reconfigure(&mut self, slow_start_duration: Micros) {
        self.time_constant = time_constant(slow_start_duration);
    }

    /// The time constant of all rates of this node, in microseconds.
    pub(crate) fn time_constant(&self) -> f64 {
        self.time_constant
    }

    /// Counts an arrival and returns the arrivals per second after it.
    pub(crate) fn record_arrival(&mut self, now: Micros) -> f64 {
        self.arrived.record(now, self.time_constant)
    }

    /// Counts a request that was answered by a server.
    pub(crate) fn record_served(&mut self, now: Micros) {
        self.served.record(now, self.time_constant);
    }

    /// Counts a request that was rejected, failed or was abandoned.
    pub(crate) fn record_unserved(&mut self, now: Micros) {
        self.unserved.record(now, self.time_constant);
    }

    /// Requests per second that the servers handle for this node: those served, or all arrivals while few
    /// of them remain unserved, and in any case the arrivals up to the assumed capacity.
    ///
    /// This is too low where most requests are rejected for reasons other than load.
    pub(crate) fn sustained_per_second(&self, now: Micros) -> f64 {
        let rate = |rate: &DecayingRate| rate.per_second(now, self.time_constant);
        let arrived = rate(&self.arrived);
        rate(&self.served)
            .max(arrived - UNSERVED_PENALTY * rate(&self.unserved))
            .max(arrived.min(self.assumed_capacity))
    }
}

/// The time constant of the rates, in microseconds: short enough to follow a slow start, and long enough to
/// cover a number of requests.
fn time_constant(slow_start_duration: Micros) -> f64 {
    (slow_start_duration as f64 * TIME_CONSTANT_FRACTION).max(MIN_TIME_CONSTANT)
}
