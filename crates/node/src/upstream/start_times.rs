//! Start times of servers on the driver's clock, which is monotonic. The endpoint lists state them by another wall
//! clock, which may differ from that of this machine.
//!
//! - A start that is reported while the node runs counts from its report. The report is delayed, so the server is
//!   treated as warming up for longer than it is.
//! - A start in the first list may be long past, and only the wall clock can date it. No start can lie in the future:
//!   if the latest one seems to, our clock is behind. That start is taken to be now, and the others are moved with it.
//! - The first list does not show whether our clock is ahead. If it is, servers that are warming up may be taken for
//!   warm. It shows once a start is reported while the node runs: if that start seems to be further in the past than
//!   the usual delay of a report, our clock is taken to be ahead by that time. If the report was late in fact, the
//!   servers of the first list are treated as having started later than they did.

use stonefold_balancer::Micros;
use stonefold_balancer::settings_document::micros_from_millis;
use stonefold_proto::endpoints::ListedServer;

/// When a list was applied, and what is known of its start times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListArrival {
    /// The first list of a process, applied at this time of the driver's clock. Its servers may have started at any
    /// time.
    First(Micros),
    /// A list of what has changed while the process ran, applied at this time of the driver's clock.
    Update(Micros),
}

/// The time within which a start is reported unless discovery is unavailable, in microseconds.
const MAX_REPORT_DELAY: Micros = 60_000_000;

/// Converts the start times in one list to the driver's clock.
#[derive(Debug)]
pub(crate) struct StartTimeConversion {
    arrival: ListArrival,
    /// By how much our clock is behind at least; 0 if it does not seem to be behind.
    clock_behind: Micros,
}

impl StartTimeConversion {
    /// Creates the conversion for a list with these servers.
    pub(crate) fn new(servers: &[ListedServer], arrival: ListArrival) -> StartTimeConversion {
        let latest = servers.iter().map(|server| server.started_ms).fold(0.0, f64::max);
        let clock_behind = match arrival {
            ListArrival::First(now) => micros_from_millis(latest).saturating_sub(now),
            ListArrival::Update(_) => 0,
        };
        StartTimeConversion { arrival, clock_behind }
    }

    /// Whether the start times depend on our wall clock, which may be ahead.
    pub(crate) fn are_uncertain(&self) -> bool {
        matches!(self.arrival, ListArrival::First(_))
    }

    /// By how much our clock is ahead according to a start in this list, which is given as Unix time in milliseconds.
    /// `None` if the clock does not seem to be ahead.
    pub(crate) fn clock_ahead(&self, started_ms: f64) -> Option<Micros> {
        match self.arrival {
            ListArrival::Update(now) if started_ms > 0.0 => {
                Some(now.saturating_sub(micros_from_millis(started_ms)))
                    .filter(|&ahead| ahead > MAX_REPORT_DELAY)
            }
            _ => None,
        }
    }

    /// Converts a start from Unix time in milliseconds to the driver's clock. `None` if the start was long ago.
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
