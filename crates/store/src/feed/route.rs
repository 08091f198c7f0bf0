//! Which publisher a subscriber turns to, and when: pure.
//!
//! Tiers are tried in order, the nearest first; within a tier each subscriber has an order of its own (rendezvous
//! hashing), so that a lost relay's subscribers spread over all others. Pauses are drawn with full jitter.

use std::collections::{HashMap, HashSet};

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::freshness::Millis;

/// Pauses between attempts are drawn from 0 up to this, doubled with each failure in a row, in ms ...
const BASE: Millis = 200;
/// ... and no further than this.
const CAP: Millis = 8_000;
/// A publisher that failed is passed over for up to this, and at least for half of it.
const PASSED_OVER: Millis = 6_000;

/// The way to publishers.
#[derive(Debug)]
pub struct Route {
    /// All publishers, the preferred first.
    order: Vec<String>,
    passed_over: HashMap<usize, Millis>,
    /// Those that can't serve this subscriber as it stands; until another has, or all have said so.
    declined: HashSet<usize>,
    failures: u32,
    not_before: Millis,
    rng: Rng,
}

/// The publishers of all tiers in the order in which this subscriber prefers them.
pub fn preferred(subscriber: u64, tiers: &[Vec<String>]) -> Vec<String> {
    let ordered = |tier: &Vec<String>| {
        let mut tier = tier.clone();
        tier.sort_by_key(|addr| std::cmp::Reverse(xxh3_64_with_seed(addr.as_bytes(), subscriber)));
        tier
    };
    tiers.iter().flat_map(ordered).collect()
}

impl Route {
    /// The way of a subscriber.
    pub fn new(subscriber: u64, tiers: &[Vec<String>], seed: u64) -> Route {
        Route {
            order: preferred(subscriber, tiers),
            passed_over: HashMap::new(),
            declined: HashSet::new(),
            failures: 0,
            not_before: 0,
            rng: Rng::with_seed(seed),
        }
    }

    /// A publisher's address.
    pub fn addr(&self, place: usize) -> &str {
        &self.order[place]
    }

    /// When the next attempt may be made.
    pub fn not_before(&self) -> Millis {
        self.not_before
    }

    /// The first publisher that is not passed over, else the one that is so for the shortest time, of those that have not
    /// declined; none if there are none.
    pub fn choose(&mut self, now: Millis) -> Option<usize> {
        if self.declined.len() >= self.order.len() {
            self.declined.clear();
        }
        let until =
            |place: &usize| self.passed_over.get(place).copied().filter(|&until| until > now).unwrap_or(0);
        (0..self.order.len()).filter(|place| !self.declined.contains(place)).min_by_key(until)
    }

    /// Whether there is one that is preferred to this one, or else any other, that is not passed over.
    pub fn better(&self, than: usize, now: Millis) -> bool {
        (0..than).any(|place| self.passed_over.get(&place).is_none_or(|&until| until <= now))
    }

    /// See [`Route::better`].
    pub fn other(&self, than: usize, now: Millis) -> bool {
        (0..self.order.len())
            .any(|place| place != than && self.passed_over.get(&place).is_none_or(|&until| until <= now))
    }

    /// A publisher can't be reached, fell silent, or refused.
    pub fn failed(&mut self, place: usize, now: Millis) {
        let most = BASE.saturating_mul(1 << self.failures.min(10)).min(CAP);
        self.failures = self.failures.saturating_add(1);
        self.not_before = now + self.rng.u64(0..=most);
        self.passed_over.insert(place, now + self.rng.u64(PASSED_OVER / 2..=PASSED_OVER));
    }

    /// A publisher has said that it can't serve this subscriber as it stands: the next one may. Guards against: relays
    /// that all lack what a subscriber needs, tried in turn for ever before those who have it.
    pub fn declined(&mut self, place: usize, now: Millis) {
        self.declined.insert(place);
        if self.declined.len() >= self.order.len() {
            return self.failed(place, now);
        }
        self.not_before = now + self.rng.u64(0..=BASE);
    }

    /// A publisher serves this subscriber.
    pub fn serves(&mut self) {
        self.declined.clear();
    }

    /// A publisher is stale: it is passed over for longer, the more often that was so.
    pub fn stale(&mut self, place: usize, now: Millis, times: u32) {
        self.not_before = now;
        let most = PASSED_OVER.saturating_mul(1 << times.min(5));
        self.passed_over.insert(place, now + self.rng.u64(most / 2..=most));
    }

    /// A publisher has served for a while.
    pub fn served(&mut self) {
        self.failures = 0;
    }

    /// A time drawn between these.
    pub fn drawn(&mut self, least: Millis, most: Millis) -> Millis {
        self.rng.u64(least..=most)
    }
}
