//! Limits on connections: maximum numbers of connections and of subscribers, and a ban for an address whose callers
//! fail to authenticate. This module does no I/O and takes the time as a parameter.

use std::collections::HashMap;
use std::net::IpAddr;

/// The maximum number of open connections, not counting those of subscribers.
pub const MAX_CONNECTIONS: usize = 64;
/// The maximum number of connected subscribers: twice the nodes of a fleet, because all of them may reconnect before
/// their previous connections have ended. Each takes a file descriptor and some kilobytes.
pub const MAX_SUBSCRIBERS: usize = 2_048;
/// The number of failures of an address within [`FAILURE_WINDOW_MS`] after which it is banned for the rest of that
/// time.
const MAX_FAILURES: u32 = 10;
/// The time over which the failures of an address are counted, in ms.
const FAILURE_WINDOW_MS: u64 = 10_000;
/// The maximum number of addresses whose failures are counted.
const MAX_TRACKED_ADDRESSES: usize = 4_096;

/// How often callers from an address have recently failed to authenticate or have timed out.
#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    /// The time of the first of these failures, in ms.
    since_ms: u64,
}

/// Counts connections and failed callers, and decides which connections are admitted.
#[derive(Debug, Default)]
pub struct ConnectionLimiter {
    /// The number of open connections, not counting those of subscribers.
    open: usize,
    subscribers: usize,
    failures: HashMap<IpAddr, Failures>,
    /// The number of connections that were closed before anything was read from them.
    pub rejected_connections: u64,
    /// The number of callers that were rejected.
    rejected_callers: u64,
    /// The reason for the last of these rejections.
    last_rejection_reason: String,
}

impl ConnectionLimiter {
    /// Decides whether a connection from an address is admitted. If it is, it counts until
    /// [`on_closed`](ConnectionLimiter::on_closed).
    pub fn admit(&mut self, from: IpAddr, now_ms: u64) -> bool {
        self.failures.retain(|_, failures| now_ms.saturating_sub(failures.since_ms) < FAILURE_WINDOW_MS);
        let is_banned = self.failures.get(&from).is_some_and(|failures| failures.count >= MAX_FAILURES);
        if is_banned || self.open >= MAX_CONNECTIONS {
            self.rejected_connections += 1;
            return false;
        }
        self.open += 1;
        true
    }

    /// Records that a connection is closed.
    pub fn on_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Counts an admitted connection as a subscriber's from now on. Returns false if there are too many subscribers.
    pub fn admit_subscriber(&mut self) -> bool {
        let has_capacity = self.subscribers < MAX_SUBSCRIBERS;
        if has_capacity {
            self.on_closed();
            self.subscribers += 1;
        }
        has_capacity
    }

    /// Records that a subscriber's connection is closed.
    pub fn on_subscriber_closed(&mut self) {
        self.subscribers = self.subscribers.saturating_sub(1);
    }

    /// Counts a rejected caller. Returns the number of rejected callers if it has to be logged: if the reason differs
    /// from the last one, or the number is a power of two.
    pub fn on_rejected(&mut self, reason: &str) -> Option<u64> {
        self.rejected_callers += 1;
        let is_new = self.last_rejection_reason != reason;
        if is_new {
            reason.clone_into(&mut self.last_rejection_reason);
        }
        (is_new || self.rejected_callers.is_power_of_two()).then_some(self.rejected_callers)
    }

    /// Records that a caller from this address has failed to authenticate or has timed out.
    pub fn on_failure(&mut self, from: IpAddr, now_ms: u64) {
        if self.failures.len() < MAX_TRACKED_ADDRESSES || self.failures.contains_key(&from) {
            let failures = self.failures.entry(from).or_insert(Failures { count: 0, since_ms: now_ms });
            failures.count = failures.count.saturating_add(1);
        }
    }
}
