//! Where connections are accepted.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::meaning::{Meaning, meaning};
use crate::socket::Socket;

/// Accepts connections; what befalls one that is not accepted yet is no error of the listener's.
#[derive(Debug)]
pub struct Listener(TcpListener);

impl Listener {
    /// Accepts at this listening socket.
    pub fn new(listener: TcpListener) -> Listener {
        Listener(listener)
    }

    /// The address that it listens at.
    ///
    /// # Errors
    /// If the system does not tell.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// The next connection. One that is gone before it is accepted is passed over. Cancelled, it loses none.
    ///
    /// # Errors
    /// If the machine or the process is short of something, or the socket is no good.
    pub async fn accept(&self) -> io::Result<Socket> {
        loop {
            match self.0.accept().await.and_then(|(stream, _)| Socket::new(stream)) {
                Err(error) if is_the_connections(&error) => {}
                accepted => return accepted,
            }
        }
    }
}

/// Whether an error tells of the one connection that was to be accepted.
fn is_the_connections(error: &io::Error) -> bool {
    matches!(meaning(error), Meaning::Again | Meaning::PeerGone | Meaning::PathGone)
}
