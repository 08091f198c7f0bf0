//! The endpoint list: cache servers and the origin.

use super::{DeduplicationScope, Micros, ServerId};

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It is in service.
    Up,
    /// It finishes its requests and must get no new ones.
    Draining,
    /// It is no longer in the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub id: ServerId,
    /// Its state.
    pub state: EndpointState,
    /// Its zone. An attempt at another zone than the node's costs more, a zone may be unreachable as a whole, and
    /// deduplication may be limited to a zone ([`DeduplicationScope::Zone`]).
    pub zone: u32,
    /// Its cell, for [`DeduplicationScope::Cell`].
    pub cell: u32,
    /// Its type of machine; machines of one type are about equally fast.
    pub machine_type: u32,
    /// Its size relative to the other servers.
    pub weight: f64,
    /// When it last started; `None` if that is long ago.
    pub started_at: Option<Micros>,
    /// Whether it is the origin rather than a cache.
    pub is_origin: bool,
}

impl Endpoint {
    /// A cache of weight 1 that is in service and started long ago.
    pub fn up(id: ServerId) -> Self {
        Endpoint {
            id,
            state: EndpointState::Up,
            zone: 0,
            cell: 0,
            machine_type: 0,
            weight: 1.0,
            started_at: None,
            is_origin: false,
        }
    }

    /// Whether each of the two servers discards repeats of the requests that the other one has run.
    pub fn shares_deduplication(&self, other: &Endpoint, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Cell => self.cell == other.cell,
        }
    }
}

/// How an update relates to the present endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// It has only the entries that changed.
    Delta,
    /// It is the complete list: endpoints that it omits are removed.
    Full,
    /// There is none: a poll failed or the watch broke. The present list stays in force.
    Failed,
}
