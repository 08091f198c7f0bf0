//! Follows the log that a node writes to standard error.

use std::collections::VecDeque;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::ChildStderr;
use tokio::sync::watch;

/// Number of log lines retained.
const RETAINED_LINES: usize = 12;
/// Part of the log line that a node writes when it is ready.
const READY_EVENT: &str = "event=\"ready\"";

/// The last lines of a log, and whether it reported readiness.
pub(crate) struct LogTail {
    lines: Arc<Mutex<VecDeque<String>>>,
    ready: watch::Receiver<bool>,
}

impl LogTail {
    /// Reads `stderr` in a task of its own until it is closed, and appends it to `file` if one is given.
    pub(crate) fn follow(stderr: Option<ChildStderr>, file: Option<&Path>) -> LogTail {
        let (ready_sender, ready) = watch::channel(false);
        let lines: Arc<Mutex<VecDeque<String>>> = Arc::default();
        let retained = lines.clone();
        // If the file can't be opened, only the last lines of the log are retained.
        let mut file = file.and_then(|path| File::options().create(true).append(true).open(path).ok());
        tokio::spawn(async move {
            let Some(stderr) = stderr else { return };
            let mut reader = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = reader.next_line().await {
                if line.contains(READY_EVENT) {
                    let _ = ready_sender.send(true); // fails only once the receiver is dropped
                }
                if let Some(file) = &mut file {
                    let _ = writeln!(file, "{line}"); // the run goes on without a complete log file
                }
                let mut retained = retained.lock().unwrap_or_else(PoisonError::into_inner);
                if retained.len() == RETAINED_LINES {
                    retained.pop_front();
                }
                retained.push_back(line);
            }
        });
        LogTail { lines, ready }
    }

    /// Waits for the log to report readiness; returns false if it is closed before that.
    pub(crate) async fn wait_ready(&mut self) -> bool {
        self.ready.wait_for(|ready| *ready).await.is_ok()
    }

    /// The last lines of the log, oldest first.
    pub(crate) fn last_lines(&self) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }
}
