//! Decides when discovery is polled and how long an answer may take. The schedule does no I/O and reads no clock.
//!
//! A change must reach the node within [`NOTIFICATION_DEADLINE`] after discovery has it and can be reached, even if the
//! poll in flight fails. Therefore a failed poll and the next one begin at most [`MAX_POLL_SPACING`] apart, which
//! includes the connect, queueing and answer of the first and the backoff, and the second is answered within
//! [`POLL_TIMEOUT`]. If the failed poll is a watch that has fallen silent, it is overdue [`WATCH_SLACK`] after its wait.
//!
//! An overdue poll may be lost or only slow. So its answer still counts for [`LATE_ANSWER_LIMIT`], while the next poll is
//! in flight: a discovery that answers later than [`POLL_TIMEOUT`] would not be heard otherwise. Where its answers are
//! late, polls are overdue later, as far as the deadline allows.
//!
//! Discovery is shared by all nodes and answers one poll at a time. The backoff has full jitter and grows with the
//! number of nodes, so that their polls spread over the available time. A watch waits as long as the deadline allows,
//! or longer where a shared discovery has to be watched or shows that it is overloaded.

use std::time::Duration;

use crate::message::DiscoverySettings;

/// A change must reach the node within this time after discovery has it and can be reached.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// The maximum time between the starts of a failed poll and of the next one. It does not apply if the failed poll is a
/// watch that broke after having been open for longer.
const MAX_POLL_SPACING: Duration = Duration::from_millis(3_500);
/// The time after which a poll that does not wait for changes is overdue, including connect and queueing. Discovery may
/// queue a poll for about 2 s; a shorter time would repeat polls shortly before their answer.
const POLL_TIMEOUT: Duration = Duration::from_millis(2_200);
/// The time after the end of its wait at which a watch is overdue.
const WATCH_SLACK: Duration = Duration::from_secs(1);
/// A poll is not overdue for this long after the time at which the last answers came.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// How long the answer to an overdue poll still counts.
pub(super) const LATE_ANSWER_LIMIT: Duration = NOTIFICATION_DEADLINE;
/// The timeout of a connect to discovery.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout for the body of an answer. Without it, a body that stalls would take as long as a watch to time out.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a watch waits for changes where an agent pushes the lists and discovery is not overloaded. It limits how
/// long a discovery that has fallen silent is mistaken for one without changes.
const MIN_WATCH_WAIT: Duration = Duration::from_secs(2);
/// The maximum wait of a watch, where discovery is overloaded or shared.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);
/// An answer without changes that comes later than this after the end of the wait shows that polls queue at discovery.
const OVERLOAD_DELAY: Duration = Duration::from_millis(750);
/// The factor by which the wait of a watch shrinks after an answer in time.
const WATCH_WAIT_DECAY: f64 = 0.75;

/// The maximum backoff after a first failure. It is multiplied by a factor that grows with the number of nodes, since
/// all of them may have been rejected at once.
const INITIAL_BACKOFF: Duration = Duration::from_millis(600);
/// The maximum backoff after a first failure if changes may have been missed, which are due soon.
const INITIAL_BACKOFF_WITH_MISSED_CHANGES: Duration = Duration::from_millis(200);
/// The number of nodes for each step of the initial backoff's factor.
const NODES_PER_BACKOFF_STEP: usize = 8;
/// The maximum factor of the initial backoff. Above it, [`MAX_POLL_SPACING`] limits the backoff in any case.
const MAX_BACKOFF_STEPS: usize = 8;
/// The maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// The part of the deadline that the timeouts leave unused.
const DEADLINE_MARGIN: Duration = Duration::from_millis(300);

/// Checks that the timeouts fit into the deadline and leave the margin. The changes that a silent watch has missed are
/// due at the deadline, or 2 s after the end of the watch's wait if that is later. After a silent watch of a pushed
/// list, the next poll is complete by the deadline.
const _: () = {
    let deadline = NOTIFICATION_DEADLINE.as_millis() - DEADLINE_MARGIN.as_millis();
    assert!(MAX_POLL_SPACING.as_millis() + POLL_TIMEOUT.as_millis() <= deadline);
    assert!(MIN_WATCH_WAIT.as_millis() + WATCH_SLACK.as_millis() + POLL_TIMEOUT.as_millis() <= deadline);
    assert!(BODY_TIMEOUT.as_millis() + POLL_TIMEOUT.as_millis() <= deadline);
    assert!(POLL_TIMEOUT.as_millis() < MAX_POLL_SPACING.as_millis());
    assert!(CONNECT_TIMEOUT.as_millis() < POLL_TIMEOUT.as_millis());
};

/// The next poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Poll {
    /// The delay between the end of the previous poll and the start of this one.
    pub(super) backoff: Duration,
    /// How long discovery may wait for changes before it answers. If zero, it answers at once with the changes it has.
    pub(super) wait: Duration,
    /// The time from its start after which the poll is overdue, and the next one is made.
    pub(super) overdue_after: Duration,
}

/// How a poll ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PollOutcome {
    /// Discovery answered with a list, which may be without changes.
    Answered,
    /// Discovery answered with an error status.
    Rejected,
    /// The connection could not be opened or broke, or the answer can't be read.
    Broken,
    /// The poll is overdue, or the connection or the answer was not complete within its timeout.
    TimedOut,
}

/// Schedules the polls of one node.
#[derive(Debug)]
pub(super) struct PollSchedule {
    /// Failed polls in a row.
    failures: u32,
    /// How much of [`MAX_POLL_SPACING`] the last poll has used.
    spacing_used: Duration,
    /// Whether the next poll only fetches the changes that discovery already has, without waiting for others.
    immediate: bool,
    /// Whether changes may have been missed, because a poll timed out or discovery has moved, and no poll has been
    /// answered since.
    missed_changes: bool,
    /// How long a watch waits for changes where an agent pushes the lists ([`DiscoverySettings::watch`] is false). It
    /// grows while discovery is overloaded.
    adaptive_watch_wait: Duration,
    /// How late the last answer was: how long it took, beyond the wait of a watch.
    answer_delay: Duration,
}

impl PollSchedule {
    /// Creates a schedule whose first poll is immediate, or else a watch.
    pub(super) fn new(immediate: bool) -> PollSchedule {
        PollSchedule {
            failures: 0,
            spacing_used: Duration::ZERO,
            immediate,
            missed_changes: false,
            adaptive_watch_wait: MIN_WATCH_WAIT,
            answer_delay: Duration::ZERO,
        }
    }

    /// Failed polls in a row.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }

    /// Handles a new address of discovery. It is polled there at once, since changes at a new address must reach the
    /// node within 4 s, which is less than [`NOTIFICATION_DEADLINE`].
    pub(super) fn on_new_address(&mut self) {
        *self = PollSchedule {
            adaptive_watch_wait: self.adaptive_watch_wait,
            missed_changes: true,
            ..PollSchedule::new(true)
        };
    }

    /// Makes the next poll an immediate one.
    pub(super) fn poll_immediately(&mut self) {
        self.immediate = true;
    }

    /// Returns the next poll. The same state, settings and random numbers give the same poll.
    pub(super) fn next(&self, settings: DiscoverySettings, rng: &mut fastrand::Rng) -> Poll {
        let backoff = self.max_backoff(settings).mul_f64(rng.f64());
        if self.immediate {
            return Poll { backoff, wait: Duration::ZERO, overdue_after: self.immediate_overdue_after() };
        }
        let wait = self.watch_wait(settings, rng.f64());
        Poll { backoff, wait, overdue_after: wait + WATCH_SLACK }
    }

    /// When a poll that does not wait is overdue: [`POLL_TIMEOUT`], or later where answers take longer and the deadline
    /// allows it.
    fn immediate_overdue_after(&self) -> Duration {
        (self.answer_delay + ANSWER_MARGIN).min(self.max_spacing()).max(POLL_TIMEOUT)
    }

    /// The poll that stays in flight when one that was started before it is answered late. It is not overdue before the
    /// time that such an answer takes, or else each poll would be followed by another one.
    pub(super) fn after_late_answer(&self, poll: Poll) -> Poll {
        Poll { overdue_after: poll.overdue_after.max(self.answer_delay + ANSWER_MARGIN), ..poll }
    }

    /// The maximum time between the starts of a failed poll and of the next one: [`MAX_POLL_SPACING`], or less where the
    /// answer to the next one takes longer than [`POLL_TIMEOUT`].
    fn max_spacing(&self) -> Duration {
        MAX_POLL_SPACING.saturating_sub(self.answer_delay.saturating_sub(POLL_TIMEOUT))
    }

    /// The upper bound of the next backoff. It doubles with each failure, up to the part of the maximum spacing that the
    /// failed poll has left. After an answer it is zero, since a change that happens before the next watch is open
    /// must not be delayed by a backoff.
    fn max_backoff(&self, settings: DiscoverySettings) -> Duration {
        let Some(doublings) = self.failures.checked_sub(1) else { return Duration::ZERO };
        let steps = (settings.node_count / NODES_PER_BACKOFF_STEP).clamp(1, MAX_BACKOFF_STEPS) as u32;
        let initial =
            if self.missed_changes { INITIAL_BACKOFF_WITH_MISSED_CHANGES } else { INITIAL_BACKOFF * steps };
        let doubled = initial.saturating_mul(1 << doublings.min(MAX_BACKOFF_DOUBLINGS));
        doubled.min(self.max_spacing().saturating_sub(self.spacing_used))
    }

    /// How long a watch waits for changes; `jitter` is 0 to 1.
    ///
    /// A shared discovery has to serve one poll of each node in the poll interval, so a watch waits for at least that
    /// long, within bounds. The jitter keeps nodes whose watches time out together from polling again at the same time.
    fn watch_wait(&self, settings: DiscoverySettings, jitter: f64) -> Duration {
        if settings.watch {
            let shortest = settings.max_poll_interval.clamp(MIN_WATCH_WAIT / 2, MAX_WATCH_WAIT / 2);
            return shortest + shortest.mul_f64(jitter);
        }
        self.adaptive_watch_wait
    }

    /// Records how a poll has ended, and how long it took.
    pub(super) fn on_end(&mut self, poll: Poll, outcome: PollOutcome, took: Duration) {
        if outcome == PollOutcome::Answered {
            *self = PollSchedule {
                adaptive_watch_wait: self.adaptive_watch_wait,
                answer_delay: took.checked_sub(poll.wait).unwrap_or(self.answer_delay),
                ..PollSchedule::new(false)
            };
            // An answer before the end of the wait has a change, and does not show whether polls queue at discovery.
            if !poll.wait.is_zero() && took >= poll.wait {
                self.adapt_watch_wait(took - poll.wait > OVERLOAD_DELAY);
            }
            return;
        }
        self.failures = self.failures.saturating_add(1);
        // After a timeout, polls are immediate until one is answered: a second one that falls silent must not take as
        // long as a watch to time out.
        self.missed_changes |= outcome == PollOutcome::TimedOut;
        self.immediate |= self.missed_changes;
        // A watch that broke after being open for long uses none of the spacing, so that the backoff may use all of it:
        // the watches of all nodes may have broken at once.
        let uses_spacing = outcome == PollOutcome::TimedOut || took < MAX_POLL_SPACING;
        self.spacing_used = if uses_spacing { took } else { Duration::ZERO };
        if outcome == PollOutcome::Rejected {
            self.adapt_watch_wait(true);
        }
    }

    /// Doubles the wait of a watch if discovery is overloaded, and shortens it otherwise.
    fn adapt_watch_wait(&mut self, overloaded: bool) {
        self.adaptive_watch_wait = if overloaded {
            (self.adaptive_watch_wait * 2).min(MAX_WATCH_WAIT)
        } else {
            self.adaptive_watch_wait.mul_f64(WATCH_WAIT_DECAY).max(MIN_WATCH_WAIT)
        };
    }
}
