//! This node's own health: whether missing answers of other members may be its own fault.

use crate::Micros;

/// The highest score, at which the timeout of pings is nine times as long.
const MAX_SCORE: u32 = 8;

/// The local health score (Lifeguard), and when this node last received anything.
#[derive(Debug)]
pub(super) struct LocalHealth {
    /// 0 if the node is healthy.
    score: u32,
    /// When any message was last received.
    last_received: Micros,
    /// When any ping of this node was last answered, directly or indirectly.
    last_acked: Micros,
    /// Whether this process was paused and none of its pings has been answered since.
    unacked_since_pause: bool,
}

impl LocalHealth {
    /// A healthy node that starts now.
    pub(super) fn new(now: Micros) -> LocalHealth {
        LocalHealth { score: 0, last_received: now, last_acked: now, unacked_since_pause: false }
    }

    /// The factor that lengthens the timeouts of pings.
    pub(super) fn timeout_multiplier(&self) -> u64 {
        u64::from(1 + self.score)
    }

    /// Records that this process was paused.
    pub(super) fn on_pause(&mut self) {
        self.unacked_since_pause = true;
        self.degrade();
    }

    /// Records that a message was received from any member.
    pub(super) fn on_received(&mut self, now: Micros) {
        self.last_received = now;
    }

    /// Records that a member has answered a ping of this node.
    pub(super) fn on_direct_ack(&mut self, now: Micros) {
        self.on_indirect_ack(now);
        self.score = self.score.saturating_sub(1);
    }

    /// Records that a member has answered a ping that another member sent for this node.
    pub(super) fn on_indirect_ack(&mut self, now: Micros) {
        self.unacked_since_pause = false;
        self.last_acked = now;
    }

    /// Records a probe that was not answered. If no message was received from any member since the probe started, the
    /// fault may be this node's.
    pub(super) fn on_unanswered_probe(&mut self, started: Micros) {
        if self.last_received < started {
            self.degrade();
        }
    }

    fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Whether this process was paused and none of its pings has been answered since.
    pub(super) fn is_unacked_since_pause(&self) -> bool {
        self.unacked_since_pause
    }

    /// Whether messages have been received since a time, but no member has answered a ping of this node: what this node
    /// sends is lost.
    pub(super) fn is_unacked_since(&self, since: Micros) -> bool {
        self.last_received > since && self.last_acked < since
    }
}
