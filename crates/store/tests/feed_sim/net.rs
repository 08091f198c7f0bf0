//! Connections in virtual time. They deliver messages in order, delay them and stall, and end with or without a notice
//! to the client.

use std::collections::{BTreeMap, VecDeque};

use fastrand::Rng;
use stonefold_store::feed::publisher::{PublisherSession, SessionLimits};

use super::{CALM_START, Millis};

/// Messages on their way, each with the time at which it arrives.
pub(crate) type Queue = VecDeque<(Millis, Vec<u8>)>;

/// A connection of a subscriber to a publisher.
pub(crate) struct Conn {
    /// The subscriber's node.
    pub client: usize,
    /// The publisher's address.
    pub server: String,
    /// When the connection opens; none once it is open.
    pub opens_at: Option<Millis>,
    /// Messages to the publisher.
    pub uplink: Queue,
    /// Messages to the subscriber.
    pub downlink: Queue,
    /// Nothing arrives before this time.
    pub stalled_until: Millis,
    /// When the client is notified that the connection has ended.
    pub closes_at: Option<Millis>,
    /// The publisher's session; none before the hello and after the session's end.
    pub session: Option<PublisherSession>,
    /// The time of the first sent message, and the number of bytes sent since.
    sent: Option<(Millis, u64)>,
}

impl Conn {
    pub(crate) fn send_down(&mut self, bytes: Vec<u8>, now: Millis, rng: &mut Rng) {
        send(&mut self.downlink, bytes, now, rng);
    }

    /// Counts sent bytes, and checks that the publisher sends no more than its limits allow.
    pub(crate) fn check_send_rate(&mut self, bytes: usize, now: Millis) -> Result<(), String> {
        let limits = SessionLimits::default();
        let (since, sent_bytes) = self.sent.get_or_insert((now, 0));
        *sent_bytes += bytes as u64 + 72; // with the overhead of a frame on the network
        // The limit includes frames that overdraw the token bucket, and the heartbeats, which are sent even when it is
        // empty.
        let elapsed = now - *since;
        let max_bytes = limits.burst_bytes
            + limits.purge_reserve_bytes
            + 2 * limits.max_payload_bytes as u64
            + limits.bytes_per_second * elapsed / 1_000
            + 150 * (1 + elapsed / limits.heartbeat_interval);
        if *sent_bytes <= max_bytes {
            Ok(())
        } else {
            Err(format!("{} bytes sent in {elapsed} ms, of at most {max_bytes}", *sent_bytes))
        }
    }
}

fn send(queue: &mut Queue, bytes: Vec<u8>, now: Millis, rng: &mut Rng) {
    // A lost segment arrives later, with its retransmission. A calm network loses none.
    let retransmission_delay = if now < CALM_START && rng.u32(..100) < 2 { rng.u64(200..500) } else { 0 };
    let previous = queue.back().map_or(0, |(at, _)| *at);
    queue.push_back((previous.max(now + rng.u64(1..40) + retransmission_delay), bytes));
}

/// Removes the next message if it has arrived.
pub(crate) fn pop_arrived(queue: &mut Queue, stalled_until: Millis, now: Millis) -> Option<Vec<u8>> {
    let has_arrived = now >= stalled_until && queue.front().is_some_and(|(at, _)| *at <= now);
    if has_arrived { queue.pop_front().map(|(_, bytes)| bytes) } else { None }
}

/// All connections, by their ids.
#[derive(Default)]
pub(crate) struct Network {
    /// The id of the latest connection.
    last_id: u64,
    pub conns: BTreeMap<u64, Conn>,
    /// Nodes whose network is stalled, and until when.
    stalls: BTreeMap<usize, Millis>,
}

impl Network {
    pub(crate) fn ids(&self) -> Vec<u64> {
        self.conns.keys().copied().collect()
    }

    pub(crate) fn connect(&mut self, client: usize, server: String, now: Millis, rng: &mut Rng) -> u64 {
        self.last_id += 1;
        let stalled_until = self.stalls.get(&client).copied().unwrap_or(0);
        let conn = Conn {
            client,
            server,
            opens_at: Some(now + rng.u64(2..80)),
            uplink: Queue::new(),
            downlink: Queue::new(),
            stalled_until,
            closes_at: None,
            session: None,
            sent: None,
        };
        self.conns.insert(self.last_id, conn);
        self.last_id
    }

    /// Sends a message to the connection's publisher.
    pub(crate) fn send_up(&mut self, id: u64, bytes: Vec<u8>, now: Millis, rng: &mut Rng) {
        if let Some(conn) = self.conns.get_mut(&id) {
            send(&mut conn.uplink, bytes, now, rng);
        }
    }

    /// Closes a connection on behalf of its client.
    pub(crate) fn close(&mut self, id: u64, now: Millis) {
        if let Some(conn) = self.conns.get_mut(&id) {
            (conn.closes_at, conn.session) = (Some(now), None);
        }
    }

    /// Stalls a node's network. With `reset` its connections end when the stall does.
    pub(crate) fn stall(&mut self, node: usize, until: Millis, reset: bool, now: Millis) {
        self.stalls.insert(node, until);
        for conn in self.conns.values_mut().filter(|conn| conn.client == node) {
            conn.stalled_until = conn.stalled_until.max(until);
            if reset {
                conn.closes_at = Some(now.max(until));
            }
        }
    }

    /// Ends connections. Their clients are notified, or have to notice that nothing arrives any more.
    pub(crate) fn disconnect(&mut self, selected: impl Fn(&Conn) -> bool, is_notified: bool, now: Millis) {
        for conn in self.conns.values_mut().filter(|conn| selected(conn)) {
            conn.session = None;
            conn.uplink.clear();
            conn.downlink.clear();
            conn.opens_at = None;
            conn.closes_at = is_notified.then_some(now);
            conn.stalled_until = if is_notified { conn.stalled_until } else { Millis::MAX };
        }
    }

    /// Ends all stalls, but doesn't restore connections that have ended.
    pub(crate) fn heal(&mut self, now: Millis) {
        self.stalls.clear();
        for conn in self.conns.values_mut().filter(|conn| conn.stalled_until != Millis::MAX) {
            conn.stalled_until = conn.stalled_until.min(now);
        }
    }
}
