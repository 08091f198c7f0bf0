//! The identity of a process among all senders.

use crate::Micros;

/// One process among all that send to the same servers.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    index: usize,
    count: usize,
    running_since: Micros,
    seed: u64,
    /// Whether the index was assigned rather than drawn from the seed.
    has_assigned_index: bool,
}

impl Sender {
    /// Sender `index` of `count`, counting from 0, in a process that has been running since `running_since`.
    ///
    /// If the index is `None` or out of range, one is drawn from `seed`. Several senders may then have the same index,
    /// so that quotas add up to the tokens only on average.
    pub fn new(index: Option<usize>, count: usize, running_since: Micros, seed: u64) -> Self {
        let count = count.max(1);
        let assigned = index.filter(|&index| index < count);
        let index = assigned.unwrap_or((seed % count as u64) as usize);
        Sender { index, count, running_since, seed, has_assigned_index: assigned.is_some() }
    }

    /// The same process with another index or another number of senders.
    pub fn with_index(self, index: Option<usize>, count: usize) -> Self {
        Sender::new(index, count, self.running_since, self.seed)
    }

    /// The index among all senders, from 0.
    pub(crate) fn index(&self) -> u64 {
        self.index as u64
    }

    /// The number of senders.
    pub(crate) fn count(&self) -> u64 {
        self.count as u64
    }

    /// Since when the process has been running.
    pub(crate) fn running_since(&self) -> Micros {
        self.running_since
    }

    /// A number that differs between senders: the index, or the seed if the index was drawn, since other senders may
    /// have drawn the same one.
    pub(crate) fn distinct_number(&self) -> u64 {
        if self.has_assigned_index { self.index() } else { self.seed }
    }
}
