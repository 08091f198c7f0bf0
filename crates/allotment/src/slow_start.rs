//! The model of a server in slow start: how it warms up, and how much load it handles meanwhile.

use crate::Micros;

/// Tokens per call of the budget. [`TOKEN_SQRT_FACTOR`] adds to them.
const TOKEN_FRACTION: f64 = 0.85;
/// Tokens per square root of the budget `N`. A server handles up to `N + 2√N + 2` calls; what the tokens leave of that
/// is for estimates of the capacity that differ between senders, and for calls that cost more than the mean.
const TOKEN_SQRT_FACTOR: f64 = 1.0;
/// The capacity in a window is taken at its middle: at the window's length divided by this before its end.
const MIDDLE_DIVISOR: Micros = 2;
/// Microseconds per second.
const MICROS_PER_SECOND: f64 = 1e6;

/// The parameters of slow start: how servers warm up, and how much load they handle meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// A server is warm when it has run for this time.
    pub duration: Micros,
    /// The smallest fraction of its capacity that a server has after a start, 0 to 1.
    pub initial_capacity: f64,
    /// A server in slow start is overloaded when it is sent this multiple of its present capacity within
    /// [`overload_window`](Self::overload_window).
    pub overload_factor: f64,
    /// The length of the window in which a server in slow start can be overloaded.
    pub overload_window: Micros,
}

impl SlowStart {
    /// The fraction of its capacity that a server is certain to have at this age, 0 to 1.
    pub fn capacity_fraction(&self, age: Micros) -> f64 {
        let initial = self.initial_capacity.clamp(0.0, 1.0);
        if age < self.duration { initial + (1.0 - initial) * age as f64 / self.duration as f64 } else { 1.0 }
    }

    /// The budget `N`: the number of calls that all senders together may send in the window that ends at this age of
    /// the server, where the server, once warm, handles `capacity` calls per second.
    pub fn budget(&self, capacity: f64, age: Micros) -> f64 {
        let fraction = self.capacity_fraction(age.saturating_sub(self.overload_window / MIDDLE_DIVISOR));
        let window = self.overload_window as f64;
        (self.overload_factor * capacity * fraction * window / MICROS_PER_SECOND).max(0.0)
    }
}

/// The number of calls of a budget that are issued as tokens: at least one, and never more than
/// `budget + 2√budget + 2`.
pub fn tokens(budget: f64) -> u64 {
    (TOKEN_FRACTION * budget + TOKEN_SQRT_FACTOR * budget.max(0.0).sqrt()).max(1.0) as u64
}
