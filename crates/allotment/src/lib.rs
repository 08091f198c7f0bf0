//! What each of many senders may send of what they may send together, in whole calls that add up, without a
//! message between them.
//!
//! A cold server stands a budget of `N` calls in any span of a stated length, from all senders together. The
//! budget is cut into whole [`tokens`], and these are dealt to the senders by their rank in an order that all
//! compute alike from the server's id (deterministic subsetting): with fewer tokens than senders only the first
//! ranks have one. Each sender keeps to its quota by a sliding window log, so that the sum over all senders stays
//! within the tokens in every span, whatever traffic each of them meets.
//!
//! No I/O, no clock, no randomness: the time is passed in. Times and durations are whole microseconds of one clock.
//!
//! ```
//! use stonefold_allotment::{Allotment, SlowStart, Sender};
//!
//! let slow_start = SlowStart { duration: 9_000_000, initial_capacity: 0.3, overload_factor: 3.0, overload_window: 1_500_000 };
//! let sender = Sender::new(Some(2), 4, 0, 0); // the third of four, alive since 0
//! let mut allotment = Allotment::new(17);
//! allotment.begin(&sender, 5_000_000, 5_000_000, &slow_start); // server 17 started 5 s later and was listed at once
//! let now = 7_000_000;
//! let left = allotment.left(&slow_start, 100.0, now); // it stands 100 calls a second when warm
//! assert!(left > 0);
//! allotment.spend(&slow_start, now);
//! assert_eq!(allotment.left(&slow_start, 100.0, now), left - 1);
//! ```
#![allow(unreachable_pub, clippy::pedantic, rustdoc::all)] // not yet at the workspace's standard

use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// The part of the budget that is dealt, and what is dealt beside it in roots of the budget. The rest, up to
/// `N + 2√N + 2`, is left to estimates that differ and to calls of more than the mean work.
const PART: f64 = 0.85;
const ROOTS: f64 = 1.0;

/// How servers warm up after a start and how much they stand meanwhile, as the settings state it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// A started server is warm after this time.
    pub duration: Micros,
    /// A started server has at least this part of its capacity, 0 to 1.
    pub initial_capacity: f64,
    /// It falls when it is sent this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... in a span of this length.
    pub overload_window: Micros,
}

impl SlowStart {
    /// The part of its capacity that a server has at this time after its start.
    pub fn warmth(&self, age: Micros) -> f64 {
        let from = self.initial_capacity.clamp(0.0, 1.0);
        if age < self.duration { from + (1.0 - from) * age as f64 / self.duration as f64 } else { 1.0 }
    }

    /// The budget `N`: calls that all senders together may send in the span that ends at `age` after the start,
    /// where the warm server stands `capacity` calls a second. Warmth counts at its mean over the span.
    pub fn budget(&self, capacity: f64, age: Micros) -> f64 {
        let warmth = self.warmth(age.saturating_sub(self.overload_window / 2));
        (self.overload_factor * capacity * warmth * self.overload_window as f64 / 1e6).max(0.0)
    }
}

/// Whole calls that are dealt of a budget of so many, at least one and never beyond `budget + 2√budget + 2`.
pub fn tokens(budget: f64) -> u64 {
    (PART * budget + ROOTS * budget.max(0.0).sqrt()).max(1.0) as u64
}

/// Which of how many senders this process is, and since when.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    index: usize,
    of: usize,
    since: Micros,
    seed: u64,
    told: bool,
}

impl Sender {
    /// Sender `index` of `of`, counting from 0, in a process that is alive since `since`.
    ///
    /// One that isn't told its index, or one out of range, takes an index by `seed`: parts agree on average then
    /// and need not add up.
    pub fn new(index: Option<usize>, of: usize, since: Micros, seed: u64) -> Self {
        let (of, told) = (of.max(1), index.filter(|&index| index < of));
        let index = told.unwrap_or((seed % of as u64) as usize);
        Sender { index, of, since, seed, told: told.is_some() }
    }

    /// The same process under another index, or among more or fewer.
    pub fn moved(self, index: Option<usize>, of: usize) -> Self {
        Sender::new(index, of, self.since, self.seed)
    }
}

/// One sender's part of what one server stands while it is cold.
#[derive(Clone, Debug)]
pub struct Allotment {
    server: u64,
    /// The sender's place in the order for this server, reckoned for this index among so many.
    rank: u64,
    index: u64,
    of: u64,
    start: Micros,
    /// From when the quota opens, by and by within one span, and where in it the first token does (0 to 1).
    opens: Micros,
    phase: f64,
    /// When calls were sent, oldest first: those of the latest span.
    spent: VecDeque<Micros>,
}

impl Allotment {
    /// The part of a server that has no known start yet.
    pub fn new(server: u64) -> Self {
        Allotment { server, rank: 0, index: 0, of: 0, start: 0, opens: 0, phase: 0.0, spent: VecDeque::new() }
    }

    /// The server started at `start`, which this sender was told at `now`. What was spent before still counts.
    ///
    /// A process that began after the start doesn't know what the one before it has sent: its part opens one span
    /// after its own beginning.
    pub fn begin(&mut self, sender: &Sender, start: Micros, now: Micros, slow_start: &SlowStart) {
        self.start = start;
        self.opens =
            if sender.since > start { sender.since.saturating_add(slow_start.overload_window) } else { now };
        self.resize(sender);
    }

    /// The number of senders has changed, or this one's place among them. What was spent still counts.
    pub fn resize(&mut self, sender: &Sender) {
        let (index, of) = (sender.index as u64, sender.of as u64);
        if (index, of) == (self.index, self.of) {
            return;
        }
        let place = |index: u64| xxh3_64_with_seed(&index.to_le_bytes(), self.server);
        let own = place(index);
        let before = |&other: &u64| (place(other), other) < (own, index);
        self.rank = (0..of).filter(before).count() as u64;
        // The low bits of the same hash, which are independent of the rank. An index drawn by seed may be that of others.
        let bits = if sender.told { own } else { place(sender.seed) };
        self.phase = (bits & 0xffff) as f64 / 65_536.0;
        (self.index, self.of) = (index, of);
    }

    /// Calls that this sender may send in any span of so many that all may.
    pub fn quota(&self, tokens: u64) -> u64 {
        let of = self.of.max(1);
        tokens / of + u64::from(self.rank < tokens % of)
    }

    /// Calls that may be sent now, where the warm server stands `capacity` calls a second from all senders.
    pub fn left(&self, slow_start: &SlowStart, capacity: f64, now: Micros) -> u64 {
        let quota = self.quota(tokens(slow_start.budget(capacity, now.saturating_sub(self.start))));
        // Guards against: all senders that are told of a start at once and send at once.
        let Some(open) = now.checked_sub(self.opens) else { return 0 };
        let opened = quota as f64 * open as f64 / slow_start.overload_window.max(1) as f64 + self.phase;
        quota.min(opened as u64).saturating_sub(self.spent_in(slow_start.overload_window, now))
    }

    /// Counts a call that is sent now.
    pub fn spend(&mut self, slow_start: &SlowStart, now: Micros) {
        while self.spent.front().is_some_and(|&at| now.saturating_sub(at) >= slow_start.overload_window) {
            self.spent.pop_front();
        }
        self.spent.push_back(now);
    }

    /// Calls that were sent within the span of this length that ends now.
    pub fn spent_in(&self, span: Micros, now: Micros) -> u64 {
        let within = |&&at: &&Micros| now.saturating_sub(at) < span;
        self.spent.iter().rev().take_while(within).count() as u64
    }
}
