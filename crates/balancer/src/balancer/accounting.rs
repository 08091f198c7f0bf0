//! What servers bear and what requests are worth: cold servers' parts, rates, tenants' shares.
//!
//! Invariant: what all nodes send a cold server adds up to no more than its budget.

use super::*;

/// Requests that are not served count so many times, against the belief that the fleet bears what arrives.
const MANY: f64 = 4.0;

impl Balancer {
    pub(super) fn cold(&self, s: &Server) -> bool {
        s.warmth(&self.settings, self.now) < 1.0
    }

    /// Sends that a cold cache can take from us now: our whole calls of what all nodes may send it together.
    /// What we serve for each cache, by what its kind does in comparison, times the nodes, is what it stands.
    pub(super) fn allowance(&self, s: &Server) -> u64 {
        if !self.cold(s) {
            return u64::MAX;
        }
        let all: f64 = self.kinds.values().map(|kind| kind.weight / self.slowness(kind)).sum();
        let slowness = self.kinds.get(&s.member.machine_type).map_or(1.0, |kind| self.slowness(kind));
        let share = s.member.weight / slowness / all.max(f64::MIN_POSITIVE);
        let capacity = self.borne() * self.settings.node_count as f64 * share;
        s.allotment.left(&self.settings.slow_start(), capacity, self.now)
    }

    /// How slow a kind is in comparison, where the list tells no sizes.
    pub(super) fn slowness(&self, kind: &Pace) -> f64 {
        if self.unsized_list { kind.slowness } else { 1.0 }
    }

    /// Requests a second that the fleet bears for us: those served, or all while few are not.
    ///
    /// Guards against: clients that come again and again, taken for a fleet that bears as much. It hurts
    /// where most is turned away for other reasons: a cold cache then gets less than it could take, and a
    /// trickle where all is turned away.
    pub(super) fn borne(&self) -> f64 {
        let rate = |rate: &Rate| rate.per_second(self.now, self.tau());
        let arrived = rate(&self.arrived);
        rate(&self.served).max(arrived - MANY * rate(&self.unserved)).max(arrived.min(self.start))
    }

    /// The time over which rates are reckoned.
    pub(super) fn tau(&self) -> f64 {
        (self.settings.slow_start_duration as f64 / 4.0).max(1e6)
    }

    /// What serving a request is worth: little beyond its tenant's share of this node's traffic.
    pub(super) fn worth(&mut self, request: &Request) -> f64 {
        let (now, tau) = (self.now, self.tau());
        let all = self.arrived.add(now, tau);
        let worth =
            request.class.and_then(|c| self.settings.classes.get(c)).map_or(1.0, |c| c.priority_weight);
        let Some(tenant) = request.tenant.filter(|&t| t < self.settings.tenant_quotas.len()) else {
            return worth;
        };
        let share = self.tenants[tenant].add(now, tau) / all;
        let over = share > 1.25 * self.settings.tenant_quotas[tenant];
        worth * if over { self.settings.over_quota_weight } else { 1.0 }
    }
}
