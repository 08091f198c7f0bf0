//! Classification of socket errors.

use std::io;

use stonefold_net::SocketErrorKind;

#[test]
fn errors_are_classified_by_errno_and_otherwise_by_kind() {
    for (errno, kind) in [
        (libc::EAGAIN, SocketErrorKind::Retry),
        (libc::ECONNRESET, SocketErrorKind::PeerClosed),
        (libc::EPIPE, SocketErrorKind::PeerClosed),
        (libc::ETIMEDOUT, SocketErrorKind::Unreachable),
        (libc::EMFILE, SocketErrorKind::DescriptorsExhausted),
        (libc::EADDRNOTAVAIL, SocketErrorKind::ResourcesExhausted),
        (libc::EBADF, SocketErrorKind::Caller),
    ] {
        assert_eq!(SocketErrorKind::of(&io::Error::from_raw_os_error(errno)), kind, "errno {errno}");
    }
    for (io_kind, kind) in [
        (io::ErrorKind::UnexpectedEof, SocketErrorKind::PeerClosed),
        (io::ErrorKind::NetworkDown, SocketErrorKind::Unreachable),
        (io::ErrorKind::InvalidInput, SocketErrorKind::Caller),
    ] {
        assert_eq!(SocketErrorKind::of(&io_kind.into()), kind, "{io_kind}");
    }
}

#[test]
fn only_local_errors_leave_the_peer_without_fault() {
    assert!(SocketErrorKind::DescriptorsExhausted.is_local());
    assert!(SocketErrorKind::ResourcesExhausted.is_local());
    assert!(!SocketErrorKind::PeerClosed.is_local());
    assert!(!SocketErrorKind::Unreachable.is_local());
    assert!(!SocketErrorKind::Caller.is_local());
}
