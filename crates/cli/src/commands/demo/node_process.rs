//! Node processes of the demo.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use stonefold_config::Config;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::timeout;

use crate::failure::Failure;

/// How long a node may take from its start until it has logged its addresses.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// A running node; the process is killed when this is dropped.
pub(super) struct NodeProcess {
    _child: Child,
    pub(super) addresses: NodeAddresses,
}

/// Where a node listens.
pub(super) struct NodeAddresses {
    pub(super) clients: SocketAddr,
    pub(super) operators: SocketAddr,
}

impl NodeProcess {
    /// Starts a node with this configuration in a new subfolder of `folder`, and waits until it listens.
    ///
    /// # Errors
    /// If the process can't be started, ends during startup, or does not listen in time.
    pub(super) async fn start(number: usize, config: &Config, folder: &Path) -> Result<NodeProcess, Failure> {
        let own_folder = folder.join(format!("node-{number}"));
        fs::create_dir(&own_folder)?;
        let file = own_folder.join("node.toml");
        fs::write(&file, toml::to_string(config).map_err(Failure::failed)?)?;
        let mut child = Command::new(std::env::current_exe()?)
            .arg("node")
            .arg("--config")
            .arg(&file)
            .args(["--log-format", "json", "--log", "info"])
            .env("TMPDIR", &own_folder)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let log = child
            .stderr
            .take()
            .ok_or_else(|| Failure::failed("the standard error of the node is not available"))?;
        let mut log = BufReader::new(log).lines();
        let addresses = timeout(STARTUP_TIMEOUT, read_addresses(&mut log)).await;
        let addresses = addresses.map_err(|_| {
            Failure::failed(format!("node {number} did not listen within {STARTUP_TIMEOUT:?}"))
        })??;
        // Drains the rest of the log: the node's log queue would fill if nobody read it.
        tokio::spawn(async move { while let Ok(Some(_)) = log.next_line().await {} });
        Ok(NodeProcess { _child: child, addresses })
    }
}

/// Reads a node's log until it contains both addresses.
async fn read_addresses(log: &mut Lines<BufReader<ChildStderr>>) -> Result<NodeAddresses, Failure> {
    let (mut clients, mut operators, mut last_line) = (None, None, String::new());
    while let Some(line) = log.next_line().await? {
        let event: Value = serde_json::from_str(&line).unwrap_or_default();
        let address = || event["at"].as_str().and_then(|at| at.parse::<SocketAddr>().ok());
        match event["event"].as_str() {
            Some("listening") => clients = address(),
            Some("operator_listening") => operators = address(),
            _ => last_line = line,
        }
        if let (Some(clients), Some(operators)) = (clients, operators) {
            return Ok(NodeAddresses { clients, operators });
        }
    }
    Err(Failure::failed(format!("a node ended during startup: {last_line}")))
}
