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
mod tests {
    use stonefold_config::{Count, Fine};

    use super::*;

    fn retries(tries: u64, seed: u64) -> Retries {
        let (pause, longest) = (Fine::new(10_000), Fine::new(30_000));
        Retries::new(RetryKind { tries: Count::new(tries), pause, longest }, seed)
    }

    #[test]
    fn they_wait_as_told_spread_over_a_pause_that_doubles_and_end_with_their_time() {
        for seed in 0..50 {
            let mut retries = retries(4, seed);
            for (tries, longest) in [(1, 10_000), (2, 20_000), (3, 30_000)] {
                let at = retries.again(1_000, tries, Some(50_000), u64::MAX).unwrap();
                assert!((51_000..=51_000 + longest).contains(&at), "{tries}: {at}");
            }
            assert_eq!(retries.again(1_000, 4, None, u64::MAX), None, "that was its last");
            assert_eq!(retries.again(1_000, 1, Some(50_000), 51_000), None, "its time is over by then");
        }
        let draw = |seed| retries(2, seed).again(0, 1, None, u64::MAX);
        assert_eq!(draw(3), draw(3));
        let all: std::collections::BTreeSet<_> = (0..20).map(draw).collect();
        assert!(all.len() > 10, "refused together, they come apart");
    }
}
