//! This node's own health: whether the silence of others may be its own fault.

use crate::Micros;

/// The highest score, at which pings have nine times their timeout.
const MAX_SCORE: u32 = 8;

/// The local health score (Lifeguard), and when this node last received anything.
#[derive(Debug)]
pub(super) struct LocalHealth {
    /// 0 is healthy.
    score: u32,
    /// When any message was last received.
    last_received: Micros,
    /// When any of this node's pings was last answered, directly or indirectly.
    last_acked: Micros,
    /// Whether this process was paused, and none of its pings was answered since.
    unacked_since_pause: bool,
}

impl LocalHealth {
    /// A healthy node that starts now.
    pub(super) fn new(now: Micros) -> LocalHealth {
        LocalHealth { score: 0, last_received: now, last_acked: now, unacked_since_pause: false }
    }

    /// The factor by which the timeouts of pings are stretched.
    pub(super) fn timeout_multiplier(&self) -> u64 {
        u64::from(1 + self.score)
    }

    pub(super) fn on_pause(&mut self) {
        self.unacked_since_pause = true;
        self.degrade();
    }

    pub(super) fn on_received(&mut self, now: Micros) {
        self.last_received = now;
    }

    pub(super) fn on_direct_ack(&mut self, now: Micros) {
        self.on_indirect_ack(now);
        self.score = self.score.saturating_sub(1);
    }

    pub(super) fn on_indirect_ack(&mut self, now: Micros) {
        self.unacked_since_pause = false;
        self.last_acked = now;
    }

    /// Notes a probe that was not answered. If nothing was received from any member in its time, the fault may be here.
    pub(super) fn on_unanswered_probe(&mut self, started: Micros) {
        if self.last_received < started {
            self.degrade();
        }
    }

    fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Whether the process was paused, and none of its pings was answered since.
    pub(super) fn is_unacked_since_pause(&self) -> bool {
        self.unacked_since_pause
    }

    /// Whether messages have been received since a time, but no ping of this node was answered by any member: its own
    /// messages get lost.
    pub(super) fn is_unacked_since(&self, since: Micros) -> bool {
        self.last_received > since && self.last_acked < since
    }
}
