//! What a node is told at its start: the environment, and the JSON file that it names.

use std::env::{self, VarError};
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Instant;
use std::{fs, io};

use serde::Deserialize;
use serde_json::Value;
use stonefold_balancer::settings_document::{ResolvedSettings, SettingsDocument, SettingsError};
use stonefold_proto::endpoints::EndpointList;

use crate::bounds::Bounds;
use crate::handover;
use crate::membership::MembershipConfig;
use crate::momentary::{Momentary, until_done_blocking};
use crate::operator::MAX_CONNECTIONS;
use crate::relay::Budget;
use crate::shared::Shared;

#[cfg(test)]
mod tests;

/// Descriptors that are neither clients' nor servers' connections: the standard streams, the
/// listeners, discovery, the runtimes' own, operators, and one to spare for a connection that is turned away.
const RESERVED: usize = 22 + MAX_CONNECTIONS;
/// Where the configuration sets no limit.
const SOCKETS: usize = 1024;
const MEMORY_MB: usize = 192;

/// What a node is told.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call, if they do.
    pub operator: Option<SocketAddr>,
    pub seed: u64,
    /// Processes that share the limits: two, where a successor may run beside this one.
    pub processes: usize,
    /// Descriptors of the node.
    pub sockets: usize,
    /// This process's part of the memory.
    pub memory: usize,
    pub known: EndpointList,
    pub setup: ResolvedSettings,
    pub file: Followed,
    /// When the process started, as far as is known: the time to ready counts from here.
    pub started: Instant,
    /// What all nodes keep together, where an installation has that.
    pub shared: Option<Arc<dyn Shared>>,
    /// How this node takes part in the membership of nodes, where that is on.
    pub membership: Option<MembershipConfig>,
}

/// Why a node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("{0} is not set")]
    Missing(&'static str),
    #[error("cannot read configuration {0}: {1}")]
    Unreadable(String, io::Error),
    #[error("bad configuration {0}: {1}")]
    Malformed(String, serde_json::Error),
    #[error("{0}: {1:?} is no address with a port")]
    Address(&'static str, String),
    #[error("bad seed {0:?}: 16 hex digits at most")]
    Seed(String),
    #[error("bad settings: {0}")]
    Settings(SettingsError),
    #[error("a limit of {0} sockets is too low: {wanted} wanted for each process", wanted = 2 * RESERVED)]
    Sockets(usize),
    /// A document of another source.
    #[error("{0}")]
    Document(DocumentError),
    /// A key that the file in force has, and the new one lacks.
    #[error("the key {0} is missing")]
    Lacks(String),
    /// The node is on its way to its end.
    #[error("the node ends")]
    Ending,
}

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
    operator: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: EndpointList,
    settings: SettingsDocument,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// Why another source has no document to give.
pub type DocumentError = Box<dyn Error + Send + Sync>;

/// Another source of the platform's document: read at the start, and at each SIGHUP.
pub trait Document: Send + Sync {
    /// The document as it stands now.
    ///
    /// # Errors
    /// If it can't be read, or not be used; the node then stays as it is.
    fn read(&self) -> Result<Value, DocumentError>;
}

/// Where the configuration is read.
#[derive(Default)]
pub enum Source {
    /// The file that `EDGE_CONFIG` names; `EDGE_LISTEN`, `EDGE_DISCOVERY` and `EDGE_OPERATOR` go before what it says.
    #[default]
    Platform,
    /// Another one, which has the last word on everything.
    Document(Box<dyn Document>),
}

impl Source {
    fn read(&self) -> Result<(File, Value), ConfigError> {
        let (path, value) = match self {
            Source::Platform => {
                let path = variable("EDGE_CONFIG")?.ok_or(ConfigError::Missing("EDGE_CONFIG"))?;
                read_json(path)?
            }
            Source::Document(document) => {
                (String::from("document"), document.read().map_err(ConfigError::Document)?)
            }
        };
        File::checked(path, value)
    }

    fn address(&self, name: &'static str, in_file: Option<String>) -> Result<SocketAddr, ConfigError> {
        self.given(name, in_file)?.ok_or(ConfigError::Missing(name))
    }

    /// An address from the environment, where that is the platform's, or else from the file.
    fn given(&self, name: &'static str, in_file: Option<String>) -> Result<Option<SocketAddr>, ConfigError> {
        let text = match self {
            Source::Platform => variable(name)?.or(in_file),
            Source::Document(_) => in_file,
        };
        text.map(|text| parse(name, text)).transpose()
    }
}

fn read_json(path: String) -> Result<(String, Value), ConfigError> {
    let text = fs::read_to_string(&path).map_err(|e| ConfigError::Unreadable(path.clone(), e))?;
    match serde_json::from_str(&text) {
        Ok(value) => Ok((path, value)),
        Err(error) => Err(ConfigError::Malformed(path, error)),
    }
}

/// Checks a file in the platform's form, as a node would at its start.
///
/// # Errors
/// What a node would say of it.
pub fn check_file(path: &str) -> Result<(), ConfigError> {
    let (path, value) = read_json(path.to_owned())?;
    let (file, _) = File::checked(path, value)?;
    u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed(file.seed))?;
    ResolvedSettings::try_from(file.settings).map(drop).map_err(ConfigError::Settings)
}

impl Momentary for ConfigError {
    fn is_momentary(&self) -> bool {
        matches!(self, ConfigError::Unreadable(_, error) if error.is_momentary())
    }
}

impl File {
    fn checked(path: String, value: Value) -> Result<(File, Value), ConfigError> {
        let file: File = File::deserialize(&value).map_err(|e| ConfigError::Malformed(path, e))?;
        file.settings.check().map_err(ConfigError::Settings)?;
        Ok((file, value))
    }
}

/// Objects of the file whose keys must all be there again in a new one: this one and those in it.
const WHOLE: [&str; 4] = ["", "/settings", "/settings/Limits", "/settings/Guarantees"];

/// A key that the file in force has and a new one lacks.
fn lacking(before: &Value, now: &Value) -> Option<String> {
    WHOLE.into_iter().find_map(|part| {
        let keys = before.pointer(part)?.as_object()?.keys();
        let there = |key: &&String| now.pointer(part).is_some_and(|now| now.get(key).is_some());
        keys.into_iter().find(|key| !there(key)).map(|key| format!("{part}/{key}"))
    })
}

/// What a new file changes while the node runs.
pub struct Reload {
    pub discovery: SocketAddr,
    pub settings: SettingsDocument,
}

/// A document that was read and is not yet in force.
pub struct Taken(Value);

/// The configuration file, as it was last taken.
#[derive(Default)]
pub struct Followed {
    source: Source,
    value: Value,
}

impl Followed {
    /// Reads and checks the file anew; nothing follows from it yet. What the file
    /// says of discovery goes before the environment, which is as old as the process.
    pub fn read(&self) -> Result<(Reload, Taken), ConfigError> {
        let (file, value) = self.source.read()?;
        if let Some(key) = lacking(&self.value, &value) {
            return Err(ConfigError::Lacks(key));
        }
        let discovery = match file.discovery {
            Some(text) => parse("discovery", text)?,
            None => self.source.address("EDGE_DISCOVERY", None)?,
        };
        Ok((Reload { discovery, settings: file.settings }, Taken(value)))
    }

    /// What was read is now in force.
    pub fn follow(&mut self, taken: Taken) {
        self.value = taken.0;
    }
}

impl Config {
    /// Reads and checks what a source states.
    ///
    /// # Errors
    /// If it can't be read, lacks something or states what can't be used.
    pub fn from_source(source: Source) -> Result<Config, ConfigError> {
        let started = Instant::now();
        let (file, value) = until_done_blocking(|| source.read())?;
        let processes = if handover::is_passed() { 2 } else { 1 };
        let sockets = file.limits.sockets.unwrap_or(SOCKETS);
        if sockets < 2 * RESERVED * processes {
            return Err(ConfigError::Sockets(sockets));
        }
        Ok(Config {
            listen: source.address("EDGE_LISTEN", file.listen)?,
            discovery: source.address("EDGE_DISCOVERY", file.discovery)?,
            operator: source.given("EDGE_OPERATOR", file.operator)?,
            seed: u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed(file.seed))?,
            processes,
            sockets,
            memory: (file.limits.memory_mb.unwrap_or(MEMORY_MB) << 20) / processes,
            known: file.known,
            setup: ResolvedSettings::try_from(file.settings).map_err(ConfigError::Settings)?,
            file: Followed { source, value },
            started,
            shared: None,
            membership: None,
        })
    }

    /// What clients may hold: a third of the descriptors, and more while servers need fewer, with some left
    /// for those to come; a quarter of the memory. The third is one for both processes of an upgrade: a client
    /// that comes to the new one has left the old.
    pub fn client_bounds(&self, to_servers: Arc<AtomicUsize>) -> Bounds {
        let with_servers = (self.sockets - RESERVED - self.sockets / 8) / self.processes;
        let connections = self.sockets / 3;
        // Some of it stays free for their next connections, and for those that a successor takes.
        let resting = (connections * 3 / 4 / self.processes).max(1);
        Bounds { connections, with_servers, resting, to_servers, memory: self.memory / 4 }
    }

    /// What long values on their way may take: a quarter of the memory.
    pub fn relay_budget(&self) -> Budget {
        Budget::new(self.memory / 4)
    }

    /// Most connections to servers.
    pub fn server_connections(&self) -> usize {
        (self.sockets - self.sockets / 3) / self.processes - RESERVED
    }
}

fn variable(name: &'static str) -> Result<Option<String>, ConfigError> {
    match env::var(name) {
        Ok(text) => Ok(Some(text)),
        Err(VarError::NotPresent) => Ok(None),
        Err(VarError::NotUnicode(text)) => Err(ConfigError::Address(name, text.to_string_lossy().into())),
    }
}

fn parse(name: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address(name, text))
}
