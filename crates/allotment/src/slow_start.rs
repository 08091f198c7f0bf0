//! How a server warms up after a start, and how much load it handles until then.

use crate::Micros;

/// The part of the budget that is issued as tokens ...
const TOKEN_FRACTION: f64 = 0.85;
/// ... and what is issued beside it, in square roots of the budget. The rest, up to `N + 2√N + 2`, is left to
/// estimates that differ and to calls that cost more than the mean.
const TOKEN_ROOTS: f64 = 1.0;
/// A window's capacity is that at its middle: the window divided by this before its end.
const MIDDLE_DIVISOR: Micros = 2;
/// Microseconds per second.
const MICROS_PER_SECOND: f64 = 1e6;

/// How servers warm up after a start and how much load they handle until then, as the settings state it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// A started server is warm after this time.
    pub duration: Micros,
    /// A started server has at least this part of its capacity, 0 to 1.
    pub initial_capacity: f64,
    /// It is overloaded when it is sent this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... in a window of this length.
    pub overload_window: Micros,
}

impl SlowStart {
    /// The part of its capacity that a server has at this age, 0 to 1.
    pub fn capacity_fraction(&self, age: Micros) -> f64 {
        let initial = self.initial_capacity.clamp(0.0, 1.0);
        if age < self.duration { initial + (1.0 - initial) * age as f64 / self.duration as f64 } else { 1.0 }
    }

    /// The budget `N`: calls that all senders together may send in the window that ends at this age of the server,
    /// where the warm server handles `capacity` calls per second.
    pub fn budget(&self, capacity: f64, age: Micros) -> f64 {
        let fraction = self.capacity_fraction(age.saturating_sub(self.overload_window / MIDDLE_DIVISOR));
        let window = self.overload_window as f64;
        (self.overload_factor * capacity * fraction * window / MICROS_PER_SECOND).max(0.0)
    }
}

/// The number of calls of a budget that are issued as tokens: at least one, and never more than `budget + 2√budget + 2`.
pub fn tokens(budget: f64) -> u64 {
    (TOKEN_FRACTION * budget + TOKEN_ROOTS * budget.max(0.0).sqrt()).max(1.0) as u64
}
