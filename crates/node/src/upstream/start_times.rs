//! Start times of servers on the monotonic clock, derived from lists that state them by a wall clock which may differ
//! from ours.
//!
//! - A start that is reported while the node runs counts from the report. That is late by the delay of the report, so
//!   that the server seems to be warming up for longer than it is.
//! - A start in the first list may be long past, and only the wall clock can date it. No start lies in the future: if the
//!   latest one does, our clock is behind, and that start is taken to be now.
//! - A clock that is ahead cannot be detected from the first list, whose servers may then seem warm. It shows once a start
//!   is reported while the node runs: the clock is ahead by as much as that start seems to be past, beyond the usual
//!   delay of a report. If the report was in fact late, the servers of the first list seem colder than they are.

use stonefold_balancer::Micros;
use stonefold_balancer::settings_document::micros_from_millis;
use stonefold_proto::endpoints::ListedServer;

/// When a list arrived, and what its start times can be compared with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListArrival {
    /// The first list of a process, applied at this time of the driver's clock: it has starts of any age.
    First(Micros),
    /// A list of what has changed while the process ran, applied at this time.
    Update(Micros),
}

/// A start is reported within this time, in microseconds, unless discovery was unavailable.
const MAX_REPORT_DELAY: Micros = 60_000_000;

/// The start times in one list.
#[derive(Debug)]
pub(crate) struct StartTimes {
    arrival: ListArrival,
    /// By how much our clock is behind, at least.
    clock_behind: Micros,
}

impl StartTimes {
    /// The start times of these servers.
    pub(crate) fn new(servers: &[ListedServer], arrival: ListArrival) -> StartTimes {
        let latest = servers.iter().map(|server| server.started_ms).fold(0.0, f64::max);
        let clock_behind = match arrival {
            ListArrival::First(now) => micros_from_millis(latest).saturating_sub(now),
            ListArrival::Update(_) => 0,
        };
        StartTimes { arrival, clock_behind }
    }

    /// Whether they depend on our wall clock.
    pub(crate) fn are_uncertain(&self) -> bool {
        matches!(self.arrival, ListArrival::First(_))
    }

    /// By how much our clock is ahead according to a start in this list, given as Unix time in ms; `None` if it does not
    /// seem to be ahead.
    pub(crate) fn clock_ahead(&self, started_ms: f64) -> Option<Micros> {
        match self.arrival {
            ListArrival::Update(now) if started_ms > 0.0 => {
                Some(now.saturating_sub(micros_from_millis(started_ms)))
                    .filter(|&ahead| ahead > MAX_REPORT_DELAY)
            }
            _ => None,
        }
    }

    /// The time on the driver's clock of a start given as Unix time in ms; `None` if it was long ago.
    pub(crate) fn driver_time(&self, started_ms: f64) -> Option<Micros> {
        if started_ms <= 0.0 {
            return None;
        }
        Some(match self.arrival {
            ListArrival::First(_) => micros_from_millis(started_ms).saturating_sub(self.clock_behind),
            ListArrival::Update(now) => now,
        })
    }
}

#[cfg(test)]
mod tests;
