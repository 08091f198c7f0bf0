//! Permission to send an attempt, asked for immediately before its first byte is written.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::time::Instant;

use crate::presence::Presence;
use crate::request::RESPONSE_RESERVE;
use crate::stall::StallMonitor;

/// The shortest time that an attempt can state: servers read it in whole milliseconds.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// Whether a server accepts new requests. Clones share one flag, so that attempts under way see a change.
#[derive(Clone)]
pub struct ServingFlag(Arc<AtomicBool>);

impl ServingFlag {
    pub fn new() -> ServingFlag {
        ServingFlag(Arc::new(AtomicBool::new(true)))
    }

    pub fn set(&self, serving: bool) {
        self.0.store(serving, Ordering::Relaxed);
    }

    pub fn serving(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// When the first byte of an attempt was written, if it was. Clones share one value: the driver keeps one to tell
/// attempts that it can still stop from those that the server may have seen.
#[derive(Clone, Default)]
pub struct SendStart(Arc<OnceLock<Instant>>);

impl SendStart {
    /// Whether the first byte was written.
    pub fn is_set(&self) -> bool {
        self.0.get().is_some()
    }

    /// Whether the first byte was written after `time`.
    pub fn after(&self, time: Instant) -> bool {
        self.0.get().is_some_and(|&at| at > time)
    }
}

/// The time that an attempt states to its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedTime {
    at: Instant,
    left: Duration,
}

impl StatedTime {
    /// What is left until the attempt's deadline.
    pub fn left(&self) -> Duration {
        self.left
    }

    /// By how much the stated time exceeds the client's, for a request whose last byte is written at `last_byte`:
    /// the server counts the stated time from then on.
    pub fn excess(&self, last_byte: Instant) -> Duration {
        last_byte.saturating_duration_since(self.at).saturating_sub(RESPONSE_RESERVE)
    }
}

/// What one attempt depends on, whichever server it goes to.
#[derive(Clone, Default)]
pub struct SendConditions {
    /// The client that it is for.
    pub client: Presence,
    /// Where its start is noted.
    pub start: SendStart,
    /// Tells when the loop has not looked at its sockets.
    pub stalls: StallMonitor,
    /// From when on it may not start: a repeat is discarded by the servers until then.
    pub repeat_until: Option<Instant>,
}

/// Decides whether one attempt may be sent.
pub struct SendPermit {
    server: ServingFlag,
    conditions: SendConditions,
}

impl SendPermit {
    /// A permit that holds while the server accepts requests, the client is connected and a repeat is discarded.
    pub fn new(server: ServingFlag, conditions: SendConditions) -> SendPermit {
        SendPermit { server, conditions }
    }

    /// Waits until a stall is over, before [`start`](Self::start) is asked.
    ///
    /// Guards against an attempt that begins right after a stall, for a client whose end came in it and is not seen yet.
    pub async fn stall_over(&self) {
        self.conditions.stalls.over().await;
    }

    /// Starts the attempt, or returns `None` if nothing may be sent. The deadline lies [`RESPONSE_RESERVE`] before the
    /// client's. There must be no await between this call and the first write.
    ///
    /// Guards against a request that is sent to a server which began to drain while the connection was being
    /// opened, for a client that has disconnected, after the client's deadline, or again once servers have forgotten
    /// the first time.
    pub fn start(&self, deadline: Instant) -> Option<StatedTime> {
        let now = Instant::now();
        let left = deadline.saturating_duration_since(now);
        let SendConditions { client, start, repeat_until, .. } = &self.conditions;
        let forgotten = repeat_until.is_some_and(|until| now >= until);
        if !self.server.serving() || client.has_ended() || left < SHORTEST_WAIT || forgotten {
            return None;
        }
        let _ = start.0.set(now); // a permit is used once
        Some(StatedTime { at: now, left })
    }
}

#[cfg(test)]
mod tests;
