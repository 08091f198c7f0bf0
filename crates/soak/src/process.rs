//! A node's process: start, readiness, signals and exit.

use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::Arc;
use std::time::Duration;

use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};
use stonefold_faults::FaultPlan;
use tokio::process::{Child, Command};
use tokio::time::timeout;

use crate::SoakError;
use crate::log_tail::LogTail;

/// Name of the configuration file in a node's directory.
pub(crate) const CONFIG_FILE: &str = "node.toml";

/// What a node's process needs to start, the same for all processes that the node has in turn.
pub(crate) struct NodeSetup {
    /// Address of the admin listener.
    pub(crate) admin: SocketAddr,
    /// Directory that holds [`CONFIG_FILE`] and the node's temporary files.
    pub(crate) directory: PathBuf,
    /// Faults injected into the process's system calls.
    pub(crate) fault_plan: FaultPlan,
    /// Where the logs of its processes are kept, if they are.
    pub(crate) log_file: Option<PathBuf>,
}

/// Sends signals to a process. Refers to it by a pidfd: a later process with the same id is never signalled.
#[derive(Clone)]
pub(crate) struct SignalHandle(Arc<OwnedFd>);

impl SignalHandle {
    fn new(child: &Child) -> Result<SignalHandle, SoakError> {
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| SoakError::io("signal a node")(io::ErrorKind::NotFound.into()))?;
        let pidfd = pidfd_open(pid, PidfdFlags::empty());
        let pidfd = pidfd.map_err(|error| SoakError::io("signal a node")(error.into()))?;
        Ok(SignalHandle(Arc::new(pidfd)))
    }

    /// Sends a signal; does nothing if the process has exited.
    pub(crate) fn send(&self, signal: Signal) {
        let _ = pidfd_send_signal(&self.0, signal); // fails only if the process has exited
    }
}

/// A running process, killed when dropped.
pub(crate) struct Process {
    child: Child,
    signals: SignalHandle,
    log: LogTail,
}

impl Process {
    /// Starts a node's process without waiting until it is ready.
    ///
    /// # Errors
    /// If the program can't be started or signalled.
    pub(crate) fn start(setup: &NodeSetup, program: &Path, library: &Path) -> Result<Process, SoakError> {
        let mut child = Command::new(program)
            .arg("node")
            .arg("--config")
            .arg(setup.directory.join(CONFIG_FILE))
            .env_clear()
            .env("TMPDIR", &setup.directory)
            .envs(setup.fault_plan.environment(library))
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(SoakError::io("start a node"))?;
        let signals = SignalHandle::new(&child)?;
        let log = LogTail::follow(child.stderr.take(), setup.log_file.as_deref());
        Ok(Process { child, signals, log })
    }

    /// Waits until the node is ready; returns whether it was within `limit`.
    pub(crate) async fn wait_ready(&mut self, limit: Duration) -> bool {
        timeout(limit, self.log.wait_ready()).await.unwrap_or(false)
    }

    /// A handle to signal the process, usable while another task waits for its exit.
    pub(crate) fn signals(&self) -> SignalHandle {
        self.signals.clone()
    }

    /// The exit status, if the process has exited.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the process to exit; `None` if it has not within `limit`.
    pub(crate) async fn wait_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        timeout(limit, self.child.wait()).await.ok()?.ok()
    }

    /// The last lines of its log.
    pub(crate) fn last_log_lines(&self) -> Vec<String> {
        self.log.last_lines()
    }
}
