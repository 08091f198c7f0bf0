//! Limits on connections: a limit on all of them, and a ban for an address whose callers fail to authenticate. Pure: the
//! time is a parameter.

use std::collections::HashMap;
use std::net::IpAddr;

/// The most connections at a time, those of subscribers aside.
pub const MAX_CONNECTIONS: usize = 64;
/// The most subscribers at a time: twice the nodes of a fleet, as all of them may reconnect before their last connections
/// have ended. Each takes a descriptor and some kilobytes.
pub const MAX_SUBSCRIBERS: usize = 2_048;
/// Failures of an address within [`FAILURE_WINDOW_MS`] after which it is banned for the rest of that time.
const MAX_FAILURES: u32 = 10;
/// The time over which the failures of an address are counted, in ms.
const FAILURE_WINDOW_MS: u64 = 10_000;
/// The most addresses whose failures are counted.
const MAX_TRACKED_ADDRESSES: usize = 4_096;

/// The failures of an address.
#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    since_ms: u64,
}

/// Counts connections and failures.
#[derive(Debug, Default)]
pub struct ConnectionLimiter {
    open: usize,
    subscribers: usize,
    failures: HashMap<IpAddr, Failures>,
    /// Connections that were closed before anything was read from them.
    pub rejected_connections: u64,
    /// Authenticated callers that were rejected.
    rejected_callers: u64,
    /// Why the last of them was.
    last_reason: String,
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

    /// Notes that a connection is closed.
    pub fn on_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Counts a connection with the subscribers' from now on; false if there are too many of them.
    pub fn admit_subscriber(&mut self) -> bool {
        let has_capacity = self.subscribers < MAX_SUBSCRIBERS;
        if has_capacity {
            self.on_closed();
            self.subscribers += 1;
        }
        has_capacity
    }

    /// Notes that a subscriber's connection is closed.
    pub fn on_subscriber_closed(&mut self) {
        self.subscribers = self.subscribers.saturating_sub(1);
    }

    /// Counts a rejected caller. Returns their number if it is to be logged: for another reason than the last one, or when
    /// the number has doubled.
    pub fn on_rejected(&mut self, reason: &str) -> Option<u64> {
        self.rejected_callers += 1;
        let is_new = self.last_reason != reason;
        if is_new {
            reason.clone_into(&mut self.last_reason);
        }
        (is_new || self.rejected_callers.is_power_of_two()).then_some(self.rejected_callers)
    }

    /// Notes that a caller from an address has failed to authenticate.
    pub fn on_failure(&mut self, from: IpAddr, now_ms: u64) {
        if self.failures.len() < MAX_TRACKED_ADDRESSES || self.failures.contains_key(&from) {
            let failures = self.failures.entry(from).or_insert(Failures { count: 0, since_ms: now_ms });
            failures.count = failures.count.saturating_add(1);
        }
    }
}
