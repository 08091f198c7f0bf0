//! How a node's process stands, as its clients and the load balancer in front of it know it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use stonefold_model::Micros;

/// After a termination signal, in microseconds: a request that a node accepts later has to be answered before the node
/// is killed.
const ACCEPTED_LATE: Micros = 700_000;
/// A time that does not come, in microseconds.
const NEVER: Micros = Micros::MAX;

/// A node's process. Times are those of the emulated site.
pub(super) struct Process {
    /// Whether the load balancer opens no connections to it: it was sent a termination signal, or is not there.
    closed: AtomicBool,
    /// When it was sent a termination signal; [`NEVER`] if it was not.
    terminated_at: AtomicU64,
    /// Requests accepted before this time were lost with a killed process, as they may be.
    excused_before: AtomicU64,
}

impl Process {
    /// A process that serves.
    pub(super) fn new() -> Process {
        Process {
            closed: AtomicBool::new(false),
            terminated_at: AtomicU64::new(NEVER),
            excused_before: AtomicU64::new(0),
        }
    }

    /// It gets no new connections from now on.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// It was sent a termination signal at this time.
    pub(super) fn terminate(&self, now: Micros) {
        self.terminated_at.store(now, Ordering::Relaxed);
    }

    /// It is about to be killed.
    pub(super) fn kill(&self) {
        self.close();
        let terminated_at = self.terminated_at.load(Ordering::Relaxed);
        let excused_before = if terminated_at == NEVER { NEVER } else { terminated_at + ACCEPTED_LATE };
        self.excused_before.store(excused_before, Ordering::Relaxed);
    }

    /// Its successor serves from this time on.
    pub(super) fn replace(&self, now: Micros) {
        self.terminated_at.store(NEVER, Ordering::Relaxed);
        self.excused_before.fetch_min(now, Ordering::Relaxed);
        self.closed.store(false, Ordering::Relaxed);
    }

    /// Whether it gets new connections.
    pub(super) fn is_open(&self) -> bool {
        !self.closed.load(Ordering::Relaxed)
    }

    /// Whether a request accepted at this time was lost with a killed process, as it may be.
    pub(super) fn excuses(&self, accepted_at: Micros) -> bool {
        accepted_at < self.excused_before.load(Ordering::Relaxed)
    }
}
