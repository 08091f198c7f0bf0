//! Unused loopback addresses, for processes that a test starts with a given address to listen at.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

use socket2::{Domain, Socket, Type};

/// The first port that is given out. The range lies below the kernel's ephemeral ports, so that no other socket is
/// given a port between its choice here and the start of the process that listens at it.
const FIRST_PORT: u16 = 12_000;
/// The number of ports in the range.
const PORT_COUNT: u16 = 16_000;
/// The distance, in ports, between the first ports that test programs with successive process ids try.
const PORTS_BETWEEN_PROGRAMS: u32 = 97;

/// A loopback address at which nobody listens, for TCP and UDP. Each call of this program returns another one.
pub(crate) fn free_address() -> SocketAddr {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    let first = (std::process::id() * PORTS_BETWEEN_PROGRAMS % u32::from(PORT_COUNT)) as u16;
    loop {
        let offset = (first + NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) % PORT_COUNT) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset));
        if can_listen(address) && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Whether a process can listen at this TCP address. The socket is bound and never listens: a child process that
/// another thread spawns at that moment holds it until its exec, and a listening socket would accept connections until
/// then.
fn can_listen(address: SocketAddr) -> bool {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap(); // like `TcpListener::bind`: TIME_WAIT doesn't occupy the port
    socket.bind(&address.into()).is_ok()
}
