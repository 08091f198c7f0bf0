//! The permit to send an attempt, which is checked immediately before the first byte is written.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::time::Instant;

use crate::client_status::ClientStatus;
use crate::request::RESPONSE_RESERVE;
use crate::stall::StallMonitor;

/// The shortest time left that an attempt can state, since servers read it in whole milliseconds.
const MIN_STATED_TIME: Duration = Duration::from_millis(1);

/// Whether a server may be sent requests. Clones share one flag, so that attempts in progress see a change.
#[derive(Clone)]
pub(crate) struct ServingFlag(Arc<AtomicBool>);

impl ServingFlag {
    /// Creates a flag that is set.
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

/// The time when an attempt was permitted to write its first byte, if it was. Clones share one value. The driver holds
/// one to distinguish attempts that it can still prevent from those that the server may have seen.
#[derive(Clone, Default)]
pub(crate) struct SendStart(Arc<OnceLock<Instant>>);

impl SendStart {
    /// Whether the attempt was permitted to write.
    pub(crate) fn is_set(&self) -> bool {
        self.0.get().is_some()
    }

    /// Whether the attempt was permitted to write after `time`.
    pub(crate) fn is_after(&self, time: Instant) -> bool {
        self.0.get().is_some_and(|&at| at > time)
    }
}

/// The time left that an attempt states to its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StatedTime {
    at: Instant,
    remaining: Duration,
}

impl StatedTime {
    /// The stated time, which is the time left until the deadline of the attempt.
    pub(crate) fn remaining(&self) -> Duration {
        self.remaining
    }

    /// By how much the stated time exceeds the time that the client still waits, for a request whose last byte is
    /// written at `last_byte`. The server counts the stated time from that byte.
    pub(crate) fn excess(&self, last_byte: Instant) -> Duration {
        last_byte.saturating_duration_since(self.at).saturating_sub(RESPONSE_RESERVE)
    }
}

/// What a permit depends on in addition to the server.
#[derive(Clone, Default)]
pub(crate) struct SendConditions {
    /// The client that the attempt is for.
    pub(crate) client: ClientStatus,
    /// Records the start of the attempt.
    pub(crate) start: SendStart,
    /// Detects whether the event loop has stalled.
    pub(crate) stalls: StallMonitor,
    /// A retry may start only before this time, until which servers recognise and discard a repeated request.
    pub(crate) send_before: Option<Instant>,
}

/// Decides whether one attempt may be sent.
pub(crate) struct SendPermit {
    server: ServingFlag,
    conditions: SendConditions,
}

impl SendPermit {
    /// Creates a permit that is valid while `server` is set, the client is connected and a repeated request would be
    /// discarded.
    pub(crate) fn new(server: ServingFlag, conditions: SendConditions) -> SendPermit {
        SendPermit { server, conditions }
    }

    /// Waits until a stall of the event loop is over, so that [`start`](Self::start) sees if the client disconnected
    /// during the stall.
    pub(crate) async fn wait_until_stall_over(&self) {
        self.conditions.stalls.wait_until_over().await;
    }

    /// Records the start of the attempt, or returns `None` if it must not be sent: because the server must not be sent
    /// requests any more, the client has disconnected, less than [`MIN_STATED_TIME`] is left until `deadline`, or
    /// servers no longer recognise a repeated request.
    ///
    /// `deadline` lies [`RESPONSE_RESERVE`] before the client's deadline. There must be no await between this call and
    /// the first write.
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
        let _ = start.0.set(now); // never set before, since a permit is used once
        Some(StatedTime { at: now, remaining })
    }
}

#[cfg(test)]
mod tests;
