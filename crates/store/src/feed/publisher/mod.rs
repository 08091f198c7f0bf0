//! A publisher's session with one subscriber. The publisher is a member or a relay. This module does no I/O and takes
//! the time as a parameter.
//!
//! A session has no queue. It has a position in the publisher's [`FeedTable`], where newer items replace older ones and
//! the latest purges are retained. A subscriber that doesn't acknowledge what was sent to it is disconnected. After it
//! has reconnected, it resumes from its own revision.

mod limits;
mod token_bucket;

use std::sync::Arc;

pub use self::limits::SessionLimits;
use self::token_bucket::TokenBucket;
use super::frame::{
    Ack, FrameError, Hello, ItemKey, ItemPart, MAX_FRAME_BYTES, PublisherFrame, PublisherStatus, Record,
    SessionRejection, Update, check_purge_keys, encode_frame,
};
use super::table::{FeedTable, Position};
use crate::freshness::Millis;

/// The overhead of a frame on the network, in bytes: the message's length field and MAC, and the IP and TCP headers.
const HEADER_BYTES: u64 = 72;
/// The most bytes that a record takes in a frame in addition to its item.
const RECORD_OVERHEAD_BYTES: usize = 8;
/// The most bytes that a purge takes in a frame in addition to its key.
const PURGE_OVERHEAD_BYTES: usize = 2;

/// An item that is too long for one frame and is being sent in parts.
struct PartiallySentItem {
    /// The position of the session once the whole item is sent.
    position: Position,
    bytes: Arc<[u8]>,
    /// The number of bytes that were sent.
    offset: usize,
}

/// A session with one subscriber.
pub struct PublisherSession {
    limits: SessionLimits,
    /// The position after the last item that was sent completely.
    position: Position,
    /// The revision that the subscriber has once it has applied everything that was sent.
    through: u64,
    partial: Option<PartiallySentItem>,
    /// The version of the list that the subscriber has once it has applied everything that was sent.
    list_version: u64,
    /// The last purge that the subscriber knows once it has applied everything that was sent.
    last_purge: u64,
    /// Whether the next frame has to report that the subscriber may lack purges up to `last_purge`.
    purge_gap: bool,
    /// The latest time of the subscriber's clock that the subscriber has sent.
    subscriber_time: Millis,
    bucket: TokenBucket,
    last_sent_at: Option<Millis>,
    sent_bytes: u64,
    acked_bytes: u64,
    /// When the subscriber last acknowledged further bytes, or was sent a frame while nothing was in flight.
    progressed_at: Millis,
}

impl PublisherSession {
    /// Begins a session with a subscriber that has sent `hello`.
    ///
    /// `is_member` decides what happens if the subscriber lacks purges that the publisher no longer retains. A member
    /// is authoritative and reports them as lost. A relay rejects the subscriber, because another publisher may still
    /// retain them.
    ///
    /// # Errors
    /// If the subscriber is ahead of this publisher, or lacks purges that this relay no longer retains.
    pub fn open(
        hello: &Hello,
        table: &FeedTable,
        is_member: bool,
        limits: SessionLimits,
        now: Millis,
    ) -> Result<PublisherSession, SessionRejection> {
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
        Ok(PublisherSession {
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

    /// Processes an acknowledgement.
    ///
    /// # Errors
    /// If more bytes are acknowledged than were sent or fewer than before, or if the subscriber's clock has gone back.
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

    /// The level of the token bucket above which purges may be sent.
    fn purge_level(&self) -> i64 {
        -(self.limits.purge_reserve_bytes as i64)
    }

    /// The time by which [`PublisherSession::poll`] has to be called again, unless the table changes earlier.
    pub fn next_poll_at(&self, now: Millis, table: &FeedTable) -> Millis {
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

    /// Whether there are items in the table that were not sent completely.
    fn has_pending_items(&self, table: &FeedTable) -> bool {
        self.partial.is_some() || table.next_after(&self.position).is_some()
    }

    /// Returns the next encoded frame if one is to be sent now. `stale_ms` is the age of the state in the table: the
    /// table has everything that was committed that many ms ago.
    ///
    /// # Errors
    /// The reason for ending the session.
    pub fn poll(
        &mut self,
        now: Millis,
        table: &mut FeedTable,
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

    /// Checks that the subscriber acknowledges in time, and that the table retains the purges it lacks.
    fn check_subscriber(&self, now: Millis, table: &FeedTable) -> Result<(), SessionRejection> {
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

    /// Returns an update with as many purges and items as may be sent now.
    fn next_changes(&mut self, table: &mut FeedTable) -> Update {
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

    fn publisher_status(&mut self, table: &FeedTable, stale_ms: Option<Millis>) -> PublisherStatus {
        // The subscriber's revision advances only once all items are sent. Until then, an item that the subscriber
        // lacks may have been replaced by one of a later revision, which was not sent yet.
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

    fn add_purges(&mut self, update: &mut Update, table: &FeedTable, capacity: &mut usize) {
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

    fn add_items(&mut self, update: &mut Update, table: &mut FeedTable, capacity: &mut usize) {
        loop {
            if self.partial.is_some() {
                update.part = self.next_part(*capacity);
                return; // a part is always the last content of its frame
            }
            let Some((key, item)) = table.next_after(&self.position) else { return };
            let (revision, complete) = (item.revision, item.bytes.clone());
            let position = Position { revision, after_item: Some(key.clone()) };
            let Some(bytes) = self.encoded_for_subscriber(&position, complete, table) else {
                self.position = position; // the subscriber has this list already
                continue;
            };
            let bytes_in_frame = bytes.len() + RECORD_OVERHEAD_BYTES;
            if bytes_in_frame > self.limits.max_payload_bytes {
                self.partial = Some(PartiallySentItem { position, bytes, offset: 0 });
                continue;
            }
            if bytes_in_frame > *capacity {
                return; // the item is sent in the next frame
            }
            *capacity -= bytes_in_frame;
            if position.after_item == Some(ItemKey::List) {
                self.list_version = table.list_version();
            }
            self.position = position;
            update.records.push(Record { revision, item: bytes.to_vec() });
        }
    }

    /// Returns the next part of the item that is sent in parts, or `None` if the frame has no capacity left.
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

    /// Returns an item as it is sent to this subscriber: the list as a delta from the subscriber's version if there is
    /// one, any other item complete. Returns `None` for the list if the subscriber has the newest version.
    fn encoded_for_subscriber(
        &mut self,
        position: &Position,
        complete: Arc<[u8]>,
        table: &mut FeedTable,
    ) -> Option<Arc<[u8]>> {
        if position.after_item != Some(ItemKey::List) {
            return Some(complete);
        }
        if self.list_version == table.list_version() {
            return None;
        }
        let bytes = table.delta_from(self.list_version).unwrap_or(complete);
        if bytes.len() + RECORD_OVERHEAD_BYTES > self.limits.max_payload_bytes {
            // The list is sent in parts, and all of them are sent even if the table changes in between.
            self.list_version = table.list_version();
        }
        Some(bytes)
    }
}
