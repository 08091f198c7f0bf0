//! Leave to write: whether an attempt's first byte may go out, asked right before it does.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

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
pub struct Begun(Arc<AtomicBool>);

impl Begun {
    pub fn has(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Leave to write one attempt.
pub struct Leave {
    standing: Standing,
    pub begun: Begun,
}

impl Leave {
    /// Leave for as long as the server stands.
    pub fn new(standing: Standing) -> Leave {
        Leave { standing, begun: Begun::default() }
    }

    /// Asked right before the first byte, with no wait between. Nothing may be written if it says no.
    ///
    /// Guards against: a first byte to a server that was drained while the connection came up.
    pub fn begin(&self) -> bool {
        let serving = self.standing.serving();
        self.begun.0.store(serving, Ordering::Relaxed);
        serving
    }
}
