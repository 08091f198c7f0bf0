//! Whether the client of a request is still there: told by its session, and asked before anything begins for it.

use std::sync::{Arc, OnceLock};

use tokio::time::Instant;

/// Shared by a client's session, its open requests and their attempts.
#[derive(Clone, Default)]
pub struct Presence(Arc<OnceLock<Instant>>);

impl Presence {
    /// The client has gone. The first word counts.
    pub fn end(&self) {
        let _ = self.0.set(Instant::now()); // told before
    }

    pub fn has_ended(&self) -> bool {
        self.0.get().is_some()
    }

    /// When its end was seen.
    pub fn ended_at(&self) -> Option<Instant> {
        self.0.get().copied()
    }
}
