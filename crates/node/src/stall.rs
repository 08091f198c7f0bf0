//! Stalls: times in which the process did not look at its sockets, because it was stopped, starved or busy.
//!
//! What a stall held back is read at its end, and the kernel doesn't tell when it came. A heartbeat bounds how long
//! that may have been: it is due every [`HEARTBEAT`], so that a late one tells since when nothing has been looked at.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use tracing::info;

use crate::metrics::Metrics;

/// How often the event loop shows that it looks at its sockets.
const HEARTBEAT: Duration = Duration::from_millis(25);
/// A heartbeat that is later than this is the end of a stall.
const TOLERANCE: Duration = Duration::from_millis(10);
/// Stalls from this length on are logged.
const LOGGED: Duration = Duration::from_millis(50);

/// What is known of the event loop's stalls. Clones share it.
#[derive(Clone)]
pub struct StallMonitor(Arc<Mutex<State>>);

struct State {
    last_heartbeat: Instant,
    /// Since when nothing was looked at before the last heartbeat, if that one was late.
    stalled_since: Option<Instant>,
}

impl Default for StallMonitor {
    fn default() -> StallMonitor {
        StallMonitor::new()
    }
}

impl StallMonitor {
    /// A monitor whose first heartbeat is now.
    pub fn new() -> StallMonitor {
        StallMonitor(Arc::new(Mutex::new(State { last_heartbeat: Instant::now(), stalled_since: None })))
    }

    /// The earliest time at which bytes that are read now may have come, though their socket was watched all the time.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if is_late(state.last_heartbeat, now) {
            return state.last_heartbeat; // the heartbeat that is due has not had its turn yet
        }
        state.stalled_since.unwrap_or(now)
    }

    /// Waits until the loop has looked at its sockets, if it has not for too long: what has come in a stall, a client's
    /// end say, is seen first. Returns at once otherwise.
    pub async fn over(&self) {
        if self.is_overdue(Instant::now()) {
            yield_now().await; // the runtime looks at all sockets before this goes on, and wakes who waits for them first
        }
    }

    fn is_overdue(&self, now: Instant) -> bool {
        is_late(self.0.lock().unwrap_or_else(PoisonError::into_inner).last_heartbeat, now)
    }

    /// Notes a heartbeat; returns how long the loop has stalled if that is over the tolerance.
    fn heartbeat(&self, now: Instant) -> Option<Duration> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let last = std::mem::replace(&mut state.last_heartbeat, now);
        state.stalled_since = is_late(last, now).then_some(last);
        state.stalled_since.map(|since| now.saturating_duration_since(since))
    }

    /// Keeps the heartbeat until it is dropped; counts and logs stalls.
    pub async fn run(self, metrics: Arc<Metrics>) {
        loop {
            let now = Instant::now();
            if let Some(stalled) = self.heartbeat(now) {
                metrics.stalls.record(stalled);
                if stalled >= LOGGED {
                    info!(event = "stalled", ms = stalled.as_millis() as u64, "nothing was read or written");
                }
            }
            sleep_until(now + HEARTBEAT).await;
        }
    }
}

fn is_late(last: Instant, now: Instant) -> bool {
    now.saturating_duration_since(last) > HEARTBEAT + TOLERANCE
}

#[cfg(test)]
mod tests;
