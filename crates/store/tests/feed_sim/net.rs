//! Connections in virtual time: in order, delayed, stalled, and lost with or without a notice to the client.

use std::collections::{BTreeMap, VecDeque};

use fastrand::Rng;
use stonefold_store::feed::publisher::{PublisherSession, SessionLimits};

use super::{CALM_START, Millis};

pub(crate) type Queue = VecDeque<(Millis, Vec<u8>)>;

pub(crate) struct Conn {
    pub client: usize,
    pub server: String,
    pub opening: Option<Millis>,
    pub up: Queue,
    pub down: Queue,
    /// Nothing arrives before this.
    pub stalled: Millis,
    /// When the client is notified that it has ended.
    pub closing: Option<Millis>,
    pub session: Option<PublisherSession>,
    /// Since when bytes are counted, and how many.
    counted: Option<(Millis, u64)>,
}

impl Conn {
    pub(crate) fn send_down(&mut self, bytes: Vec<u8>, now: Millis, rng: &mut Rng) {
        send(&mut self.down, bytes, now, rng);
    }

    /// Checks that a subscriber is sent no more than the limits allow.
    pub(crate) fn account(&mut self, bytes: usize, now: Millis) -> Result<(), String> {
        let limits = SessionLimits::default();
        let (since, all) = self.counted.get_or_insert((now, 0));
        *all += bytes as u64 + 72;
        // A frame may overdraw the bucket, and heartbeats go out in any case.
        let passed = now - *since;
        let most = limits.burst_bytes
            + limits.purge_reserve_bytes
            + 2 * limits.max_payload_bytes as u64
            + limits.bytes_per_second * passed / 1_000
            + 150 * (1 + passed / limits.heartbeat_interval);
        if *all <= most {
            Ok(())
        } else {
            Err(format!("{} bytes sent in {passed} ms, at most {most} may be", *all))
        }
    }
}

fn send(queue: &mut Queue, bytes: Vec<u8>, now: Millis, rng: &mut Rng) {
    // A lost segment is retransmitted after a while; a calm network loses none.
    let lost = if now < CALM_START && rng.u32(..100) < 2 { rng.u64(200..500) } else { 0 };
    let after = queue.back().map_or(0, |(at, _)| *at);
    queue.push_back((after.max(now + rng.u64(1..40) + lost), bytes));
}

/// The next message, if it has arrived.
pub(crate) fn arrived(queue: &mut Queue, stalled: Millis, now: Millis) -> Option<Vec<u8>> {
    let there = now >= stalled && queue.front().is_some_and(|(at, _)| *at <= now);
    if there { queue.pop_front().map(|(_, bytes)| bytes) } else { None }
}

#[derive(Default)]
pub(crate) struct Network {
    next: u64,
    pub conns: BTreeMap<u64, Conn>,
    /// Nodes whose network is stalled, and until when.
    stalls: BTreeMap<usize, Millis>,
}

impl Network {
    pub(crate) fn ids(&self) -> Vec<u64> {
        self.conns.keys().copied().collect()
    }

    pub(crate) fn connect(&mut self, client: usize, server: String, now: Millis, rng: &mut Rng) -> u64 {
        self.next += 1;
        let stalled = self.stalls.get(&client).copied().unwrap_or(0);
        let conn = Conn {
            client,
            server,
            opening: Some(now + rng.u64(2..80)),
            up: Queue::new(),
            down: Queue::new(),
            stalled,
            closing: None,
            session: None,
            counted: None,
        };
        self.conns.insert(self.next, conn);
        self.next
    }

    pub(crate) fn up(&mut self, id: u64, bytes: Vec<u8>, now: Millis, rng: &mut Rng) {
        if let Some(conn) = self.conns.get_mut(&id) {
            send(&mut conn.up, bytes, now, rng);
        }
    }

    /// Closes a connection by its client.
    pub(crate) fn close(&mut self, id: u64, now: Millis) {
        if let Some(conn) = self.conns.get_mut(&id) {
            (conn.closing, conn.session) = (Some(now), None);
        }
    }

    /// Stalls a node's network; with `reset` its connections end with the stall.
    pub(crate) fn stall(&mut self, node: usize, until: Millis, reset: bool, now: Millis) {
        self.stalls.insert(node, until);
        for conn in self.conns.values_mut().filter(|conn| conn.client == node) {
            conn.stalled = conn.stalled.max(until);
            if reset {
                conn.closing = Some(now.max(until));
            }
        }
    }

    /// Ends connections; their clients are notified, or find out by the silence.
    pub(crate) fn lost(&mut self, which: impl Fn(&Conn) -> bool, is_notified: bool, now: Millis) {
        for conn in self.conns.values_mut().filter(|conn| which(conn)) {
            conn.session = None;
            conn.up.clear();
            conn.down.clear();
            conn.opening = None;
            conn.closing = is_notified.then_some(now);
            conn.stalled = if is_notified { conn.stalled } else { Millis::MAX };
        }
    }

    pub(crate) fn heal(&mut self, now: Millis) {
        self.stalls.clear();
        for conn in self.conns.values_mut().filter(|conn| conn.stalled != Millis::MAX) {
            conn.stalled = conn.stalled.min(now);
        }
    }
}
