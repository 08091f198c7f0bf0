//! The candidate set of a key: the few caches that may serve it, by weighted rendezvous hashing.
//!
//! All nodes with the same endpoint list compute the same ranking, so that a key is cached at few servers,
//! and a server that leaves moves only its own keys. Each cache ranks first for a part of the keys in
//! proportion to its weight, which is reduced during slow start and for slow types of machines. Where an
//! attempt at another zone has a cost, caches of the node's own zone are preferred.
//!
//! Inputs: the key's hash, and for each cache its id, its relative weight and how slow its type of machine
//! is (both without unit). Each node computes the ranking by itself, without exchanging anything.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::ServerId;
use crate::server::Server;

/// Number of caches in a candidate set.
const SET_SIZE: usize = 3;
/// Factor on the cost of crossing zones: a cost of one percent has no effect on the ranking.
const CROSS_ZONE_COST_SCALE: f64 = 100.0;
/// The local preference grows with this power of the scaled cost.
const LOCAL_PREFERENCE_EXPONENT: f64 = 1.5;
/// A hash is reduced to this many bits, which an `f64` represents exactly.
const MANTISSA_BITS: u32 = 53;

/// A cache with its score; the lowest score ranks first.
pub(crate) struct RankedCache<'a> {
    /// The cache.
    pub(crate) server: &'a Server,
    /// Its score for the key, from [`score`].
    pub(crate) score: f64,
}

impl RankedCache<'_> {
    /// Compares two caches by score, and by id where the scores are equal, so that all nodes agree.
    fn rank_order(&self, other: &Self) -> Ordering {
        let by_id = || self.server.endpoint.id.cmp(&other.server.endpoint.id);
        self.score.total_cmp(&other.score).then_with(by_id)
    }
}

/// The score of a cache for a key. `weight` is its relative capacity, `latency_ratio` how slow its type of
/// machine is.
///
/// The hash gives a uniform number between 0 and 1, and the score is exponentially distributed with rate
/// `weight / latency_ratio`. Of all caches each then has the lowest score with a probability in proportion
/// to its rate, and a change of one cache's weight changes no other cache's score.
#[inline]
pub(crate) fn score(key: u64, id: ServerId, weight: f64, latency_ratio: f64) -> f64 {
    let hash = xxh3_64_with_seed(&key.to_le_bytes(), id.0.into());
    let mantissa = hash >> (u64::BITS - MANTISSA_BITS);
    let uniform = mantissa as f64 / (1u64 << MANTISSA_BITS) as f64 + f64::MIN_POSITIVE;
    -uniform.ln() * latency_ratio / weight.max(f64::MIN_POSITIVE)
}

/// The factor on the weight of caches in the node's own zone; `cross_zone_cost` is what an attempt at
/// another zone costs, as a fraction of the value of the service. With a preference, nodes of different
/// zones have different candidate sets for a key, which costs cache hits; a low cost does not outweigh
/// that.
pub(crate) fn local_preference(cross_zone_cost: f64) -> f64 {
    (CROSS_ZONE_COST_SCALE * cross_zone_cost).powf(LOCAL_PREFERENCE_EXPONENT).max(1.0)
}

/// The candidate set: the usable caches that rank first, or, where no cache is usable, the first of all
/// caches.
pub(crate) fn candidate_set<'a>(
    mut caches: Vec<RankedCache<'a>>,
    is_usable: impl Fn(&Server) -> bool,
) -> Vec<&'a Server> {
    caches.sort_unstable_by(RankedCache::rank_order);
    let ranked = || caches.iter().map(|ranked| ranked.server);
    let set: Vec<&Server> = ranked().filter(|server| is_usable(server)).take(SET_SIZE).collect();
    if set.is_empty() { ranked().take(SET_SIZE).collect() } else { set }
}
