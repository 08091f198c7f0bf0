//! Requests that wait for capacity at one tier: in which order they are admitted and which are shed.
//!
//! The queue is ordered by priority and, at equal priority, newest first: under a lasting overload some
//! requests are then answered in time, where first-in-first-out would make all of them late. Its length and
//! the time in it are bounded, so that requests that are unlikely to be admitted are rejected early.
//!
//! Inputs: priority weight, kind and times of a request (in microseconds), and the tier's concurrency limit
//! in attempts.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::api::{Micros, RequestId};
use crate::request::OpenRequest;

/// Factor on the priority weight of writes, so that they are admitted before reads.
const WRITE_PRIORITY: f64 = 1e3;
/// Factor on the priority weight of reads that will probably miss their latency objective, so that they are
/// admitted after all others.
const LATE_READ_PRIORITY: f64 = 0.01;
/// A read that has waited for its latency objective divided by this will probably miss it.
const LATE_READ_DIVISOR: Micros = 2;
/// Steps per unit in which priorities are compared: requests within one step have equal priority.
const PRIORITY_RESOLUTION: f64 = 1e3;
/// Requests that a queue may hold, as a fraction of the concurrency limit.
const QUEUE_LENGTH_FRACTION: f64 = 0.5;
/// Requests that a queue may hold in addition to [`QUEUE_LENGTH_FRACTION`] of the limit.
const BASE_QUEUE_LENGTH: f64 = 4.0;
/// A request without any attempt is given up after its time limit divided by this: as the newest are
/// admitted first, one that has waited for so long is seldom admitted.
const QUEUEING_TIME_DIVISOR: Micros = 2;

/// A position in the queue; the lowest is admitted first.
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
    /// Number of requests added so far, the sequence number of the latest.
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

    /// Removes a request that no longer waits, if it is still in the queue.
    pub(crate) fn remove(&mut self, position: &QueuePosition) {
        self.positions.remove(position);
    }

    /// Removes and returns the request that is admitted next.
    pub(crate) fn pop_next(&mut self) -> Option<RequestId> {
        self.positions.pop_first().map(|position| position.request)
    }

    /// Removes and returns the request that is shed: the last in order, while the queue is longer than this
    /// concurrency limit can admit in time. Waiting requests occupy client connections.
    pub(crate) fn pop_excess(&mut self, concurrency_limit: f64) -> Option<RequestId> {
        let max_length = concurrency_limit * QUEUE_LENGTH_FRACTION + BASE_QUEUE_LENGTH;
        if self.positions.len() as f64 <= max_length {
            return None;
        }
        self.positions.pop_last().map(|position| position.request)
    }
}

/// The priority of a request that joins the queue at time `now`: its priority weight, raised for a write
/// and reduced for a read that will be late. It has no unit; only its order matters.
pub(crate) fn queue_priority(request: &OpenRequest, now: Micros) -> f64 {
    let late_from = request.arrived_at.saturating_add(request.rules.latency_objective / LATE_READ_DIVISOR);
    let factor = match (request.is_write, now <= late_from) {
        (true, _) => WRITE_PRIORITY,
        (false, true) => 1.0,
        (false, false) => LATE_READ_PRIORITY,
    };
    request.rules.priority_weight * factor
}

/// When a request in the queue is given up: once less than `attempt_time` microseconds are left, the least
/// that an attempt needs, or, for a request without any attempt, once half of its time limit has passed.
pub(crate) fn give_up_at(request: &OpenRequest, attempt_time: Micros) -> Micros {
    let latest_send_at = request.deadline.saturating_sub(attempt_time);
    if !request.attempts.is_empty() {
        return latest_send_at;
    }
    let time_limit = request.deadline.saturating_sub(request.arrived_at);
    (request.arrived_at + time_limit / QUEUEING_TIME_DIVISOR).min(latest_send_at)
}
