//! The servers of the endpoint list, and removed ones that are still needed.

use std::collections::BTreeMap;

use crate::api::{Endpoint, EndpointState, Micros, ServerId};
use crate::server::Server;

/// Weight of a server for which the list has no usable weight.
const DEFAULT_WEIGHT: f64 = 1.0;

/// How many caches are listed and how many of them are avoided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheCounts {
    /// Caches in the endpoint list.
    pub listed: usize,
    /// Listed caches that get no requests now, or only probes: those that are disabled, suspected to be
    /// outliers, or in a zone that can't be reached.
    pub avoided: usize,
}

/// The servers, and what follows from which of them are in service.
#[derive(Default)]
pub(crate) struct ServerList {
    servers: BTreeMap<ServerId, Server>,
    /// The origin, if it is in service.
    origin: Option<ServerId>,
    /// Number of caches in service.
    caches_in_service: usize,
}

impl ServerList {
    /// A server, listed or removed but still needed.
    pub(crate) fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// The same server as [`get`](Self::get), mutable.
    pub(crate) fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// The server of an endpoint, added if it isn't known.
    pub(crate) fn get_or_add(&mut self, endpoint: &Endpoint, now: Micros) -> &mut Server {
        self.servers.entry(endpoint.id).or_insert_with(|| Server::new(endpoint.clone(), now))
    }

    /// All servers, in order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Server> + Clone {
        self.servers.values()
    }

    /// All servers, mutable, in order of their ids.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.servers.values_mut()
    }

    /// Number of servers known.
    pub(crate) fn len(&self) -> usize {
        self.servers.len()
    }

    /// The caches in service, in order of their ids.
    pub(crate) fn caches(&self) -> impl Iterator<Item = &Server> + Clone {
        self.iter().filter(|server| server.is_cache_in_service())
    }

    /// Number of caches in service.
    pub(crate) fn cache_count(&self) -> usize {
        self.caches_in_service
    }

    /// The origin, if it is in service.
    pub(crate) fn origin(&self) -> Option<ServerId> {
        self.origin
    }

    /// Marks all servers as removed, until a list has them again.
    pub(crate) fn mark_all_removed(&mut self) {
        self.iter_mut().for_each(|server| server.endpoint.state = EndpointState::Removed);
    }

    /// Drops removed servers, except those with an attempt in flight or calls within the latest `window`
    /// (in microseconds): a list may omit a server just once, and its quota must not be used twice then.
    pub(crate) fn forget_removed(&mut self, window: Micros, now: Micros) {
        let is_needed =
            |server: &Server| !server.in_flight.is_empty() || server.warm_up.has_recent_calls(window, now);
        self.servers.retain(|_, server| server.endpoint.state != EndpointState::Removed || is_needed(server));
    }

    /// Updates the origin and the number of caches, after the list or an override has changed.
    pub(crate) fn refresh(&mut self) {
        let origin = self.iter().find(|server| server.is_origin_in_service());
        self.origin = origin.map(|server| server.endpoint.id);
        self.caches_in_service = self.caches().count();
    }
}

/// The weight to use where `listed` is the one in the endpoint list; `is_static` says whether listed
/// weights are lasting sizes.
pub(crate) fn usable_weight(listed: f64, is_static: bool) -> f64 {
    let is_usable = is_static && listed.is_finite() && listed > 0.0;
    if is_usable { listed } else { DEFAULT_WEIGHT }
}
