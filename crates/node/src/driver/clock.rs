//! The clock of the balancer: Unix time that never goes backwards.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stonefold_balancer::Micros;
use tokio::time::Instant;

/// Converts between the monotonic clock and Unix time. The wall clock is read only once, when this is created, so that
/// changes to it have no effect.
pub(crate) struct Clock {
    start: Instant,
    /// The Unix time at `start`.
    offset: Duration,
}

impl Clock {
    /// Creates a clock that starts at the current Unix time.
    pub(crate) fn new() -> Self {
        let offset = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), offset }
    }

    /// Converts a time of this clock to the monotonic clock.
    pub(crate) fn to_instant(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros(time).saturating_sub(self.offset)
    }

    /// Converts a time of the monotonic clock to this clock.
    pub(crate) fn to_micros(&self, time: Instant) -> Micros {
        (self.offset + time.saturating_duration_since(self.start)).as_micros() as Micros
    }
}
