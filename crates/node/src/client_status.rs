//! Whether the client of a request is still connected. Its session sets this, and it is checked before an attempt
//! starts.

use std::sync::{Arc, OnceLock};

use tokio::time::Instant;

/// The status of one client connection. Clones are shared by its session, its open requests and their attempts.
#[derive(Clone, Default)]
pub(crate) struct ClientStatus {
    disconnected_at: Arc<OnceLock<Instant>>,
}

impl ClientStatus {
    /// Marks the client as disconnected now. Later calls have no effect.
    pub(crate) fn mark_disconnected(&self) {
        let _ = self.disconnected_at.set(Instant::now()); // fails if the client was marked before
    }

    /// Whether the client has disconnected.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.disconnected_at.get().is_some()
    }

    /// When the disconnect was noticed.
    pub(crate) fn disconnected_at(&self) -> Option<Instant> {
        self.disconnected_at.get().copied()
    }
}
