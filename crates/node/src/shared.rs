//! What a node keeps together with its siblings, where an installation has that: the node's side of it. On this
//! platform there is none.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use serde_json::json;
use stonefold_proto::endpoints::{EndpointList, ListedServer, ServerState};
use tracing::warn;

use crate::overrides::{Override, Overrides};

/// A future of a trait object.
pub type Later<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// State that outlives this process, and that all nodes have alike. Nothing here waits but what returns a future.
pub trait Shared: Send + Sync + 'static {
    /// Waits until it is known what is committed, or was waited for long enough.
    fn ready(&self) -> Later<'_, ()>;
    /// The overrides in force.
    fn overrides(&self) -> Overrides;
    /// Whether anything may have changed since this was last asked.
    fn changed(&self) -> bool;
    /// Sets a server's override at all nodes, durably.
    fn set_override(&self, server: String, server_override: Override) -> Later<'_, Result<(), String>>;
    /// The committed list, if it is newer than the one acted on.
    fn newer_list(&self) -> Option<EndpointList>;
    /// Whether a list of this version may be acted on; it is from then on. An error tells the version that is known.
    fn may_act(&self, version: u64) -> Result<(), u64>;
    /// A list was learned: all of it, and when each server was started. The others are told in time.
    fn learned(&self, version: u64, text: String, started: Vec<(String, u64)>);
    /// Waits for a configuration of a later revision than this, and tells which it is.
    fn config_after(&self, revision: u64) -> Later<'_, u64>;
    /// The configuration of this revision is in force here.
    fn config_taken(&self, revision: u64);
}

/// The list as this node has it, for the others.
pub struct Ledger {
    shared: Arc<dyn Shared>,
    version: u64,
    entries: BTreeMap<String, ListedServer>,
}

impl Ledger {
    /// A ledger with nothing in it.
    pub fn new(shared: Arc<dyn Shared>) -> Ledger {
        Ledger { shared, version: 0, entries: BTreeMap::new() }
    }

    /// Enters a list, whole or of changes; false if a newer one is known, and this one may not be acted on.
    pub fn enter(&mut self, list: &EndpointList) -> bool {
        if let Err(known) = self.shared.may_act(list.version) {
            warn!(event = "list_too_old", version = list.version, known, "a list is not acted on");
            return false;
        }
        if list.full {
            self.entries.clear();
        }
        for entry in &list.servers {
            match entry.state {
                ServerState::Deleted => _ = self.entries.remove(&entry.id),
                _ => _ = self.entries.insert(entry.id.clone(), entry.clone()),
            }
        }
        if list.version > self.version {
            self.version = list.version;
            let servers: Vec<&ListedServer> = self.entries.values().collect();
            let text = json!({"version": list.version, "full": true, "servers": servers}).to_string();
            let started = servers.iter().filter(|entry| entry.started_ms > 0.0);
            let started = started.map(|entry| (entry.id.clone(), entry.started_ms as u64)).collect();
            self.shared.learned(list.version, text, started);
        }
        true
    }
}

#[cfg(test)]
mod tests;
