//! Allocates ports for the nodes' listeners.

use std::net::{SocketAddr, TcpListener};

/// First port tried. The range lies below the kernel's ephemeral ports, so no outgoing connection takes one of them
/// between allocation and the node's start.
const FIRST_PORT: u16 = 28_000;
/// Number of ports tried.
const PORT_COUNT: u16 = 4_000;

/// Hands out loopback addresses whose port is free.
pub(crate) struct PortAllocator {
    /// Offset of the next port to try from [`FIRST_PORT`], before wrapping at [`PORT_COUNT`].
    next_offset: u16,
}

impl PortAllocator {
    /// Begins at an offset derived from the process id, so that concurrent runs rarely try the same ports.
    pub(crate) fn new() -> PortAllocator {
        PortAllocator { next_offset: (std::process::id() % u32::from(PORT_COUNT)) as u16 }
    }

    /// Returns an address on which nothing listens now.
    pub(crate) fn allocate(&mut self) -> SocketAddr {
        loop {
            let port = FIRST_PORT + self.next_offset % PORT_COUNT;
            self.next_offset += 1;
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    }
}
