//! Detects stalls of the event loop: times in which it polled no socket, because the process was stopped, starved of
//! CPU time or busy.
//!
//! Bytes that arrive during a stall are read at its end, and the kernel does not report when they arrived. Heartbeats
//! limit how early that may have been: one is due every [`HEARTBEAT_INTERVAL`], and if one is late, no socket may have
//! been polled since the one before it.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use tracing::info;

use crate::metrics::Metrics;

/// The interval of the heartbeats, each of which shows that the event loop is running.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(25);
/// A heartbeat that is late by more than this is the end of a stall.
const HEARTBEAT_TOLERANCE: Duration = Duration::from_millis(10);
/// Stalls of at least this duration are logged.
const MIN_LOGGED_STALL: Duration = Duration::from_millis(50);

/// Detects stalls of the event loop. Clones share one state.
#[derive(Clone)]
pub(crate) struct StallMonitor(Arc<Mutex<HeartbeatState>>);

struct HeartbeatState {
    last_heartbeat: Instant,
    /// The start of the stall that the last heartbeat ended, if that heartbeat was late.
    stalled_since: Option<Instant>,
}

impl Default for StallMonitor {
    fn default() -> StallMonitor {
        StallMonitor::new()
    }
}

impl StallMonitor {
    /// Creates a monitor that counts this call as its first heartbeat.
    pub(crate) fn new() -> StallMonitor {
        StallMonitor(Arc::new(Mutex::new(HeartbeatState {
            last_heartbeat: Instant::now(),
            stalled_since: None,
        })))
    }

    /// The earliest time at which bytes that are read at `now` may have arrived, on a socket that is polled whenever
    /// the event loop is not in a stall.
    pub(crate) fn earliest_arrival(&self, now: Instant) -> Instant {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if is_late(state.last_heartbeat, now) {
            return state.last_heartbeat; // the overdue heartbeat has not run yet
        }
        state.stalled_since.unwrap_or(now)
    }

    /// Lets the event loop poll its sockets if a heartbeat is overdue, so that what arrived during the stall, such as a
    /// client's disconnect, is noticed. Returns at once otherwise.
    pub(crate) async fn wait_until_over(&self) {
        if self.is_overdue(Instant::now()) {
            yield_now().await; // the runtime polls all sockets and wakes their tasks before this one
        }
    }

    /// Whether the next heartbeat is overdue.
    fn is_overdue(&self, now: Instant) -> bool {
        is_late(self.0.lock().unwrap_or_else(PoisonError::into_inner).last_heartbeat, now)
    }

    /// Records a heartbeat. Returns the duration of the stall that it ends, if there was one.
    fn heartbeat(&self, now: Instant) -> Option<Duration> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let last = std::mem::replace(&mut state.last_heartbeat, now);
        state.stalled_since = is_late(last, now).then_some(last);
        state.stalled_since.map(|since| now.saturating_duration_since(since))
    }

    /// Records heartbeats until the task is dropped, and counts and logs the stalls.
    pub(crate) async fn run(self, metrics: Arc<Metrics>) {
        loop {
            let now = Instant::now();
            if let Some(stalled) = self.heartbeat(now) {
                metrics.stalls.record(stalled);
                if stalled >= MIN_LOGGED_STALL {
                    info!(
                        event = "stalled",
                        ms = stalled.as_millis() as u64,
                        "the event loop was stalled and polled no socket"
                    );
                }
            }
            sleep_until(now + HEARTBEAT_INTERVAL).await;
        }
    }
}

/// Whether a heartbeat at `now` is late if the last one was at `last`.
fn is_late(last: Instant, now: Instant) -> bool {
    now.saturating_duration_since(last) > HEARTBEAT_INTERVAL + HEARTBEAT_TOLERANCE
}

#[cfg(test)]
mod tests;
