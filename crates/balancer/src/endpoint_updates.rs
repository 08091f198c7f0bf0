//! When a watch of the endpoint list is started: at the beginning, and again with backoff after a failure.
//!
//! The backoff is exponential with full jitter, so that nodes whose watches broke together do not return
//! together. All nodes share one discovery service: the more there are, the longer each waits. The backoff is
//! bounded well below the time after which a list counts as stale, so that several attempts fit in before.

use crate::api::{Micros, Settings};

/// Failures in a row after which the backoff no longer grows.
const MAX_BACKOFF_FAILURES: u32 = 4;
/// The first backoff is the time in which a list becomes stale, divided by this and doubled.
const BACKOFF_DIVISOR: Micros = 32;
/// The longest backoff is the time in which a list becomes stale, divided by this.
const MAX_BACKOFF_DIVISOR: Micros = 4;
/// Up to this many nodes have the shortest backoff; more wait proportionally longer ...
const NODES_PER_BACKOFF: u64 = 8;
/// ... up to this many times.
const MAX_NODE_FACTOR: u64 = 8;

/// The watch of the endpoint list.
#[derive(Default)]
pub(crate) struct EndpointWatch {
    /// Watches that failed in a row; none before the first watch was started.
    failures: Option<u32>,
}

impl EndpointWatch {
    /// Whether the first watch is due; it counts as started from now on.
    pub(crate) fn start(&mut self) -> bool {
        let is_first = self.failures.is_none();
        self.failures.get_or_insert(0);
        is_first
    }

    /// An update of the list arrived.
    pub(crate) fn succeeded(&mut self) {
        self.failures = self.failures.map(|_| 0);
    }

    /// The watch broke or could not be started. Returns the backoff before the next one, in microseconds.
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
