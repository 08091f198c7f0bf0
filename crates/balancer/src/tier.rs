//! The two tiers that requests are sent to, each with its own response times, concurrency limit and queue.

use std::ops::{Index, IndexMut};

use crate::admission_queue::{AdmissionQueue, QueuePosition};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::latency::LatencyEstimate;

/// One of the two groups of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tier {
    /// The cache servers together.
    Caches,
    /// The origin.
    Origin,
}

/// The state that the rules keep for a tier.
pub(crate) struct TierState {
    /// Response times of the tier.
    pub(crate) latency: LatencyEstimate,
    /// The limit on attempts in flight.
    pub(crate) limit: ConcurrencyLimit,
    /// Requests that wait for capacity within the limit.
    pub(crate) queue: AdmissionQueue,
}

/// Both tiers.
pub(crate) struct Tiers {
    caches: TierState,
    origin: TierState,
}

impl Tiers {
    /// The initial state at one of `nodes`; answers are expected to meet `objective` (in microseconds).
    pub(crate) fn new(objective: f64, nodes: usize) -> Self {
        let tier = || TierState {
            latency: LatencyEstimate::for_objective(objective),
            limit: ConcurrencyLimit::new(nodes),
            queue: AdmissionQueue::default(),
        };
        Tiers { caches: tier(), origin: tier() }
    }

    /// Whether both tiers have spare capacity for hedged requests.
    pub(crate) fn allow_hedging(&self) -> bool {
        self.caches.limit.allows_hedging() && self.origin.limit.allows_hedging()
    }

    /// Removes a request from whichever queue it waits in.
    pub(crate) fn remove_queued(&mut self, position: &QueuePosition) {
        self.caches.queue.remove(position);
        self.origin.queue.remove(position);
    }
}

impl Index<Tier> for Tiers {
    type Output = TierState;

    fn index(&self, tier: Tier) -> &TierState {
        match tier {
            Tier::Caches => &self.caches,
            Tier::Origin => &self.origin,
        }
    }
}

impl IndexMut<Tier> for Tiers {
    fn index_mut(&mut self, tier: Tier) -> &mut TierState {
        match tier {
            Tier::Caches => &mut self.caches,
            Tier::Origin => &mut self.origin,
        }
    }
}
