//! State that a node shares with the other nodes, if the installation has a store for it.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use serde_json::json;
use stonefold_proto::endpoints::{EndpointList, ListedServer, ServerState};
use tracing::warn;

use crate::overrides::{Override, Overrides};

/// A boxed future, as returned by the methods of a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// State that outlives this process and is the same at all nodes. Only methods that return a future may block.
pub trait ReplicatedState: Send + Sync + 'static {
    /// Waits until the committed state is known, or until a time limit of the implementation is reached.
    fn ready(&self) -> BoxFuture<'_, ()>;

    /// The overrides in force.
    fn overrides(&self) -> Overrides;

    /// Whether anything may have changed since the last call.
    fn changed(&self) -> bool;

    /// Sets the override of a server at all nodes, durably.
    fn set_override(&self, server: String, server_override: Override) -> BoxFuture<'_, Result<(), String>>;

    /// The committed endpoint list, if it is newer than the one adopted here.
    fn newer_list(&self) -> Option<EndpointList>;

    /// Adopts a list of this version.
    ///
    /// # Errors
    ///
    /// Fails with the known version if that is newer.
    fn adopt_list(&self, version: u64) -> Result<(), u64>;

    /// Publishes a complete endpoint list to the other nodes, with the start time of each server in milliseconds of Unix
    /// time.
    fn publish_list(&self, version: u64, text: String, started: Vec<(String, u64)>);

    /// Waits for a configuration with a revision later than this, and returns its revision.
    fn config_after(&self, revision: u64) -> BoxFuture<'_, u64>;

    /// Reports that the configuration of this revision is in force here.
    fn config_applied(&self, revision: u64);
}

/// The endpoint list as this node knows it, published to the other nodes when it changes.
pub struct SharedEndpoints {
    shared: Arc<dyn ReplicatedState>,
    version: u64,
    servers: BTreeMap<String, ListedServer>,
}

impl SharedEndpoints {
    /// Creates an empty list.
    pub fn new(shared: Arc<dyn ReplicatedState>) -> SharedEndpoints {
        SharedEndpoints { shared, version: 0, servers: BTreeMap::new() }
    }

    /// Applies a complete list or a list of changes. Returns false if a newer one is known, so that this one must not be
    /// used.
    pub fn apply(&mut self, list: &EndpointList) -> bool {
        if let Err(known) = self.shared.adopt_list(list.version) {
            warn!(
                event = "list_outdated",
                version = list.version,
                known,
                "ignoring an endpoint list that is older than the committed one"
            );
            return false;
        }
        if list.full {
            self.servers.clear();
        }
        for server in &list.servers {
            match server.state {
                ServerState::Deleted => _ = self.servers.remove(&server.id),
                ServerState::Serving | ServerState::Draining => {
                    _ = self.servers.insert(server.id.clone(), server.clone());
                }
            }
        }
        if list.version > self.version {
            self.version = list.version;
            self.publish();
        }
        true
    }

    fn publish(&self) {
        let servers: Vec<&ListedServer> = self.servers.values().collect();
        let text = json!({"version": self.version, "full": true, "servers": servers}).to_string();
        let started = servers.iter().filter(|server| server.started_ms > 0.0);
        let started = started.map(|server| (server.id.clone(), server.started_ms as u64)).collect();
        self.shared.publish_list(self.version, text, started);
    }
}

#[cfg(test)]
mod tests;
