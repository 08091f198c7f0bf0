//! Retries of rejected requests: exponential backoff with full jitter, honouring Retry-After and the deadline.

use crate::Micros;
use crate::random::{Random, stream};
use crate::site::RetryKind;

/// Highest exponent of the backoff; keeps the shift from overflowing.
const MAX_BACKOFF_EXPONENT: u64 = 20;

/// Retry policy of the clients of a site.
#[derive(Debug)]
pub struct Retries {
    kind: RetryKind,
    random: Random,
}

impl Retries {
    /// Creates the policy; the same seed gives the same backoffs.
    #[must_use]
    pub fn new(kind: RetryKind, seed: u64) -> Retries {
        Retries { kind, random: Random::new(seed, stream::RETRIES) }
    }

    /// Time of the next attempt of a request that was just rejected, or `None` if the client gives up.
    ///
    /// `attempts` counts those made so far. The backoff is drawn from its whole range (full jitter), so that clients
    /// that are rejected together do not retry together, and is added to `retry_after`.
    pub fn next_attempt(
        &mut self,
        now: Micros,
        attempts: u64,
        retry_after: Option<Micros>,
        deadline: Micros,
    ) -> Option<Micros> {
        if attempts >= self.kind.max_attempts.get() as u64 {
            return None;
        }
        let initial = self.kind.initial_backoff.us();
        let doubled = initial << attempts.saturating_sub(1).min(MAX_BACKOFF_EXPONENT);
        let range = doubled.min(self.kind.max_backoff.us().max(initial));
        let at = now + retry_after.unwrap_or(0) + self.random.below(range + 1);
        (at < deadline).then_some(at)
    }
}

#[cfg(test)]
mod tests;
