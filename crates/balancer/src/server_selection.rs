//! Which candidate a request is sent to: the one with the least load.
//!
//! Load is the number of this node's requests in flight there, weighted by how slow the cache is. The rank in
//! the candidate set breaks ties, so that an idle fleet serves each key from one cache. A candidate that the
//! request was sent to before is chosen only if all were.
//!
//! Inputs: for each candidate its rank, this node's attempts in flight there, and its response time as a
//! multiple of the average.

/// The load that one rank in the candidate set is worth: less than a request in flight.
const RANK_COST: f64 = 0.95;
/// The load that a former attempt of the same request is worth: more than any real load.
const RETRIED_SERVER_COST: f64 = 1e9;

/// What the selection knows of a candidate.
pub(crate) struct Candidate {
    /// Its place in the candidate set, from 0.
    pub(crate) rank: usize,
    /// Its load, from [`load`].
    pub(crate) load: f64,
    /// Whether the request was sent to it before.
    pub(crate) was_tried: bool,
}

impl Candidate {
    /// The cost of a candidate; the lowest is selected.
    pub(crate) fn cost(&self) -> f64 {
        let retry_cost = if self.was_tried { RETRIED_SERVER_COST } else { 0.0 };
        retry_cost + self.load + RANK_COST * self.rank as f64
    }
}

/// The load of a cache with this many attempts of ours in flight. One that has not answered yet counts as
/// loaded like the `average` cache: nothing shows that it is idle. `latency_ratio` is how slow the cache is.
pub(crate) fn load(in_flight: usize, has_answered: bool, average: f64, latency_ratio: f64) -> f64 {
    let in_flight = (in_flight as f64).max(if has_answered { 0.0 } else { average });
    (in_flight + 1.0) * latency_ratio
}
