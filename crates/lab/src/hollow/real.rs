//! Nodes as processes beside the hollow ones: what a node's control costs when it is one.

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

/// A node that serves nobody ends within this.
const END: Duration = Duration::from_secs(5);

/// Nodes as processes. Dropped, they are killed; [`Real::end`] waits for it.
pub struct Real {
    nodes: Vec<Child>,
    _folder: TempDir,
}

impl Real {
    /// Starts a node for each configuration, which the platform would state so.
    ///
    /// # Errors
    /// If one can't be started; none is left then.
    pub fn start(program: &Path, configs: impl IntoIterator<Item = Value>) -> io::Result<Real> {
        let folder = tempfile::tempdir()?;
        let mut nodes = Vec::new();
        for (n, config) in configs.into_iter().enumerate() {
            let home = folder.path().join(n.to_string());
            fs::create_dir(&home)?;
            let file = home.join("config.json");
            fs::write(&file, config.to_string())?;
            let node = Command::new(program)
                .args(["node", "--log", "error"])
                .env("EDGE_CONFIG", &file)
                .env("TMPDIR", &home)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .kill_on_drop(true)
                .spawn()?;
            nodes.push(node);
        }
        Ok(Real { nodes, _folder: folder })
    }

    /// Processor time of all of them together, in seconds, and whether all still run.
    pub fn used(&mut self) -> (f64, bool) {
        let time = self.nodes.iter().filter_map(Child::id).map(machine::process_on_processor).sum();
        (time, self.nodes.iter_mut().all(|node| matches!(node.try_wait(), Ok(None))))
    }

    /// Ends them by their ids.
    pub async fn end(mut self) {
        for node in &mut self.nodes {
            let _ = node.start_kill(); // it has ended before
        }
        for node in &mut self.nodes {
            let _ = timeout(END, node.wait()).await; // what is left is killed as it is dropped
        }
    }
}
