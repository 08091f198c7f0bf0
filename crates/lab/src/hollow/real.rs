//! Nodes that run as processes in addition to the hollow ones, to measure what a real node's control code costs.

use std::fs;
use std::io;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use tempfile::TempDir;
use tokio::process::{Child, Command};
use tokio::time::timeout;

use crate::machine;

/// Time within which a node without clients exits after it is killed.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Nodes that run as processes. They are killed when this is dropped; [`RealNodes::end`] also waits for them.
pub struct RealNodes {
    nodes: Vec<Child>,
    _folder: TempDir,
}

impl RealNodes {
    /// Starts a node for each configuration, given in the form of the platform's configuration document.
    ///
    /// # Errors
    /// If a node can't be started; no node is left running then.
    pub fn start(program: &Path, configs: impl IntoIterator<Item = Value>) -> io::Result<RealNodes> {
        let folder = tempfile::tempdir()?;
        let mut nodes = Vec::new();
        for (n, config) in configs.into_iter().enumerate() {
            let node_folder = folder.path().join(n.to_string());
            fs::create_dir(&node_folder)?;
            let file = node_folder.join("config.json");
            fs::write(&file, config.to_string())?;
            let node = Command::new(program)
                .args(["node", "--log", "error"])
                .env("EDGE_CONFIG", &file)
                .env("TMPDIR", &node_folder)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .kill_on_drop(true)
                .spawn()?;
            nodes.push(node);
        }
        Ok(RealNodes { nodes, _folder: folder })
    }

    /// Processor time of all nodes together, in seconds, and whether all are still running.
    pub fn processor_time(&mut self) -> (f64, bool) {
        let time = self.nodes.iter().filter_map(Child::id).map(machine::process_processor_s).sum();
        (time, self.nodes.iter_mut().all(|node| matches!(node.try_wait(), Ok(None))))
    }

    /// Kills the nodes and waits for them.
    pub async fn end(mut self) {
        for node in &mut self.nodes {
            let _ = node.start_kill(); // fails only if it has exited before
        }
        for node in &mut self.nodes {
            let _ = timeout(EXIT_TIMEOUT, node.wait()).await; // a node that is left is killed when it is dropped
        }
    }
}
