//! A listening TCP socket.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::error_kind::SocketErrorKind;
use crate::socket::Socket;

/// A listening socket. An error of a single pending connection is not reported as an error of the listener.
#[derive(Debug)]
pub struct Listener(TcpListener);

impl Listener {
    /// Wraps a socket that is already listening.
    pub fn new(listener: TcpListener) -> Listener {
        Listener(listener)
    }

    /// Returns the local address of the listener.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Accepts the next connection, skipping those that broke before they could be accepted.
    ///
    /// # Errors
    ///
    /// Fails if the process or the machine has exhausted a resource, or if the listening socket is unusable.
    ///
    /// # Cancel safety
    ///
    /// Cancel safe: no connection is lost.
    pub async fn accept(&self) -> io::Result<Socket> {
        loop {
            match self.0.accept().await.and_then(|(stream, _)| Socket::new(stream)) {
                Err(error) if concerns_one_connection(&error) => {}
                accepted => return accepted,
            }
        }
    }
}

/// Whether an error of `accept` concerns only the connection that was to be accepted.
fn concerns_one_connection(error: &io::Error) -> bool {
    matches!(
        SocketErrorKind::of(error),
        SocketErrorKind::Retry | SocketErrorKind::PeerClosed | SocketErrorKind::Unreachable
    )
}
