//! The endpoint list, followed at discovery: first the changes since the known list, then a watch.
//!
//! [`poll_schedule`] decides when discovery is polled and for how long, [`client`] makes the request, and
//! [`EndpointWatcher`] connects the two and sends the lists to the driver.

mod client;
mod poll_schedule;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;

use stonefold_proto::endpoints::EndpointList;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};
use tracing::warn;

use crate::message::{Message, SharedSettings};

use client::{Connection, PollError};
use poll_schedule::{PollOutcome, PollSchedule};

/// Follows the endpoint list.
pub(crate) struct EndpointWatcher {
    /// Notified when the balancer requests that discovery is watched.
    watch_requested: Arc<Notify>,
    settings: watch::Receiver<SharedSettings>,
    /// The version of the known list; 0 if there is none.
    version: u64,
    to: UnboundedSender<Message>,
    connection: Option<Connection>,
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
    /// A watcher that continues from a known version of the list, if there is one. `seed` determines the jitter.
    pub(crate) fn new(
        watch_requested: Arc<Notify>,
        known_version: Option<u64>,
        settings: watch::Receiver<SharedSettings>,
        seed: u64,
        to: UnboundedSender<Message>,
    ) -> EndpointWatcher {
        let needs_full_list = known_version.is_none();
        let awaits_request = settings.borrow().discovery.watch;
        // Where discovery has to be watched, a watch from a known version brings the changes as fast as an immediate poll.
        let immediate = needs_full_list || !awaits_request;
        EndpointWatcher {
            watch_requested,
            settings,
            version: known_version.unwrap_or(0),
            to,
            connection: None,
            needs_full_list,
            awaits_request,
            schedule: PollSchedule::new(immediate),
            rng: fastrand::Rng::with_seed(seed),
            logged_unreadable: false,
        }
    }

    /// Polls until the node ends. A failed poll keeps the known list. A new address cancels the poll in flight at the
    /// old one, and is polled at once.
    pub(crate) async fn run(mut self, mut address: watch::Receiver<SocketAddr>) {
        loop {
            let current = *address.borrow_and_update();
            let message = tokio::select! {
                biased;
                Ok(()) = address.changed() => {
                    self.connection = None;
                    self.awaits_request = false;
                    self.schedule.on_new_address();
                    continue;
                }
                message = self.poll(current) => message,
            };
            if self.to.send(message).is_err() {
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
            // A reload has switched to pushed lists, which the balancer does not request.
            Ok(_) = self.settings.wait_for(|settings| !settings.discovery.watch) => {}
        }
    }

    /// Makes the next poll when it is due; returns what the driver has to know of it.
    ///
    /// # Cancel safety
    /// When it is cancelled, the connection of the poll in flight is closed.
    async fn poll(&mut self, address: SocketAddr) -> Message {
        self.wait_for_request().await;
        if self.needs_full_list {
            self.schedule.poll_immediately();
        }
        let settings = self.settings.borrow().discovery;
        let poll = self.schedule.next(settings, &mut self.rng);
        if !poll.backoff.is_zero() {
            sleep(poll.backoff).await; // a sleep of zero would still wait for the timer's next tick
        }
        let path = if self.needs_full_list {
            "/discovery/hosts".to_owned()
        } else {
            format!("/discovery/hosts?after={}&wait_ms={}", self.version, poll.wait.as_millis())
        };
        let started = Instant::now();
        let connection = self.connection.take();
        let result = timeout(poll.timeout, client::fetch(connection, address, &path)).await;
        let result = result.unwrap_or(Err(PollError::TimedOut("before an answer")));
        let outcome = result.as_ref().map_or_else(PollError::outcome, |_| PollOutcome::Answered);
        self.schedule.on_end(poll, outcome, started.elapsed());
        match result {
            Ok((list, connection)) => {
                self.connection = Some(connection);
                self.note_list(&list);
                Message::EndpointList(list)
            }
            Err(error) => {
                let failed = self.schedule.failures();
                warn!(event = "discovery_failed", at = %address, %error, failed, "the known list stays in use");
                Message::EndpointListFailed
            }
        }
    }

    /// Notes the version of a list, and logs the first one with unreadable entries.
    fn note_list(&mut self, list: &EndpointList) {
        // Discovery's versions have restarted, and the changes before that are not known.
        self.needs_full_list = !list.full && list.version < self.version;
        self.version = list.version;
        if list.skipped > 0 && !self.logged_unreadable {
            warn!(event = "entries_skipped", entries = list.skipped, "entries of the list can't be read");
            self.logged_unreadable = true;
        }
    }
}
