//! Clients that come again after a refusal: as late as they were told, spread at random, and not past their time.

use crate::Micros;
use crate::random::Random;
use crate::site::RetryKind;

/// When the clients of a site come again.
#[derive(Debug)]
pub struct Retries {
    kind: RetryKind,
    random: Random,
}

impl Retries {
    /// The same seed spreads them the same.
    pub fn new(kind: RetryKind, seed: u64) -> Retries {
        Retries { kind, random: Random::new(seed, 6) }
    }

    /// When a client comes again that was refused now, after so many tries, and whose time ends at `until`; nothing
    /// where it gives up. `wait` is what it was told to wait. The pause doubles with each try up to the longest, and
    /// is drawn from all of its range ("full jitter"), so that clients refused together don't come together.
    pub fn again(&mut self, now: Micros, tries: u64, wait: Option<Micros>, until: Micros) -> Option<Micros> {
        if tries >= self.kind.tries.get() as u64 {
            return None;
        }
        let doubled = self.kind.pause.us() << tries.saturating_sub(1).min(20);
        let range = doubled.min(self.kind.longest.us().max(self.kind.pause.us()));
        let at = now + wait.unwrap_or(0) + self.random.below(range + 1);
        (at < until).then_some(at)
    }
}

#[cfg(test)]
mod tests;
