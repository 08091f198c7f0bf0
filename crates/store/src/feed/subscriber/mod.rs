//! A subscriber: which publisher it is connected to, the state that it receives, and how fresh this state is. This
//! module does no I/O and takes the time as a parameter.

mod event;
mod receive;

use std::mem;

pub use self::event::{Action, CloseReason, Counters, Event, ReceiveError};
use self::receive::PartiallyReceivedItem;
use super::frame::{Ack, Hello, SessionRejection, SubscriberFrame, encode_frame};
use super::selector::PublisherSelector;
use super::table::FeedTable;
use crate::freshness::Millis;

/// How long connecting and the handshake may take, in ms.
const CONNECT_TIMEOUT_MS: Millis = 3_000;
/// How long a publisher may send nothing before the subscriber disconnects, in ms. A publisher sends a heartbeat each
/// second.
const SILENCE_TIMEOUT_MS: Millis = 3_500;
/// The time between two acknowledgements, in ms.
const ACK_INTERVAL_MS: Millis = 1_000;
/// The number of unacknowledged bytes at which an acknowledgement is sent before [`ACK_INTERVAL_MS`] has passed.
const ACK_BYTES: u64 = 16 << 10;
/// The greatest age at which state counts as fresh, in ms.
pub const MAX_FRESH_AGE_MS: Millis = 6_000;
/// How long the state may be stale after the connection to a publisher was established, in ms.
const STALE_GRACE_MS: Millis = 4_000;
/// How long a publisher has to serve the subscriber to count as healthy, in ms.
const HEALTHY_AFTER_MS: Millis = 10_000;
/// The shortest time for which the subscriber stays with a publisher that is not its first choice before it tries a
/// preferred one again, in ms.
const MIN_PREFERRED_RETRY_MS: Millis = 20_000;
/// The longest time before the subscriber tries a preferred publisher again, in ms.
const MAX_PREFERRED_RETRY_MS: Millis = 60_000;

#[derive(Debug)]
enum ConnectionState {
    None,
    Connecting { publisher: usize, since: Millis },
    Open(EstablishedConnection),
}

/// An established connection.
#[derive(Debug)]
struct EstablishedConnection {
    publisher: usize,
    since: Millis,
    last_received_at: Millis,
    received_bytes: u64,
    last_ack_at: Millis,
    acked_bytes: u64,
    /// The revision of the last record that was applied; 0 before the first.
    position: u64,
    /// When a preferred publisher is tried again; never if this one is the first choice.
    preferred_retry_at: Millis,
}

impl EstablishedConnection {
    fn ack_is_due(&self, now: Millis) -> bool {
        now >= self.last_ack_at + ACK_INTERVAL_MS || self.received_bytes >= self.acked_bytes + ACK_BYTES
    }
}

/// A subscriber: its connection to a publisher and the state that it has received.
#[derive(Debug)]
pub struct Subscriber {
    /// The state that the subscriber has received.
    pub table: FeedTable,
    selector: PublisherSelector,
    connection: ConnectionState,
    /// The item whose parts are being received.
    partial: Option<PartiallyReceivedItem>,
    /// Whether to request the next list complete, because a delta could not be applied.
    needs_complete_list: bool,
    /// Whether a publisher has sent the number of its last purge since the start.
    knows_purges: bool,
    /// The table has everything that was committed by this time, in ms; negative for a time before the start.
    fresh_as_of: Option<i64>,
    /// The number of publishers in a row that were left because they were stale.
    consecutive_stale_publishers: u32,
    /// Whether the publisher has rejected the session for a reason that may not apply to other publishers.
    is_declined: bool,
    counters: Counters,
}

impl Subscriber {
    /// Creates a subscriber that resumes from `table`.
    pub fn new(table: FeedTable, selector: PublisherSelector) -> Subscriber {
        Subscriber {
            table,
            selector,
            connection: ConnectionState::None,
            partial: None,
            needs_complete_list: false,
            knows_purges: false,
            fresh_as_of: None,
            consecutive_stale_publishers: 0,
            is_declined: false,
            counters: Counters::default(),
        }
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The age of the state, in ms: the table has everything that was committed that long ago. `None` if no publisher
    /// has confirmed this since the start.
    pub fn stale_ms(&self, now: Millis) -> Option<Millis> {
        Some((now as i64).saturating_sub(self.fresh_as_of?).max(0) as u64)
    }

    /// The address of the publisher that the subscriber is connected to.
    pub fn publisher(&self) -> Option<&str> {
        match &self.connection {
            ConnectionState::Open(session) => Some(self.selector.addr(session.publisher)),
            _ => None,
        }
    }

    /// The time by which [`Subscriber::poll`] has to be called again.
    pub fn next_poll_at(&self, now: Millis) -> Millis {
        match &self.connection {
            ConnectionState::None => self.selector.next_attempt_at(),
            ConnectionState::Connecting { since, .. } => since + CONNECT_TIMEOUT_MS,
            ConnectionState::Open(session) if session.ack_is_due(now) => now,
            ConnectionState::Open(session) => {
                (session.last_received_at + SILENCE_TIMEOUT_MS).min(session.last_ack_at + ACK_INTERVAL_MS)
            }
        }
    }

    /// Returns the next action if one is due now.
    pub fn poll(&mut self, now: Millis) -> Option<Action> {
        match &self.connection {
            ConnectionState::None => self.connect(now),
            ConnectionState::Connecting { since, .. } if now < since + CONNECT_TIMEOUT_MS => None,
            ConnectionState::Connecting { .. } => Some(self.disconnect(now, CloseReason::Unreachable)),
            ConnectionState::Open(session) => {
                if let Some(reason) = self.close_reason(session, now) {
                    return Some(self.disconnect(now, reason));
                }
                let since = session.since;
                if now >= since + STALE_GRACE_MS && self.is_fresh(now) {
                    self.consecutive_stale_publishers = 0;
                }
                if now >= since + HEALTHY_AFTER_MS {
                    self.selector.on_healthy();
                }
                self.ack(now)
            }
        }
    }

    fn connect(&mut self, now: Millis) -> Option<Action> {
        if now < self.selector.next_attempt_at() {
            return None;
        }
        let publisher = self.selector.select(now)?;
        self.connection = ConnectionState::Connecting { publisher, since: now };
        Some(Action::Connect(self.selector.addr(publisher).to_owned()))
    }

    fn is_fresh(&self, now: Millis) -> bool {
        self.stale_ms(now).is_some_and(|stale_ms| stale_ms < MAX_FRESH_AGE_MS)
    }

    /// Returns a reason to close the connection now, if there is one.
    fn close_reason(&self, session: &EstablishedConnection, now: Millis) -> Option<CloseReason> {
        if now >= session.last_received_at + SILENCE_TIMEOUT_MS {
            return Some(CloseReason::Silent);
        }
        let grace_is_over = now >= session.since + STALE_GRACE_MS;
        let has_alternative = || self.selector.has_alternative(session.publisher, now);
        if grace_is_over && !self.is_fresh(now) && has_alternative() {
            return Some(CloseReason::Stale);
        }
        if now >= session.preferred_retry_at && self.selector.has_preferred(session.publisher, now) {
            return Some(CloseReason::PreferredAvailable);
        }
        None
    }

    /// Returns the action that sends an acknowledgement, if one is due.
    fn ack(&mut self, now: Millis) -> Option<Action> {
        let ConnectionState::Open(session) = &mut self.connection else { return None };
        if !session.ack_is_due(now) {
            return None;
        }
        let received_bytes = session.received_bytes;
        session.last_ack_at = now;
        session.acked_bytes = received_bytes;
        let frame = encode_frame(&SubscriberFrame::Ack(Ack { received_bytes, time: now })).ok()?;
        Some(Action::Send(frame))
    }

    /// The publisher of the current connection, established or not.
    fn current_publisher(&self) -> Option<usize> {
        match &self.connection {
            ConnectionState::None => None,
            ConnectionState::Connecting { publisher, .. } => Some(*publisher),
            ConnectionState::Open(session) => Some(session.publisher),
        }
    }

    fn disconnect(&mut self, now: Millis, reason: CloseReason) -> Action {
        let Some(publisher) = self.current_publisher() else { return Action::Close(reason) };
        match reason {
            CloseReason::Unreachable | CloseReason::Silent => self.selector.on_failure(publisher, now),
            CloseReason::Stale => {
                self.consecutive_stale_publishers = self.consecutive_stale_publishers.saturating_add(1);
                self.selector.on_stale(publisher, now, self.consecutive_stale_publishers);
            }
            CloseReason::PreferredAvailable => {}
        }
        self.reset_connection();
        Action::Close(reason)
    }

    fn reset_connection(&mut self) {
        self.counters.disconnects += 1;
        self.connection = ConnectionState::None;
        self.partial = None;
        self.is_declined = false;
    }

    /// Records that the connection is established. Returns the hello, which is the first frame to send.
    pub fn on_connected(&mut self, now: Millis) -> Vec<u8> {
        if let ConnectionState::Connecting { publisher, .. } = self.connection {
            let preferred_retry_at = match publisher {
                0 => Millis::MAX,
                _ => now + self.selector.random_between(MIN_PREFERRED_RETRY_MS, MAX_PREFERRED_RETRY_MS),
            };
            self.connection = ConnectionState::Open(EstablishedConnection {
                publisher,
                since: now,
                last_received_at: now,
                received_bytes: 0,
                last_ack_at: now,
                acked_bytes: 0,
                position: 0,
                preferred_retry_at,
            });
        }
        let hello = Hello {
            revision: self.table.revision(),
            list_version: if self.needs_complete_list { 0 } else { self.table.list_version() },
            last_purge: self.knows_purges.then(|| self.table.last_purge()),
            time: now,
        };
        encode_frame(&SubscriberFrame::Hello(hello)).unwrap_or_default() // a hello is short
    }

    /// Records that the connection has ended, or could not be established.
    pub fn on_closed(&mut self, now: Millis) {
        let Some(publisher) = self.current_publisher() else { return };
        if mem::take(&mut self.is_declined) {
            self.selector.on_declined(publisher, now);
        } else {
            self.selector.on_failure(publisher, now);
        }
        self.reset_connection();
    }

    /// Counts a frame that was too long, or damaged in transit.
    pub fn on_unreadable_frame(&mut self) {
        self.counters.rejected_frames += 1;
    }

    /// Applies a frame of the publisher.
    ///
    /// # Errors
    /// If the frame is rejected. Nothing of it is applied then; the connection has to be closed and
    /// [`Subscriber::on_closed`] called.
    pub fn on_frame(&mut self, bytes: &[u8], now: Millis) -> Result<Vec<Event>, ReceiveError> {
        let result = self.apply_frame(bytes, now);
        match &result {
            Ok(_) => {
                self.counters.frames += 1;
                self.counters.bytes += bytes.len() as u64;
                if let ConnectionState::Open(session) = &mut self.connection {
                    session.last_received_at = now;
                    session.received_bytes += bytes.len() as u64;
                }
                self.selector.on_served();
            }
            Err(ReceiveError::Publisher(rejection)) => {
                self.is_declined = matches!(
                    rejection,
                    SessionRejection::Ahead { .. }
                        | SessionRejection::PurgesDropped { .. }
                        | SessionRejection::SubscriberLimitReached(_)
                );
                self.counters.rejected_sessions += 1;
            }
            Err(error) => {
                self.needs_complete_list |= matches!(error, ReceiveError::Delta(_));
                self.counters.rejected_frames += 1;
            }
        }
        result
    }
}
