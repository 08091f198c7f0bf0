//! When a watch of the endpoint list is started: at the beginning, and again with backoff after a failure.
//!
//! The backoff is exponential with full jitter, so that nodes whose watches broke together do not return
//! together. All nodes share one discovery service: the more nodes there are, the longer each waits. The
//! backoff stays well below the time after which a list counts as stale, so that several attempts fit into
//! that time.

use crate::api::{Micros, Settings};

/// Failures in a row after which the backoff no longer grows.
const MAX_BACKOFF_FAILURES: u32 = 4;
/// The backoff before doubling is the time after which a list is stale, divided by this. It is doubled once
/// for each failure in a row, also for the first.
const BACKOFF_DIVISOR: Micros = 32;
/// The longest backoff is the time after which a list is stale, divided by this.
const MAX_BACKOFF_DIVISOR: Micros = 4;
/// The backoff is multiplied by the number of nodes divided by this, rounded down, but at least by 1.
const NODES_PER_BACKOFF: u64 = 8;
/// The largest factor on the backoff for the number of nodes.
const MAX_NODE_FACTOR: u64 = 8;

/// The watch of the endpoint list.
#[derive(Default)]
pub(crate) struct EndpointWatch {
    /// Number of watches that failed in a row; `None` before the first watch is started.
    failures: Option<u32>,
}

impl EndpointWatch {
    /// Returns whether the first watch is to be started; it counts as started from now on.
    pub(crate) fn start(&mut self) -> bool {
        let is_first = self.failures.is_none();
        self.failures.get_or_insert(0);
        is_first
    }

    /// Notes that an update of the list arrived.
    pub(crate) fn succeeded(&mut self) {
        self.failures = self.failures.map(|_| 0);
    }

    /// Notes that the watch broke or could not be started. Returns the backoff before the next one, in
    /// microseconds.
    pub(crate) fn failed(&mut self, settings: &Settings, rng: &mut fastrand::Rng) -> Micros {
        let failures = self.failures.map_or(1, |failures| failures + 1).min(MAX_BACKOFF_FAILURES);
        self.failures = Some(failures);
        let node_factor = (settings.node_count as u64 / NODES_PER_BACKOFF).clamp(1, MAX_NODE_FACTOR);
        let stale_after = settings.max_poll_interval;
        let backoff = (node_factor * stale_after / BACKOFF_DIVISOR) << failures;
        let backoff = backoff.min(stale_after / MAX_BACKOFF_DIVISOR);
        rng.u64(0..=backoff).max(settings.timer_granularity)
    }
}
