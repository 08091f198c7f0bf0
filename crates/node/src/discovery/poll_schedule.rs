//! When discovery is polled and for how long an answer is waited for: a schedule without I/O and without a clock.
//!
//! A change must reach the node within [`NOTIFICATION_DEADLINE`] after discovery had it and could be reached, whatever
//! became of the poll that was in flight. Two polls begin at most [`MAX_POLL_SPACING`] apart, with backoff, connect,
//! queueing and answer of the first included, and the second is answered within [`POLL_TIMEOUT`]. A watch that falls
//! silent is the first of the two, and has its wait and [`WATCH_SLACK`].
//!
//! Discovery is shared by all nodes and answers one poll at a time. The backoff has full jitter and grows with the
//! number of nodes, so that their polls spread over the time there is. A watch waits as long as the deadline allows, or
//! longer where a shared discovery has to be watched or shows that it is overloaded.

use std::time::Duration;

use crate::message::DiscoverySettings;

/// A change counts as notified this long after discovery could be reached.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// Two polls begin no further apart than this, if the first fails and is no watch that was open for long.
const MAX_POLL_SPACING: Duration = Duration::from_millis(3_500);
/// A poll that does not wait for changes times out after this, connect and queueing included. Discovery may queue it
/// for some 2 s; a shorter timeout would abandon polls shortly before their answer.
const POLL_TIMEOUT: Duration = Duration::from_millis(2_200);
/// How much longer than its wait a watch may take.
const WATCH_SLACK: Duration = Duration::from_secs(1);
/// The timeout of a connect to discovery.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout of an answer's body, so that one that stalls is not waited for as long as a watch.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a watch waits for changes where lists are pushed and discovery is not overloaded. It bounds how long a
/// discovery that has fallen silent passes for one without changes.
const MIN_WATCH_WAIT: Duration = Duration::from_secs(2);
/// The longest wait of a watch: of an overloaded discovery, or of a shared one.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);
/// An answer without changes that is later than its wait by more than this shows that polls queue at discovery.
const OVERLOAD_DELAY: Duration = Duration::from_millis(750);
/// The factor by which the wait of a watch shrinks after an answer in time.
const WATCH_WAIT_DECAY: f64 = 0.75;

/// The longest first backoff, times a factor that grows with the number of nodes: all may have been rejected at once.
const INITIAL_BACKOFF: Duration = Duration::from_millis(600);
/// The longest first backoff after a silence, whose missed changes are due soon.
const INITIAL_BACKOFF_AFTER_SILENCE: Duration = Duration::from_millis(200);
/// Nodes for each step of the initial backoff's factor.
const NODES_PER_BACKOFF_STEP: usize = 8;
/// The highest factor of the initial backoff; beyond it [`MAX_POLL_SPACING`] is the bound.
const MAX_BACKOFF_STEPS: usize = 8;
/// The backoff doubles at most so often.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// What the timeouts leave of the deadline, in milliseconds.
const DEADLINE_MARGIN_MS: u128 = 300;

/// The changes that a silent watch has missed are due at the deadline, or 2 s after the watch's wait is over. A watch of
/// a pushed list is reopened by then with the margin to spare.
const _: () = {
    let deadline = NOTIFICATION_DEADLINE.as_millis() - DEADLINE_MARGIN_MS;
    assert!(MAX_POLL_SPACING.as_millis() + POLL_TIMEOUT.as_millis() <= deadline);
    assert!(MIN_WATCH_WAIT.as_millis() + WATCH_SLACK.as_millis() + POLL_TIMEOUT.as_millis() <= deadline);
    assert!(BODY_TIMEOUT.as_millis() + POLL_TIMEOUT.as_millis() <= deadline);
    assert!(POLL_TIMEOUT.as_millis() < MAX_POLL_SPACING.as_millis());
    assert!(CONNECT_TIMEOUT.as_millis() < POLL_TIMEOUT.as_millis());
};

/// The next poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Poll {
    /// It begins this long after the last one has ended.
    pub(super) backoff: Duration,
    /// How long discovery may wait for changes before it answers; zero asks for those that it has already.
    pub(super) wait: Duration,
    /// It times out this long after it began.
    pub(super) timeout: Duration,
}

/// How a poll ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PollOutcome {
    /// With a list, or without changes.
    Answered,
    /// Discovery answered with an error status.
    Rejected,
    /// It could not be made, broke off, or brought what can't be read.
    Broken,
    /// Nothing came, or nothing more, within its timeout.
    TimedOut,
}

/// Schedules the polls of one node.
#[derive(Debug)]
pub(super) struct PollSchedule {
    /// Failed polls in a row.
    failures: u32,
    /// How much of [`MAX_POLL_SPACING`] the last poll has used up.
    spacing_used: Duration,
    /// Whether the next poll is for the changes that discovery has already, and waits for no others.
    immediate: bool,
    /// Whether changes may have been missed, by a timeout or since discovery has moved, and not been polled since.
    missed_changes: bool,
    /// How long a watch of a pushed list waits.
    watch_wait: Duration,
}

impl PollSchedule {
    /// A schedule whose first poll is immediate, or a watch.
    pub(super) fn new(immediate: bool) -> PollSchedule {
        PollSchedule {
            failures: 0,
            spacing_used: Duration::ZERO,
            immediate,
            missed_changes: false,
            watch_wait: MIN_WATCH_WAIT,
        }
    }

    /// Failed polls in a row.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }

    /// Discovery has a new address: it is polled there at once, since its changes have 4 s to be notified,
    /// less than [`NOTIFICATION_DEADLINE`].
    pub(super) fn on_new_address(&mut self) {
        *self = PollSchedule { watch_wait: self.watch_wait, missed_changes: true, ..PollSchedule::new(true) };
    }

    /// Makes the next poll an immediate one.
    pub(super) fn poll_immediately(&mut self) {
        self.immediate = true;
    }

    /// The next poll. The same state and the same random numbers give the same poll.
    pub(super) fn next(&self, settings: DiscoverySettings, rng: &mut fastrand::Rng) -> Poll {
        let backoff = self.max_backoff(settings).mul_f64(rng.f64());
        if self.immediate {
            return Poll { backoff, wait: Duration::ZERO, timeout: POLL_TIMEOUT };
        }
        let wait = self.watch_wait(settings, rng.f64());
        Poll { backoff, wait, timeout: wait + WATCH_SLACK }
    }

    /// The upper bound of the next backoff. It doubles with each failure, within what the failed poll has left of the
    /// spacing. After an answer it is zero: a change that comes before the next watch is open must not wait for it.
    fn max_backoff(&self, settings: DiscoverySettings) -> Duration {
        let Some(doublings) = self.failures.checked_sub(1) else { return Duration::ZERO };
        let steps = (settings.node_count / NODES_PER_BACKOFF_STEP).clamp(1, MAX_BACKOFF_STEPS) as u32;
        let initial =
            if self.missed_changes { INITIAL_BACKOFF_AFTER_SILENCE } else { INITIAL_BACKOFF * steps };
        let doubled = initial.saturating_mul(1 << doublings.min(MAX_BACKOFF_DOUBLINGS));
        doubled.min(MAX_POLL_SPACING.saturating_sub(self.spacing_used))
    }

    /// How long a watch waits for changes; `jitter` is 0 to 1.
    ///
    /// A shared discovery has to serve one poll of each node in the poll interval, so that a watch waits for at least that.
    /// The jitter keeps nodes whose watches time out together from returning at once.
    fn watch_wait(&self, settings: DiscoverySettings, jitter: f64) -> Duration {
        if settings.watch {
            let shortest = settings.max_poll_interval.clamp(MIN_WATCH_WAIT / 2, MAX_WATCH_WAIT / 2);
            return shortest + shortest.mul_f64(jitter);
        }
        self.watch_wait
    }

    /// Notes how a poll has ended, and how long it took.
    pub(super) fn on_end(&mut self, poll: Poll, outcome: PollOutcome, took: Duration) {
        if outcome == PollOutcome::Answered {
            *self = PollSchedule { watch_wait: self.watch_wait, ..PollSchedule::new(false) };
            // A change before the wait is over shows nothing of a queue.
            if !poll.wait.is_zero() && took >= poll.wait {
                self.adapt_watch_wait(took - poll.wait > OVERLOAD_DELAY);
            }
            return;
        }
        self.failures = self.failures.saturating_add(1);
        // After a timeout, polls are immediate until one is answered: a second silence must not last as long as a watch.
        self.missed_changes |= outcome == PollOutcome::TimedOut;
        self.immediate |= self.missed_changes;
        // A long watch that broke has used up nothing of the spacing: those of all nodes may have broken at once.
        let counts = outcome == PollOutcome::TimedOut || took < MAX_POLL_SPACING;
        self.spacing_used = if counts { took } else { Duration::ZERO };
        if outcome == PollOutcome::Rejected {
            self.adapt_watch_wait(true);
        }
    }

    /// Doubles the wait of a watch before an overloaded discovery, and shrinks it otherwise.
    fn adapt_watch_wait(&mut self, overloaded: bool) {
        self.watch_wait = if overloaded {
            (self.watch_wait * 2).min(MAX_WATCH_WAIT)
        } else {
            self.watch_wait.mul_f64(WATCH_WAIT_DECAY).max(MIN_WATCH_WAIT)
        };
    }
}
