//! What an error of a system call on a socket means for what was to be done with it.

use std::io;

/// What an error means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Meaning {
    /// Nothing has happened: the call is to be made again at once.
    Again,
    /// The peer has closed, reset or refused the connection. What was written whole may have run.
    PeerGone,
    /// There is no way to the peer, or none any more. What was written whole may have run.
    PathGone,
    /// The machine or the process is out of descriptors: closing one makes room. Nothing was sent, and it is no fault
    /// of the peer's.
    NoDescriptors,
    /// The machine is short of something else for a moment, memory or ports: later it may work. Nothing was sent, and it
    /// is no fault of the peer's.
    MachineShort,
    /// Anything else: a fault of the caller's.
    Ours,
}

impl Meaning {
    /// Whether it tells of this machine alone, and nothing of the peer.
    pub fn is_local(self) -> bool {
        matches!(self, Meaning::NoDescriptors | Meaning::MachineShort | Meaning::Again)
    }
}

/// What an error means, by its number; errors without one by their kind.
pub fn meaning(error: &io::Error) -> Meaning {
    match error.raw_os_error() {
        Some(number) => by_number(number),
        None => by_kind(error.kind()),
    }
}

fn by_number(number: i32) -> Meaning {
    match number {
        libc::EINTR | libc::EAGAIN => Meaning::Again,
        libc::ECONNRESET | libc::ECONNABORTED | libc::ECONNREFUSED | libc::EPIPE | libc::ENOTCONN => {
            Meaning::PeerGone
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
        | libc::EOPNOTSUPP => Meaning::PathGone,
        libc::EMFILE | libc::ENFILE => Meaning::NoDescriptors,
        libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL | libc::EADDRINUSE => Meaning::MachineShort,
        _ => Meaning::Ours,
    }
}

fn by_kind(kind: io::ErrorKind) -> Meaning {
    use io::ErrorKind::*;
    match kind {
        Interrupted | WouldBlock => Meaning::Again,
        ConnectionReset | ConnectionAborted | ConnectionRefused | BrokenPipe | NotConnected
        | UnexpectedEof | WriteZero => Meaning::PeerGone,
        TimedOut | HostUnreachable | NetworkUnreachable | NetworkDown => Meaning::PathGone,
        OutOfMemory | AddrNotAvailable | AddrInUse => Meaning::MachineShort,
        _ => Meaning::Ours,
    }
}
