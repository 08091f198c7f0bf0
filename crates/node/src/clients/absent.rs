//! Whether a client is still there, told without reading what it has sent.

use std::future::Future;
use std::io;
use std::time::Duration;

use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::peek::nothing_has_come;

/// How long a client is waited for that has sent what is not read, after the last byte to it.
const LINGER: Duration = Duration::from_secs(2);

/// Waits until the client has closed its side, or the connection is broken. Takes nothing from it.
///
/// A client that closes its sending side alone counts as gone, as it does when that is read.
pub async fn gone(stream: &TcpStream) {
    let unread = stream.peek(&mut [0]).await;
    if unread.is_ok_and(|bytes| bytes > 0) {
        // What it has sent hides the end behind it, but not from the kernel. A socket is not registered for data
        // of priority, so that this waits for its reading side's end alone.
        let _ = stream.ready(Interest::PRIORITY).await; // an error is an end
    }
}

/// Writes, but for no longer than the client is there.
pub async fn unless_gone(stream: &TcpStream, write: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    tokio::select! {
        biased;
        written = write => written,
        () = gone(stream) => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

/// Waits for a while until the client has closed too, if it has sent what is not read: requests that crossed our
/// close, or the rest of what could not be understood.
///
/// Guards against: an answer that the kernel drops. Where a socket is closed with something unread, what it has not
/// yet sent goes with it.
pub async fn linger(stream: &TcpStream) {
    if !nothing_has_come(stream) {
        let _ = timeout(LINGER, gone(stream)).await;
    }
}
