//! The counter for metrics and for violations of invariants.

use std::sync::atomic::{AtomicU64, Ordering};

/// A number that several threads can change and read at the same time.
#[derive(Default, Debug)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub(crate) fn increment(&self) {
        self.add(1);
    }

    /// Adds an amount.
    pub(crate) fn add(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    /// Subtracts one.
    pub(crate) fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    /// Replaces the value.
    pub(crate) fn set(&self, value: u64) {
        self.0.store(value, Ordering::Relaxed);
    }

    /// The current value.
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
