//! The clients' listening socket: passed on by the platform, or bound here.
//!
//! On a day with an upgrade the platform holds the socket, and every process inherits it. Two processes
//! then have one backlog: the old one stops accepting, and the new one takes what waits there.

use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, OwnedFd, RawFd};
use std::{env, io};

use socket2::Socket;
use tokio::net::{TcpListener, TcpSocket};

use crate::momentary::until_done;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Names the descriptor of the passed socket.
const PASSED: &str = "EDGE_PASSED_SOCKET";

/// Why there is no listener.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    #[error("cannot listen on {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// `EDGE_PASSED_SOCKET` is no number of a descriptor.
    #[error("EDGE_PASSED_SOCKET: {0:?} is no descriptor")]
    Number(String),
    /// The descriptor can't be taken over.
    #[error("cannot take over descriptor {0}: {1}")]
    Passed(RawFd, io::Error),
    /// It is not a listening socket at the address where clients connect.
    #[error("descriptor {0} is no listening TCP socket where clients connect, but at {1:?}")]
    Other(RawFd, Option<SocketAddr>),
}

/// Whether the platform passes the socket on, so that a second process may run beside this one.
pub fn is_passed() -> bool {
    env::var_os(PASSED).is_some()
}

/// The listener: the passed socket where the environment names one, else a new one at this address.
pub async fn listener(at: SocketAddr) -> Result<TcpListener, ListenError> {
    match env::var_os(PASSED) {
        Some(text) => {
            let text = text.to_string_lossy();
            let fd = text.parse().ok().filter(|&fd| fd >= 0).ok_or(ListenError::Number(text.into()))?;
            passed(fd, at)
        }
        None => {
            let bound = until_done(|| bind(at)).await;
            bound.map_err(|error| ListenError::Bind(at, error))
        }
    }
}

fn bind(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // connections of the process before may linger
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Takes over a listening socket, if it is one at this address. Port 0 stands for any.
fn passed(fd: RawFd, at: SocketAddr) -> Result<TcpListener, ListenError> {
    let failed = |error| ListenError::Passed(fd, error);
    let socket = Socket::from(duplicate(fd).map_err(failed)?);
    if !socket.is_listener().map_err(failed)? {
        return Err(ListenError::Other(fd, None));
    }
    let bound = socket.local_addr().map_err(failed)?.as_socket();
    if bound.is_none_or(|bound| bound.ip() != at.ip() || at.port() != 0 && bound.port() != at.port()) {
        return Err(ListenError::Other(fd, bound));
    }
    socket.set_nonblocking(true).map_err(failed)?;
    TcpListener::from_std(socket.into()).map_err(failed)
}

/// A descriptor of our own for what `fd` stands for. The original stays open: the platform's is another still.
#[allow(unsafe_code)]
fn duplicate(fd: RawFd) -> io::Result<OwnedFd> {
    // SAFETY: the descriptor is only borrowed for this one call, which duplicates it. It came with the
    // environment, before this process opened any, so nothing here owns it or will close it; if it is not
    // open, the call fails and nothing is made of it.
    unsafe { BorrowedFd::borrow_raw(fd) }.try_clone_to_owned()
}
