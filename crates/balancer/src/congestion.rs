//! Whether a finished attempt shows that its tier is congested.
//!
//! A queue shows in the response time before the latency objective is missed: each hop of a request may
//! take an equal part of the objective. The time by which answers of a zone take longer than those of the
//! nearest zone is not counted as queueing, so that a tier that is far away doesn't seem congested. If a
//! zone queues for so long that its lowest recent response time includes the queueing, this time is taken
//! for distance, and the queueing shows only once the objective is missed.
//!
//! Inputs: outcome, response time (in microseconds) and reported utilization (0 to 1) of one attempt.

use crate::api::{AttemptEnd, Micros, Outcome};
use crate::concurrency_limit::Congestion;
use crate::tier::Tier;

/// A server that reports more of its cores in use than this is about to queue.
const SATURATED_UTILIZATION: f64 = 0.95;
/// Hops of a read whose cache missed: the cache, the origin and the cache again.
const HOPS_OF_MISS: Micros = 3;
/// Hops of a request that goes to the origin: a cache and the origin.
const HOPS_VIA_ORIGIN: Micros = 2;
/// An answer within the latency objective divided by this was not queued at all.
const PROMPT_ANSWER_DIVISOR: Micros = 3;

/// What an answer's response time is compared with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExpectedLatency {
    /// The latency objective of the request, in microseconds.
    pub(crate) objective: Micros,
    /// How much longer answers of the server's zone take than those of the nearest zone, in microseconds.
    pub(crate) extra_latency: Micros,
    /// The tier of the server.
    pub(crate) tier: Tier,
}

impl ExpectedLatency {
    /// Whether the server answered so quickly that it has no queue.
    pub(crate) fn is_prompt_answer(&self, end: &AttemptEnd) -> bool {
        let prompt = self.objective.min(self.objective / PROMPT_ANSWER_DIVISOR + self.extra_latency);
        matches!(end.outcome, Outcome::Success | Outcome::CacheMiss) && end.elapsed <= prompt
    }

    /// What a finished attempt shows about its tier, if anything. `was_overtaken` says whether the server
    /// promptly answered an attempt that was sent later.
    pub(crate) fn congestion(&self, end: &AttemptEnd, was_overtaken: bool) -> Option<Congestion> {
        let is_queued = end.utilization > Some(SATURATED_UTILIZATION) || end.elapsed > self.hop_limit(end);
        let queueing = if is_queued { Congestion::Present } else { Congestion::Absent };
        match end.outcome {
            // The attempt was lost on the way: a server with a queue would have answered it first.
            Outcome::TimedOut if was_overtaken => Some(Congestion::Absent),
            // An attempt cut off before an answer can be expected shows neither congestion nor capacity.
            Outcome::TimedOut | Outcome::Canceled => is_queued.then_some(Congestion::Present),
            Outcome::Success | Outcome::CacheMiss => Some(queueing),
            Outcome::ServerError | Outcome::Rejected | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                Some(Congestion::Present)
            }
            Outcome::NotSent => None,
        }
    }

    /// The longest time that one hop of the request takes without queueing, in microseconds.
    fn hop_limit(&self, end: &AttemptEnd) -> Micros {
        let hops = match (end.outcome, self.tier) {
            (Outcome::CacheMiss, _) => HOPS_OF_MISS,
            (_, Tier::Origin) => HOPS_VIA_ORIGIN,
            (_, Tier::Caches) => 1,
        };
        self.objective.min(self.objective / hops + self.extra_latency)
    }
}
