//! The configuration of a node, read from the environment and from the JSON document that it names.

mod completeness;
mod document;
mod source;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Instant;

use stonefold_balancer::settings_document::{ResolvedSettings, SettingsError};
use stonefold_proto::endpoints::EndpointList;

use crate::client_limits::ClientLimits;
use crate::handover;
use crate::membership::MembershipConfig;
use crate::memory_budget::MemoryBudget;
use crate::operator::MAX_CONNECTIONS as OPERATOR_CONNECTIONS;
use crate::shared::ReplicatedState;
use crate::transient::{TransientError, retry_transient_blocking};

pub use document::check_file;
pub(crate) use source::ReloadSource;
pub use source::{DocumentError, DocumentSource, Source};

/// File descriptors that are not connections of clients or to servers: the standard streams, the listeners, discovery,
/// the runtimes' own, operators, and a spare one for a connection that is rejected.
const RESERVED_SOCKETS: usize = 22 + OPERATOR_CONNECTIONS;
/// The limit on file descriptors where the configuration states none.
const DEFAULT_SOCKETS: usize = 1024;
/// The memory limit where the configuration states none, in MiB.
const DEFAULT_MEMORY_MIB: usize = 192;

/// The configuration of a node.
pub struct NodeConfig {
    /// The address where clients connect.
    pub listen: SocketAddr,
    /// The address where discovery is polled.
    pub discovery: SocketAddr,
    /// The address where operators connect; `None` if operators are not served.
    pub operator: Option<SocketAddr>,
    /// Determines the node's random choices.
    pub seed: u64,
    /// The number of processes that share the limits: two if a successor may run at the same time.
    pub processes: usize,
    /// The limit on file descriptors of all processes of the node.
    pub sockets: usize,
    /// The part of the memory limit that is for this process, in bytes.
    pub memory: usize,
    /// The endpoint list to start with.
    pub known: EndpointList,
    /// The balancer's settings.
    pub settings: ResolvedSettings,
    /// Where a reload reads the configuration.
    pub(crate) source: ReloadSource,
    /// When the process started, as far as is known. The time to ready counts from then.
    pub started: Instant,
    /// The store that all nodes share, if the installation has one.
    pub shared: Option<Arc<dyn ReplicatedState>>,
    /// How this node takes part in the membership, if that is enabled.
    pub membership: Option<MembershipConfig>,
}

/// Why a configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the environment nor the document states this setting.
    #[error("{0} is not set")]
    Missing(&'static str),
    /// The file can't be read.
    #[error("cannot read configuration {0}: {1}")]
    Unreadable(String, io::Error),
    /// The document is not JSON, or not in the platform's format.
    #[error("invalid configuration {0}: {1}")]
    Malformed(String, serde_json::Error),
    /// A setting is not a socket address.
    #[error("{0}: {1:?} is not an address with a port")]
    Address(&'static str, String),
    /// The seed is not hexadecimal.
    #[error("invalid seed {0:?}: expected at most 16 hexadecimal digits")]
    Seed(String),
    /// The balancer's settings are invalid.
    #[error("invalid settings: {0}")]
    Settings(SettingsError),
    /// The limit leaves no sockets for clients and servers.
    #[error("a limit of {0} sockets is too low: each process needs {wanted}", wanted = 2 * RESERVED_SOCKETS)]
    Sockets(usize),
    /// The document of a [`DocumentSource`] can't be read or used.
    #[error("{0}")]
    Document(DocumentError),
    /// A key of the document in force is missing from the new one.
    #[error("the key {0} is missing")]
    MissingKey(String),
    /// The node is shutting down.
    #[error("the node is shutting down")]
    ShuttingDown,
}

impl TransientError for ConfigError {
    fn is_transient(&self) -> bool {
        matches!(self, ConfigError::Unreadable(_, error) if error.is_transient())
    }
}

impl NodeConfig {
    /// Reads and checks the configuration of a source.
    ///
    /// # Errors
    /// If it can't be read, is incomplete or has an invalid setting.
    pub fn from_source(source: Source) -> Result<NodeConfig, ConfigError> {
        let started = Instant::now();
        let (document, value) = retry_transient_blocking(|| source.read())?;
        let processes = if handover::is_passed() { 2 } else { 1 };
        let sockets = document.limits.sockets.unwrap_or(DEFAULT_SOCKETS);
        if sockets < 2 * RESERVED_SOCKETS * processes {
            return Err(ConfigError::Sockets(sockets));
        }
        Ok(NodeConfig {
            listen: source.required_address("EDGE_LISTEN", document.listen)?,
            discovery: source.required_address("EDGE_DISCOVERY", document.discovery)?,
            operator: source.address("EDGE_OPERATOR", document.operator)?,
            seed: document::parse_seed(document.seed)?,
            processes,
            sockets,
            memory: (document.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MIB) << 20) / processes,
            known: document.known,
            settings: ResolvedSettings::try_from(document.settings).map_err(ConfigError::Settings)?,
            source: ReloadSource::new(source, value),
            started,
            shared: None,
            membership: None,
        })
    }

    /// The limits on clients. They are guaranteed a third of the descriptors, and may use more while connections to
    /// servers use less than their part, except an eighth that is left for new connections to servers. They may use a
    /// quarter of the memory. The two processes of an upgrade share the guaranteed third, since a client that connects
    /// to the new process has left the old one.
    pub(crate) fn client_limits(&self, server_connections: Arc<AtomicUsize>) -> ClientLimits {
        let total_connections = (self.sockets - RESERVED_SOCKETS - self.sockets / 8) / self.processes;
        let guaranteed_connections = self.sockets / 3;
        // A quarter of the guaranteed connections stays free for new clients, and for those that a successor accepts.
        let idle_connections = (guaranteed_connections * 3 / 4 / self.processes).max(1);
        ClientLimits {
            guaranteed_connections,
            total_connections,
            idle_connections,
            server_connections,
            memory_bytes: self.memory / 4,
        }
    }

    /// The memory for large buffers, a quarter, and what [`MemoryBudget`] adds to it.
    pub(crate) fn relay_budget(&self) -> MemoryBudget {
        MemoryBudget::new(self.memory / 4)
    }

    /// The maximum number of connections to servers.
    pub(crate) fn server_connections(&self) -> usize {
        (self.sockets - self.sockets / 3) / self.processes - RESERVED_SOCKETS
    }
}

#[cfg(test)]
mod tests;
