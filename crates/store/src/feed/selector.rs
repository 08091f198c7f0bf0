//! Which publisher a subscriber connects to, and when. Pure: the time is a parameter.
//!
//! Tiers are tried in order, the nearest first. Within a tier each subscriber has its own order (rendezvous hashing), so
//! that a lost relay's subscribers spread over all others. Backoff is drawn with full jitter.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::freshness::Millis;

/// The longest backoff after the first failure, in ms. It doubles with each failure in a row.
const BASE_BACKOFF_MS: Millis = 200;
/// The longest backoff after any number of failures, in ms.
const MAX_BACKOFF_MS: Millis = 8_000;
/// The most doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;
/// The longest time for which a publisher that failed is avoided, in ms; the shortest is half of it.
const MAX_AVOIDANCE_MS: Millis = 6_000;
/// The most doublings of that time for a publisher that is stale repeatedly.
const MAX_STALE_DOUBLINGS: u32 = 5;

/// Selects publishers. They are identified by their index in this subscriber's order of preference.
#[derive(Debug)]
pub struct PublisherSelector {
    /// The publishers' addresses, the preferred first.
    publishers: Vec<String>,
    /// Until when publishers are avoided.
    avoided_until: HashMap<usize, Millis>,
    /// Publishers that can't serve this subscriber at its revision. They are tried again once another one has served it,
    /// or all of them have declined.
    declined: HashSet<usize>,
    failures: u32,
    next_attempt_at: Millis,
    rng: Rng,
}

/// The publishers of all tiers in the order in which a subscriber prefers them.
pub fn preference_order(subscriber: u64, tiers: &[Vec<String>]) -> Vec<String> {
    let ordered = |tier: &Vec<String>| {
        let mut tier = tier.clone();
        tier.sort_by_key(|addr| Reverse(xxh3_64_with_seed(addr.as_bytes(), subscriber)));
        tier
    };
    tiers.iter().flat_map(ordered).collect()
}

impl PublisherSelector {
    /// The selector of a subscriber.
    pub fn new(subscriber: u64, tiers: &[Vec<String>], seed: u64) -> PublisherSelector {
        PublisherSelector {
            publishers: preference_order(subscriber, tiers),
            avoided_until: HashMap::new(),
            declined: HashSet::new(),
            failures: 0,
            next_attempt_at: 0,
            rng: Rng::with_seed(seed),
        }
    }

    /// A publisher's address.
    pub fn addr(&self, index: usize) -> &str {
        &self.publishers[index]
    }

    /// When the next attempt may be made.
    pub fn next_attempt_at(&self) -> Millis {
        self.next_attempt_at
    }

    /// The preferred publisher of those that have not declined and are not avoided, or else the one that is avoided for
    /// the shortest time.
    pub fn select(&mut self, now: Millis) -> Option<usize> {
        if self.declined.len() >= self.publishers.len() {
            self.declined.clear();
        }
        let avoided_until =
            |index: &usize| self.avoided_until.get(index).copied().filter(|&until| until > now).unwrap_or(0);
        (0..self.publishers.len()).filter(|index| !self.declined.contains(index)).min_by_key(avoided_until)
    }

    fn is_avoided(&self, index: usize, now: Millis) -> bool {
        self.avoided_until.get(&index).is_some_and(|&until| until > now)
    }

    /// Whether there is a publisher that is preferred to this one and not avoided.
    pub fn has_preferred(&self, to: usize, now: Millis) -> bool {
        (0..to).any(|index| !self.is_avoided(index, now))
    }

    /// Whether there is any other publisher that is not avoided.
    pub fn has_alternative(&self, to: usize, now: Millis) -> bool {
        (0..self.publishers.len()).any(|index| index != to && !self.is_avoided(index, now))
    }

    /// Notes that a publisher can't be reached, is silent, or has ended the session.
    pub fn on_failure(&mut self, index: usize, now: Millis) {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let max_backoff = BASE_BACKOFF_MS.saturating_mul(1 << doublings).min(MAX_BACKOFF_MS);
        self.failures = self.failures.saturating_add(1);
        self.next_attempt_at = now + self.rng.u64(0..=max_backoff);
        self.avoid(index, now, MAX_AVOIDANCE_MS);
    }

    /// Notes that a publisher can't serve this subscriber at its revision. The next one is tried soon, but not this one
    /// again: else relays that all lack what the subscriber needs would be tried in turn, and never a member.
    pub fn on_declined(&mut self, index: usize, now: Millis) {
        self.declined.insert(index);
        if self.declined.len() >= self.publishers.len() {
            return self.on_failure(index, now);
        }
        self.next_attempt_at = now + self.rng.u64(0..=BASE_BACKOFF_MS);
    }

    /// Notes that a publisher serves this subscriber.
    pub fn on_served(&mut self) {
        self.declined.clear();
    }

    /// Notes that a publisher is stale, for this many times in a row. Each time it is avoided for longer.
    pub fn on_stale(&mut self, index: usize, now: Millis, times: u32) {
        self.next_attempt_at = now;
        let max_avoidance = MAX_AVOIDANCE_MS.saturating_mul(1 << times.min(MAX_STALE_DOUBLINGS));
        self.avoid(index, now, max_avoidance);
    }

    /// Notes that a publisher has served for long enough to be a healthy one.
    pub fn on_healthy(&mut self) {
        self.failures = 0;
    }

    fn avoid(&mut self, index: usize, now: Millis, max: Millis) {
        self.avoided_until.insert(index, now + self.rng.u64(max / 2..=max));
    }

    /// Draws a time between these.
    pub fn random_between(&mut self, min: Millis, max: Millis) -> Millis {
        self.rng.u64(min..=max)
    }
}
