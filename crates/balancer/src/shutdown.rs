//! Graceful shutdown of this node: every request is answered before the process ends. A server that
//! drains has an [`EndpointState`](crate::api::EndpointState) instead.

use crate::api::Micros;

/// When the process ends, in microseconds; `Micros::MAX` until a shutdown begins.
pub(crate) struct Shutdown {
    ends_at: Micros,
}

impl Shutdown {
    /// No shutdown has begun.
    pub(crate) fn new() -> Self {
        Shutdown { ends_at: Micros::MAX }
    }

    /// The process ends at this time.
    pub(crate) fn begin(&mut self, ends_at: Micros) {
        self.ends_at = ends_at;
    }

    /// A request's deadline, no later than the end of the process.
    pub(crate) fn limit_deadline(&self, deadline: Micros) -> Micros {
        deadline.min(self.ends_at)
    }

    /// Time until the end of the process, in microseconds; at least 1, so that a timer can be set to it.
    pub(crate) fn until_end(&self, now: Micros) -> Micros {
        self.ends_at.saturating_sub(now).max(1)
    }
}
