//! A listed server and the state that the rules keep for it.

use crate::api::{Endpoint, EndpointState, Micros, Settings};
use crate::idle_connections::IdleConnection;
use crate::in_flight::InFlight;
use crate::machine_types::ListedWeight;
use crate::outlier_detection::ServerHealth;
use crate::relative_latency::RelativeLatency;
use crate::slow_start::WarmUp;
use crate::tier::Tier;

/// A cache or the origin.
pub(crate) struct Server {
    /// Its entry in the endpoint list.
    pub(crate) endpoint: Endpoint,
    /// Operators have taken it out of service.
    pub(crate) is_disabled: bool,
    /// This node's attempts there.
    pub(crate) in_flight: InFlight,
    /// Whether it answers.
    pub(crate) health: ServerHealth,
    /// How slow it is in comparison with other caches.
    pub(crate) relative_latency: RelativeLatency,
    /// Its slow start.
    pub(crate) warm_up: WarmUp,
    /// The idle connection to it.
    pub(crate) idle_connection: IdleConnection,
}

impl Server {
    /// A server that was just listed.
    pub(crate) fn new(endpoint: Endpoint, now: Micros) -> Self {
        Server {
            is_disabled: false,
            in_flight: InFlight::default(),
            health: ServerHealth::new(now),
            relative_latency: RelativeLatency::new(),
            warm_up: WarmUp::new(endpoint.id),
            idle_connection: IdleConnection::new(),
            endpoint,
        }
    }

    /// The server has restarted, at `started_at` if it still warms up. What it was sent before still counts.
    pub(crate) fn restart(
        &mut self,
        started_at: Option<Micros>,
        now: Micros,
        sender: &stonefold_allotment::Sender,
        settings: &Settings,
    ) {
        self.relative_latency.reset();
        self.health.reset();
        self.warm_up.restart(started_at, now, sender, &settings.slow_start());
    }

    /// Whether requests may be sent to it: it is up, and not disabled.
    #[inline]
    pub(crate) fn in_service(&self) -> bool {
        self.endpoint.state == EndpointState::Up && !self.is_disabled
    }

    /// Whether it is a cache in service.
    #[inline]
    pub(crate) fn is_cache_in_service(&self) -> bool {
        self.in_service() && self.tier() == Tier::Caches
    }

    /// Whether it is the origin and in service.
    pub(crate) fn is_origin_in_service(&self) -> bool {
        self.in_service() && self.tier() == Tier::Origin
    }

    /// The tier it belongs to.
    #[inline]
    pub(crate) fn tier(&self) -> Tier {
        if self.endpoint.is_origin { Tier::Origin } else { Tier::Caches }
    }

    /// Whether an attempt at it is overdue or several in a row failed.
    pub(crate) fn is_suspect(&self, now: Micros) -> bool {
        self.health.is_suspect(&self.in_flight, now)
    }

    /// Its weight and type of machine.
    pub(crate) fn listed_weight(&self) -> ListedWeight {
        ListedWeight { machine_type: self.endpoint.machine_type, weight: self.endpoint.weight }
    }
}
