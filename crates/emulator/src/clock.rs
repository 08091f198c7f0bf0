//! The time of the models, derived from the runtime's clock: it pauses and resumes together with that.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stonefold_model::Micros;
use tokio::time::Instant;

/// Measures time since its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time at the start.
    epoch: Duration,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), epoch }
    }

    /// Microseconds since the start.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to an instant of the runtime's.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at)
    }

    /// Converts a time of this clock to Unix time, in milliseconds.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        (self.epoch + Duration::from_micros(at)).as_millis() as u64
    }
}
