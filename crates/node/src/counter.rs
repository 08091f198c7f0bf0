//! The counter that metrics and invariants are made of.

use std::sync::atomic::{AtomicU64, Ordering};

/// A number that any number of threads may change and read.
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
