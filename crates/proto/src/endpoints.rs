//! The endpoint lists that discovery returns, either complete or as changes.

use std::net::SocketAddr;

use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

/// An endpoint list as discovery returns it.
#[derive(Deserialize, Default, Debug)]
#[serde(from = "ListDocument")]
pub struct EndpointList {
    /// The version of the list; a later list has a higher one.
    pub version: u64,
    /// Whether this is the complete list rather than the changes since an earlier version.
    pub full: bool,
    /// The listed servers, or those that have changed.
    pub servers: Vec<ListedServer>,
    /// The number of entries that could not be read.
    pub skipped: usize,
}

/// An endpoint list as it is encoded in JSON.
#[derive(Deserialize)]
struct ListDocument {
    #[serde(default)]
    version: u64,
    #[serde(default)]
    full: bool,
    #[serde(default)]
    servers: Vec<ListEntry>,
}

/// An entry of the list. One that cannot be read must not invalidate the others.
#[derive(Deserialize)]
#[serde(untagged)]
enum ListEntry {
    Server(ListedServer),
    Unreadable(IgnoredAny),
}

impl From<ListDocument> for EndpointList {
    fn from(document: ListDocument) -> EndpointList {
        let entries = document.servers.len();
        let readable = document.servers.into_iter().filter_map(|entry| match entry {
            ListEntry::Server(server) => Some(server),
            ListEntry::Unreadable(_) => None,
        });
        let servers: Vec<ListedServer> = readable.collect();
        let skipped = entries - servers.len();
        EndpointList { version: document.version, full: document.full, servers, skipped }
    }
}

/// A server in the endpoint list.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct ListedServer {
    /// The server's name, the same at every node.
    pub id: String,
    /// The address at which this node reaches the server.
    pub addr: SocketAddr,
    /// The zone of the server.
    #[serde(default)]
    pub zone: String,
    /// The machine type of a cache server, or the type that marks the origin.
    #[serde(default)]
    pub kind: String,
    /// The cell: a few servers that know the idempotency keys of each other's requests.
    #[serde(default)]
    pub cell: u32,
    /// Whether the server accepts requests.
    pub state: ServerState,
    /// The capacity of the server relative to the others.
    #[serde(default)]
    pub weight: Option<f64>,
    /// Unix time of the last start, in milliseconds; 0 if it was long ago.
    #[serde(default)]
    pub started_ms: f64,
}

/// Whether a server accepts requests.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "UPPERCASE")]
pub enum ServerState {
    /// In service.
    Serving,
    /// Completes the requests it has and must get no new ones.
    Draining,
    /// Removed from the list; only a list of changes contains it.
    Deleted,
}
