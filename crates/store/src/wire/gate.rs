//! Who may connect: a bound on all, and a pause for an address whose callers fail to prove themselves. Pure.

use std::collections::HashMap;
use std::net::IpAddr;

/// Connections at a time.
pub const CONNECTIONS: usize = 64;
/// Subscribers at a time: all nodes of a fleet twice over, as when each comes again before its last connection has
/// ended. Each takes a descriptor and some kilobytes.
pub const SUBSCRIBERS: usize = 2_048;
/// So many failures within the time are borne; then the address is not heard until the time is over.
const FAILURES: u32 = 10;
const TIME_MS: u64 = 10_000;
/// Addresses that are remembered.
const ADDRESSES: usize = 4_096;

/// Counts connections and failures.
#[derive(Debug, Default)]
pub struct Gate {
    open: usize,
    subscribers: usize,
    /// Failures of an address, and since when they are counted.
    failed: HashMap<IpAddr, (u32, u64)>,
    /// Connections that were not heard.
    pub turned_away: u64,
    /// Callers that were heard and refused, and why the last of them was.
    refused: (u64, String),
}

impl Gate {
    /// Whether a connection from an address is heard; if so it is open until [`closed`](Gate::closed).
    pub fn admit(&mut self, from: IpAddr, now_ms: u64) -> bool {
        self.failed.retain(|_, (_, since)| now_ms.saturating_sub(*since) < TIME_MS);
        let barred = self.failed.get(&from).is_some_and(|(failures, _)| *failures >= FAILURES);
        if barred || self.open >= CONNECTIONS {
            self.turned_away += 1;
            return false;
        }
        self.open += 1;
        true
    }

    /// A connection is closed.
    pub fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// A connection turns out to be a subscriber's, and is counted with those from now on; false if there are enough.
    pub fn subscribes(&mut self) -> bool {
        let room = self.subscribers < SUBSCRIBERS;
        if room {
            self.closed();
            self.subscribers += 1;
        }
        room
    }

    /// A subscriber's connection is closed.
    pub fn unsubscribed(&mut self) {
        self.subscribers = self.subscribers.saturating_sub(1);
    }

    /// A caller is refused: how many were, where that is worth a line of the log: for another reason than the last, or
    /// twice as many as told before.
    pub fn refused(&mut self, why: &str) -> Option<u64> {
        self.refused.0 += 1;
        let new = self.refused.1 != why;
        if new {
            why.clone_into(&mut self.refused.1);
        }
        (new || self.refused.0.is_power_of_two()).then_some(self.refused.0)
    }

    /// A caller has not proved itself.
    pub fn failed(&mut self, from: IpAddr, now_ms: u64) {
        if self.failed.len() < ADDRESSES || self.failed.contains_key(&from) {
            let (failures, _) = self.failed.entry(from).or_insert((0, now_ms));
            *failures = failures.saturating_add(1);
        }
    }
}
