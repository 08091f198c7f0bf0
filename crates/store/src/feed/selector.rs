//! Selects the publisher that a subscriber connects to, and the time of each attempt. This module does no I/O and takes
//! the time as a parameter.
//!
//! Tiers are tried in order, the nearest first. Within a tier, each subscriber has an order of its own (rendezvous
//! hashing), so that the subscribers of a lost relay are distributed over all others. The backoff has full jitter.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::freshness::Millis;

/// The longest backoff after the first failure, in ms. It doubles with each consecutive failure.
const BASE_BACKOFF_MS: Millis = 200;
/// The longest backoff, after any number of failures, in ms.
const MAX_BACKOFF_MS: Millis = 8_000;
/// The maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;
/// The longest time for which a publisher that failed is avoided, in ms; the shortest is half of it.
const MAX_AVOIDANCE_MS: Millis = 6_000;
/// The maximum number of doublings of [`MAX_AVOIDANCE_MS`] for consecutive stale publishers.
const MAX_STALE_DOUBLINGS: u32 = 5;

/// Selects publishers. They are identified by their index in this subscriber's order of preference.
#[derive(Debug)]
pub struct PublisherSelector {
    /// The publishers' addresses, the preferred first.
    publishers: Vec<String>,
    /// The time until which each publisher is avoided.
    avoided_until: HashMap<usize, Millis>,
    /// Publishers that have rejected a session for a reason that may not apply to other publishers. They are tried
    /// again once another publisher has served this subscriber, or all publishers have declined.
    declined: HashSet<usize>,
    consecutive_failures: u32,
    next_attempt_at: Millis,
    rng: Rng,
}

/// Returns the publishers of all tiers in the order in which a subscriber prefers them.
pub fn preference_order(subscriber: u64, tiers: &[Vec<String>]) -> Vec<String> {
    let ordered = |tier: &Vec<String>| {
        let mut tier = tier.clone();
        tier.sort_by_key(|addr| Reverse(xxh3_64_with_seed(addr.as_bytes(), subscriber)));
        tier
    };
    tiers.iter().flat_map(ordered).collect()
}

impl PublisherSelector {
    /// Creates the selector of the subscriber with this id. `seed` seeds the random times.
    pub fn new(subscriber: u64, tiers: &[Vec<String>], seed: u64) -> PublisherSelector {
        PublisherSelector {
            publishers: preference_order(subscriber, tiers),
            avoided_until: HashMap::new(),
            declined: HashSet::new(),
            consecutive_failures: 0,
            next_attempt_at: 0,
            rng: Rng::with_seed(seed),
        }
    }

    /// The address of a publisher.
    pub fn addr(&self, index: usize) -> &str {
        &self.publishers[index]
    }

    /// The earliest time of the next attempt.
    pub fn next_attempt_at(&self) -> Millis {
        self.next_attempt_at
    }

    /// Returns the most preferred publisher that has not declined and is not avoided. If all of them are avoided,
    /// returns the one whose avoidance ends first.
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

    /// Whether a publisher that is preferred to the current one is not avoided.
    pub fn has_preferred(&self, current: usize, now: Millis) -> bool {
        (0..current).any(|index| !self.is_avoided(index, now))
    }

    /// Whether any publisher other than the current one is not avoided.
    pub fn has_alternative(&self, current: usize, now: Millis) -> bool {
        (0..self.publishers.len()).any(|index| index != current && !self.is_avoided(index, now))
    }

    /// Records that a publisher is unreachable, is silent, or has ended the session.
    pub fn on_failure(&mut self, index: usize, now: Millis) {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let max_backoff = BASE_BACKOFF_MS.saturating_mul(1 << doublings).min(MAX_BACKOFF_MS);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.next_attempt_at = now + self.rng.u64(0..=max_backoff);
        self.avoid(index, now, MAX_AVOIDANCE_MS);
    }

    /// Records that a publisher has rejected the session for a reason that may not apply to other publishers: it can't
    /// serve this subscriber at its revision, or serves too many subscribers. Another publisher is tried soon, and this
    /// one not again for now: otherwise, relays that all lack what the subscriber needs would be tried in turn, and a
    /// member never.
    pub fn on_declined(&mut self, index: usize, now: Millis) {
        self.declined.insert(index);
        if self.declined.len() >= self.publishers.len() {
            return self.on_failure(index, now);
        }
        self.next_attempt_at = now + self.rng.u64(0..=BASE_BACKOFF_MS);
    }

    /// Records that a publisher serves this subscriber.
    pub fn on_served(&mut self) {
        self.declined.clear();
    }

    /// Records that a publisher is stale. `consecutive` counts the stale publishers in a row, this one included; the
    /// more, the longer this one is avoided.
    pub fn on_stale(&mut self, index: usize, now: Millis, consecutive: u32) {
        self.next_attempt_at = now;
        let max_avoidance = MAX_AVOIDANCE_MS.saturating_mul(1 << consecutive.min(MAX_STALE_DOUBLINGS));
        self.avoid(index, now, max_avoidance);
    }

    /// Records that a publisher has served for long enough to count as healthy, which resets the backoff.
    pub fn on_healthy(&mut self) {
        self.consecutive_failures = 0;
    }

    fn avoid(&mut self, index: usize, now: Millis, max: Millis) {
        self.avoided_until.insert(index, now + self.rng.u64(max / 2..=max));
    }

    /// Draws a random time from `min` to `max`, inclusive.
    pub fn random_between(&mut self, min: Millis, max: Millis) -> Millis {
        self.rng.u64(min..=max)
    }
}
