//! The limits on what clients may occupy of a node.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What clients may occupy of a node.
#[derive(Clone)]
pub(crate) struct ClientLimits {
    /// Connections from clients that are allowed in any case.
    pub(crate) guaranteed_connections: usize,
    /// Connections from clients and to servers together.
    pub(crate) total_connections: usize,
    /// Connections from clients that may be idle between requests.
    pub(crate) idle_connections: usize,
    /// The current number of connections to servers.
    pub(crate) server_connections: Arc<AtomicUsize>,
    /// Memory in bytes; one half is for open requests, the other for large buffers.
    pub(crate) memory_bytes: usize,
}

impl ClientLimits {
    /// The number of connections from clients that are allowed now.
    pub(crate) fn max_connections(&self) -> usize {
        let free = self.total_connections.saturating_sub(self.server_connections.load(Ordering::Relaxed));
        self.guaranteed_connections.max(free)
    }
}
