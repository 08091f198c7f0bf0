//! A publisher's connection to one subscriber.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout};

use super::connection::{Connection, HANDSHAKE_TIMEOUT, MessageReceiver, MessageSender, WireError, lock};
use crate::feed::frame::{
    MAX_FRAME_BYTES, PublisherFrame, SessionRejection, SubscriberFrame, decode_frame, encode_frame,
};
use crate::feed::publisher::{PublisherSession, SessionLimits};
use crate::feed::table::FeedTable;
use crate::freshness::Millis;
use crate::replica::{Replica, Transport};

/// How long sending a rejection to the subscriber may take.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(200);

/// The state that a publisher publishes.
pub trait FeedSource: Clone + Send + Sync + 'static {
    /// Whether the publisher is a member, which is authoritative, rather than a relay.
    const IS_MEMBER: bool;
    /// The cluster that the state belongs to.
    fn cluster(&self) -> u128;
    /// Runs `work` with the current table and its age in ms: the table has everything that was committed that long ago.
    /// `None` if the age is unknown.
    fn with_table<R>(&self, work: impl FnOnce(&mut FeedTable, Option<Millis>) -> R) -> R;
    /// Returns a receiver that is notified when the table may have changed.
    fn changes(&self) -> watch::Receiver<u64>;
}

/// The state of a member. Its table is filled when the first subscriber connects.
pub(super) struct ReplicaSource<T> {
    replica: Replica<T>,
    table: Arc<Mutex<FeedTable>>,
}

impl<T> ReplicaSource<T> {
    pub(super) fn new(replica: Replica<T>) -> ReplicaSource<T> {
        ReplicaSource { replica, table: Arc::default() }
    }
}

impl<T: Clone> Clone for ReplicaSource<T> {
    fn clone(&self) -> ReplicaSource<T> {
        ReplicaSource { replica: self.replica.clone(), table: self.table.clone() }
    }
}

impl<T: Transport> FeedSource for ReplicaSource<T> {
    const IS_MEMBER: bool = true;

    fn cluster(&self) -> u128 {
        self.replica.identity().cluster
    }

    fn with_table<R>(&self, work: impl FnOnce(&mut FeedTable, Option<Millis>) -> R) -> R {
        // The freshness is read before the applied state. In the other order, it could be more recent than the table.
        let stale_ms = self
            .replica
            .freshness(|freshness, now| freshness.is_confirmed().then(|| freshness.stale_for(now)));
        let mut table = lock(&self.table);
        table.sync_from(&self.replica.shared().read());
        work(&mut table, stale_ms)
    }

    fn changes(&self) -> watch::Receiver<u64> {
        self.replica.applied_index()
    }
}

/// How a session has ended without an error of the connection.
enum SessionEnd {
    /// The publisher ends the session.
    Rejected(SessionRejection),
    /// The subscriber has disconnected.
    Disconnected,
}

/// Serves one subscriber until it disconnects or is rejected.
pub(super) async fn publish<S: FeedSource>(
    connection: Connection,
    source: &S,
    limits: SessionLimits,
) -> Result<(), WireError> {
    let (mut sender, mut receiver) = connection.split();
    let start = Instant::now();
    let now = move || start.elapsed().as_millis() as Millis;
    let hello = timeout(HANDSHAKE_TIMEOUT, receiver.receive(MAX_FRAME_BYTES)).await;
    let session =
        match open_session(&hello.unwrap_or(Err(WireError::HandshakeTimeout))?, source, limits, now()) {
            Ok(session) => Mutex::new(session),
            Err(rejection) => return reject(&mut sender, rejection).await,
        };
    let acked = Notify::new();
    let ended = tokio::select! {
        ended = receive_acks(&mut receiver, &session, &acked, now) => ended,
        ended = send_updates(&mut sender, source, &session, &acked, now, limits) => ended,
    };
    match ended {
        Ok(SessionEnd::Rejected(rejection)) => reject(&mut sender, rejection).await,
        Ok(SessionEnd::Disconnected) | Err(WireError::Io(_)) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Begins a session with a subscriber's first frame, which must be a hello.
fn open_session<S: FeedSource>(
    hello: &[u8],
    source: &S,
    limits: SessionLimits,
    now: Millis,
) -> Result<PublisherSession, SessionRejection> {
    match decode_frame(hello) {
        Ok(SubscriberFrame::Hello(hello)) => {
            source.with_table(|table, _| PublisherSession::open(&hello, table, S::IS_MEMBER, limits, now))
        }
        Ok(SubscriberFrame::Ack(_)) => {
            Err(SessionRejection::Malformed("an acknowledgement before a hello".into()))
        }
        Err(error) => Err(SessionRejection::Malformed(error.to_string())),
    }
}

/// Sends a rejection to the subscriber, and returns it as an error.
async fn reject(sender: &mut MessageSender, rejection: SessionRejection) -> Result<(), WireError> {
    let reason = rejection.to_string();
    if let Ok(bytes) = encode_frame(&PublisherFrame::Rejected(rejection)) {
        let _ = timeout(REJECTION_TIMEOUT, sender.send(&bytes)).await; // fails for a subscriber that reads nothing
    }
    Err(WireError::Rejected(reason))
}

/// Receives acknowledgements until the subscriber disconnects or sends an invalid frame.
async fn receive_acks(
    receiver: &mut MessageReceiver,
    session: &Mutex<PublisherSession>,
    acked: &Notify,
    now: impl Fn() -> Millis,
) -> Result<SessionEnd, WireError> {
    loop {
        let bytes = match receiver.receive(MAX_FRAME_BYTES).await {
            Err(WireError::Io(_)) => return Ok(SessionEnd::Disconnected),
            bytes => bytes?,
        };
        let result = match decode_frame(&bytes) {
            Ok(SubscriberFrame::Ack(ack)) => lock(session).on_ack(ack, now()),
            Ok(SubscriberFrame::Hello(_)) => Err(SessionRejection::Malformed("a second hello".into())),
            Err(error) => Err(SessionRejection::Malformed(error.to_string())),
        };
        if let Err(rejection) = result {
            return Ok(SessionEnd::Rejected(rejection));
        }
        acked.notify_one();
    }
}

/// Sends changes and heartbeats until the subscriber is rejected.
async fn send_updates<S: FeedSource>(
    sender: &mut MessageSender,
    source: &S,
    session: &Mutex<PublisherSession>,
    acked: &Notify,
    now: impl Fn() -> Millis,
    limits: SessionLimits,
) -> Result<SessionEnd, WireError> {
    let mut changes = source.changes();
    let ack_timeout = Duration::from_millis(limits.ack_timeout);
    loop {
        changes.borrow_and_update();
        let (polled, wait_ms) = source.with_table(|table, stale_ms| {
            let (mut session, now) = (lock(session), now());
            let polled = session.poll(now, table, stale_ms);
            (polled, session.next_poll_at(now, table).saturating_sub(now))
        });
        match polled {
            Err(rejection) => return Ok(SessionEnd::Rejected(rejection)),
            Ok(Some(bytes)) => match timeout(ack_timeout, sender.send(&bytes)).await {
                Ok(sent) => sent?,
                Err(_) => return Ok(SessionEnd::Rejected(SessionRejection::TooSlow(limits.ack_timeout))),
            },
            Ok(None) => {
                let next_poll_at = Instant::now() + Duration::from_millis(wait_ms.max(1));
                tokio::select! {
                    () = sleep_until(next_poll_at) => {}
                    () = acked.notified() => {}
                    // Once the source has ended it makes no more changes, and `changed` returns an error, which
                    // disables this branch. Heartbeats continue until the connection is closed.
                    Ok(()) = changes.changed() => {}
                }
            }
        }
    }
}
