//! Whether a client is still there, told without reading what it has sent.

use std::future::Future;
use std::io;
use std::time::Duration;

use stonefold_net::Socket;
use tokio::time::{Instant, timeout};

use crate::stall::StallMonitor;

/// How long a client is waited for that has sent what is not read, after the last byte to it.
const LINGER: Duration = Duration::from_secs(2);

/// Since when bytes of a client may have been waiting that the node was not reading.
///
/// Guards against a request whose time is counted from when it is read, though it came while the connection was not
/// read: behind as many answers as may be owed, or while a long answer was written. When each byte came can't be
/// told afterwards, so that all count from the first of them until the kernel has nothing left to read.
pub struct UnreadSince {
    since: Option<Instant>,
    stalls: StallMonitor,
}

impl UnreadSince {
    /// Nothing is waiting yet.
    pub fn new(stalls: StallMonitor) -> UnreadSince {
        UnreadSince { since: None, stalls }
    }

    /// Bytes are waiting now.
    fn note(&mut self) {
        let came = self.stalls.earliest_arrival(Instant::now());
        self.since.get_or_insert(came);
    }

    /// When what was just read came, at the earliest.
    ///
    /// Guards against a request whose time is counted from the end of a stall, though it came in it.
    pub fn read(&mut self, stream: &Socket) -> Instant {
        let came = self.since.unwrap_or_else(|| self.stalls.earliest_arrival(Instant::now()));
        if self.since.is_some() && stream.is_idle() {
            self.since = None;
        }
        came
    }
}

/// Waits until the client has closed its side, or the connection is broken. Takes nothing from it, and notes when
/// it sends something.
///
/// A client that closes its sending side alone counts as gone, as it does when that is read.
pub async fn gone(stream: &Socket, unread: &mut UnreadSince) {
    if stream.wait_for_input().await.unwrap_or(false) {
        unread.note();
        // What it has sent hides the end behind it, but not from the kernel.
        stream.peer_closed().await;
    }
}

/// Writes, but for no longer than the client is there.
pub async fn unless_gone(
    stream: &Socket,
    unread: &mut UnreadSince,
    write: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    tokio::select! {
        biased;
        written = write => written,
        () = gone(stream, unread) => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

/// Waits for a while until the client has closed too, if it has sent what is not read: requests that crossed our
/// close, or the rest of what could not be understood.
///
/// Guards against: an answer that the kernel drops. Where a socket is closed with something unread, what it has not
/// yet sent goes with it.
pub async fn linger(stream: &Socket, unread: &mut UnreadSince) {
    if !stream.is_idle() {
        let _ = timeout(LINGER, gone(stream, unread)).await;
    }
}
