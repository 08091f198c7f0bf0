//! The tree. Each field's words are what the schema says of it.

use std::net::SocketAddr;
use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::units::{Count, Millis, Part, Positive, Size};

const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600_000;
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
    pub classes: Vec<Class>,
    /// Tenants and their shares of the service.
    #[serde(rename = "tenant", skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
    /// Servers as they are known before discovery has answered.
    #[serde(rename = "server", skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<Server>,
}

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
    pub siblings: Count<1, 65_536>,
    /// Which of them this one is, counting from 0: below `siblings`, and another at each. Without it the parts of cold
    /// servers that nodes take agree on average only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub index: Option<Count<0, 65_535>>,
}

impl Default for Node {
    fn default() -> Node {
        let (listen, discovery, operator, seed, zone, index) = Default::default();
        let siblings = Count::new(1);
        Node { name: "stonefold".into(), listen, discovery, operator, seed, zone, siblings, index }
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

/// The store that nodes keep together: configuration, orders and the list of servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Whether this node is a member, or follows what members keep.
    #[serde(default)]
    pub role: Role,
    /// The folder it is kept in: a member's as `stonefold store init` made it, a subscriber's is made if it is absent.
    pub dir: PathBuf,
    /// Where others reach it, a loopback address: a member's needed; a subscriber's makes it a relay.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    /// The file of the key: a member's that all members share, a subscriber's as `stonefold store subscriber-key` made it.
    pub key_file: PathBuf,
    /// The cluster that a subscriber follows, as `stonefold store init` printed it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cluster: Option<String>,
    /// Whom a subscriber follows, by tier, the nearest first: relays of its site, relays of its region, members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub publishers: Vec<Vec<SocketAddr>>,
    /// A starting node waits so long for the others to tell what is committed.
    #[serde(default = "store_wait")]
    pub wait: Millis<0, 60_000>,
}

/// What a node is to its store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It votes, and may change what is kept.
    #[default]
    Member,
    /// It follows what is committed.
    Subscriber,
}

impl Store {
    /// The cluster that is followed, if it is one.
    pub fn cluster(&self) -> Option<u128> {
        let digits = self.cluster.as_ref().filter(|cluster| cluster.len() == 32)?;
        u128::from_str_radix(digits, 16).ok()
    }
}

/// The membership of nodes: each finds out which of the others are alive, failed, left or unreachable from here. Changes
/// of this section take effect at the next start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// Where other nodes' datagrams are taken, a loopback address.
    pub listen: SocketAddr,
    /// Where others reach that, if it is another address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// Addresses of nodes to begin with; its own may be among them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seeds: Vec<SocketAddr>,
    /// The cluster's name: nodes of another one are not heard.
    pub cluster: String,
    /// The file of the key that all nodes share, as `stonefold store init` makes it.
    pub key_file: PathBuf,
    /// A node probes one other this often; other times follow from it. The same at all nodes.
    #[serde(default = "probe_interval")]
    pub probe_interval: Millis<100, 60_000>,
}

fn probe_interval() -> Millis<100, 60_000> {
    Millis::new(2 * SECOND)
}

fn store_wait() -> Millis<0, 60_000> {
    Millis::new(2 * SECOND)
}

/// How requests are tried, and what clients are told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Requests {
    /// Most attempts for a request.
    pub attempts: Count<1, 16>,
    /// Whether a safe read may be out twice at once.
    pub second_copies: bool,
    /// Whether servers stop work that is cancelled.
    pub cancel: bool,
    /// The longest that a refused client is asked to stay away; 0s for no advice.
    pub retry_after: Millis<0, HOUR>,
    /// What a request beyond its tenant's share is worth, as a part of its class's worth.
    pub over_share_worth: Part,
}

impl Default for Requests {
    fn default() -> Requests {
        Requests {
            attempts: Count::new(3),
            second_copies: true,
            cancel: true,
            retry_after: Millis::new(2 * SECOND),
            over_share_worth: Part::new(1.0),
        }
    }
}

/// Connections to servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// A connection that is not up after this time has failed.
    pub connect_timeout: Millis<1, 60_000>,
    /// Servers close a connection that has idled for so long.
    pub keepalive: Millis<100, { 24 * HOUR }>,
}

impl Default for Connections {
    fn default() -> Connections {
        Connections { connect_timeout: Millis::new(250), keepalive: Millis::new(15 * SECOND) }
    }
}

/// The cache servers and the origin in general.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Where a missing value is fetched.
    pub mode: Mode,
    /// The kind of server that is the origin.
    pub origin_kind: String,
    /// The zones, by name.
    pub zones: Vec<String>,
    /// Whether changes of the list come by a watch.
    pub subscribe: bool,
    /// The list is asked for at least this often.
    pub ask_within: Millis<100, HOUR>,
    /// A started server is warm after this time.
    pub cold: Millis<0, HOUR>,
    /// A started server has at least this part of its capacity.
    pub cold_from: Part,
    /// A cold server collapses if sent this multiple of its capacity ...
    pub overload_factor: Positive,
    /// ... for this long.
    pub overload_for: Millis<1, HOUR>,
    /// What an attempt at another zone costs, as a part of what the service is worth.
    pub cross_zone_price: Part,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            mode: Mode::Aside,
            origin_kind: "origin".into(),
            zones: Vec::new(),
            subscribe: true,
            ask_within: Millis::new(10 * SECOND),
            cold: Millis::new(9 * SECOND),
            cold_from: Part::new(0.3),
            overload_factor: Positive::new(3.0),
            overload_for: Millis::new(1500),
            cross_zone_price: Part::new(0.0),
        }
    }
}

/// Where a missing value is fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// A cache answers that it misses, and the node asks the origin.
    Aside,
    /// The cache fetches by itself.
    Through,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, as clients state it.
    pub name: String,
    /// An answer within this time has full worth.
    pub aim: Millis<1, HOUR>,
    /// No client waits longer; at least the aim.
    pub deadline: Millis<1, HOUR>,
    /// What a repeat may do.
    pub effect: Effect,
    /// Of a keyed class: which servers discard repeats.
    #[serde(default)]
    pub scope: Scope,
    /// Of a keyed class: for how long they do.
    #[serde(default = "window")]
    pub window: Millis<1, HOUR>,
    /// What one answer is worth, in comparison with other classes.
    #[serde(default = "worth")]
    pub worth: Positive,
}

fn window() -> Millis<1, HOUR> {
    Millis::new(5 * SECOND)
}

fn worth() -> Positive {
    Positive::new(1.0)
}

/// What a repeat may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// It may be repeated freely.
    Safe,
    /// Servers discard repeats for a time.
    Keyed,
    /// It must not run twice.
    Unsafe,
}

/// Which servers discard the repeats of a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// All of them.
    #[default]
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name, as clients state it.
    pub name: String,
    /// Its part of the service.
    pub share: Part,
}

/// A server as it is known before discovery has answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its id, the same at every node.
    pub id: String,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine, or the origin's.
    #[serde(default)]
    pub kind: String,
    /// The few servers that share its keys.
    #[serde(default)]
    pub cell: Count<0, 65_535>,
    /// Its size in comparison with the others.
    #[serde(default = "worth")]
    pub weight: Positive,
}
