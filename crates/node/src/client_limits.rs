//! The limits on the connections and the memory that a node uses for clients.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The limits on the connections and the memory that a node uses for clients.
#[derive(Clone)]
pub(crate) struct ClientLimits {
    /// The number of connections from clients that is allowed in any case.
    pub(crate) guaranteed_connections: usize,
    /// The number of connections from clients and to servers together.
    pub(crate) total_connections: usize,
    /// The number of connections from clients that may be idle between requests.
    pub(crate) idle_connections: usize,
    /// The current number of connections to servers.
    pub(crate) server_connections: Arc<AtomicUsize>,
    /// The memory in bytes. One half is for open requests, the other for large buffers.
    pub(crate) memory_bytes: usize,
}

impl ClientLimits {
    /// The number of connections from clients that are allowed now.
    pub(crate) fn max_connections(&self) -> usize {
        let free = self.total_connections.saturating_sub(self.server_connections.load(Ordering::Relaxed));
        self.guaranteed_connections.max(free)
    }
}
