//! The state of a node's process, as the clients and the load balancer in front of it know it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use stonefold_model::Micros;

/// Time after a termination signal, in microseconds: requests that the node accepted later must be answered before the
/// node is killed; earlier ones may be lost with it.
const TERMINATION_EXCUSE_TIME: Micros = 700_000;
/// A time that is never reached, in microseconds.
const NEVER: Micros = Micros::MAX;

/// A node's process. Times are those of the emulator's clock.
pub(super) struct NodeProcess {
    /// Whether the load balancer opens no connections to the process, because it is terminating or does not run.
    closed: AtomicBool,
    /// When the process was sent a termination signal; [`NEVER`] if it was not.
    terminated_at: AtomicU64,
    /// Requests accepted before this time may have been lost with a killed process.
    excused_before: AtomicU64,
}

impl NodeProcess {
    /// Creates a process that serves.
    pub(super) fn new() -> NodeProcess {
        NodeProcess {
            closed: AtomicBool::new(false),
            terminated_at: AtomicU64::new(NEVER),
            excused_before: AtomicU64::new(0),
        }
    }

    /// Stops new connections to the process.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Records that the process was sent a termination signal.
    pub(super) fn terminate(&self, now: Micros) {
        self.terminated_at.store(now, Ordering::Relaxed);
    }

    /// Records that the process is about to be killed.
    pub(super) fn kill(&self) {
        self.close();
        let terminated_at = self.terminated_at.load(Ordering::Relaxed);
        let excused_before =
            if terminated_at == NEVER { NEVER } else { terminated_at + TERMINATION_EXCUSE_TIME };
        self.excused_before.store(excused_before, Ordering::Relaxed);
    }

    /// Records that a new process of the node serves from now on.
    pub(super) fn replace(&self, now: Micros) {
        self.terminated_at.store(NEVER, Ordering::Relaxed);
        self.excused_before.fetch_min(now, Ordering::Relaxed);
        self.closed.store(false, Ordering::Relaxed);
    }

    /// Whether the process gets new connections.
    pub(super) fn is_open(&self) -> bool {
        !self.closed.load(Ordering::Relaxed)
    }

    /// Whether a request that the node accepted at this time may go unanswered because the process was killed.
    pub(super) fn may_have_lost(&self, accepted_at: Micros) -> bool {
        accepted_at < self.excused_before.load(Ordering::Relaxed)
    }
}
