//! A subscriber's connections: it connects to publishers, applies their frames, and saves the state that its node uses.

use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout};
use tokio_util::sync::CancellationToken;
use tracing::{debug, warn};

use super::connection::{Connection, HANDSHAKE_TIMEOUT, MessageReceiver, MessageSender, WireError};
use super::feed::Feed;
use super::publish::Source;
use super::tcp::Tcp;
use crate::feed::frame::MAX_FRAME_BYTES;
use crate::feed::subscriber::{Action, Event, ReceiveError};
use crate::message::{Caller, Introduction};
use crate::subscriber_folder::{FolderError, SubscriberFolder};

/// Received frames that may wait to be applied.
const FRAME_QUEUE_LEN: usize = 4;

/// Is called with [`Event::Purged`] and [`Event::PurgesUnknown`], once for each event and in order. It must not block.
pub type OnPurge = Box<dyn FnMut(&Event) + Send>;

#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error("{0}")]
    Wire(#[from] WireError),
    #[error("{0}")]
    Receive(#[from] ReceiveError),
}

/// Follows the state until it is stopped. `tcp` has the keys. Without a folder nothing is saved.
pub async fn follow(
    feed: Feed,
    tcp: Tcp,
    folder: Option<SubscriberFolder>,
    on_purge: OnPurge,
    stop: CancellationToken,
) {
    let mut applier = FrameApplier { feed: feed.clone(), folder, has_unsaved_items: false, on_purge };
    let connect = async {
        loop {
            let action = feed.with_subscriber(|subscriber, now| {
                subscriber.poll(now).ok_or_else(|| subscriber.next_poll_at(now))
            });
            match action {
                Ok(Action::Connect(addr)) => run_connection(&feed, &addr, &tcp, &mut applier).await,
                Ok(Action::Send(_) | Action::Close(_)) => {} // there is no connection
                Err(next_poll_at) => sleep_until(feed.instant(next_poll_at)).await,
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = connect => {}
    }
}

async fn run_connection(feed: &Feed, addr: &str, tcp: &Tcp, applier: &mut FrameApplier) {
    let result = session(feed, addr, tcp, applier).await;
    feed.with_subscriber(|subscriber, now| subscriber.on_closed(now));
    match result {
        Ok(()) => {
            debug!(
                event = "publisher_disconnected",
                addr, "the session is over; a publisher is selected again"
            );
        }
        Err(error) => log_lost_publisher(feed, addr, &error),
    }
}

/// Logs a lost publisher whenever their number has doubled.
fn log_lost_publisher(feed: &Feed, addr: &str, error: &FollowError) {
    let counters = feed.counters();
    let (disconnects, rejected_frames) = (counters.disconnects, counters.rejected_frames);
    if disconnects.is_power_of_two() {
        warn!(
            event = "publisher_lost",
            addr, %error, disconnects, rejected_frames, "the connection to a publisher of the store's state has failed"
        );
    }
}

/// Runs one connection, until the subscriber closes it or it fails.
async fn session(feed: &Feed, addr: &str, tcp: &Tcp, applier: &mut FrameApplier) -> Result<(), FollowError> {
    let caller = Introduction { cluster: feed.cluster(), caller: Caller::Subscriber, addr: String::new() };
    let keys = tcp.keys();
    let connection = timeout(HANDSHAKE_TIMEOUT, Connection::connect(addr, &keys, &caller)).await;
    let (mut sender, mut receiver) = connection.unwrap_or(Err(WireError::HandshakeTimeout))?.split();
    let hello = feed.with_subscriber(|subscriber, now| subscriber.on_connected(now));
    sender.send(&hello).await?;
    let (queue, mut frames) = mpsc::channel(FRAME_QUEUE_LEN);
    tokio::select! {
        error = receive_frames(feed, &mut receiver, queue) => Err(error.into()),
        result = apply_frames(feed, addr, &mut sender, &mut frames, applier) => result,
    }
}

/// Receives frames into the queue until the connection fails.
async fn receive_frames(
    feed: &Feed,
    receiver: &mut MessageReceiver,
    queue: mpsc::Sender<Vec<u8>>,
) -> WireError {
    loop {
        match receiver.receive(MAX_FRAME_BYTES).await {
            Ok(frame) => _ = queue.send(frame).await, // the receiver lives as long as this future
            Err(error @ WireError::Io(_)) => return error,
            Err(error) => {
                feed.with_subscriber(|subscriber, _| subscriber.on_unreadable_frame());
                return error;
            }
        }
    }
}

/// Applies frames from the queue, and sends what the subscriber wants to send, until it closes the connection.
async fn apply_frames(
    feed: &Feed,
    addr: &str,
    sender: &mut MessageSender,
    frames: &mut mpsc::Receiver<Vec<u8>>,
    applier: &mut FrameApplier,
) -> Result<(), FollowError> {
    loop {
        let next_poll_at = feed.with_subscriber(|subscriber, now| subscriber.next_poll_at(now));
        tokio::select! {
            frame = frames.recv() => {
                let Some(frame) = frame else { return Ok(()) };
                applier.apply(&frame)?;
            }
            () = sleep_until(feed.instant(next_poll_at)) => {}
        }
        match feed.with_subscriber(|subscriber, now| subscriber.poll(now)) {
            Some(Action::Send(bytes)) => {
                let sent = timeout(HANDSHAKE_TIMEOUT, sender.send(&bytes)).await;
                sent.unwrap_or(Err(WireError::HandshakeTimeout))?;
            }
            Some(Action::Close(reason)) => {
                debug!(
                    event = "publisher_disconnected",
                    addr,
                    ?reason,
                    "the subscriber closes the connection to a publisher"
                );
                return Ok(());
            }
            Some(Action::Connect(_)) | None => {}
        }
    }
}

/// Applies frames, and saves the state that they change.
struct FrameApplier {
    feed: Feed,
    folder: Option<SubscriberFolder>,
    /// Whether items have changed that are not saved yet. The node doesn't see them before.
    has_unsaved_items: bool,
    on_purge: OnPurge,
}

impl FrameApplier {
    fn apply(&mut self, frame: &[u8]) -> Result<(), FollowError> {
        for event in self.feed.with_subscriber(|subscriber, now| subscriber.on_frame(frame, now))? {
            match event {
                Event::Changed(_) => self.has_unsaved_items = true,
                Event::Purged { .. } | Event::PurgesUnknown { .. } => (self.on_purge)(&event),
            }
        }
        let list_in_use = self.feed.list_in_use();
        let has_unsaved_list = self.folder.as_ref().is_some_and(|folder| folder.list_in_use() < list_in_use);
        if self.has_unsaved_items || has_unsaved_list {
            match self.save() {
                Ok(()) => self.has_unsaved_items = false,
                // It is retried with the next frame: there is one each second.
                Err(error) => {
                    warn!(event = "state_not_saved", %error, "the node doesn't use the changed state");
                }
            }
        }
        self.feed.notify_table_change();
        Ok(())
    }

    /// Saves the state, and then lets the node see it.
    fn save(&mut self) -> Result<(), FolderError> {
        let (revision, items, list_version) = self.feed.with_subscriber(|subscriber, _| {
            let table = &subscriber.table;
            (table.revision(), table.items().clone(), table.list_version())
        });
        if let Some(folder) = &mut self.folder {
            folder.save(self.feed.cluster(), self.feed.list_in_use(), revision, &items)?;
        }
        self.feed.set_view(items, list_version);
        Ok(())
    }
}
