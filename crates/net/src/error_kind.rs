//! Classification of the errors of socket system calls, by the party at fault and by what the caller can do.

use std::io;

/// What an [`io::Error`] of a socket operation means for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketErrorKind {
    /// Nothing happened: the call can be repeated at once.
    Retry,
    /// The peer closed, reset or refused the connection. A request that was fully written may have been executed.
    PeerClosed,
    /// The peer is unreachable, or has become so. A request that was fully written may have been executed.
    Unreachable,
    /// The process or the machine has no file descriptor left; closing one frees it. Nothing was sent, and the peer is
    /// not at fault.
    DescriptorsExhausted,
    /// Another resource of this machine, such as memory or local ports, is exhausted for now. Nothing was sent, and the
    /// peer is not at fault.
    ResourcesExhausted,
    /// Any other error, such as an invalid argument: the caller is at fault.
    Caller,
}

impl SocketErrorKind {
    /// Classifies an error by its `errno`, or by its [`io::ErrorKind`] if it carries none.
    pub fn of(error: &io::Error) -> SocketErrorKind {
        match error.raw_os_error() {
            Some(errno) => SocketErrorKind::of_errno(errno),
            None => SocketErrorKind::of_io_kind(error.kind()),
        }
    }

    /// Whether the cause lies in this machine alone, so that the error says nothing about the peer.
    pub fn is_local(self) -> bool {
        matches!(
            self,
            SocketErrorKind::DescriptorsExhausted
                | SocketErrorKind::ResourcesExhausted
                | SocketErrorKind::Retry
        )
    }

    fn of_errno(errno: i32) -> SocketErrorKind {
        match errno {
            libc::EINTR | libc::EAGAIN => SocketErrorKind::Retry,
            libc::ECONNRESET | libc::ECONNABORTED | libc::ECONNREFUSED | libc::EPIPE | libc::ENOTCONN => {
                SocketErrorKind::PeerClosed
            }
            libc::ETIMEDOUT
            | libc::EHOSTUNREACH
            | libc::EHOSTDOWN
            | libc::ENETUNREACH
            | libc::ENETDOWN
            | libc::ENETRESET
            | libc::ENONET
            | libc::EPROTO
            | libc::ENOPROTOOPT
            | libc::EOPNOTSUPP => SocketErrorKind::Unreachable,
            libc::EMFILE | libc::ENFILE => SocketErrorKind::DescriptorsExhausted,
            libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL | libc::EADDRINUSE => {
                SocketErrorKind::ResourcesExhausted
            }
            _ => SocketErrorKind::Caller,
        }
    }

    fn of_io_kind(kind: io::ErrorKind) -> SocketErrorKind {
        use io::ErrorKind;
        match kind {
            ErrorKind::Interrupted | ErrorKind::WouldBlock => SocketErrorKind::Retry,
            ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::ConnectionRefused
            | ErrorKind::BrokenPipe
            | ErrorKind::NotConnected
            | ErrorKind::UnexpectedEof
            | ErrorKind::WriteZero => SocketErrorKind::PeerClosed,
            ErrorKind::TimedOut
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::NetworkDown => SocketErrorKind::Unreachable,
            ErrorKind::OutOfMemory | ErrorKind::AddrNotAvailable | ErrorKind::AddrInUse => {
                SocketErrorKind::ResourcesExhausted
            }
            _ => SocketErrorKind::Caller,
        }
    }
}
