//! The clients' listening socket: inherited from the platform, or bound here.
//!
//! Where upgrades must not interrupt clients, the platform holds the socket and every process inherits it. The two
//! processes of an upgrade then share one backlog: the old one stops accepting, and the new one accepts the connections
//! that wait there.

use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, OwnedFd, RawFd};
use std::{env, io};

use socket2::Socket;
use tokio::net::{TcpListener, TcpSocket};

use crate::transient::retry_transient;

/// The number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The environment variable with the inherited socket's descriptor.
const PASSED_SOCKET: &str = "EDGE_PASSED_SOCKET";

/// Why there is no listener.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ListenError {
    /// The address can't be bound.
    #[error("cannot listen on {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// `EDGE_PASSED_SOCKET` is not the number of a file descriptor.
    #[error("EDGE_PASSED_SOCKET: {0:?} is not the number of a file descriptor")]
    InvalidDescriptor(String),
    /// A system call has failed on the inherited descriptor.
    #[error("cannot use inherited file descriptor {0}: {1}")]
    Inherit(RawFd, io::Error),
    /// The descriptor is not a listening socket at the address where clients connect.
    #[error(
        "file descriptor {0} is not a TCP socket that listens where clients connect; its address is {1:?}"
    )]
    WrongSocket(RawFd, Option<SocketAddr>),
}

/// Whether the platform holds the socket, so that a second process may run beside this one.
pub(crate) fn is_passed() -> bool {
    env::var_os(PASSED_SOCKET).is_some()
}

/// Returns the listener: the inherited socket if the environment names one, or else a new one at this address.
///
/// # Errors
/// If the inherited socket can't be used, or the address can't be bound.
pub(crate) async fn listener(address: SocketAddr) -> Result<TcpListener, ListenError> {
    match env::var_os(PASSED_SOCKET) {
        Some(text) => {
            let text = text.to_string_lossy();
            let fd =
                text.parse().ok().filter(|&fd| fd >= 0).ok_or(ListenError::InvalidDescriptor(text.into()))?;
            inherit(fd, address)
        }
        None => {
            let bound = retry_transient(|| bind(address)).await;
            bound.map_err(|error| ListenError::Bind(address, error))
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // connections of the previous process may be in TIME_WAIT
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Uses an inherited descriptor, if it is a listening socket at this address. Port 0 matches any port.
fn inherit(fd: RawFd, address: SocketAddr) -> Result<TcpListener, ListenError> {
    let failed = |error| ListenError::Inherit(fd, error);
    let socket = Socket::from(duplicate(fd).map_err(failed)?);
    if !socket.is_listener().map_err(failed)? {
        return Err(ListenError::WrongSocket(fd, None));
    }
    let bound = socket.local_addr().map_err(failed)?.as_socket();
    let matches = |bound: SocketAddr| {
        bound.ip() == address.ip() && (address.port() == 0 || bound.port() == address.port())
    };
    if !bound.is_some_and(matches) {
        return Err(ListenError::WrongSocket(fd, bound));
    }
    socket.set_nonblocking(true).map_err(failed)?;
    TcpListener::from_std(socket.into()).map_err(failed)
}

/// Returns a new descriptor for the same socket. The original stays open.
#[allow(unsafe_code)]
fn duplicate(fd: RawFd) -> io::Result<OwnedFd> {
    // SAFETY: the descriptor is borrowed only for this call, which duplicates it. It was inherited before this process
    // opened any descriptor, so nothing here owns it or will close it. If it is not open, the call fails.
    unsafe { BorrowedFd::borrow_raw(fd) }.try_clone_to_owned()
}
