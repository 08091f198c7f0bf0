//! Writes to a peer that may take what it is sent slowly.
//!
//! The kernel reports a socket as writable only once a third of its send buffer is free, which may have grown to
//! megabytes. A peer that reads steadily but slowly needs minutes for that. So a write that has to wait counts as
//! progress what the peer's machine acknowledges, not what the kernel accepts.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use stonefold_net::Socket;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, timeout};

/// A peer that has taken nothing for this long is given up. The machine of a peer with a large receive buffer
/// acknowledges nothing until a part of that buffer is free, although the peer reads all the time.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_secs(60);
/// How often a write that waits checks whether the peer has taken anything.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The sending side of a connection.
pub(crate) trait SendingSide: AsyncWrite + Unpin {
    /// The number of bytes written that the peer has not acknowledged. 0 if that is unknown; then only what the
    /// connection accepts counts as progress.
    fn unacknowledged_bytes(&self) -> usize;
}

impl SendingSide for &Socket {
    fn unacknowledged_bytes(&self) -> usize {
        Socket::unacknowledged_bytes(self).unwrap_or(0)
    }
}

/// When the peer last took something. Clones share one value.
#[derive(Clone)]
pub(crate) struct LastProgress(Arc<Mutex<Instant>>);

impl LastProgress {
    fn new() -> LastProgress {
        LastProgress(Arc::new(Mutex::new(Instant::now())))
    }

    /// The time of the last progress, or of the start of the first write.
    pub(crate) fn at(&self) -> Instant {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }
}

/// Writes to one connection, and gives up a peer that takes nothing for [`STALL_TIMEOUT`].
pub(crate) struct ProgressWriter<S> {
    to: S,
    last_progress: LastProgress,
}

impl<S: SendingSide> ProgressWriter<S> {
    /// Creates a writer.
    pub(crate) fn new(to: S) -> ProgressWriter<S> {
        ProgressWriter { to, last_progress: LastProgress::new() }
    }

    /// When the peer last took something.
    pub(crate) fn last_progress(&self) -> LastProgress {
        self.last_progress.clone()
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, and with `TimedOut` if the peer takes nothing for [`STALL_TIMEOUT`].
    pub(crate) async fn write_all(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        self.last_progress.record();
        let mut unacknowledged = None;
        while !bytes.is_empty() {
            match timeout(PROBE_INTERVAL, self.to.write(bytes)).await {
                Ok(written) => {
                    bytes = &bytes[accepted(written?)?..];
                    self.last_progress.record();
                    unacknowledged = None;
                }
                Err(_elapsed) => unacknowledged = Some(self.probe(unacknowledged)?),
            }
        }
        Ok(())
    }

    /// Checks whether the peer has taken anything since the last probe, which found `before` unacknowledged bytes.
    /// Returns how many there are now.
    fn probe(&self, before: Option<usize>) -> io::Result<usize> {
        let unacknowledged = self.to.unacknowledged_bytes();
        if before.is_some_and(|before| unacknowledged < before) {
            self.last_progress.record();
        }
        if self.last_progress.at().elapsed() >= STALL_TIMEOUT {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(unacknowledged)
    }
}

/// The number of bytes that a write accepted, which is at least one.
fn accepted(written: usize) -> io::Result<usize> {
    if written == 0 { Err(io::ErrorKind::WriteZero.into()) } else { Ok(written) }
}

#[cfg(test)]
mod tests;
