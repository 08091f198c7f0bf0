//! Slow start: what this node may send a server that has restarted and is still filling its cache.
//!
//! A server that warms up handles a rising part of its capacity and collapses when all nodes together exceed
//! that. Each node keeps to its quota of whole calls, computed alike at every node without a message (see
//! [`stonefold_allotment`]). The capacity in calls per second is estimated from the node's own traffic.

use stonefold_allotment::{Quota, Sender, SlowStart};

use crate::api::{Endpoint, Micros, ServerId};

/// The slow start of one server, and this node's quota while it lasts.
pub(crate) struct WarmUp {
    /// When the server started, as far as is known; none once it is warm.
    started_at: Option<Micros>,
    quota: Quota,
}

impl WarmUp {
    /// A warm server.
    pub(crate) fn new(server: ServerId) -> Self {
        WarmUp { started_at: None, quota: Quota::new(server.0.into()) }
    }

    /// When the server started; none once it is warm.
    pub(crate) fn started_at(&self) -> Option<Micros> {
        self.started_at
    }

    /// The server has started at this time, or is warm. Calls sent before still count against the quota.
    pub(crate) fn restart(
        &mut self,
        started_at: Option<Micros>,
        now: Micros,
        sender: &Sender,
        slow_start: &SlowStart,
    ) {
        self.started_at = started_at;
        if let Some(start) = started_at {
            self.quota.restart(sender, start, now, slow_start);
        }
    }

    /// The number of nodes or this one's index has changed.
    pub(crate) fn resize(&mut self, sender: &Sender) {
        if self.started_at.is_some() {
            self.quota.resize(sender);
        }
    }

    /// The part of its capacity that the server is certain to have, 0 to 1.
    #[inline]
    pub(crate) fn capacity_fraction(&self, slow_start: &SlowStart, now: Micros) -> f64 {
        self.started_at.map_or(1.0, |start| slow_start.capacity_fraction(now.saturating_sub(start)))
    }

    /// Whether the server is still warming up.
    pub(crate) fn is_active(&self, slow_start: &SlowStart, now: Micros) -> bool {
        self.capacity_fraction(slow_start, now) < 1.0
    }

    /// Calls that this node may send now, where the warm server handles `capacity` calls per second from all
    /// nodes together.
    pub(crate) fn remaining_calls(&self, slow_start: &SlowStart, capacity: f64, now: Micros) -> u64 {
        self.quota.remaining(slow_start, capacity, now)
    }

    /// Counts a call that is sent now.
    pub(crate) fn record_call(&mut self, slow_start: &SlowStart, now: Micros) {
        self.quota.record(slow_start, now);
    }

    /// Whether calls within the latest `window` (in microseconds) still count against the quota.
    pub(crate) fn has_recent_calls(&self, window: Micros, now: Micros) -> bool {
        self.quota.sent_within(window, now) > 0
    }
}

/// The slow start of a server at one time, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpStatus {
    /// For how long the server has run as far as is known, in microseconds.
    pub age: Micros,
    /// The part of its capacity that the server is certain to have, 0 to 1.
    pub capacity_fraction: f64,
    /// Calls that this node may send now.
    pub remaining_calls: u64,
}

/// Since when a server is warming up: its start by the endpoint list, or since operators enabled it, as they
/// may have restarted it. None if both are longer ago than `duration`.
pub(crate) fn warming_up_since(
    endpoint: &Endpoint,
    enabled_at: Option<Micros>,
    duration: Micros,
    now: Micros,
) -> Option<Micros> {
    let since = endpoint.started_at.max(enabled_at)?;
    (now.saturating_sub(since) < duration).then_some(since)
}
