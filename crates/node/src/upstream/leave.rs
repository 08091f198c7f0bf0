//! Leave to write: whether an attempt's first byte may go out, asked right before it does.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use tokio::time::Instant;

use crate::presence::Presence;

/// Whether a server may be sent anything new; shared with the attempts under way.
#[derive(Clone)]
pub struct Standing(Arc<AtomicBool>);

impl Standing {
    pub fn new() -> Standing {
        Standing(Arc::new(AtomicBool::new(true)))
    }

    pub fn set(&self, serving: bool) {
        self.0.store(serving, Ordering::Relaxed);
    }

    pub fn serving(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Whether an attempt has begun to be written; shared with the driver, which stops one that has not when its
/// request ends.
#[derive(Clone, Default)]
pub struct Begun(Arc<OnceLock<Instant>>);

impl Begun {
    pub fn has(&self) -> bool {
        self.0.get().is_some()
    }

    /// Whether it began after this time.
    pub fn after(&self, time: Instant) -> bool {
        self.0.get().is_some_and(|&at| at > time)
    }
}

/// Leave to write one attempt.
pub struct Leave {
    standing: Standing,
    client: Presence,
    begun: Begun,
}

impl Leave {
    /// Leave for as long as the server stands and the client is there.
    pub fn new(standing: Standing, client: Presence, begun: Begun) -> Leave {
        Leave { standing, client, begun }
    }

    /// Asked right before the first byte, with no wait between. Nothing may be written if it says no.
    ///
    /// Guards against: a first byte to a server that was drained while the connection came up, or for a client
    /// whose end the driver has not come to yet.
    pub fn begin(&self) -> bool {
        let may = self.standing.serving() && !self.client.has_ended();
        if may {
            let _ = self.begun.0.set(Instant::now()); // asked once
        }
        may
    }
}

#[cfg(test)]
mod tests;
