//! How long connections to a server stay open while they are idle.
//!
//! Servers limit their connections. Where connects fail, a node halves the time that its own connections may
//! idle, down to a part that many nodes can keep; each answer lengthens it again up to the idle timeout.
//!
//! Inputs: outcomes of attempts, the number of nodes, and the idle timeout in microseconds.

use crate::api::{Micros, Outcome};

/// So many nodes may keep idle connections for the whole idle timeout although connects fail.
const NODES_AT_FULL_TIMEOUT: f64 = 8.0;
/// A failed connect multiplies the idle time by this.
const CONNECT_FAILURE_FACTOR: f64 = 0.5;
/// An answer multiplies the idle time by this.
const ANSWER_FACTOR: f64 = 1.125;

/// The idle connection to one server.
pub(crate) struct IdleConnection {
    /// Since when it idles; none while it is in use or closed.
    idle_since: Option<Micros>,
    /// The part of the idle timeout for which it may idle.
    timeout_fraction: f64,
}

impl IdleConnection {
    /// No connection.
    pub(crate) fn new() -> Self {
        IdleConnection { idle_since: None, timeout_fraction: 1.0 }
    }

    /// The connection is in use, or closed.
    pub(crate) fn clear(&mut self) {
        self.idle_since = None;
    }

    /// Nothing is in flight on the connection any more.
    pub(crate) fn start_idling(&mut self, now: Micros) {
        self.idle_since = Some(now);
    }

    /// When the connection is to be closed; never if none is idle.
    pub(crate) fn expires_at(&self, idle_timeout: Micros) -> Micros {
        let idle_time = (idle_timeout as f64 * self.timeout_fraction) as Micros;
        self.idle_since.map_or(Micros::MAX, |since| since.saturating_add(idle_time))
    }

    /// Takes in how an attempt at the server ended; `nodes` share the server.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome, nodes: usize) {
        let fraction = self.timeout_fraction;
        self.timeout_fraction = match outcome {
            Outcome::ConnectFailed => {
                let floor = (NODES_AT_FULL_TIMEOUT / nodes as f64).min(1.0);
                (fraction * CONNECT_FAILURE_FACTOR).max(floor)
            }
            Outcome::Success | Outcome::CacheMiss => (fraction * ANSWER_FACTOR).min(1.0),
            _ => fraction,
        };
    }
}

/// When idle connections are checked next. One timer serves all servers.
pub(crate) struct IdleCheck {
    next_at: Micros,
}

impl IdleCheck {
    /// No check is due.
    pub(crate) fn new() -> Self {
        IdleCheck { next_at: Micros::MAX }
    }

    /// Whether a check is due.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        now >= self.next_at
    }

    /// The check is carried out.
    pub(crate) fn clear(&mut self) {
        self.next_at = Micros::MAX;
    }

    /// Has a check happen by `at`. Returns the delay of the timer to set, in microseconds, if that is earlier
    /// than planned.
    pub(crate) fn schedule(&mut self, at: Micros, now: Micros) -> Option<Micros> {
        if at >= self.next_at {
            return None;
        }
        self.next_at = at;
        Some((at - now).max(1))
    }
}
