//! What a node is told at its start: the environment, and the JSON file that it names.

use std::env::{self, VarError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::{fmt, fs, io};

use serde::Deserialize;
use serde_json::Value;
use stonefold_balancer::setup::{Setup, SetupError, Stated};
use stonefold_proto::list::List;

use crate::bounds::Bounds;
use crate::handover;
use crate::operator::CALLERS;
use crate::relay::Budget;

/// Descriptors that are neither clients' nor servers' connections: the standard streams, the
/// listeners, discovery, the runtimes' own, operators, and one to spare for a connection that is turned away.
const RESERVED: usize = 22 + CALLERS;
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
    pub known: List,
    pub setup: Setup,
    pub file: Followed,
}

/// Why a node cannot start.
#[derive(Debug)]
pub enum ConfigError {
    Missing(&'static str),
    Unreadable(String, io::Error),
    Malformed(String, serde_json::Error),
    Address(&'static str, String),
    Seed(String),
    Settings(SetupError),
    Sockets(usize),
    /// A key that the file in force has, and the new one lacks.
    Lacks(String),
    /// The node is on its way to its end.
    Ending,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Missing(name) => write!(f, "{name} is not set"),
            ConfigError::Unreadable(path, error) => write!(f, "cannot read configuration {path}: {error}"),
            ConfigError::Malformed(path, error) => write!(f, "bad configuration {path}: {error}"),
            ConfigError::Address(name, text) => write!(f, "{name}: {text:?} is no address with a port"),
            ConfigError::Seed(text) => write!(f, "bad seed {text:?}: 16 hex digits at most"),
            ConfigError::Settings(error) => write!(f, "bad settings: {error}"),
            ConfigError::Lacks(key) => write!(f, "the key {key} is missing"),
            ConfigError::Ending => write!(f, "the node ends"),
            ConfigError::Sockets(n) => {
                write!(f, "a limit of {n} sockets is too low: {} wanted for each process", 2 * RESERVED)
            }
        }
    }
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
    known: List,
    settings: Stated,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

impl File {
    fn read() -> Result<(File, Value), ConfigError> {
        let path = variable("EDGE_CONFIG")?.ok_or(ConfigError::Missing("EDGE_CONFIG"))?;
        let text = fs::read_to_string(&path).map_err(|e| ConfigError::Unreadable(path.clone(), e))?;
        let value: Value =
            serde_json::from_str(&text).map_err(|e| ConfigError::Malformed(path.clone(), e))?;
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
    pub settings: Stated,
}

/// The configuration file, as it was last taken.
#[derive(Default)]
pub struct Followed {
    value: Value,
}

impl Followed {
    /// Reads and checks the file anew; nothing follows from it yet. What the file
    /// says of discovery goes before the environment, which is as old as the process.
    pub fn read(&self) -> Result<(Reload, Followed), ConfigError> {
        let (file, value) = File::read()?;
        if let Some(key) = lacking(&self.value, &value) {
            return Err(ConfigError::Lacks(key));
        }
        let discovery = match file.discovery {
            Some(text) => parse("discovery", text)?,
            None => address("EDGE_DISCOVERY", None)?,
        };
        Ok((Reload { discovery, settings: file.settings }, Followed { value }))
    }
}

impl Config {
    /// Reads the file that `EDGE_CONFIG` names; `EDGE_LISTEN` and `EDGE_DISCOVERY` go before what it says.
    pub fn from_env() -> Result<Config, ConfigError> {
        let (file, value) = File::read()?;
        let processes = if handover::is_passed() { 2 } else { 1 };
        let sockets = file.limits.sockets.unwrap_or(SOCKETS);
        if sockets < 2 * RESERVED * processes {
            return Err(ConfigError::Sockets(sockets));
        }
        Ok(Config {
            listen: address("EDGE_LISTEN", file.listen)?,
            discovery: address("EDGE_DISCOVERY", file.discovery)?,
            operator: given("EDGE_OPERATOR", file.operator)?,
            seed: u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed(file.seed))?,
            processes,
            sockets,
            memory: (file.limits.memory_mb.unwrap_or(MEMORY_MB) << 20) / processes,
            known: file.known,
            file: Followed { value },
            setup: Setup::try_from(file.settings).map_err(ConfigError::Settings)?,
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

fn address(name: &'static str, in_file: Option<String>) -> Result<SocketAddr, ConfigError> {
    given(name, in_file)?.ok_or(ConfigError::Missing(name))
}

/// An address from the environment, or else from the file.
fn given(name: &'static str, in_file: Option<String>) -> Result<Option<SocketAddr>, ConfigError> {
    variable(name)?.or(in_file).map(|text| parse(name, text)).transpose()
}

fn parse(name: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address(name, text))
}
