//! Graceful shutdown: every request is answered before the process ends.

use crate::api::Micros;

/// When the process ends, as far as is known.
pub(crate) struct Drain {
    ends_at: Micros,
}

impl Drain {
    /// No end is known.
    pub(crate) fn new() -> Self {
        Drain { ends_at: Micros::MAX }
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
