//! What came in the latest stretch of time.

use std::collections::VecDeque;

use crate::Micros;

/// Amounts over a sliding stretch.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    span: Micros,
    entries: VecDeque<(Micros, f64)>,
    sum: f64,
}

impl Window {
    pub fn new(span: Micros) -> Window {
        Window { span, entries: VecDeque::new(), sum: 0.0 }
    }

    /// Adds an amount; tells the sum over the stretch that ends now.
    pub fn add(&mut self, now: Micros, amount: f64) -> f64 {
        // Amounts of the same moment are one entry: a burst takes no memory of its own.
        match self.entries.back_mut() {
            Some((at, last)) if *at == now => *last += amount,
            _ => self.entries.push_back((now, amount)),
        }
        self.sum += amount;
        self.sum(now)
    }

    pub fn sum(&mut self, now: Micros) -> f64 {
        while let Some(&(at, amount)) = self.entries.front()
            && at + self.span <= now
        {
            self.entries.pop_front();
            self.sum -= amount;
        }
        if self.entries.is_empty() {
            self.sum = 0.0; // no rest of rounding is kept
        }
        self.sum
    }

    pub fn clear(&mut self) {
        self.entries.clear();
        self.sum = 0.0;
    }
}
