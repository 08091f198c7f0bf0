//! Detects that a client has disconnected, without reading what it has sent.

use std::future::Future;
use std::io;
use std::time::Duration;

use stonefold_net::Socket;
use tokio::time::{Instant, timeout};

use crate::stall::StallMonitor;

/// How long [`linger`] waits for the client to close its side of the connection.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Tracks since when bytes of a client may have been waiting while its connection is not read: because it has too many
/// pending replies, or because a long reply is being written.
///
/// The timeout of a request counts from its arrival rather than from when it is read. The kernel does not report when
/// each byte arrived, so all bytes count from the first unread one until the kernel has nothing left to read.
pub(crate) struct UnreadTracker {
    unread_since: Option<Instant>,
    stalls: StallMonitor,
}

impl UnreadTracker {
    /// Creates a tracker of a connection on which nothing is waiting yet.
    pub(crate) fn new(stalls: StallMonitor) -> UnreadTracker {
        UnreadTracker { unread_since: None, stalls }
    }

    /// Records the earliest time at which the bytes that are waiting now may have arrived, unless earlier bytes are
    /// recorded already.
    fn record(&mut self) {
        let arrived = self.stalls.earliest_arrival(Instant::now());
        self.unread_since.get_or_insert(arrived);
    }

    /// The earliest time at which the bytes that were just read may have arrived. Bytes that are read after a stall of
    /// the event loop may have arrived at its start.
    pub(crate) fn earliest_arrival(&mut self, socket: &Socket) -> Instant {
        let arrived = self.unread_since.unwrap_or_else(|| self.stalls.earliest_arrival(Instant::now()));
        if self.unread_since.is_some() && socket.is_idle() {
            self.unread_since = None;
        }
        arrived
    }
}

/// Waits until the client has closed its sending direction or the connection is broken. Records in `unread` if the
/// client sends something before that. A client that closes only its sending direction counts as disconnected.
///
/// # Cancel safety
///
/// Cancel safe: nothing is read from the socket.
pub(crate) async fn disconnected(socket: &Socket, unread: &mut UnreadTracker) {
    if socket.wait_for_input().await.unwrap_or(false) {
        unread.record();
        // A read returns the unread bytes before the end of the stream, but the kernel reports the end at once.
        socket.peer_closed().await;
    }
}

/// Runs a write until it completes or the client disconnects.
///
/// # Errors
///
/// Fails if the write fails, or with `ConnectionAborted` if the client disconnects.
pub(crate) async fn while_connected<T>(
    socket: &Socket,
    unread: &mut UnreadTracker,
    write: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    tokio::select! {
        biased;
        written = write => written,
        () = disconnected(socket, unread) => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

/// Waits up to [`LINGER_TIMEOUT`] until the client has closed its side too, if it has sent something that was not read,
/// such as requests sent before it noticed our close. Closing a socket with unread bytes discards what the socket has
/// not sent yet.
pub(crate) async fn linger(socket: &Socket, unread: &mut UnreadTracker) {
    if !socket.is_idle() {
        let _ = timeout(LINGER_TIMEOUT, disconnected(socket, unread)).await;
    }
}
