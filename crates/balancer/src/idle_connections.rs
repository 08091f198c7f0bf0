//! How long connections to a server stay open while they are idle.
//!
//! Servers limit the number of their connections. Where a connect fails, the node halves the time for which
//! its own connection to that server may be idle, down to a fraction that is lower the more nodes share the
//! servers. Each answer lengthens the time again, up to the idle timeout.
//!
//! Inputs: outcomes of attempts, the number of nodes, and the idle timeout in microseconds.

use crate::api::{Micros, Outcome};

/// The largest number of nodes that keep idle connections for the whole idle timeout although connects
/// fail.
const NODES_AT_FULL_TIMEOUT: f64 = 8.0;
/// Factor on the idle time for each failed connect.
const CONNECT_FAILURE_FACTOR: f64 = 0.5;
/// Factor on the idle time for each answer.
const ANSWER_FACTOR: f64 = 1.125;

/// The idle connection to one server.
pub(crate) struct IdleConnection {
    /// Since when the connection is idle; `None` while it is in use or closed.
    idle_since: Option<Micros>,
    /// The fraction of the idle timeout for which it may be idle, 0 to 1.
    timeout_fraction: f64,
}

impl IdleConnection {
    /// The state without a connection.
    pub(crate) fn new() -> Self {
        IdleConnection { idle_since: None, timeout_fraction: 1.0 }
    }

    /// Notes that the connection is in use, or closed.
    pub(crate) fn clear(&mut self) {
        self.idle_since = None;
    }

    /// Notes that the connection is idle from now on.
    pub(crate) fn start_idling(&mut self, now: Micros) {
        self.idle_since = Some(now);
    }

    /// When the connection is to be closed; `Micros::MAX` if none is idle.
    pub(crate) fn expires_at(&self, idle_timeout: Micros) -> Micros {
        let idle_time = (idle_timeout as f64 * self.timeout_fraction) as Micros;
        self.idle_since.map_or(Micros::MAX, |since| since.saturating_add(idle_time))
    }

    /// Adapts the idle time to the end of an attempt at the server, which `nodes` share.
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

/// The next check of idle connections. One timer serves all servers.
pub(crate) struct IdleCheck {
    /// When the check is due; `Micros::MAX` if none is planned.
    next_at: Micros,
}

impl IdleCheck {
    /// The state without a planned check.
    pub(crate) fn new() -> Self {
        IdleCheck { next_at: Micros::MAX }
    }

    /// Whether a check is due.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        now >= self.next_at
    }

    /// Notes that the check is carried out.
    pub(crate) fn clear(&mut self) {
        self.next_at = Micros::MAX;
    }

    /// Plans a check at `at` unless an earlier one is planned. Returns the delay of the timer to set, in
    /// microseconds, if the check is earlier than planned before.
    pub(crate) fn schedule(&mut self, at: Micros, now: Micros) -> Option<Micros> {
        if at >= self.next_at {
            return None;
        }
        self.next_at = at;
        Some((at - now).max(1))
    }
}
