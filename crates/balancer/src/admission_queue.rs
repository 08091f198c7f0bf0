//! Requests that wait for capacity at one tier: in which order they are admitted and which are shed.
//!
//! The queue is ordered by priority and, among equals, newest first: under a lasting overload some requests
//! are then answered in time, where first-in-first-out would make all of them late. It is bounded in length
//! and in time, so that clients whose requests have no prospect are rejected early.
//!
//! Inputs: priority weight, kind and times of a request (in microseconds), and the tier's concurrency limit
//! in attempts.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::api::{Micros, RequestId};
use crate::request::OpenRequest;

/// Writes are admitted before reads: their priority weight is multiplied by this.
const WRITE_PRIORITY: f64 = 1e3;
/// Reads that will probably miss their latency objective are admitted after all others.
const LATE_READ_PRIORITY: f64 = 0.01;
/// A read that has waited for its latency objective divided by this will probably miss it.
const LATE_READ_DIVISOR: Micros = 2;
/// Priorities are compared in steps of one divided by this.
const PRIORITY_RESOLUTION: f64 = 1e3;
/// A queue may hold this part of the concurrency limit ...
const QUEUE_LENGTH_FRACTION: f64 = 0.5;
/// ... and this many requests beside.
const MIN_QUEUE_LENGTH: f64 = 4.0;
/// A request that has not been sent within its time limit divided by this seldom is, the newest being first.
const QUEUEING_TIME_DIVISOR: Micros = 2;

/// A place in the queue; the least is admitted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    priority: Reverse<u64>,
    sequence: Reverse<u64>,
    request: RequestId,
}

/// The requests that wait for capacity at one tier.
#[derive(Default)]
pub(crate) struct AdmissionQueue {
    positions: BTreeSet<QueuePosition>,
    enqueued: u64,
}

impl AdmissionQueue {
    /// Adds a request; `priority` is from [`queue_priority`].
    pub(crate) fn push(&mut self, priority: f64, request: RequestId) -> QueuePosition {
        self.enqueued += 1;
        let priority = Reverse((priority * PRIORITY_RESOLUTION) as u64);
        let position = QueuePosition { priority, sequence: Reverse(self.enqueued), request };
        self.positions.insert(position);
        position
    }

    /// Removes a request that no longer waits, if it is still there.
    pub(crate) fn remove(&mut self, position: &QueuePosition) {
        self.positions.remove(position);
    }

    /// Takes the request that is admitted next.
    pub(crate) fn pop_next(&mut self) -> Option<RequestId> {
        self.positions.pop_first().map(|position| position.request)
    }

    /// Takes the request that is shed: the last in order, while more wait than can be admitted in time under
    /// this concurrency limit. Waiting requests occupy client connections.
    pub(crate) fn pop_excess(&mut self, concurrency_limit: f64) -> Option<RequestId> {
        let max_length = concurrency_limit * QUEUE_LENGTH_FRACTION + MIN_QUEUE_LENGTH;
        if self.positions.len() as f64 <= max_length {
            return None;
        }
        self.positions.pop_last().map(|position| position.request)
    }
}

/// The priority of a request in the queue at time `now`: writes first, then by priority weight, reads that
/// will be late last.
pub(crate) fn queue_priority(request: &OpenRequest, now: Micros) -> f64 {
    let late_from = request.arrived_at.saturating_add(request.rules.latency_objective / LATE_READ_DIVISOR);
    let factor = match (request.is_write, now <= late_from) {
        (true, _) => WRITE_PRIORITY,
        (false, true) => 1.0,
        (false, false) => LATE_READ_PRIORITY,
    };
    request.rules.priority_weight * factor
}

/// When a request in the queue is given up: once too little time is left for an attempt, which needs
/// `attempt_time` microseconds, or once a request without any attempt has waited for half of its time.
pub(crate) fn give_up_at(request: &OpenRequest, attempt_time: Micros) -> Micros {
    let last_chance = request.deadline.saturating_sub(attempt_time);
    if !request.attempts.is_empty() {
        return last_chance;
    }
    let time_limit = request.deadline.saturating_sub(request.arrived_at);
    (request.arrived_at + time_limit / QUEUEING_TIME_DIVISOR).min(last_chance)
}
