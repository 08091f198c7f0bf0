//! Detection of a client's disconnect, without reading what it has sent.

use std::future::Future;
use std::io;
use std::time::Duration;

use stonefold_net::Socket;
use tokio::time::{Instant, timeout};

use crate::stall::StallMonitor;

/// How long to wait after the last byte for a client to close its side, if it has sent something that was not read.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Since when bytes of a client may have been waiting while its connection was not read: because it has too many pending
/// replies, or during the write of a long one.
///
/// The time of a request counts from its arrival rather than from when it is read. Nothing says when each byte arrived,
/// so that all count from the first one until the kernel has nothing left to read.
pub(crate) struct UnreadSince {
    since: Option<Instant>,
    stalls: StallMonitor,
}

impl UnreadSince {
    /// Nothing is waiting yet.
    pub(crate) fn new(stalls: StallMonitor) -> UnreadSince {
        UnreadSince { since: None, stalls }
    }

    /// Records that bytes are waiting now.
    fn record(&mut self) {
        let arrived = self.stalls.earliest_arrival(Instant::now());
        self.since.get_or_insert(arrived);
    }

    /// The earliest time at which the bytes that were just read may have arrived. Those that are read after a stall of
    /// the event loop may have arrived at its start.
    pub(crate) fn earliest_arrival(&mut self, socket: &Socket) -> Instant {
        let arrived = self.since.unwrap_or_else(|| self.stalls.earliest_arrival(Instant::now()));
        if self.since.is_some() && socket.is_idle() {
            self.since = None;
        }
        arrived
    }
}

/// Waits until the client has closed its sending direction or the connection is broken, and records if it sends
/// something before that. A client that closes only its sending direction counts as disconnected.
///
/// # Cancel safety
///
/// Cancel safe: nothing is read from the socket.
pub(crate) async fn disconnected(socket: &Socket, unread: &mut UnreadSince) {
    if socket.wait_for_input().await.unwrap_or(false) {
        unread.record();
        // Unread bytes hide the end of the stream from a read, but not from the kernel.
        socket.peer_closed().await;
    }
}

/// Runs a write until it completes or the client disconnects.
///
/// # Errors
///
/// Fails if the write fails, or with `ConnectionAborted` if the client disconnects.
pub(crate) async fn while_connected(
    socket: &Socket,
    unread: &mut UnreadSince,
    write: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    tokio::select! {
        biased;
        written = write => written,
        () = disconnected(socket, unread) => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

/// Waits up to [`LINGER_TIMEOUT`] until the client has closed too, if it has sent something that was not read, such as
/// requests that crossed our close. Closing a socket with unread bytes discards what it has not sent yet.
pub(crate) async fn linger(socket: &Socket, unread: &mut UnreadSince) {
    if !socket.is_idle() {
        let _ = timeout(LINGER_TIMEOUT, disconnected(socket, unread)).await;
    }
}
