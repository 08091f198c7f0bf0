//! One node's process: how it starts, is signalled, asked and ends.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};
use stonefold_faults::FaultPlan;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::SoakError;

/// Lines of the log that are kept.
const KEPT_LINES: usize = 12;
/// A node answers operators in this time.
const ASKED_FOR: Duration = Duration::from_secs(2);

/// Where a node listens, and the files it starts from.
pub struct Place {
    /// Where operators call.
    pub operators: SocketAddr,
    /// Its folder, with `node.toml`.
    pub folder: PathBuf,
    /// What its calls do.
    pub plan: FaultPlan,
}

/// A way to signal a process, which outlives it.
#[derive(Clone)]
pub struct Signals(Arc<OwnedFd>);

impl Signals {
    fn of(child: &Child) -> Result<Signals, SoakError> {
        let id = child.id().and_then(|id| Pid::from_raw(id as i32));
        let id = id.ok_or_else(|| SoakError::io("signal a node")(io::ErrorKind::NotFound.into()))?;
        let handle = pidfd_open(id, PidfdFlags::empty());
        Ok(Signals(Arc::new(handle.map_err(|error| SoakError::io("signal a node")(error.into()))?)))
    }

    /// Sends a signal; nothing if the process has ended.
    pub fn send(&self, signal: Signal) {
        let _ = pidfd_send_signal(&self.0, signal); // it may end meanwhile
    }
}

/// A running process, killed when it is dropped.
pub struct Process {
    child: Child,
    /// Signals reach this process alone, also once its number is another's.
    handle: Signals,
    log: Arc<Mutex<VecDeque<String>>>,
    serves: watch::Receiver<bool>,
}

impl Process {
    /// Starts a node from its place.
    pub fn start(place: &Place, program: &Path, library: &Path) -> Result<Process, SoakError> {
        let mut child = Command::new(program)
            .arg("node")
            .arg("--config")
            .arg(place.folder.join("node.toml"))
            .env_clear()
            .env("TMPDIR", &place.folder)
            .envs(place.plan.environment(library))
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(SoakError::io("start a node"))?;
        let handle = Signals::of(&child)?;
        let (told, serves) = watch::channel(false);
        let log: Arc<Mutex<VecDeque<String>>> = Arc::default();
        let (kept, lines) = (log.clone(), child.stderr.take());
        tokio::spawn(async move {
            let Some(lines) = lines else { return };
            let mut lines = BufReader::new(lines).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                if line.contains("event=\"ready\"") {
                    let _ = told.send(true); // nobody waits any more
                }
                let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
                if kept.len() == KEPT_LINES {
                    kept.pop_front();
                }
                kept.push_back(line);
            }
        });
        Ok(Process { child, handle, log, serves })
    }

    /// Waits until it serves; tells whether it did in this time.
    pub async fn serves_within(&mut self, time: Duration) -> bool {
        matches!(timeout(time, self.serves.wait_for(|serves| *serves)).await, Ok(Ok(_)))
    }

    /// A way to signal it, also while another task waits for its end.
    pub fn signals(&self) -> Signals {
        self.handle.clone()
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end; nothing if it has not ended in this time.
    pub async fn ends_within(&mut self, time: Duration) -> Option<ExitStatus> {
        timeout(time, self.child.wait()).await.ok()?.ok()
    }

    /// The last lines of its log.
    pub fn last_lines(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }
}

/// A node's figures, as it tells them to operators; empty if it does not.
pub async fn figures(operators: SocketAddr) -> String {
    let ask = async {
        let mut stream = TcpStream::connect(operators).await?;
        stream.write_all(b"STATS\n").await?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.map(|_| text)
    };
    timeout(ASKED_FOR, ask).await.map_or(String::new(), Result::unwrap_or_default)
}
