//! Which candidate a request is sent to: the one with the least load.
//!
//! Load is this node's attempts in flight at the cache, weighted by how slow the cache is. Its unit is one
//! attempt at a cache of average speed. The rank in the candidate set counts for less than one attempt, so
//! that an idle fleet serves each key from one cache. A candidate that the request was sent to before is
//! chosen only if it was sent to all of them.
//!
//! Inputs: for each candidate its rank, this node's attempts in flight there, and its response time as a
//! multiple of the average.

/// The load that one rank in the candidate set counts for: less than one attempt in flight.
const RANK_COST: f64 = 0.95;
/// The load that an earlier attempt of the same request counts for: more than any real load.
const RETRIED_SERVER_COST: f64 = 1e9;

/// A candidate as the selection sees it.
pub(crate) struct Candidate {
    /// Its rank in the candidate set, from 0.
    pub(crate) rank: usize,
    /// Its load, from [`load`].
    pub(crate) load: f64,
    /// Whether the request was sent to it before.
    pub(crate) was_tried: bool,
}

impl Candidate {
    /// The cost of sending the request to this candidate, in units of load; the lowest is selected.
    pub(crate) fn cost(&self) -> f64 {
        let retry_cost = if self.was_tried { RETRIED_SERVER_COST } else { 0.0 };
        retry_cost + self.load + RANK_COST * self.rank as f64
    }
}

/// The load of a cache at which this node has `in_flight` attempts.
///
/// The attempt that is about to be sent counts too, so that of two idle caches the slower one has the
/// higher load. A cache that has not answered yet counts as having at least the `average` number of
/// attempts in flight: nothing shows that it is idle. `latency_ratio` is its response time as a multiple of
/// the average.
pub(crate) fn load(in_flight: usize, has_answered: bool, average: f64, latency_ratio: f64) -> f64 {
    let in_flight = (in_flight as f64).max(if has_answered { 0.0 } else { average });
    (in_flight + 1.0) * latency_ratio
}
