//! The polls that are overdue and may still be answered.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Context, Poll as TaskPoll};

use stonefold_proto::endpoints::EndpointList;
use tokio::time::Instant;

use super::client::{Connection, PollError};
use super::poll_schedule::Poll;

/// The maximum number of overdue polls. The oldest is given up for a newer one.
pub(super) const MAX_LATE_POLLS: usize = 2;

/// The list that answers a poll, and the connection for the next one.
pub(super) type Answer = Result<(EndpointList, Connection), PollError>;

/// A poll in flight. Its connection is closed when it is dropped.
pub(super) struct PollInFlight {
    pub(super) poll: Poll,
    pub(super) started: Instant,
    pub(super) answer: Pin<Box<dyn Future<Output = Answer> + Send>>,
}

/// The polls that are overdue and may still be answered, the oldest first.
#[derive(Default)]
pub(super) struct LatePolls(Vec<PollInFlight>);

impl LatePolls {
    /// Adds a poll that is overdue.
    pub(super) fn add(&mut self, poll: PollInFlight) {
        if self.0.len() == MAX_LATE_POLLS {
            self.0.remove(0);
        }
        self.0.push(poll);
    }

    /// Gives all polls up.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Gives up the polls that were started before this time.
    pub(super) fn clear_before(&mut self, started: Instant) {
        self.0.retain(|late| late.started >= started);
    }

    /// Waits until a poll is answered with a list. Polls that fail are dropped.
    ///
    /// # Cancel safety
    ///
    /// Cancel safe: no answer is lost.
    pub(super) async fn next_answer(&mut self) -> (PollInFlight, (EndpointList, Connection)) {
        poll_fn(|context| self.poll_answer(context)).await
    }

    fn poll_answer(
        &mut self,
        context: &mut Context<'_>,
    ) -> TaskPoll<(PollInFlight, (EndpointList, Connection))> {
        let mut index = 0;
        while let Some(late) = self.0.get_mut(index) {
            match late.answer.as_mut().poll(context) {
                TaskPoll::Pending => index += 1,
                TaskPoll::Ready(Err(_)) => _ = self.0.remove(index),
                TaskPoll::Ready(Ok(answer)) => return TaskPoll::Ready((self.0.remove(index), answer)),
            }
        }
        TaskPoll::Pending
    }
}
