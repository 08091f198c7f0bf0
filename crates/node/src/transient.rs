//! Retries of file and socket operations whose errors may be transient.

use std::io;
use std::time::Duration;

use stonefold_net::SocketErrorKind;
use tokio::time::{Instant, sleep};

/// How long an operation is retried before its error is final. The start of a node may take seconds, but an operator
/// may be waiting for the result.
const RETRY_PERIOD: Duration = Duration::from_millis(1_200);
/// The pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// An error that may be transient.
pub(crate) trait TransientError {
    /// Whether another attempt soon afterwards may succeed.
    fn is_transient(&self) -> bool;
}

impl TransientError for io::Error {
    fn is_transient(&self) -> bool {
        let local = SocketErrorKind::of(self).is_local() && self.kind() != io::ErrorKind::AddrInUse;
        // EIO has no `ErrorKind` of its own.
        local || self.kind() == io::ErrorKind::StorageFull || self.raw_os_error() == Some(libc::EIO)
    }
}

/// Repeats a non-blocking operation until it succeeds, fails with a permanent error, or has failed for
/// [`RETRY_PERIOD`].
///
/// # Errors
///
/// Returns the error of the last attempt.
///
/// # Cancel safety
///
/// Not cancel safe: the last attempt may have succeeded.
pub(crate) async fn retry_transient<T, E: TransientError>(
    mut operation: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let until = Instant::now() + RETRY_PERIOD;
    loop {
        match operation() {
            Err(error) if error.is_transient() && Instant::now() < until => sleep(RETRY_INTERVAL).await,
            result => return result,
        }
    }
}

/// Like [`retry_transient`], but blocks the thread, for use before a runtime exists.
///
/// # Errors
///
/// Returns the error of the last attempt.
pub(crate) fn retry_transient_blocking<T, E: TransientError>(
    mut operation: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let until = std::time::Instant::now() + RETRY_PERIOD;
    loop {
        match operation() {
            Err(error) if error.is_transient() && std::time::Instant::now() < until => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
