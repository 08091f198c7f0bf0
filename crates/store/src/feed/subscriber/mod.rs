//! A subscriber: which publisher it is connected to, the state that it receives, and how fresh that is. Pure: the time is
//! a parameter.

mod event;
mod receive;

use std::mem;

pub use self::event::{Action, CloseReason, Counters, Event, ReceiveError};
use self::receive::PartialItem;
use super::frame::{Ack, Hello, SessionRejection, SubscriberFrame, encode_frame};
use super::selector::PublisherSelector;
use super::table::Table;
use crate::freshness::Millis;

/// How long a connection and its handshake may take, in ms.
const CONNECT_TIMEOUT_MS: Millis = 3_000;
/// A publisher that sends nothing for this long is disconnected, in ms. It sends a heartbeat each second.
const SILENCE_TIMEOUT_MS: Millis = 3_500;
/// How often an acknowledgement is sent, in ms.
const ACK_INTERVAL_MS: Millis = 1_000;
/// Bytes after which an acknowledgement is sent before its time.
const ACK_BYTES: u64 = 16 << 10;
/// The greatest age at which state counts as fresh, in ms.
pub const MAX_FRESH_AGE_MS: Millis = 6_000;
/// How long a publisher may be stale after it was connected, in ms.
const STALE_GRACE_MS: Millis = 4_000;
/// A publisher that has served for this long is healthy, in ms.
const HEALTHY_AFTER_MS: Millis = 10_000;
/// The shortest time on another publisher than the preferred one before a preferred one is tried again, in ms.
const MIN_PREFERRED_RETRY_MS: Millis = 20_000;
/// The longest such time, in ms.
const MAX_PREFERRED_RETRY_MS: Millis = 60_000;

#[derive(Debug)]
enum Connection {
    None,
    Connecting { publisher: usize, since: Millis },
    Open(Session),
}

/// A connection that stands.
#[derive(Debug)]
struct Session {
    publisher: usize,
    since: Millis,
    last_received_at: Millis,
    received_bytes: u64,
    last_ack_at: Millis,
    acked_bytes: u64,
    /// The revision of the last record.
    position: u64,
    /// When a preferred publisher is tried again.
    preferred_retry_at: Millis,
}

impl Session {
    fn ack_is_due(&self, now: Millis) -> bool {
        now >= self.last_ack_at + ACK_INTERVAL_MS || self.received_bytes >= self.acked_bytes + ACK_BYTES
    }
}

/// A subscriber.
#[derive(Debug)]
pub struct Subscriber {
    /// The state that it has received.
    pub table: Table,
    selector: PublisherSelector,
    connection: Connection,
    partial: Option<PartialItem>,
    /// Whether the next list has to come as a complete one, as a delta could not be applied.
    needs_complete_list: bool,
    /// Whether any publisher has sent the number of its last purge since the start.
    knows_purges: bool,
    /// The table has everything that was committed at this time, in ms; negative before the start.
    fresh_as_of: Option<i64>,
    /// How many times in a row a publisher was stale.
    stale_publishers: u32,
    /// Whether the publisher has rejected the session with a reason that another one may not have.
    is_declined: bool,
    counters: Counters,
}

impl Subscriber {
    /// A subscriber that has a table already.
    pub fn new(table: Table, selector: PublisherSelector) -> Subscriber {
        Subscriber {
            table,
            selector,
            connection: Connection::None,
            partial: None,
            needs_complete_list: false,
            knows_purges: false,
            fresh_as_of: None,
            stale_publishers: 0,
            is_declined: false,
            counters: Counters::default(),
        }
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The table has everything that was committed this many ms ago; nothing if no publisher has confirmed it yet.
    pub fn stale_ms(&self, now: Millis) -> Option<Millis> {
        Some((now as i64).saturating_sub(self.fresh_as_of?).max(0) as u64)
    }

    /// The publisher that it is connected to.
    pub fn publisher(&self) -> Option<&str> {
        match &self.connection {
            Connection::Open(session) => Some(self.selector.addr(session.publisher)),
            _ => None,
        }
    }

    /// When [`Subscriber::poll`] has something to do at the latest.
    pub fn next_poll_at(&self, now: Millis) -> Millis {
        match &self.connection {
            Connection::None => self.selector.next_attempt_at(),
            Connection::Connecting { since, .. } => since + CONNECT_TIMEOUT_MS,
            Connection::Open(session) if session.ack_is_due(now) => now,
            Connection::Open(session) => {
                (session.last_received_at + SILENCE_TIMEOUT_MS).min(session.last_ack_at + ACK_INTERVAL_MS)
            }
        }
    }

    /// The next action that is due now, if there is one.
    pub fn poll(&mut self, now: Millis) -> Option<Action> {
        match &self.connection {
            Connection::None => self.connect(now),
            Connection::Connecting { since, .. } if now < since + CONNECT_TIMEOUT_MS => None,
            Connection::Connecting { .. } => Some(self.disconnect(now, CloseReason::Unreachable)),
            Connection::Open(session) => {
                if let Some(reason) = self.close_reason(session, now) {
                    return Some(self.disconnect(now, reason));
                }
                let since = session.since;
                if now >= since + STALE_GRACE_MS && self.is_fresh(now) {
                    self.stale_publishers = 0;
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
        self.connection = Connection::Connecting { publisher, since: now };
        Some(Action::Connect(self.selector.addr(publisher).to_owned()))
    }

    fn is_fresh(&self, now: Millis) -> bool {
        self.stale_ms(now).is_some_and(|stale_ms| stale_ms < MAX_FRESH_AGE_MS)
    }

    /// Why the connection is to be closed now, if it is.
    fn close_reason(&self, session: &Session, now: Millis) -> Option<CloseReason> {
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

    /// An acknowledgement, if one is due.
    fn ack(&mut self, now: Millis) -> Option<Action> {
        let Connection::Open(session) = &mut self.connection else { return None };
        if !session.ack_is_due(now) {
            return None;
        }
        let received_bytes = session.received_bytes;
        session.last_ack_at = now;
        session.acked_bytes = received_bytes;
        let frame = encode_frame(&SubscriberFrame::Ack(Ack { received_bytes, time: now })).ok()?;
        Some(Action::Send(frame))
    }

    /// The publisher of the connection, whether it stands or not yet.
    fn current_publisher(&self) -> Option<usize> {
        match &self.connection {
            Connection::None => None,
            Connection::Connecting { publisher, .. } => Some(*publisher),
            Connection::Open(session) => Some(session.publisher),
        }
    }

    fn disconnect(&mut self, now: Millis, reason: CloseReason) -> Action {
        let Some(publisher) = self.current_publisher() else { return Action::Close(reason) };
        match reason {
            CloseReason::Unreachable | CloseReason::Silent => self.selector.on_failure(publisher, now),
            CloseReason::Stale => {
                self.stale_publishers = self.stale_publishers.saturating_add(1);
                self.selector.on_stale(publisher, now, self.stale_publishers);
            }
            CloseReason::PreferredAvailable => {}
        }
        self.reset_connection();
        Action::Close(reason)
    }

    fn reset_connection(&mut self) {
        self.counters.disconnects += 1;
        self.connection = Connection::None;
        self.partial = None;
        self.is_declined = false;
    }

    /// Notes that the connection stands; the hello to send first.
    pub fn on_connected(&mut self, now: Millis) -> Vec<u8> {
        if let Connection::Connecting { publisher, .. } = self.connection {
            let preferred_retry_at = match publisher {
                0 => Millis::MAX,
                _ => now + self.selector.random_between(MIN_PREFERRED_RETRY_MS, MAX_PREFERRED_RETRY_MS),
            };
            self.connection = Connection::Open(Session {
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

    /// Notes that the connection has ended, or could not be made.
    pub fn on_closed(&mut self, now: Millis) {
        let Some(publisher) = self.current_publisher() else { return };
        if mem::take(&mut self.is_declined) {
            self.selector.on_declined(publisher, now);
        } else {
            self.selector.on_failure(publisher, now);
        }
        self.reset_connection();
    }

    /// Notes that a frame was too long, or damaged on its way.
    pub fn on_unreadable_frame(&mut self) {
        self.counters.rejected_frames += 1;
    }

    /// Applies a frame of the publisher.
    ///
    /// # Errors
    /// Why nothing of it is applied. The connection is to be closed, and [`Subscriber::on_closed`] called.
    pub fn on_frame(&mut self, bytes: &[u8], now: Millis) -> Result<Vec<Event>, ReceiveError> {
        let result = self.apply_frame(bytes, now);
        match &result {
            Ok(_) => {
                self.counters.frames += 1;
                self.counters.bytes += bytes.len() as u64;
                if let Connection::Open(session) = &mut self.connection {
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
