//! When servers started, by the monotonic clock, though lists tell it by a wall clock that may be wrong here.
//!
//! - A start that is told while the node runs counts from when it is told. That is late by how long the news took, so
//!   that the server is taken for colder than it is, for no longer than it is cold.
//! - A start in the first list may be long ago, and only the wall clock tells. No start lies ahead of now: where the
//!   latest one does, our clock is behind, and now is that start at the earliest.
//! - A clock that is ahead can't be told from one that is right in the first list, and its servers may be taken for
//!   warm, until a start is told while the node runs: by as much as that seems long ago, beyond what news take, the clock
//!   is ahead. Should the news have been late indeed, servers of the first list are taken for colder than they are.

use stonefold_balancer::Micros;
use stonefold_balancer::settings_document::micros_from_millis;
use stonefold_proto::endpoints::ListedServer;

/// When a list came, and what its starts may be compared with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListDate {
    /// The first list of a process, taken over at this time of the driver's clock: it has starts of any age.
    First(Micros),
    /// A list that tells what has changed while the process ran.
    Later(Micros),
}

/// News of a start take no longer than this, unless discovery was away.
const NEWS: Micros = 60_000_000;

/// The starts of one list.
#[derive(Debug)]
pub struct Starts {
    dated: ListDate,
    /// How far our clock is behind, at the least.
    behind: Micros,
}

impl Starts {
    /// The starts of these entries.
    pub fn new(entries: &[ListedServer], dated: ListDate) -> Starts {
        let latest = entries.iter().map(|entry| entry.started_ms).fold(0.0, f64::max);
        let behind = match dated {
            ListDate::First(now) => micros_from_millis(latest).saturating_sub(now),
            ListDate::Later(_) => 0,
        };
        Starts { dated, behind }
    }

    /// Whether they hang on our wall clock.
    pub fn are_unsure(&self) -> bool {
        matches!(self.dated, ListDate::First(_))
    }

    /// How far ahead our clock is, as a start shows that was told in this list as Unix time in ms; `None` if it is not,
    /// as far as that can be told.
    pub fn ahead(&self, started_ms: f64) -> Option<Micros> {
        match self.dated {
            ListDate::Later(now) if started_ms > 0.0 => {
                Some(now.saturating_sub(micros_from_millis(started_ms))).filter(|&ahead| ahead > NEWS)
            }
            _ => None,
        }
    }

    /// A start that is told as Unix time in ms, on the driver's clock; `None` for one that is long ago.
    pub fn of(&self, started_ms: f64) -> Option<Micros> {
        if started_ms <= 0.0 {
            return None;
        }
        Some(match self.dated {
            ListDate::First(_) => micros_from_millis(started_ms).saturating_sub(self.behind),
            ListDate::Later(now) => now,
        })
    }
}

#[cfg(test)]
mod tests;
