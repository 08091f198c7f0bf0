//! The overdue polls of a simulated fleet, which may still be answered.

use std::time::Duration;

use super::scenario::Micros;
use super::{Event, Fleet, PollState};
use crate::discovery::late_polls::MAX_LATE_POLLS;
use crate::discovery::poll_schedule::{LATE_ANSWER_LIMIT, Poll, PollOutcome};

/// An overdue poll that may still be answered.
pub(super) struct LatePoll {
    number: u64,
    poll: Poll,
    started: Micros,
    state: PollState,
}

impl Fleet {
    /// Keeps the overdue poll of a node, and begins the next one.
    pub(super) fn time_out(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let late = LatePoll {
            number: node.poll_number,
            poll: node.poll,
            started: node.poll_started,
            state: node.state,
        };
        if node.late_polls.len() == MAX_LATE_POLLS {
            node.late_polls.remove(0);
        }
        node.late_polls.push(late);
        self.end(index, PollOutcome::TimedOut);
    }

    pub(super) fn dequeue_late(&mut self, index: usize, number: u64) {
        let version = self.discovery.version();
        let node = &mut self.nodes[index];
        let Some(late) = node.late_polls.iter_mut().find(|late| late.number == number) else { return };
        if late.state != PollState::Queued {
            return;
        }
        late.state = PollState::Open;
        if !late.poll.wait.is_zero() && node.version == version {
            let wait_end = self.now + late.poll.wait.as_micros() as Micros;
            return self.schedule(wait_end, Event::WaitOver(index, number));
        }
        self.answer_late(index, number, |state| state == PollState::Open);
    }

    /// Answers an overdue poll in one of these states, unless the node has given it up.
    pub(super) fn answer_late(&mut self, index: usize, number: u64, which: impl Fn(PollState) -> bool) {
        let node = &mut self.nodes[index];
        let Some(late) = node.late_polls.iter().find(|late| late.number == number && which(late.state))
        else {
            return;
        };
        let overdue_at = late.started + late.poll.overdue_after.as_micros() as Micros;
        if self.now > overdue_at + LATE_ANSWER_LIMIT.as_micros() as Micros {
            return;
        }
        let took = Duration::from_micros(self.now - late.started);
        let poll = late.poll;
        node.late_polls.retain(|late| late.number > number);
        node.schedule.on_end(poll, PollOutcome::Answered, took);
        self.receive_list(index, self.discovery.version());
    }

    /// Answers the overdue watches that are open, when there is a change.
    pub(super) fn answer_open_late_polls(&mut self) {
        for index in 0..self.nodes.len() {
            let mut open = self.nodes[index].late_polls.iter().filter(|late| late.state == PollState::Open);
            if let Some(number) = open.next().map(|late| late.number) {
                self.answer_late(index, number, |state| state == PollState::Open);
            }
        }
    }
}
