//! Follows the endpoint list of discovery: fetches the list or its changes since the known version, then watches it.
//!
//! [`poll_schedule`] decides when discovery is polled and how long an answer may take, [`client`] makes the request,
//! [`late_polls`] waits for answers that are overdue, and [`EndpointWatcher`] connects them and sends the lists to the
//! driver.

mod client;
mod late_polls;
mod poll_schedule;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;

use stonefold_proto::endpoints::EndpointList;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::{info, warn};

use crate::message::{Message, SharedSettings};

use client::{Connection, PollError};
use late_polls::{LatePolls, PollInFlight};
use poll_schedule::{LATE_ANSWER_LIMIT, Poll, PollOutcome, PollSchedule};

/// How the wait for the next poll ended.
enum NextPoll {
    Started(PollInFlight),
    /// An overdue poll was answered, with this message for the driver.
    LateAnswer(Message),
}

/// Follows the endpoint list.
pub(crate) struct EndpointWatcher {
    /// Notified when the balancer requests that discovery is watched.
    watch_requested: Arc<Notify>,
    settings: watch::Receiver<SharedSettings>,
    /// The version of the known list; 0 if there is none.
    version: u64,
    to_driver: UnboundedSender<Message>,
    connection: Option<Connection>,
    late_polls: LatePolls,
    /// The poll that was in flight when an overdue one was answered.
    unanswered: Option<PollInFlight>,
    /// Whether the full list is needed: none is known, or discovery's versions have restarted. Otherwise only changes are
    /// requested, since full lists for all nodes at once overload discovery.
    needs_full_list: bool,
    /// Whether the first poll waits for `watch_requested`.
    awaits_request: bool,
    schedule: PollSchedule,
    rng: fastrand::Rng,
    /// Whether unreadable entries have been logged.
    logged_unreadable: bool,
}

impl EndpointWatcher {
    /// Creates a watcher that continues from a known version of the list, if there is one. `seed` determines the
    /// jitter.
    pub(crate) fn new(
        watch_requested: Arc<Notify>,
        known_version: Option<u64>,
        settings: watch::Receiver<SharedSettings>,
        seed: u64,
        to_driver: UnboundedSender<Message>,
    ) -> EndpointWatcher {
        let needs_full_list = known_version.is_none();
        let awaits_request = settings.borrow().discovery.watch;
        // Where discovery has to be watched, a watch from a known version brings the changes as fast as an immediate poll.
        let immediate = needs_full_list || !awaits_request;
        EndpointWatcher {
            watch_requested,
            settings,
            version: known_version.unwrap_or(0),
            to_driver,
            connection: None,
            late_polls: LatePolls::default(),
            unanswered: None,
            needs_full_list,
            awaits_request,
            schedule: PollSchedule::new(immediate),
            rng: fastrand::Rng::with_seed(seed),
            logged_unreadable: false,
        }
    }

    /// Polls until the node ends. The known list stays in use after a failed poll. When the address changes, the poll
    /// in flight is cancelled and the new address is polled at once.
    pub(crate) async fn run(mut self, mut address: watch::Receiver<SocketAddr>) {
        loop {
            let current = *address.borrow_and_update();
            let message = tokio::select! {
                biased;
                Ok(()) = address.changed() => {
                    self.connection = None;
                    self.late_polls.clear();
                    self.unanswered = None;
                    self.awaits_request = false;
                    self.schedule.on_new_address();
                    continue;
                }
                message = self.poll(current) => message,
            };
            if self.to_driver.send(message).is_err() {
                return;
            }
        }
    }

    /// Waits until the balancer requests that discovery is watched.
    ///
    /// # Cancel safety
    /// When it is cancelled, the next call does not wait.
    async fn wait_for_request(&mut self) {
        if !std::mem::take(&mut self.awaits_request) {
            return;
        }
        tokio::select! {
            () = self.watch_requested.notified() => {}
            // A reload has switched to pushed lists, for which the balancer does not request a watch.
            Ok(_) = self.settings.wait_for(|settings| !settings.discovery.watch) => {}
        }
    }

    /// Makes the next poll when it is due, and returns its result as a message for the driver.
    ///
    /// # Cancel safety
    /// When it is cancelled, the connection of the poll in flight is closed. Overdue polls stay in flight.
    async fn poll(&mut self, address: SocketAddr) -> Message {
        let mut current = match self.unanswered.take() {
            Some(unanswered) => unanswered,
            None => match self.start_next_poll(address).await {
                NextPoll::Started(poll) => poll,
                NextPoll::LateAnswer(message) => return message,
            },
        };
        let overdue_at = current.started + current.poll.overdue_after;
        let result = tokio::select! {
            biased;
            (late, answer) = self.late_polls.next_answer() => {
                let message = self.on_late_answer(&late, answer);
                current.poll = self.schedule.after_late_answer(current.poll);
                self.unanswered = Some(current); // it has its turn at discovery soon
                return message;
            }
            result = timeout_at(overdue_at, &mut current.answer) => result,
        };
        match result {
            Ok(Ok(answer)) => self.on_answer(&current, answer),
            Ok(Err(error)) => self.on_failure(&current, &error, address),
            Err(_) => {
                let message = self.on_failure(&current, &PollError::TimedOut("before an answer"), address);
                self.late_polls.add(current);
                message
            }
        }
    }

    /// Starts the next poll when it is due, unless an overdue one is answered before.
    async fn start_next_poll(&mut self, address: SocketAddr) -> NextPoll {
        self.wait_for_request().await;
        if self.needs_full_list {
            self.schedule.poll_immediately();
        }
        let settings = self.settings.borrow().discovery;
        let poll = self.schedule.next(settings, &mut self.rng);
        if !poll.backoff.is_zero() {
            // A sleep of zero would still wait for the timer's next tick.
            tokio::select! {
                biased;
                (late, answer) = self.late_polls.next_answer() => {
                    return NextPoll::LateAnswer(self.on_late_answer(&late, answer));
                }
                () = sleep(poll.backoff) => {}
            }
        }
        NextPoll::Started(self.start_poll(poll, address))
    }

    /// Starts a poll, whose answer counts for [`LATE_ANSWER_LIMIT`] after it is overdue.
    fn start_poll(&mut self, poll: Poll, address: SocketAddr) -> PollInFlight {
        let path = if self.needs_full_list {
            "/discovery/hosts".to_owned()
        } else {
            format!("/discovery/hosts?after={}&wait_ms={}", self.version, poll.wait.as_millis())
        };
        let connection = self.connection.take();
        let limit = poll.overdue_after + LATE_ANSWER_LIMIT;
        let answer = Box::pin(async move {
            let fetched = timeout(limit, client::fetch(connection, address, &path)).await;
            fetched.unwrap_or(Err(PollError::TimedOut("before a late answer")))
        });
        PollInFlight { poll, started: Instant::now(), answer }
    }

    /// Handles the answer to an overdue poll.
    fn on_late_answer(&mut self, poll: &PollInFlight, answer: (EndpointList, Connection)) -> Message {
        let took_ms = poll.started.elapsed().as_millis() as u64;
        let waited_ms = poll.poll.wait.as_millis() as u64;
        info!(event = "discovery_answered_late", took_ms, waited_ms, "an overdue poll was answered");
        self.on_answer(poll, answer)
    }

    /// Handles the answer to a poll. Polls that were started before it are given up, since their answers are older.
    fn on_answer(&mut self, poll: &PollInFlight, answer: (EndpointList, Connection)) -> Message {
        let (list, connection) = answer;
        self.schedule.on_end(poll.poll, PollOutcome::Answered, poll.started.elapsed());
        self.late_polls.clear_before(poll.started);
        self.connection = Some(connection);
        self.record_list(&list);
        Message::EndpointList(list)
    }

    fn on_failure(&mut self, poll: &PollInFlight, error: &PollError, address: SocketAddr) -> Message {
        self.schedule.on_end(poll.poll, error.outcome(), poll.started.elapsed());
        let failed = self.schedule.failures();
        warn!(event = "discovery_failed", at = %address, %error, failed, "the poll failed; the known list stays in use");
        Message::EndpointListFailed
    }

    /// Records the version of a list, and logs the first list with unreadable entries.
    fn record_list(&mut self, list: &EndpointList) {
        // A lower version shows that discovery's versions have restarted. The changes until then are not known, and only a
        // full list makes up for them: a poll in flight may still bring changes since the version before the restart.
        self.needs_full_list = !list.full && (self.needs_full_list || list.version < self.version);
        self.version = list.version;
        if list.skipped > 0 && !self.logged_unreadable {
            warn!(
                event = "entries_skipped",
                entries = list.skipped,
                "unreadable entries of the endpoint list are skipped"
            );
            self.logged_unreadable = true;
        }
    }
}
