//! A server of the endpoint list and the state that the rules keep for it.

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
    /// Whether operators have taken it out of service.
    pub(crate) is_disabled: bool,
    /// This node's attempts in flight at the server.
    pub(crate) in_flight: InFlight,
    /// Whether it is suspected not to answer.
    pub(crate) health: ServerHealth,
    /// How slow it is in comparison with all caches.
    pub(crate) relative_latency: RelativeLatency,
    /// The state of its slow start.
    pub(crate) warm_up: WarmUp,
    /// The idle connection of this node to it.
    pub(crate) idle_connection: IdleConnection,
}

impl Server {
    /// The state of a server that is listed for the first time.
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

    /// Forgets what was learned of a former process of the server. `started_at` is when its slow start
    /// began, and `None` if it is warm, so this is also called at the end of a slow start. Calls that were
    /// sent before still count against the quota.
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

    /// Whether requests may be sent to it: the list has it as up, and it is not disabled.
    #[inline]
    pub(crate) fn in_service(&self) -> bool {
        self.endpoint.state == EndpointState::Up && !self.is_disabled
    }

    /// Whether it is a cache in service.
    #[inline]
    pub(crate) fn is_cache_in_service(&self) -> bool {
        self.in_service() && self.tier() == Tier::Caches
    }

    /// Whether it is the origin, in service.
    pub(crate) fn is_origin_in_service(&self) -> bool {
        self.in_service() && self.tier() == Tier::Origin
    }

    /// The tier it belongs to.
    #[inline]
    pub(crate) fn tier(&self) -> Tier {
        if self.endpoint.is_origin { Tier::Origin } else { Tier::Caches }
    }

    /// Whether an attempt at it is overdue, or several in a row were not answered.
    pub(crate) fn is_suspect(&self, now: Micros) -> bool {
        self.health.is_suspect(&self.in_flight, now)
    }

    /// Its weight and machine type, from its entry in the endpoint list.
    pub(crate) fn listed_weight(&self) -> ListedWeight {
        ListedWeight { machine_type: self.endpoint.machine_type, weight: self.endpoint.weight }
    }
}
