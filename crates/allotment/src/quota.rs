//! The quota of one sender: how many calls it may send to one server while the server is in slow start.

use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Micros, Sender, SlowStart, tokens};

/// Mask of the bits of a hash that give the phase of a quota.
const PHASE_MASK: u64 = 0xffff;
/// Number of different phases: one more than [`PHASE_MASK`].
const PHASES: f64 = 65_536.0;

/// The number of calls that one sender may send to one server, with a sliding window log of the calls sent.
#[derive(Clone, Debug)]
pub struct Quota {
    server: u64,
    /// The rank of the sender in the order of all senders for this server, from 0.
    rank: u64,
    /// The sender's index for which `rank` was computed.
    index: u64,
    /// The number of senders for which `rank` was computed; 0 if it was not computed yet.
    senders: u64,
    server_started_at: Micros,
    /// From when calls are allowed; the quota becomes available gradually within one window.
    opens_at: Micros,
    /// The fraction of a token that is available at `opens_at`, 0 to 1. It differs between senders, so that they
    /// don't send at the same moments.
    phase: f64,
    /// When the calls of the latest window were sent, oldest first.
    sent: VecDeque<Micros>,
}

impl Quota {
    /// The quota for a server whose start is not known yet.
    pub fn new(server: u64) -> Self {
        Quota {
            server,
            rank: 0,
            index: 0,
            senders: 0,
            server_started_at: 0,
            opens_at: 0,
            phase: 0.0,
            sent: VecDeque::new(),
        }
    }

    /// Notes that the server started at `started_at`, which this sender learned at `now`. Calls that were sent
    /// before still count.
    ///
    /// A sender that started after the server can't know what its former process has sent: its quota opens one
    /// window after its own start.
    pub fn restart(&mut self, sender: &Sender, started_at: Micros, now: Micros, slow_start: &SlowStart) {
        self.server_started_at = started_at;
        self.opens_at = if sender.running_since() > started_at {
            sender.running_since().saturating_add(slow_start.overload_window)
        } else {
            now
        };
        self.resize(sender);
    }

    /// Follows a change of the number of senders or of the sender's index. Calls that were sent before still count.
    pub fn resize(&mut self, sender: &Sender) {
        let (index, senders) = (sender.index(), sender.count());
        if (index, senders) == (self.index, self.senders) {
            return;
        }
        let order_key = |number: u64| xxh3_64_with_seed(&number.to_le_bytes(), self.server);
        let own_key = order_key(index);
        let ranks_before = |&other: &u64| (order_key(other), other) < (own_key, index);
        self.rank = (0..senders).filter(ranks_before).count() as u64;
        // The order of the hashes depends on their high bits, so the low bits are independent of the rank.
        self.phase = (order_key(sender.distinct_number()) & PHASE_MASK) as f64 / PHASES;
        self.index = index;
        self.senders = senders;
    }

    /// How many of these tokens this sender has in any window.
    pub fn share(&self, tokens: u64) -> u64 {
        let senders = self.senders.max(1);
        tokens / senders + u64::from(self.rank < tokens % senders)
    }

    /// Number of calls that may be sent now, where the server, once warm, handles `capacity` calls per second from
    /// all senders together.
    pub fn remaining(&self, slow_start: &SlowStart, capacity: f64, now: Micros) -> u64 {
        let age = now.saturating_sub(self.server_started_at);
        let share = self.share(tokens(slow_start.budget(capacity, age)));
        // The quota becomes available gradually, so that senders that learn of a start together don't use all of it
        // at once.
        let Some(open_for) = now.checked_sub(self.opens_at) else { return 0 };
        let window = slow_start.overload_window.max(1) as f64;
        let opened = share as f64 * open_for as f64 / window + self.phase;
        share.min(opened as u64).saturating_sub(self.sent_within(slow_start.overload_window, now))
    }

    /// Counts a call that is sent now.
    pub fn record(&mut self, slow_start: &SlowStart, now: Micros) {
        let window = slow_start.overload_window;
        while self.sent.front().is_some_and(|&sent_at| now.saturating_sub(sent_at) >= window) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Number of calls sent within the window of this length that ends now.
    pub fn sent_within(&self, window: Micros, now: Micros) -> u64 {
        let is_recent = |&&sent_at: &&Micros| now.saturating_sub(sent_at) < window;
        self.sent.iter().rev().take_while(is_recent).count() as u64
    }
}
