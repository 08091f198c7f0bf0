//! Changes of the endpoint list, administrative overrides and idle connections.

use super::Balancer;
use crate::api::{Action, Endpoint, EndpointState, EndpointUpdate, Micros, ServerId};
use crate::server::Server;
use crate::server_list::{CacheCounts, usable_weight};
use crate::slow_start::warming_up_since;
use crate::tier::Tier;
use crate::timers::Timer;

impl Balancer {
    /// Follows an update of the endpoint list, or the failure of its watch.
    pub(super) fn on_endpoints(
        &mut self,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
        out: &mut Vec<Action>,
    ) {
        if update == EndpointUpdate::Failed {
            let after = self.watch.failed(&self.settings, &mut self.rng);
            return out.push(Action::SetTimer { after, token: Timer::EndpointWatch.into() });
        }
        self.watch.succeeded();
        if update == EndpointUpdate::Full {
            self.servers.mark_all_removed();
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        self.servers.forget_removed(self.settings.overload_window, self.now);
        self.refresh_list();
    }

    fn update_endpoint(&mut self, mut endpoint: Endpoint) {
        endpoint.weight = usable_weight(endpoint.weight, self.settings.static_weights);
        let started_at = self.warming_up_since(&endpoint);
        let server = self.servers.get_or_add(&endpoint, self.now);
        if server.warm_up.started_at() != started_at {
            server.restart(started_at, self.now, &self.sender, &self.settings);
        }
        server.is_disabled = self.overrides.is_disabled(endpoint.id);
        server.endpoint = endpoint;
    }

    /// When the slow start of a server began; `None` if it is warm.
    fn warming_up_since(&self, endpoint: &Endpoint) -> Option<Micros> {
        let enabled_at = self.overrides.enabled_at(endpoint.id);
        warming_up_since(endpoint, enabled_at, self.settings.slow_start_duration, self.now)
    }

    /// Updates the state that follows from which servers are in service.
    fn refresh_list(&mut self) {
        self.servers.refresh();
        self.machine_types.update_list(self.servers.caches().map(Server::listed_weight));
    }

    /// Takes a server out of service until operators enable it. Attempts in flight there go on.
    pub(super) fn disable(&mut self, id: ServerId, out: &mut Vec<Action>) {
        if !self.overrides.disable(id) {
            return;
        }
        if let Some(server) = self.servers.get_mut(id) {
            server.is_disabled = true;
            server.idle_connection.clear();
            out.push(Action::CloseIdleConnections(id));
        }
        self.refresh_list();
    }

    /// Puts a server back into service. It counts as restarted at `since`: the operators may have restarted
    /// it, and the endpoint list shows that late.
    pub(super) fn enable(&mut self, id: ServerId, since: Micros) {
        self.overrides.enable(id, since, self.now, self.settings.slow_start_duration);
        let endpoint = self.servers.get(id).map(|server| &server.endpoint);
        let started_at = endpoint.and_then(|endpoint| self.warming_up_since(endpoint));
        if let Some(server) = self.servers.get_mut(id) {
            server.is_disabled = false;
            server.restart(started_at, self.now, &self.sender, &self.settings);
        }
        self.refresh_list();
    }

    /// The number of caches in the endpoint list, and how many of them are avoided.
    pub fn cache_counts(&self) -> CacheCounts {
        let is_listed = |server: &&Server| {
            server.tier() == Tier::Caches && server.endpoint.state != EndpointState::Removed
        };
        let mut counts = CacheCounts::default();
        for server in self.servers.iter().filter(is_listed) {
            counts.listed += 1;
            counts.avoided += usize::from(self.is_avoided(server));
        }
        counts
    }

    /// Whether a server gets no requests now, or only probes, for a reason other than its state in the
    /// list.
    fn is_avoided(&self, server: &Server) -> bool {
        server.is_disabled
            || server.is_suspect(self.now)
            || self.zones.is_unreachable(server.endpoint.zone, self.now)
    }

    /// Closes the connections that have been idle for their idle time, and plans the next check.
    pub(super) fn close_idle_connections(&mut self, out: &mut Vec<Action>) {
        if !self.idle_check.is_due(self.now) {
            return;
        }
        let idle_timeout = self.settings.idle_timeout;
        for server in self.servers.iter_mut() {
            if self.now >= server.idle_connection.expires_at(idle_timeout) {
                server.idle_connection.clear();
                out.push(Action::CloseIdleConnections(server.endpoint.id));
            }
        }
        self.idle_check.clear();
        let expiries = self.servers.iter().map(|server| server.idle_connection.expires_at(idle_timeout));
        if let Some(next) = expiries.min() {
            self.schedule_idle_check(next, out);
        }
    }

    /// Sets a timer for a check of idle connections at this time, unless an earlier one is planned.
    pub(super) fn schedule_idle_check(&mut self, at: Micros, out: &mut Vec<Action>) {
        if let Some(after) = self.idle_check.schedule(at, self.now) {
            out.push(Action::SetTimer { after, token: Timer::IdleConnections.into() });
        }
    }
}
