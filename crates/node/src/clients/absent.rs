//! Whether a client is still there, told without reading what it has sent.

use std::future::Future;
use std::io;
use std::time::Duration;

use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::peek::nothing_has_come;

/// How often the end of a client is looked for behind bytes that it sent before and that are not read. It owes
/// nobody anything after 0.3 s.
const GLANCE: Duration = Duration::from_millis(50);
/// How long a client is waited for that has sent what is not read, after the last byte to it.
const LINGER: Duration = Duration::from_secs(2);

/// Waits until the client has closed its side, or the connection is broken. Takes nothing from it.
///
/// A client that closes its sending side alone counts as gone, as it does when that is read.
pub async fn gone(stream: &TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        // What it has sent hides the end behind it, but not from the kernel.
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => sleep(GLANCE).await,
            Ok(_) | Err(_) => return,
        }
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
