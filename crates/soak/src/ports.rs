//! Allocates ports for the nodes' listeners.

use std::net::{SocketAddr, TcpListener};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, Ordering};

/// First port tried. The range lies below the kernel's ephemeral ports, so no outgoing connection takes one of them
/// between allocation and the node's start.
const FIRST_PORT: u16 = 28_000;
/// Number of ports tried.
const PORT_COUNT: u16 = 4_000;

/// Distance between the first ports that two processes with consecutive ids try: more than one run needs.
const PORTS_PER_RUN: u32 = 131;

/// Hands out loopback addresses whose port is free. The runs of a process share one.
pub(crate) struct PortAllocator {
    /// Offset of the next port to try from [`FIRST_PORT`], before wrapping at [`PORT_COUNT`].
    next_offset: AtomicU32,
}

impl PortAllocator {
    /// The allocator of this process. It begins at an offset derived from the process id, so that concurrent processes
    /// rarely try the same ports.
    pub(crate) fn shared() -> &'static PortAllocator {
        static SHARED: LazyLock<PortAllocator> = LazyLock::new(|| {
            let first = std::process::id().wrapping_mul(PORTS_PER_RUN);
            PortAllocator { next_offset: AtomicU32::new(first) }
        });
        &SHARED
    }

    /// Returns an address on which nothing listens now.
    pub(crate) fn allocate(&self) -> SocketAddr {
        loop {
            let offset = self.next_offset.fetch_add(1, Ordering::Relaxed) % u32::from(PORT_COUNT);
            let port = FIRST_PORT + offset as u16;
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    }
}
