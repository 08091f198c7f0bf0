//! Graceful shutdown of this node: every request is answered before the process ends.
//!
//! This concerns the node itself; a server that drains has an [`EndpointState`](crate::api::EndpointState).

use crate::api::Micros;

/// The shutdown of this node, if one has begun.
pub(crate) struct Shutdown {
    /// When the process ends; `Micros::MAX` until a shutdown begins.
    ends_at: Micros,
}

impl Shutdown {
    /// The state before a shutdown.
    pub(crate) fn new() -> Self {
        Shutdown { ends_at: Micros::MAX }
    }

    /// Begins the shutdown: the process ends at `ends_at`.
    pub(crate) fn begin(&mut self, ends_at: Micros) {
        self.ends_at = ends_at;
    }

    /// The deadline of a request, moved to the end of the process if that is earlier.
    pub(crate) fn limit_deadline(&self, deadline: Micros) -> Micros {
        deadline.min(self.ends_at)
    }

    /// Time until the end of the process, in microseconds; at least 1, the shortest delay of a timer.
    pub(crate) fn until_end(&self, now: Micros) -> Micros {
        self.ends_at.saturating_sub(now).max(1)
    }
}
