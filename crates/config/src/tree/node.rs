//! Sections of the node itself: its addresses, limits and logs.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::MIB;
use crate::units::{Count, Size};

/// The node itself and its addresses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Node {
    /// The node's name, which stays the same after a restart.
    pub name: String,
    /// The address at which clients connect. Required.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    /// The address of discovery. Required.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<SocketAddr>,
    /// The address for operator commands; if it is absent, the node takes none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub operator: Option<SocketAddr>,
    /// The seed of random choices, up to 16 hex digits; if it is absent, a new one is drawn at each start.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<String>,
    /// The zone of the node, one of `fleet.zones`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The number of nodes that send to the same servers, this one included.
    #[serde(rename = "siblings")]
    pub node_count: Count<1, 65_536>,
    /// The index of this node among the nodes that send to the same servers: from 0 to one less than `siblings`, and
    /// different at each node. Without it, the nodes' shares of a cold server's capacity add up to that capacity only on
    /// average.
    #[serde(rename = "index", skip_serializing_if = "Option::is_none")]
    pub node_index: Option<Count<0, 65_535>>,
}

impl Default for Node {
    fn default() -> Node {
        Node {
            name: "stonefold".into(),
            listen: None,
            discovery: None,
            operator: None,
            seed: None,
            zone: None,
            node_count: Count::new(1),
            node_index: None,
        }
    }
}

/// The resources of the machine that the node may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The number of file descriptors; a third of them is guaranteed to clients.
    pub sockets: Count<120, 1_048_576>,
    /// The memory that the node may use; the limits on buffered requests and values are derived from it.
    pub memory: Size<{ 16 * MIB }, { 65_536 * MIB }>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: Count::new(1024), memory: Size::new(192 * MIB) }
    }
}

/// What is logged on standard error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The lowest level that is logged, and other levels for some targets: `info,stonefold_node::discovery=debug`.
    pub level: String,
    /// The format of the log lines.
    pub format: LogFormat,
}

impl Default for Log {
    fn default() -> Log {
        Log { level: "info".into(), format: LogFormat::Text }
    }
}

/// The format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}
