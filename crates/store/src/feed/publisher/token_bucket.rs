//! A token bucket that limits the bytes sent to a subscriber.

use crate::freshness::Millis;

/// Converts between the unit of rates (tokens per second) and that of times (ms).
const MILLIS_PER_SECOND: u64 = 1_000;

/// A token bucket in which a token is a byte. Its level may become negative; sending then waits until it is refilled.
pub(super) struct TokenBucket {
    tokens: i64,
    capacity: i64,
    tokens_per_second: u64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(super) fn new(capacity: u64, tokens_per_second: u64, now: Millis) -> TokenBucket {
        let capacity = capacity as i64;
        TokenBucket { tokens: capacity, capacity, tokens_per_second, refilled_at: now }
    }

    /// Adds the tokens for the time since the last refill.
    pub(super) fn refill(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.refilled_at);
        let added = passed.saturating_mul(self.tokens_per_second) / MILLIS_PER_SECOND;
        // `refilled_at` stays as it is if the time is too short for a token, so that a later refill counts this time.
        if added > 0 {
            self.tokens = self.tokens.saturating_add_unsigned(added).min(self.capacity);
            self.refilled_at = now;
        }
    }

    pub(super) fn spend(&mut self, bytes: u64) {
        self.tokens -= bytes as i64;
    }

    /// Whether more than `level` tokens are left. A negative level allows overdrawing.
    pub(super) fn has_more_than(&self, level: i64) -> bool {
        self.tokens > level
    }

    /// The time from which there are more than `level` tokens.
    pub(super) fn next_time_above(&self, level: i64) -> Millis {
        let missing = (level + 1 - self.tokens).max(0) as u64;
        self.refilled_at + (missing * MILLIS_PER_SECOND).div_ceil(self.tokens_per_second.max(1))
    }
}
