//! The servers in the endpoint list: their ids for the balancer, their addresses and their idle connections.

mod former_names;
mod idle_pool;
mod server;

use std::borrow::Cow;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stonefold_balancer::settings_document::ResolvedSettings;
use stonefold_balancer::{Endpoint, EndpointState, Micros, ServerId};
use stonefold_proto::endpoints::{EndpointList, ListedServer, ServerState};
use tokio::time::Instant;
use tracing::info;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use former_names::FormerNames;
use server::Server;

use super::connection::ServerConnection;
use super::reply_history::ReplyHistory;
use super::reply_identity::RequestIdentity;
use super::send_permit::{SendConditions, SendPermit};
use super::start_times::{ListArrival, StartTimeConversion};
use crate::metrics::Metrics;

/// The numerator of the part of the servers' idle timeout after which the node closes an idle connection. It is less
/// than the whole, so that a server does not close the connection while a request is on its way.
const MAX_IDLE_NUMERATOR: u32 = 9;
/// The denominator of the same part.
const MAX_IDLE_DENOMINATOR: u32 = 10;

/// The server that an attempt goes to.
pub(crate) struct Target {
    pub(crate) addr: SocketAddr,
    /// Whether it is the origin rather than a cache server.
    pub(crate) origin: bool,
    pub(crate) permit: SendPermit,
}

/// How a server was last listed.
pub(crate) struct Listing {
    pub(crate) state: EndpointState,
    /// Unix time of the server's last start, in milliseconds; 0 if the start was long ago.
    pub(crate) started_ms: f64,
}

/// The listed servers by id, and the names of servers that operators have disabled.
pub(crate) struct Directory {
    servers: HashMap<ServerId, Server>,
    /// The names of servers that operators have disabled, listed or not. No other server gets the id of one of them.
    disabled: HashMap<ServerId, String>,
    former_names: FormerNames,
    /// The replies on the connections that were checked in.
    replies: ReplyHistory,
    /// An idle connection is closed after this time, before the server closes it.
    max_idle_time: Duration,
    metrics: Arc<Metrics>,
}

impl Directory {
    /// Creates an empty directory.
    pub(crate) fn new(idle_timeout: Duration, metrics: Arc<Metrics>) -> Self {
        let mut directory = Directory {
            servers: HashMap::new(),
            disabled: HashMap::new(),
            former_names: FormerNames::default(),
            replies: ReplyHistory::new(),
            max_idle_time: Duration::ZERO,
            metrics,
        };
        directory.set_idle_timeout(idle_timeout);
        directory
    }

    /// Sets the idle timeout of the servers, after which they close a connection.
    pub(crate) fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        self.max_idle_time = idle_timeout * MAX_IDLE_NUMERATOR / MAX_IDLE_DENOMINATOR;
    }

    /// Applies an endpoint list, and returns the servers that the balancer has to update.
    pub(crate) fn apply(
        &mut self,
        mut list: EndpointList,
        arrival: ListArrival,
        settings: &mut ResolvedSettings,
    ) -> Vec<Endpoint> {
        // Sorted by name, so that every node resolves colliding ids in the same way.
        list.servers.sort_by(|one, other| one.id.cmp(&other.id));
        if list.full {
            self.remove_unlisted(&list.servers);
        }
        let starts = StartTimeConversion::new(&list.servers, arrival);
        let new_starts = list.servers.iter().filter(|listed| self.is_new_start(listed));
        let latest = new_starts.map(|listed| listed.started_ms).fold(0.0, f64::max);
        let listed = list.servers.into_iter();
        let mut endpoints: Vec<Endpoint> =
            listed.map(|server| self.apply_server(&server, &starts, settings)).collect();
        let Some(clock_ahead) = starts.clock_ahead(latest) else { return endpoints };
        for corrected in self.correct_starts(clock_ahead) {
            match endpoints.iter_mut().find(|endpoint| endpoint.id == corrected.id) {
                Some(endpoint) => *endpoint = corrected,
                None => endpoints.push(corrected),
            }
        }
        endpoints
    }

    /// Removes the servers that a complete list, sorted by name, does not contain.
    fn remove_unlisted(&mut self, listed: &[ListedServer]) {
        let is_listed = |name: &str| listed.binary_search_by(|one| one.id.as_str().cmp(name)).is_ok();
        self.servers.retain(|id, server| {
            if is_listed(server.name()) {
                return true;
            }
            server.stop_attempts();
            info!(event = "server_removed", server = server.name(), "a server is no longer listed");
            if !self.disabled.contains_key(id) {
                self.former_names.add(server.name());
            }
            false
        });
    }

    /// Whether an entry is a server's first one or states a start that differs from the last one.
    fn is_new_start(&self, listed: &ListedServer) -> bool {
        let known = self.servers.get(&self.id_of(&listed.id));
        known.is_none_or(|server| server.started_ms() != listed.started_ms)
    }

    /// Corrects the starts from the first list, which our clock dated too early because it was ahead. Returns the
    /// servers whose start has changed.
    fn correct_starts(&mut self, clock_ahead: Micros) -> Vec<Endpoint> {
        let servers = self.servers.values_mut();
        let mut corrected: Vec<Endpoint> =
            servers.filter_map(|server| server.correct_start(clock_ahead)).collect();
        corrected.sort_by_key(|endpoint| endpoint.id);
        corrected
    }

    /// Applies the entry of one server, and returns the server as the balancer has to know it.
    fn apply_server(
        &mut self,
        listed: &ListedServer,
        starts: &StartTimeConversion,
        settings: &mut ResolvedSettings,
    ) -> Endpoint {
        let id = self.id_of(&listed.id);
        let is_new_start = self.is_new_start(listed);
        let known = self.servers.get(&id).filter(|_| !is_new_start);
        let started_at = match known {
            Some(server) => server.started_at(),
            None => starts.driver_time(listed.started_ms),
        };
        let endpoint = endpoint_of(id, listed, started_at, settings);
        let disabled = self.disabled.contains_key(&id);
        let uncertain_start = starts.are_uncertain();
        match self.servers.get_mut(&id) {
            Some(server) => server.update(listed, &endpoint, !is_new_start || uncertain_start),
            None => _ = self.servers.insert(id, Server::new(listed, &endpoint, uncertain_start)),
        }
        if let Some(server) = self.servers.get_mut(&id) {
            server.update_serving(disabled);
        }
        if endpoint.state == EndpointState::Removed {
            self.servers.remove(&id);
            if !disabled {
                self.former_names.add(&listed.id);
            }
        }
        endpoint
    }

    /// The id of the server with this name: a hash of the name, which is the same at every node. If another server has
    /// that id, the hash with the next seed is used.
    fn id_of(&self, name: &str) -> ServerId {
        let ids = (0..).map(|seed| ServerId(xxh3_64_with_seed(name.as_bytes(), seed) as u32));
        let is_taken = |id: &ServerId| {
            let owner = self.servers.get(id).map(Server::name);
            owner.or(self.disabled.get(id).map(String::as_str)).is_some_and(|owner| owner != name)
        };
        let mut free = ids.filter(|id| !is_taken(id));
        free.next().expect("there are more ids than servers")
    }

    /// How the server of this name was last listed; `None` if it is not listed.
    pub(crate) fn listing(&self, name: &str) -> Option<Listing> {
        let server = self.servers.get(&self.id_of(name)).filter(|server| server.name() == name)?;
        Some(Listing { state: server.state(), started_ms: server.started_ms() })
    }

    /// The number of listed servers.
    pub(crate) fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether a server of this name is listed, was listed recently, or is disabled.
    pub(crate) fn is_known(&self, name: &str) -> bool {
        self.servers.values().any(|server| server.name() == name)
            || self.disabled.values().any(|disabled| disabled == name)
            || self.former_names.contains(name)
    }

    /// Disables or enables the server of this name, and returns its id.
    pub(crate) fn set_disabled(&mut self, name: &str, disabled: bool) -> ServerId {
        let id = self.id_of(name);
        if disabled {
            self.disabled.insert(id, name.to_owned());
        } else {
            self.disabled.remove(&id);
        }
        if let Some(server) = self.servers.get_mut(&id) {
            server.update_serving(disabled);
        }
        id
    }

    /// Returns the target for an attempt under these conditions, and an idle connection if there is one that can carry the
    /// request. `None` if the
    /// server is not listed.
    pub(crate) fn check_out(
        &mut self,
        id: ServerId,
        request: &RequestIdentity,
        now: Instant,
        conditions: SendConditions,
    ) -> Option<(Target, Option<ServerConnection>)> {
        let server = self.servers.get_mut(&id)?;
        let pooled = server.take_idle(request, &self.replies, now, self.max_idle_time, &self.metrics);
        let permit = SendPermit::new(server.serving_flag(), conditions);
        let target = Target { addr: server.addr(), origin: server.is_origin(), permit };
        Some((target, pooled))
    }

    /// Adds a connection to the idle ones of its server, if the server still gets requests at that address.
    pub(crate) fn check_in(
        &mut self,
        id: ServerId,
        addr: SocketAddr,
        connection: ServerConnection,
        now: Instant,
    ) {
        if let Some(exchange) = connection.last_exchange() {
            self.replies.record(exchange);
        }
        if let Some(server) = self.servers.get_mut(&id)
            && server.addr() == addr
            && server.is_serving()
        {
            server.add_idle(now, connection);
        }
    }

    /// Closes the idle connections to a server.
    pub(crate) fn close_idle_connections(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.close_idle();
        }
    }

    /// Closes idle connections that are too old, or that cannot be reused.
    pub(crate) fn close_expired(&mut self, now: Instant) {
        for server in self.servers.values_mut() {
            server.close_expired(now, self.max_idle_time, &self.metrics);
        }
    }

    /// The number of idle connections.
    pub(crate) fn idle_connections(&self) -> usize {
        self.servers.values().map(Server::idle_connections).sum()
    }

    /// Closes the connection that has been idle for longest.
    pub(crate) fn close_oldest(&mut self) {
        let with_idle = self.servers.values_mut().filter(|server| server.longest_idle_since().is_some());
        if let Some(server) = with_idle.min_by_key(|server| server.longest_idle_since()) {
            server.close_oldest();
        }
    }
}

/// Converts an entry of the endpoint list to the form in which the balancer knows the server.
fn endpoint_of(
    id: ServerId,
    listed: &ListedServer,
    started_at: Option<Micros>,
    settings: &mut ResolvedSettings,
) -> Endpoint {
    let state = match listed.state {
        ServerState::Serving => EndpointState::Up,
        ServerState::Draining => EndpointState::Draining,
        ServerState::Deleted => EndpointState::Removed,
    };
    let is_origin = settings.is_origin(&listed.kind);
    Endpoint {
        id,
        state,
        zone: settings.zone(Cow::Borrowed(&listed.zone)),
        cell: listed.cell,
        machine_type: settings.machine_type(Cow::Borrowed(&listed.kind)),
        weight: listed.weight.unwrap_or(1.0),
        started_at,
        is_origin,
    }
}
