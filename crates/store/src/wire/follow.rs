//! Runs a subscriber's connections: connects to publishers, applies their frames, and saves the state that the node
//! uses.

use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout};
use tokio_util::sync::CancellationToken;
use tracing::{debug, warn};

use super::connection::{Connection, HANDSHAKE_TIMEOUT, MessageReceiver, MessageSender, WireError};
use super::feed::SubscriberFeed;
use super::publish::FeedSource;
use super::tcp::TcpTransport;
use crate::feed::frame::MAX_FRAME_BYTES;
use crate::feed::subscriber::{Action, Event, ReceiveError};
use crate::message::{Caller, Introduction};
use crate::subscriber_folder::{FolderError, SubscriberFolder};

/// The maximum number of received frames that wait to be applied.
const FRAME_QUEUE_LEN: usize = 4;

/// A callback for [`Event::Purged`] and [`Event::PurgesUnknown`], called once for each event and in order. It must not
/// block.
pub type OnPurge = Box<dyn FnMut(&Event) + Send>;

/// Why a connection to a publisher has failed.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error("{0}")]
    Wire(#[from] WireError),
    #[error("{0}")]
    Receive(#[from] ReceiveError),
}

/// Follows the committed state until `stop` is cancelled. `tcp` has the subscribers' keys. Without a folder, nothing is
/// saved.
pub async fn follow(
    feed: SubscriberFeed,
    tcp: TcpTransport,
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
                Ok(Action::Send(_) | Action::Close(_)) => {} // there is no connection to act on
                Err(next_poll_at) => sleep_until(feed.instant(next_poll_at)).await,
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = connect => {}
    }
}

/// Runs one connection to a publisher, and reports its end to the subscriber and to the log.
async fn run_connection(feed: &SubscriberFeed, addr: &str, tcp: &TcpTransport, applier: &mut FrameApplier) {
    let result = run_session(feed, addr, tcp, applier).await;
    feed.with_subscriber(|subscriber, now| subscriber.on_closed(now));
    match result {
        Ok(()) => {
            debug!(
                event = "publisher_disconnected",
                addr, "the session has ended; a publisher is selected again"
            );
        }
        Err(error) => log_lost_publisher(feed, addr, &error),
    }
}

/// Logs a failed connection if the number of disconnects is a power of two.
fn log_lost_publisher(feed: &SubscriberFeed, addr: &str, error: &FollowError) {
    let counters = feed.counters();
    let (disconnects, rejected_frames) = (counters.disconnects, counters.rejected_frames);
    if disconnects.is_power_of_two() {
        warn!(
            event = "publisher_lost",
            addr, %error, disconnects, rejected_frames, "the connection to a publisher of the store's state has failed"
        );
    }
}

/// Connects to a publisher and receives its frames, until the subscriber closes the connection or it fails.
async fn run_session(
    feed: &SubscriberFeed,
    addr: &str,
    tcp: &TcpTransport,
    applier: &mut FrameApplier,
) -> Result<(), FollowError> {
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

/// Receives frames into the queue until the connection fails, and returns the error.
async fn receive_frames(
    feed: &SubscriberFeed,
    receiver: &mut MessageReceiver,
    queue: mpsc::Sender<Vec<u8>>,
) -> WireError {
    loop {
        match receiver.receive(MAX_FRAME_BYTES).await {
            Ok(frame) => _ = queue.send(frame).await, // the queue's receiver lives as long as this future
            Err(error @ WireError::Io(_)) => return error,
            Err(error) => {
                feed.with_subscriber(|subscriber, _| subscriber.on_unreadable_frame());
                return error;
            }
        }
    }
}

/// Applies frames from the queue and sends the subscriber's acknowledgements, until the subscriber closes the
/// connection.
async fn apply_frames(
    feed: &SubscriberFeed,
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
    feed: SubscriberFeed,
    folder: Option<SubscriberFolder>,
    /// Whether items have changed that are not saved yet. The node sees them only once they are saved.
    has_unsaved_items: bool,
    on_purge: OnPurge,
}

impl FrameApplier {
    /// Applies a frame, reports its purges, and saves the state if it has changed.
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
                // Saving is retried with the next frame; a publisher sends at least one each second.
                Err(error) => {
                    warn!(
                        event = "state_not_saved",
                        %error, "the changed state could not be saved, and the node does not use it"
                    );
                }
            }
        }
        self.feed.notify_table_change();
        Ok(())
    }

    /// Saves the state, and makes it visible to the node if that succeeds.
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
