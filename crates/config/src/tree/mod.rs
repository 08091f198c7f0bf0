//! The tree of a node's configuration, a module for each group of sections.
//!
//! The keys of the file are those of the operators' documentation. Where the usual technical term differs from a key, the
//! Rust field has the term and `serde(rename)` states the key; `docs/GLOSSARY.md` maps one to the other. The doc comments
//! of sections and fields are the descriptions in `deploy/node.schema.json`.

mod fleet;
mod node;
mod requests;
mod store;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use fleet::{CacheMode, Fleet, Server};
pub use node::{Limits, Log, LogFormat, Node};
pub use requests::{Connections, DeduplicationScope, Idempotency, RequestClass, Requests, Tenant};
pub use store::{Membership, Role, Store};

/// A second in milliseconds.
const SECOND: u64 = 1_000;
/// An hour in milliseconds.
const HOUR: u64 = 3_600 * SECOND;
/// A mebibyte in bytes.
const MIB: u64 = 1 << 20;

/// A node's configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// The node itself and its addresses.
    pub node: Node,
    /// The resources of the machine that the node may use.
    pub limits: Limits,
    /// What is logged on standard error.
    pub log: Log,
    /// How requests are attempted, and what clients are told.
    pub requests: Requests,
    /// Connections to servers.
    pub connections: Connections,
    /// Settings of all cache servers and of the origin.
    pub fleet: Fleet,
    /// The store that the nodes replicate; if it is absent, the node uses no store.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub store: Option<Store>,
    /// The membership of nodes: which are alive, failed, left or unreachable. If it is absent, the node takes no part in it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub membership: Option<Membership>,
    /// The classes of requests; at least one is required.
    #[serde(rename = "class", skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<RequestClass>,
    /// Tenants and their shares of the service.
    #[serde(rename = "tenant", skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
    /// The servers that are known before discovery has answered.
    #[serde(rename = "server", skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<Server>,
}
