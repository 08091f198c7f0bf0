//! Failures of files and sockets that may be over a moment later, and how long they are waited out.

use std::io;
use std::time::Duration;

use stonefold_net::SocketErrorKind;
use tokio::time::{Instant, sleep};

/// What fails for longer than this has failed: a start that may take seconds, an operator who waits for an answer.
const TRIED_FOR: Duration = Duration::from_millis(1_200);
/// Between two tries.
const PAUSE: Duration = Duration::from_millis(20);

/// An error that may be over a moment later.
pub trait Momentary {
    /// Whether to try again.
    fn is_momentary(&self) -> bool;
}

impl Momentary for io::Error {
    fn is_momentary(&self) -> bool {
        let local = SocketErrorKind::of(self).is_local() && self.kind() != io::ErrorKind::AddrInUse;
        // EIO has no kind of its own.
        local || self.kind() == io::ErrorKind::StorageFull || self.raw_os_error() == Some(libc::EIO)
    }
}

/// Does something until it is done, has failed for good, or has failed for [`TRIED_FOR`]. Cancelled, the last try may have
/// been done.
/// Each try is a call that does not wait.
///
/// # Errors
/// Those of the last try.
pub async fn until_done<T, E: Momentary>(mut what: impl FnMut() -> Result<T, E>) -> Result<T, E> {
    let until = Instant::now() + TRIED_FOR;
    loop {
        match what() {
            Err(error) if error.is_momentary() && Instant::now() < until => sleep(PAUSE).await,
            done => return done,
        }
    }
}

/// As [`until_done`], for a start before there is a runtime: it blocks the thread.
///
/// # Errors
/// Those of the last try.
pub fn until_done_blocking<T, E: Momentary>(mut what: impl FnMut() -> Result<T, E>) -> Result<T, E> {
    let until = std::time::Instant::now() + TRIED_FOR;
    loop {
        match what() {
            Err(error) if error.is_momentary() && std::time::Instant::now() < until => {
                std::thread::sleep(PAUSE);
            }
            done => return done,
        }
    }
}
