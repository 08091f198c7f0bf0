//! Slow start: what this node may send a server that has restarted and is still filling its cache.
//!
//! A server that warms up has a rising fraction of its capacity, and is overloaded when all nodes together
//! send it more than a multiple of that. Each node stays within its quota of whole calls; a call is one
//! attempt at the server. All nodes compute the quotas alike, without exchanging messages (see
//! [`stonefold_allotment`]). The capacity in calls per second is estimated from the node's own traffic.
//!
//! [`SlowStart`] has the parameters, which are the same for all servers; [`WarmUp`] is the state of one
//! server.

use stonefold_allotment::{Quota, Sender, SlowStart};

use crate::api::{Endpoint, Micros, ServerId};

/// The slow start of one server, and this node's quota while it lasts.
pub(crate) struct WarmUp {
    /// When the server started, as far as is known; `None` if it is warm.
    started_at: Option<Micros>,
    quota: Quota,
}

impl WarmUp {
    /// The state of a warm server.
    pub(crate) fn new(server: ServerId) -> Self {
        WarmUp { started_at: None, quota: Quota::new(server.0.into()) }
    }

    /// When the server started; `None` if it is warm.
    pub(crate) fn started_at(&self) -> Option<Micros> {
        self.started_at
    }

    /// Notes that the server started at `started_at`, or that it is warm (`None`). Calls that were sent
    /// before still count against the quota.
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

    /// Follows a change of the number of nodes or of this node's index.
    pub(crate) fn resize(&mut self, sender: &Sender) {
        if self.started_at.is_some() {
            self.quota.resize(sender);
        }
    }

    /// The fraction of its capacity that the server is certain to have, 0 to 1.
    #[inline]
    pub(crate) fn capacity_fraction(&self, slow_start: &SlowStart, now: Micros) -> f64 {
        self.started_at.map_or(1.0, |start| slow_start.capacity_fraction(now.saturating_sub(start)))
    }

    /// Whether the server is still warming up.
    pub(crate) fn is_active(&self, slow_start: &SlowStart, now: Micros) -> bool {
        self.capacity_fraction(slow_start, now) < 1.0
    }

    /// Number of calls that this node may send now. `capacity` is what the server handles once it is warm,
    /// in calls per second from all nodes together.
    pub(crate) fn remaining_calls(&self, slow_start: &SlowStart, capacity: f64, now: Micros) -> u64 {
        self.quota.remaining(slow_start, capacity, now)
    }

    /// Counts a call that is sent now.
    pub(crate) fn record_call(&mut self, slow_start: &SlowStart, now: Micros) {
        self.quota.record(slow_start, now);
    }

    /// Whether calls were sent within the latest `window` (in microseconds), which count against the quota.
    pub(crate) fn has_recent_calls(&self, window: Micros, now: Micros) -> bool {
        self.quota.sent_within(window, now) > 0
    }
}

/// The slow start of a server at one time, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpStatus {
    /// For how long the server has been running, as far as is known, in microseconds.
    pub age: Micros,
    /// The fraction of its capacity that the server is certain to have, 0 to 1.
    pub capacity_fraction: f64,
    /// Number of calls that this node may send now.
    pub remaining_calls: u64,
}

/// When the slow start of a server began: at its start by the endpoint list, or when operators enabled it
/// if that is later, as they may have restarted it. `None` if it is warm: both are unknown or at least
/// `duration` ago.
pub(crate) fn warming_up_since(
    endpoint: &Endpoint,
    enabled_at: Option<Micros>,
    duration: Micros,
    now: Micros,
) -> Option<Micros> {
    let since = endpoint.started_at.max(enabled_at)?;
    (now.saturating_sub(since) < duration).then_some(since)
}
