//! A publisher's session with one subscriber. Pure: the time is a parameter. The publisher is a member or a relay.
//!
//! A session has no queue. It has a position in the publisher's [`Table`], where newer items replace older ones and the
//! latest purges are retained. A subscriber that doesn't acknowledge what it is sent is disconnected; it resumes from its
//! own revision.

mod limits;
mod token_bucket;

use std::sync::Arc;

pub use self::limits::Limits;
use self::token_bucket::TokenBucket;
use super::frame::{
    Ack, FrameError, Hello, ItemKey, ItemPart, MAX_FRAME_BYTES, PublisherFrame, PublisherStatus, Record,
    SessionRejection, Update, check_purge_keys, encode_frame,
};
use super::table::{Position, Table};
use crate::freshness::Millis;

/// The overhead of a frame in bytes: the message's length and MAC, IP and TCP headers.
const HEADER_BYTES: u64 = 72;
/// The most bytes that a record takes in a frame beyond its item.
const RECORD_OVERHEAD_BYTES: usize = 8;
/// The most bytes that a purge takes in a frame beyond its key.
const PURGE_OVERHEAD_BYTES: usize = 2;

/// An item that goes out in parts.
struct PartialItem {
    position: Position,
    bytes: Arc<[u8]>,
    offset: usize,
}

/// A session.
pub struct Session {
    limits: Limits,
    /// The position after the last item that was sent.
    position: Position,
    /// The revision that the subscriber has once it has applied everything that was sent.
    through: u64,
    partial: Option<PartialItem>,
    /// The list that the subscriber has once it has applied everything that was sent.
    list_version: u64,
    /// The last purge that the subscriber knows once it has applied everything that was sent.
    last_purge: u64,
    /// Whether the next frame has to report a gap in the purges.
    purge_gap: bool,
    /// The last time of the subscriber's clock that was received.
    subscriber_time: Millis,
    bucket: TokenBucket,
    last_sent_at: Option<Millis>,
    sent_bytes: u64,
    acked_bytes: u64,
    /// When the subscriber last acknowledged something, or had nothing to acknowledge.
    progressed_at: Millis,
}

impl Session {
    /// Begins a session.
    ///
    /// `is_member`: a member is authoritative, and may report purges that are lost for good. A relay rejects the
    /// subscriber, as another publisher may know them.
    ///
    /// # Errors
    /// If the subscriber is ahead of this publisher, or another publisher may serve it better.
    pub fn open(
        hello: &Hello,
        table: &Table,
        is_member: bool,
        limits: Limits,
        now: Millis,
    ) -> Result<Session, SessionRejection> {
        if hello.revision > table.revision() {
            return Err(SessionRejection::Ahead { theirs: hello.revision, ours: table.revision() });
        }
        let last_purge = hello.last_purge.unwrap_or(table.last_purge());
        if last_purge > table.last_purge() {
            return Err(SessionRejection::Ahead { theirs: last_purge, ours: table.last_purge() });
        }
        let dropped = table.last_dropped_purge();
        let purge_gap = last_purge < dropped;
        if purge_gap && !is_member {
            return Err(SessionRejection::PurgesDropped { theirs: last_purge, ours: dropped });
        }
        Ok(Session {
            limits,
            position: Position { revision: hello.revision, after_item: None },
            through: hello.revision,
            partial: None,
            list_version: hello.list_version,
            last_purge: last_purge.max(dropped),
            purge_gap,
            subscriber_time: hello.time,
            bucket: TokenBucket::new(limits.burst_bytes, limits.bytes_per_second, now),
            last_sent_at: None,
            sent_bytes: 0,
            acked_bytes: 0,
            progressed_at: now,
        })
    }

    /// Takes an acknowledgement.
    ///
    /// # Errors
    /// If more is acknowledged than was sent, or the subscriber's time went back.
    pub fn on_ack(&mut self, ack: Ack, now: Millis) -> Result<(), SessionRejection> {
        let is_valid = (self.acked_bytes..=self.sent_bytes).contains(&ack.received_bytes);
        if !is_valid || ack.time < self.subscriber_time {
            return Err(SessionRejection::Malformed("an acknowledgement of what was not sent".into()));
        }
        if ack.received_bytes > self.acked_bytes {
            self.progressed_at = now;
        }
        self.acked_bytes = ack.received_bytes;
        self.subscriber_time = ack.time;
        Ok(())
    }

    fn in_flight_bytes(&self) -> u64 {
        self.sent_bytes - self.acked_bytes
    }

    /// The level of the bucket above which purges may be sent.
    fn purge_level(&self) -> i64 {
        -(self.limits.purge_reserve_bytes as i64)
    }

    /// When [`Session::poll`] has something to do at the latest, unless the table changes before.
    pub fn next_poll_at(&self, now: Millis, table: &Table) -> Millis {
        let Some(last_sent_at) = self.last_sent_at else { return now };
        let ack_deadline = self.progressed_at + self.limits.ack_timeout;
        if self.in_flight_bytes() >= self.limits.max_in_flight_bytes {
            return ack_deadline;
        }
        let mut next = last_sent_at + self.limits.heartbeat_interval;
        if self.in_flight_bytes() > 0 {
            next = next.min(ack_deadline);
        }
        let next_frame_at = last_sent_at + self.limits.min_frame_interval;
        if self.last_purge < table.last_purge() {
            next = next.min(next_frame_at.max(self.bucket.next_time_above(self.purge_level())));
        }
        if self.has_pending_items(table) {
            next = next.min(next_frame_at.max(self.bucket.next_time_above(0)));
        }
        next
    }

    /// Whether the subscriber lacks items of the table.
    fn has_pending_items(&self, table: &Table) -> bool {
        self.partial.is_some() || table.next_after(&self.position).is_some()
    }

    /// The next frame, encoded, if one is to be sent now. `stale_ms`: the table has everything that was committed so long
    /// ago.
    ///
    /// # Errors
    /// Why the session is over.
    pub fn poll(
        &mut self,
        now: Millis,
        table: &mut Table,
        stale_ms: Option<Millis>,
    ) -> Result<Option<Vec<u8>>, SessionRejection> {
        self.check_subscriber(now, table)?;
        self.bucket.refill(now);
        let is_within = |interval| self.last_sent_at.is_some_and(|last| now < last + interval);
        let needs_heartbeat = !is_within(self.limits.heartbeat_interval);
        if is_within(self.limits.min_frame_interval)
            || self.in_flight_bytes() >= self.limits.max_in_flight_bytes
        {
            return Ok(None);
        }
        let mut update = self.next_changes(table);
        let is_empty = update.purges.is_empty() && update.records.is_empty() && update.part.is_none();
        if is_empty && !needs_heartbeat {
            return Ok(None);
        }
        update.publisher = self.publisher_status(table, stale_ms);
        update.through = self.through;
        self.purge_gap = false;
        self.send(update, now).map(Some)
    }

    fn check_subscriber(&self, now: Millis, table: &Table) -> Result<(), SessionRejection> {
        let since_progress = now.saturating_sub(self.progressed_at);
        if self.in_flight_bytes() > 0 && since_progress >= self.limits.ack_timeout {
            return Err(SessionRejection::TooSlow(since_progress));
        }
        let dropped = table.last_dropped_purge();
        if self.last_purge < dropped {
            return Err(SessionRejection::PurgesDropped { theirs: self.last_purge, ours: dropped });
        }
        Ok(())
    }

    /// An update with as many purges and items as may be sent now.
    fn next_changes(&mut self, table: &mut Table) -> Update {
        let mut update = Update {
            after: self.through,
            purges_after: self.last_purge,
            purge_gap: self.purge_gap,
            ..Update::default()
        };
        let mut capacity = self.limits.max_payload_bytes.min(MAX_FRAME_BYTES / 2);
        if self.bucket.has_more_than(self.purge_level()) {
            self.add_purges(&mut update, table, &mut capacity);
        }
        if self.bucket.has_more_than(0) {
            self.add_items(&mut update, table, &mut capacity);
        }
        update
    }

    fn publisher_status(&mut self, table: &Table, stale_ms: Option<Millis>) -> PublisherStatus {
        // The subscriber's revision advances only once it has all items. Before that, an item that it was not sent yet may
        // have been replaced by one of a later revision.
        let has_all_items = !self.has_pending_items(table);
        if has_all_items {
            self.through = self.through.max(table.revision());
        }
        PublisherStatus {
            echoed_time: self.subscriber_time,
            stale_ms,
            is_complete: has_all_items && self.last_purge == table.last_purge(),
            head_revision: table.head_revision(),
            last_purge: table.last_purge(),
        }
    }

    fn send(&mut self, update: Update, now: Millis) -> Result<Vec<u8>, SessionRejection> {
        let malformed = |error: FrameError| SessionRejection::Malformed(error.to_string());
        let bytes = encode_frame(&PublisherFrame::Update(Box::new(update))).map_err(malformed)?;
        if self.in_flight_bytes() == 0 {
            self.progressed_at = now;
        }
        self.sent_bytes += bytes.len() as u64;
        self.bucket.spend(bytes.len() as u64 + HEADER_BYTES);
        self.last_sent_at = Some(now);
        Ok(bytes)
    }

    fn add_purges(&mut self, update: &mut Update, table: &Table, capacity: &mut usize) {
        for key in table.purges_after(self.last_purge) {
            let bytes = key.len() + PURGE_OVERHEAD_BYTES;
            if bytes > *capacity {
                return;
            }
            *capacity -= bytes;
            update.purges.push(key.to_string());
            self.last_purge += 1;
        }
        debug_assert!(check_purge_keys(&update.purges).is_ok());
    }

    fn add_items(&mut self, update: &mut Update, table: &mut Table, capacity: &mut usize) {
        loop {
            if self.partial.is_some() {
                update.part = self.next_part(*capacity);
                return; // a part is the last of its frame
            }
            let Some((key, item)) = table.next_after(&self.position) else { return };
            let (revision, complete) = (item.revision, item.bytes.clone());
            let position = Position { revision, after_item: Some(key.clone()) };
            let Some(bytes) = self.bytes_to_send(&position, complete, table) else {
                self.position = position; // the subscriber has it
                continue;
            };
            let bytes_in_frame = bytes.len() + RECORD_OVERHEAD_BYTES;
            if bytes_in_frame > self.limits.max_payload_bytes {
                self.partial = Some(PartialItem { position, bytes, offset: 0 });
                continue;
            }
            if bytes_in_frame > *capacity {
                return; // it goes into the next frame
            }
            *capacity -= bytes_in_frame;
            if position.after_item == Some(ItemKey::List) {
                self.list_version = table.list_version();
            }
            self.position = position;
            update.records.push(Record { revision, item: bytes.to_vec() });
        }
    }

    /// The next part of the item that goes out in parts; nothing if there is no capacity for any of it.
    fn next_part(&mut self, capacity: usize) -> Option<ItemPart> {
        let partial = self.partial.as_mut()?;
        let end = partial.offset + capacity.min(partial.bytes.len() - partial.offset);
        let part = (end > partial.offset).then(|| ItemPart {
            revision: partial.position.revision,
            offset: partial.offset as u32,
            total: partial.bytes.len() as u32,
            bytes: partial.bytes[partial.offset..end].to_vec(),
        });
        partial.offset = end;
        if end == partial.bytes.len()
            && let Some(sent) = self.partial.take()
        {
            self.position = sent.position;
        }
        part
    }

    /// An item as it is sent to this subscriber: the list as a delta from the one that the subscriber has. Nothing if it
    /// has the newest list.
    fn bytes_to_send(
        &mut self,
        position: &Position,
        complete: Arc<[u8]>,
        table: &mut Table,
    ) -> Option<Arc<[u8]>> {
        if position.after_item != Some(ItemKey::List) {
            return Some(complete);
        }
        if self.list_version == table.list_version() {
            return None;
        }
        let bytes = table.delta_from(self.list_version).unwrap_or(complete);
        if bytes.len() + RECORD_OVERHEAD_BYTES > self.limits.max_payload_bytes {
            self.list_version = table.list_version(); // it goes out in parts, all of which are sent
        }
        Some(bytes)
    }
}
