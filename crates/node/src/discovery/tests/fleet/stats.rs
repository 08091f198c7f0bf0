//! The results of a simulated fleet.

use super::scenario::{END, Micros, SECOND, START};

/// The results of one fleet in one scenario.
#[derive(Default)]
pub(super) struct FleetStats {
    pub(super) polls: u64,
    pub(super) rejected: u64,
    /// The most polls in one second.
    peak_per_s: u64,
    /// The current second, and the polls in it so far.
    current_second: (Micros, u64),
    /// How long after it was available each change reached each node.
    pub(super) ages: Vec<Micros>,
    /// Changes that reached a node after the notification deadline.
    pub(super) late: u64,
}

impl FleetStats {
    /// Counts a poll that begins at this time.
    pub(super) fn count_poll(&mut self, now: Micros) {
        self.polls += 1;
        self.current_second = match self.current_second {
            (second, polls) if second == now / SECOND => (second, polls + 1),
            _ => (now / SECOND, 1),
        };
        self.peak_per_s = self.peak_per_s.max(self.current_second.1);
    }

    /// The results as cells of a table.
    pub(super) fn row(self) -> String {
        let FleetStats { polls, rejected, peak_per_s, mut ages, late, .. } = self;
        ages.sort();
        let age = |part: f64| ages[((ages.len() - 1) as f64 * part) as usize] as f64 / 1e6;
        format!(
            "| {:.1} | {peak_per_s} | {:.0}% | {:.1} s | {:.1} s | {:.1} s | {late} of {} |",
            polls as f64 * 1e6 / (END - START) as f64,
            100.0 * rejected as f64 / polls as f64,
            age(0.5),
            age(0.99),
            age(1.0),
            ages.len()
        )
    }
}
