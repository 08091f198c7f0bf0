//! The configuration of a node: the environment, and the JSON document that it names.

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
use crate::operator::MAX_CONNECTIONS as OPERATOR_CONNECTIONS;
use crate::relay::MemoryBudget;
use crate::shared::ReplicatedState;
use crate::transient::{TransientError, retry_transient_blocking};

pub use document::check_file;
pub(crate) use source::ReloadSource;
pub use source::{DocumentError, DocumentSource, Source};

/// Descriptors that are neither clients' nor servers' connections: the standard streams, the listeners, discovery, the
/// runtimes' own, operators, and one to spare for a connection that is rejected.
const RESERVED_SOCKETS: usize = 22 + OPERATOR_CONNECTIONS;
/// Descriptors of the node where the configuration states no limit.
const DEFAULT_SOCKETS: usize = 1024;
/// Memory of the node where the configuration states no limit, in MiB.
const DEFAULT_MEMORY_MIB: usize = 192;

/// The configuration of a node.
pub struct NodeConfig {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is polled.
    pub discovery: SocketAddr,
    /// Where operators connect, if they do.
    pub operator: Option<SocketAddr>,
    /// Determines the node's random choices.
    pub seed: u64,
    /// Processes that share the limits: two, where a successor may run beside this one.
    pub processes: usize,
    /// Descriptors of the node.
    pub sockets: usize,
    /// This process's part of the memory, in bytes.
    pub memory: usize,
    /// The endpoint list to start with.
    pub known: EndpointList,
    /// The balancer's settings.
    pub settings: ResolvedSettings,
    /// Where the configuration is read again.
    pub(crate) source: ReloadSource,
    /// When the process started, as far as is known: the time to ready counts from here.
    pub started: Instant,
    /// The store that all nodes share, where an installation has one.
    pub shared: Option<Arc<dyn ReplicatedState>>,
    /// How this node takes part in the membership, where it is enabled.
    pub membership: Option<MembershipConfig>,
}

/// Why a configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the environment nor the document states it.
    #[error("{0} is not set")]
    Missing(&'static str),
    /// The file can't be read.
    #[error("cannot read configuration {0}: {1}")]
    Unreadable(String, io::Error),
    /// The document is not JSON, or not in the platform's form.
    #[error("bad configuration {0}: {1}")]
    Malformed(String, serde_json::Error),
    /// A setting is no socket address.
    #[error("{0}: {1:?} is no address with a port")]
    Address(&'static str, String),
    /// The seed is not hexadecimal.
    #[error("bad seed {0:?}: 16 hex digits at most")]
    Seed(String),
    /// The balancer's settings are invalid.
    #[error("bad settings: {0}")]
    Settings(SettingsError),
    /// The limit leaves no sockets for clients and servers.
    #[error("a limit of {0} sockets is too low: {wanted} wanted for each process", wanted = 2 * RESERVED_SOCKETS)]
    Sockets(usize),
    /// A document of another source than the platform's file can't be read or used.
    #[error("{0}")]
    Document(DocumentError),
    /// A key of the document in force is missing in the new one.
    #[error("the key {0} is missing")]
    MissingKey(String),
    /// The node is shutting down.
    #[error("the node ends")]
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
    /// If it can't be read, lacks something or states what can't be used.
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

    /// What clients may use: a third of the descriptors, and more while connections to servers use less than their part,
    /// with an eighth left for those to come; a quarter of the memory. Both processes of an upgrade share the third,
    /// since a client of the new one has left the old.
    pub(crate) fn client_limits(&self, server_connections: Arc<AtomicUsize>) -> ClientLimits {
        let total_connections = (self.sockets - RESERVED_SOCKETS - self.sockets / 8) / self.processes;
        let guaranteed_connections = self.sockets / 3;
        // A quarter stays free for new connections of the clients, and for those that a successor accepts.
        let idle_connections = (guaranteed_connections * 3 / 4 / self.processes).max(1);
        ClientLimits {
            guaranteed_connections,
            total_connections,
            idle_connections,
            server_connections,
            memory_bytes: self.memory / 4,
        }
    }

    /// The memory for long values that are relayed: a quarter.
    pub(crate) fn relay_budget(&self) -> MemoryBudget {
        MemoryBudget::new(self.memory / 4)
    }

    /// The maximum of connections to servers.
    pub(crate) fn server_connections(&self) -> usize {
        (self.sockets - self.sockets / 3) / self.processes - RESERVED_SOCKETS
    }
}

#[cfg(test)]
mod tests;
