//! Addresses for processes that are told where to listen.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

use socket2::{Domain, Socket, Type};

/// Ports from here on are given out: below those that the kernel gives to sockets which ask for any, so that nobody
/// takes one between this and the process that is told of it.
const FIRST: u16 = 12_000;
/// So many ports are tried.
const PORTS: u16 = 16_000;
/// Test programs that run at once begin so far apart.
const APART: u32 = 97;

/// A loopback address at which nobody listens, for TCP and UDP. No other call of this program gets it.
pub(crate) fn free_address() -> SocketAddr {
    static GIVEN: AtomicU16 = AtomicU16::new(0);
    let first = (std::process::id() * APART % u32::from(PORTS)) as u16;
    loop {
        let offset = (first + GIVEN.fetch_add(1, Ordering::Relaxed) % PORTS) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST + offset));
        if can_listen(address) && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Whether a process can listen at this TCP address. The socket is bound and never listens: a child process that another
/// thread spawns at that moment inherits it until its exec, and a listening one would still accept connections by then.
fn can_listen(address: SocketAddr) -> bool {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap(); // as listeners have it: connections of the past don't keep the port
    socket.bind(&address.into()).is_ok()
}
