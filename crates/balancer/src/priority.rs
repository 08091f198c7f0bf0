//! The priority weight of a request: the weight of its class, reduced while its tenant exceeds its quota, and
//! a little if its connection has many requests open.
//!
//! Priority weights have no unit: they only order the requests that wait for capacity. A tenant over its
//! quota is therefore served as long as there is capacity.
//!
//! Inputs: the weight of the class, the tenant's quota as a fraction of the node's traffic, and the arrival
//! rates of the tenant and of the node, per second.

use crate::api::{Micros, Request, Settings};
use crate::load_estimate::DecayingRate;

/// A tenant is over its quota when its fraction of the node's traffic exceeds the quota by this factor.
const QUOTA_TOLERANCE: f64 = 1.25;
/// Priority weight of a request without a known class.
const UNCLASSIFIED_WEIGHT: f64 = 1.0;

/// Factor on the priority weight of a request whose connection has many open: behind others of the same
/// class, and ahead of classes of less weight.
const CROWDED_CONNECTION_FACTOR: f64 = 0.9;

/// The traffic of this node, with which a tenant's traffic is compared.
pub(crate) struct NodeTraffic {
    /// Arrivals per second, including the request whose weight is computed.
    pub(crate) arrivals_per_second: f64,
    /// Time constant over which `arrivals_per_second` is averaged, in microseconds.
    pub(crate) time_constant: f64,
}

/// Arrival rates by tenant.
pub(crate) struct TenantRates {
    rates: Vec<DecayingRate>,
}

impl TenantRates {
    /// Rates of zero for `tenants` tenants.
    pub(crate) fn new(tenants: usize, now: Micros) -> Self {
        TenantRates { rates: (0..tenants).map(|_| DecayingRate::new(now)).collect() }
    }

    /// Adds tenants up to `tenants`; the rates of the known ones stay, even if there are more of them.
    pub(crate) fn grow(&mut self, tenants: usize, now: Micros) {
        let tenants = tenants.max(self.rates.len());
        self.rates.resize_with(tenants, || DecayingRate::new(now));
    }

    /// Counts a request for its tenant and returns the request's priority weight.
    pub(crate) fn priority_weight(
        &mut self,
        request: &Request,
        settings: &Settings,
        traffic: &NodeTraffic,
        now: Micros,
    ) -> f64 {
        let class = request.class.and_then(|class| settings.classes.get(class));
        let class_weight = class.map_or(UNCLASSIFIED_WEIGHT, |class| class.priority_weight);
        let weight = class_weight * if request.is_crowded { CROWDED_CONNECTION_FACTOR } else { 1.0 };
        let Some(tenant) = request.tenant.filter(|&tenant| tenant < settings.tenant_quotas.len()) else {
            return weight;
        };
        let tenant_rate = self.rates[tenant].record(now, traffic.time_constant);
        let share = tenant_rate / traffic.arrivals_per_second;
        let over_quota = share > QUOTA_TOLERANCE * settings.tenant_quotas[tenant];
        weight * if over_quota { settings.over_quota_weight } else { 1.0 }
    }
}
