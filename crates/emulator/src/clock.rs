//! The models' time, on the runtime's clock: it stands still with that, and goes on with that.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stonefold_model::Micros;
use tokio::time::Instant;

/// Time since the start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time at the start.
    epoch: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), epoch }
    }

    /// Microseconds since the start.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// The runtime's time of a moment.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at)
    }

    /// Unix time of a moment, in ms.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        (self.epoch + Duration::from_micros(at)).as_millis() as u64
    }
}
