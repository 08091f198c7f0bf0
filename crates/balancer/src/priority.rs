//! The priority weight of a request: its class's weight, reduced while its tenant exceeds its quota.
//!
//! Quotas only matter when requests compete: a tenant over its share is served as long as there is capacity.
//!
//! Inputs: the class's weight, the tenant's quota as a part of the node's traffic, and both arrival rates per
//! second.

use crate::api::{Micros, Request, Settings};
use crate::load_estimate::DecayingRate;

/// A tenant is over its quota when its part of the node's traffic exceeds its share by this factor.
const QUOTA_TOLERANCE: f64 = 1.25;
/// Weight of a request without a known class.
const UNCLASSIFIED_WEIGHT: f64 = 1.0;

/// The traffic of this node, against which a tenant's is compared.
pub(crate) struct Traffic {
    /// Arrivals per second, the request in question included.
    pub(crate) arrivals_per_second: f64,
    /// Time constant of that rate, in microseconds.
    pub(crate) time_constant: f64,
}

/// Arrival rates by tenant.
pub(crate) struct TenantRates {
    rates: Vec<DecayingRate>,
}

impl TenantRates {
    /// Rates of zero for this many tenants.
    pub(crate) fn new(tenants: usize, now: Micros) -> Self {
        TenantRates { rates: (0..tenants).map(|_| DecayingRate::new(now)).collect() }
    }

    /// Adds tenants; the rates of those known stay.
    pub(crate) fn grow(&mut self, tenants: usize, now: Micros) {
        let tenants = tenants.max(self.rates.len());
        self.rates.resize_with(tenants, || DecayingRate::new(now));
    }

    /// Counts a request for its tenant and returns the request's priority weight.
    pub(crate) fn priority_weight(
        &mut self,
        request: &Request,
        settings: &Settings,
        traffic: &Traffic,
        now: Micros,
    ) -> f64 {
        let class = request.class.and_then(|class| settings.classes.get(class));
        let weight = class.map_or(UNCLASSIFIED_WEIGHT, |class| class.priority_weight);
        let Some(tenant) = request.tenant.filter(|&tenant| tenant < settings.tenant_quotas.len()) else {
            return weight;
        };
        let tenant_rate = self.rates[tenant].record(now, traffic.time_constant);
        let share = tenant_rate / traffic.arrivals_per_second;
        let over_quota = share > QUOTA_TOLERANCE * settings.tenant_quotas[tenant];
        weight * if over_quota { settings.over_quota_weight } else { 1.0 }
    }
}
