//! The list of endpoints: cache servers and the origin.

use super::{DeduplicationScope, Micros, ServerId};

/// State of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Up,
    /// Finishes its work; must get nothing new.
    Draining,
    /// No longer there.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub id: ServerId,
    /// Its state.
    pub state: EndpointState,
    /// Its zone, for [`DeduplicationScope::Zone`].
    pub zone: u32,
    /// Its cell, for [`DeduplicationScope::Cell`].
    pub cell: u32,
    /// Its type of machine; those of one type are about equally fast.
    pub machine_type: u32,
    /// Size in comparison with the others.
    pub weight: f64,
    /// When it last started; `None` is long ago.
    pub started_at: Option<Micros>,
    /// It is the origin, not a cache.
    pub is_origin: bool,
}

impl Endpoint {
    /// A cache in service since long ago, of weight 1.
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

    /// Whether this server and `other` discard each other's repeats.
    pub fn shares_deduplication(&self, other: &Endpoint, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Cell => self.cell == other.cell,
        }
    }
}

/// How an update relates to the endpoint list held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed entries only.
    Delta,
    /// The complete list: endpoints it omits are removed.
    Full,
    /// A poll failed or the watch broke; the list held stays in force.
    Failed,
}
