//! Sections of the node itself: its addresses, limits and logs.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::MIB;
use crate::units::{Count, Size};

/// The node itself, and where it is reached.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Node {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect. Needed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    /// Where discovery answers. Needed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<SocketAddr>,
    /// Where operators call; nowhere if it is absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub operator: Option<SocketAddr>,
    /// Seeds random choices: up to 16 hex digits; drawn anew at each start if it is absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<String>,
    /// The zone it stands in, one of `fleet.zones`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Nodes that send to the same servers, this one included.
    #[serde(rename = "siblings")]
    pub node_count: Count<1, 65_536>,
    /// Which of them this one is, counting from 0: below `siblings`, and another at each. Without it the parts of cold
    /// servers that nodes take agree on average only.
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

/// What the node may use of its machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Descriptors; a third at most is held by clients.
    pub sockets: Count<120, 1_048_576>,
    /// Memory that the node reckons with.
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
    /// The least level, and others for some targets: `info,stonefold_node::discovery=debug`.
    pub level: String,
    /// The form of the lines.
    pub format: LogFormat,
}

impl Default for Log {
    fn default() -> Log {
        Log { level: "info".into(), format: LogFormat::Text }
    }
}

/// The form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One object a line.
    Json,
}
