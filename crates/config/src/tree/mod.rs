//! The tree of a node's configuration, a module for each group of sections.
//!
//! Keys of the file are fixed by the operators' documentation; where the field's term differs, the Rust field has the term
//! and `serde(rename)` the key. The doc comments of sections and fields are the descriptions in
//! `deploy/node.schema.json`, and use the words of that documentation. `docs/GLOSSARY.md` maps one to the other.

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
    /// The node itself, and where it is reached.
    pub node: Node,
    /// What the node may use of its machine.
    pub limits: Limits,
    /// What is logged on standard error.
    pub log: Log,
    /// How requests are tried, and what clients are told.
    pub requests: Requests,
    /// Connections to servers.
    pub connections: Connections,
    /// The cache servers and the origin in general.
    pub fleet: Fleet,
    /// The store that nodes keep together; none if it is absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub store: Option<Store>,
    /// The membership of nodes: who is alive, failed, left or unreachable; none if it is absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub membership: Option<Membership>,
    /// Classes of requests; at least one.
    #[serde(rename = "class", skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<RequestClass>,
    /// Tenants and their shares of the service.
    #[serde(rename = "tenant", skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
    /// Servers as they are known before discovery has answered.
    #[serde(rename = "server", skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<Server>,
}
