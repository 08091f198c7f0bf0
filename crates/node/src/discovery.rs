//! Follows the endpoint list of discovery: fetches the list or its changes since the known version, then watches it.
//!
//! [`poll_schedule`] decides when discovery is polled and how long an answer may take, [`client`] makes the request,
//! and [`EndpointWatcher`] connects the two and sends the lists to the driver.

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
    to_driver: UnboundedSender<Message>,
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
                self.record_list(&list);
                Message::EndpointList(list)
            }
            Err(error) => {
                let failed = self.schedule.failures();
                warn!(event = "discovery_failed", at = %address, %error, failed, "the poll failed; the known list stays in use");
                Message::EndpointListFailed
            }
        }
    }

    /// Records the version of a list, and logs the first list with unreadable entries.
    fn record_list(&mut self, list: &EndpointList) {
        // A lower version shows that discovery's versions have restarted. The changes until then are not known.
        self.needs_full_list = !list.full && list.version < self.version;
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
