//! Sums over a sliding time window.

use std::collections::VecDeque;

use crate::Micros;

/// Amounts added within the latest `span`.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    span: Micros,
    entries: VecDeque<(Micros, f64)>,
    sum: f64,
}

impl Window {
    pub(crate) fn new(span: Micros) -> Window {
        Window { span, entries: VecDeque::new(), sum: 0.0 }
    }

    /// Adds an amount and returns the sum over the window that ends now.
    pub(crate) fn add(&mut self, now: Micros, amount: f64) -> f64 {
        // Amounts added at the same time share an entry, so that a burst uses no extra memory.
        match self.entries.back_mut() {
            Some((at, last)) if *at == now => *last += amount,
            _ => self.entries.push_back((now, amount)),
        }
        self.sum += amount;
        self.sum(now)
    }

    /// The sum over the window that ends now.
    pub(crate) fn sum(&mut self, now: Micros) -> f64 {
        while let Some(&(at, amount)) = self.entries.front()
            && at + self.span <= now
        {
            self.entries.pop_front();
            self.sum -= amount;
        }
        if self.entries.is_empty() {
            self.sum = 0.0; // discards accumulated rounding errors
        }
        self.sum
    }

    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.sum = 0.0;
    }
}
