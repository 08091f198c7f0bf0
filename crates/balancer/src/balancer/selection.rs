//! Which caches may get a request, and which of them it is sent to.

use super::Balancer;
use crate::api::{RequestId, ServerId};
use crate::candidate_set::{RankedCache, candidate_set, local_preference, score};
use crate::latency::LatencyEstimate;
use crate::server::Server;
use crate::server_selection::{Candidate, load};
use crate::slow_start::WarmUpStatus;
use crate::tier::Tier;

impl Balancer {
    /// The candidate that a request is sent to next: the one with the lowest cost.
    pub(super) fn select(&self, id: RequestId) -> Option<&Server> {
        let request = self.requests.get(&id)?;
        let cost = |(rank, server): &(usize, &Server)| {
            let was_tried = request.was_sent_to(server.endpoint.id);
            Candidate { rank: *rank, load: self.load_of(server), was_tried }.cost()
        };
        let candidates = self.candidates(request.key).into_iter().enumerate();
        let selected = candidates.min_by(|left, right| cost(left).total_cmp(&cost(right)));
        selected.map(|(_, server)| server)
    }

    /// Whether the candidate that a request would be sent to has idle capacity.
    pub(super) fn best_candidate_is_idle(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let latency = self.class_latencies.get(request.rules.class);
        self.select(id).is_some_and(|server| is_idle(server, latency))
    }

    /// The candidate set of a key, in order of rank.
    pub(super) fn candidates(&self, key: u64) -> Vec<&Server> {
        let preference = local_preference(self.settings.cross_zone_cost);
        let slow_start = self.settings.slow_start();
        let mut ranked = Vec::with_capacity(self.servers.len());
        for server in self.servers.caches() {
            let endpoint = &server.endpoint;
            let is_local = self.settings.zone == Some(endpoint.zone);
            let preference = if is_local { preference } else { 1.0 };
            let weight =
                endpoint.weight * server.warm_up.capacity_fraction(&slow_start, self.now) * preference;
            let latency_ratio = self.machine_types.latency_ratio(endpoint.machine_type);
            let score = score(key, endpoint.id, weight, latency_ratio);
            ranked.push(RankedCache { server, score });
        }
        candidate_set(ranked, |server| self.is_usable(server))
    }

    /// Whether a cache may get requests now: it is not ejected, its zone can be reached, and this node's
    /// quota of it is not used up.
    fn is_usable(&self, server: &Server) -> bool {
        !server.health.is_ejected(&server.in_flight, self.now)
            && self.remaining_calls(server) > 0
            && !self.zones.is_unreachable(server.endpoint.zone, self.now)
    }

    /// Number of calls that this node may send to a server now; unlimited if it is warm.
    pub(super) fn remaining_calls(&self, server: &Server) -> u64 {
        let slow_start = self.settings.slow_start();
        if !server.warm_up.is_active(&slow_start, self.now) {
            return u64::MAX;
        }
        let share = self.machine_types.capacity_share(server.listed_weight());
        let capacity = self.load.sustained_per_second(self.now) * self.settings.node_count as f64 * share;
        server.warm_up.remaining_calls(&slow_start, capacity, self.now)
    }

    /// The slow start of a server; `None` if the server is warm or unknown.
    pub fn warm_up_status(&self, server: ServerId) -> Option<WarmUpStatus> {
        let server = self.servers.get(server)?;
        let slow_start = self.settings.slow_start();
        let started_at = server.warm_up.started_at()?;
        server.warm_up.is_active(&slow_start, self.now).then(|| WarmUpStatus {
            age: self.now.saturating_sub(started_at),
            capacity_fraction: server.warm_up.capacity_fraction(&slow_start, self.now),
            remaining_calls: self.remaining_calls(server),
        })
    }

    /// The load of a cache, for comparison with that of other caches.
    fn load_of(&self, server: &Server) -> f64 {
        let in_flight = self.tiers[Tier::Caches].limit.in_flight();
        let average = in_flight as f64 / self.servers.cache_count().max(1) as f64;
        let has_answered = server.health.has_answered();
        load(server.in_flight.len(), has_answered, average, server.relative_latency.ratio())
    }

    /// The response times to expect of a server: the origin's, or those of the request's class at the
    /// caches.
    pub(super) fn expected_latency(&self, server: &Server, class: Option<usize>) -> &LatencyEstimate {
        match server.tier() {
            Tier::Origin => &self.tiers[Tier::Origin].latency,
            Tier::Caches => self.class_latencies.get(class),
        }
    }

    /// Whether a server is the origin.
    pub(super) fn is_origin(&self, server: ServerId) -> bool {
        self.servers.get(server).is_some_and(|server| server.tier() == Tier::Origin)
    }
}

/// Whether a cache has idle capacity: none of this node's attempts in flight, and response times as without
/// congestion.
pub(super) fn is_idle(server: &Server, latency: &LatencyEstimate) -> bool {
    server.in_flight.is_empty() && server.relative_latency.is_uncongested(latency)
}
