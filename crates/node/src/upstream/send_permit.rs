//! The permission to send an attempt, requested immediately before its first byte is written.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::time::Instant;

use crate::client_status::ClientStatus;
use crate::request::RESPONSE_RESERVE;
use crate::stall::StallMonitor;

/// The shortest time that an attempt can state: servers read it in whole milliseconds.
const MIN_STATED_TIME: Duration = Duration::from_millis(1);

/// Whether a server accepts new requests. Clones share one flag, so that attempts in progress see a change.
#[derive(Clone)]
pub(crate) struct ServingFlag(Arc<AtomicBool>);

impl ServingFlag {
    /// A flag that is set.
    pub(crate) fn new() -> ServingFlag {
        ServingFlag(Arc::new(AtomicBool::new(true)))
    }

    /// Sets or clears the flag.
    pub(crate) fn set(&self, serving: bool) {
        self.0.store(serving, Ordering::Relaxed);
    }

    /// Whether the flag is set.
    pub(crate) fn is_serving(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// When the first byte of an attempt was written, if it was. Clones share one value: the driver holds one to distinguish
/// attempts that it can still prevent from those that the server may have seen.
#[derive(Clone, Default)]
pub(crate) struct SendStart(Arc<OnceLock<Instant>>);

impl SendStart {
    /// Whether the first byte was written.
    pub(crate) fn is_set(&self) -> bool {
        self.0.get().is_some()
    }

    /// Whether the first byte was written after `time`.
    pub(crate) fn is_after(&self, time: Instant) -> bool {
        self.0.get().is_some_and(|&at| at > time)
    }
}

/// The time that an attempt states to its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StatedTime {
    at: Instant,
    remaining: Duration,
}

impl StatedTime {
    /// The time left until the deadline of the attempt.
    pub(crate) fn remaining(&self) -> Duration {
        self.remaining
    }

    /// By how much the stated time exceeds the client's, for a request whose last byte is written at `last_byte`: the
    /// server counts the stated time from then on.
    pub(crate) fn excess(&self, last_byte: Instant) -> Duration {
        last_byte.saturating_duration_since(self.at).saturating_sub(RESPONSE_RESERVE)
    }
}

/// What the permission depends on besides the server.
#[derive(Clone, Default)]
pub(crate) struct SendConditions {
    /// The client that the attempt is for.
    pub(crate) client: ClientStatus,
    /// Where the start of the attempt is recorded.
    pub(crate) start: SendStart,
    /// Knows whether the event loop has stalled.
    pub(crate) stalls: StallMonitor,
    /// A retry may start only before this time: until then servers recognise and discard a repeated request.
    pub(crate) send_before: Option<Instant>,
}

/// Decides whether one attempt may be sent.
pub(crate) struct SendPermit {
    server: ServingFlag,
    conditions: SendConditions,
}

impl SendPermit {
    /// A permit that is valid while the server accepts requests, the client is connected and a repeated request is
    /// discarded.
    pub(crate) fn new(server: ServingFlag, conditions: SendConditions) -> SendPermit {
        SendPermit { server, conditions }
    }

    /// Waits until a stall of the event loop is over, so that [`start`](Self::start) knows of a client that disconnected
    /// during the stall.
    pub(crate) async fn wait_stall_over(&self) {
        self.conditions.stalls.over().await;
    }

    /// Starts the attempt, or returns `None` if it must not be sent: because the server no longer accepts requests, the
    /// client has disconnected, its deadline has passed, or servers no longer recognise a repeated request.
    ///
    /// The deadline lies [`RESPONSE_RESERVE`] before the client's. There must be no await between this call and the first
    /// write.
    pub(crate) fn start(&self, deadline: Instant) -> Option<StatedTime> {
        let now = Instant::now();
        let remaining = deadline.saturating_duration_since(now);
        let SendConditions { client, start, send_before, .. } = &self.conditions;
        let repeat_expired = send_before.is_some_and(|time| now >= time);
        if !self.server.is_serving()
            || client.is_disconnected()
            || remaining < MIN_STATED_TIME
            || repeat_expired
        {
            return None;
        }
        let _ = start.0.set(now); // a permit is used once
        Some(StatedTime { at: now, remaining })
    }
}

#[cfg(test)]
mod tests;
