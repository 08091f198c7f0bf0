//! One subscriber's session at its publisher, which is a member or a relay: pure.
//!
//! There is no queue of a session's own: it has a place in the publisher's [`Table`], where newer items take the place of
//! older ones, and purges wait in a ring. A subscriber that does not take what it is sent is cut; it resumes from where it
//! stands.

use std::sync::Arc;

use super::frame::{
    Ack, Beacon, Downlink, FRAME, FrameError, Hello, Key, Part, Record, Refusal, Update, purges_fit, write,
};
use super::table::{Position, Table};
use crate::freshness::Millis;

/// What every frame costs beyond its own bytes: our framing, IP and TCP.
const HEADERS: u64 = 72;

/// What a session keeps to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes a second, headers counted, that a subscriber is sent in the long run ...
    pub rate: u64,
    /// ... and how many more at once after a quiet time.
    pub burst: u64,
    /// So many more for purges, when state has used up the rest.
    pub reserve: u64,
    /// A frame's records and purges have at most so many bytes.
    pub frame: usize,
    /// So long between two frames, in ms: what comes in between goes together.
    pub pace: Millis,
    /// Bytes that may be on their way, not yet taken.
    pub window: u64,
    /// A subscriber that takes nothing of what is on its way for so long is cut, in ms.
    pub patience: Millis,
    /// A frame goes out at least so often, in ms.
    pub heartbeat: Millis,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            rate: 2_200,
            burst: 96 << 10,
            reserve: 16 << 10,
            frame: 8 << 10,
            pace: 100,
            window: 64 << 10,
            patience: 8_000,
            heartbeat: 1_000,
        }
    }
}

/// An item that goes out in parts.
struct Parting {
    position: Position,
    bytes: Arc<[u8]>,
    offset: usize,
}

/// A session.
pub struct Session {
    limits: Limits,
    /// Behind the last item that was sent.
    position: Position,
    through: u64,
    parting: Option<Parting>,
    /// The version of the list that the subscriber has once it has taken all that was sent.
    list: u64,
    purged: u64,
    gap: bool,
    echo: Millis,
    tokens: i64,
    refilled: Millis,
    last: Option<Millis>,
    sent: u64,
    taken: u64,
    progressed: Millis,
}

impl Session {
    /// Begins a session. `member`: whether this publisher's word is the last, so that it may tell of purges that nobody
    /// knows any more; a relay may be one of several, of which another knows them.
    ///
    /// # Errors
    /// If the subscriber is ahead of this publisher, or better served elsewhere.
    pub fn open(
        hello: &Hello,
        table: &Table,
        member: bool,
        limits: Limits,
        now: Millis,
    ) -> Result<Session, Refusal> {
        if hello.revision > table.revision() {
            return Err(Refusal::Future { theirs: hello.revision, ours: table.revision() });
        }
        let (purged, forgotten) = (hello.purged.unwrap_or(table.purged()), table.forgotten());
        if purged > table.purged() {
            return Err(Refusal::Future { theirs: purged, ours: table.purged() });
        }
        let gap = purged < forgotten;
        if gap && !member {
            return Err(Refusal::PurgesGone { theirs: purged, ours: forgotten });
        }
        Ok(Session {
            limits,
            position: (hello.revision, None),
            through: hello.revision,
            parting: None,
            list: hello.list,
            purged: purged.max(forgotten),
            gap,
            echo: hello.now,
            tokens: limits.burst as i64,
            refilled: now,
            last: None,
            sent: 0,
            taken: 0,
            progressed: now,
        })
    }

    /// The subscriber told how far it has read.
    ///
    /// # Errors
    /// If it has read more than it was sent, or its time went back.
    pub fn heard(&mut self, ack: Ack, now: Millis) -> Result<(), Refusal> {
        if ack.taken > self.sent || ack.taken < self.taken || ack.now < self.echo {
            return Err(Refusal::Malformed("an acknowledgement of what was not sent".into()));
        }
        if ack.taken > self.taken {
            self.progressed = now;
        }
        (self.taken, self.echo) = (ack.taken, ack.now);
        Ok(())
    }

    /// When there may be something to send, or the subscriber is to be cut; unless something changes before.
    pub fn due(&self, now: Millis, table: &Table) -> Millis {
        let Some(last) = self.last else { return now };
        let flying = self.sent - self.taken;
        let mut due = last + self.limits.heartbeat;
        if flying > 0 {
            due = due.min(self.progressed + self.limits.patience);
        }
        if flying >= self.limits.window {
            return self.progressed + self.limits.patience;
        }
        let short =
            |least: i64| ((least - self.tokens).max(0) as u64 * 1_000).div_ceil(self.limits.rate.max(1));
        if self.purged < table.purged() {
            due =
                due.min((last + self.limits.pace).max(self.refilled + short(1 - self.limits.reserve as i64)));
        }
        if self.pending(table) {
            due = due.min((last + self.limits.pace).max(self.refilled + short(1)));
        }
        due
    }

    /// Whether the subscriber lacks state that is in the table.
    fn pending(&self, table: &Table) -> bool {
        self.parting.is_some() || table.next(&self.position).is_some()
    }

    /// What goes out now, if anything does: a frame's bytes. `stale_ms`: all that was committed so long ago is in the
    /// table.
    ///
    /// # Errors
    /// Why the session is over.
    pub fn poll(
        &mut self,
        now: Millis,
        table: &mut Table,
        stale_ms: Option<Millis>,
    ) -> Result<Option<Vec<u8>>, Refusal> {
        let waited = now.saturating_sub(self.progressed);
        if self.sent > self.taken && waited >= self.limits.patience {
            return Err(Refusal::Slow(waited));
        }
        if self.purged < table.forgotten() {
            return Err(Refusal::PurgesGone { theirs: self.purged, ours: table.forgotten() });
        }
        self.refill(now);
        let quiet = self.last.is_some_and(|last| now < last + self.limits.heartbeat);
        let paced = self.last.is_some_and(|last| now < last + self.limits.pace);
        if paced || self.sent - self.taken >= self.limits.window {
            return Ok(None);
        }
        let mut update =
            Update { after: self.through, purges_after: self.purged, gap: self.gap, ..Update::default() };
        let mut room = self.limits.frame.min(FRAME / 2);
        if self.tokens > -(self.limits.reserve as i64) {
            self.fill_purges(&mut update, table, &mut room);
        }
        if self.tokens > 0 {
            self.fill_records(&mut update, table, &mut room);
        }
        let nothing = update.purges.is_empty() && update.records.is_empty() && update.part.is_none();
        if nothing && quiet {
            return Ok(None);
        }
        // Only once it has all that is here can it be said what it holds: an item that it was not sent may have been
        // replaced since by one that comes later.
        let state = !self.pending(table);
        if state {
            self.through = self.through.max(table.revision());
        }
        update.through = self.through;
        let (head, purged) = (table.head(), table.purged());
        let complete = state && self.purged == purged;
        update.beacon = Beacon { echo: self.echo, stale_ms, complete, head, purged };
        self.gap = false;
        let malformed = |error: FrameError| Refusal::Malformed(error.to_string());
        let bytes = write(&Downlink::Update(Box::new(update))).map_err(malformed)?;
        if self.sent == self.taken {
            self.progressed = now;
        }
        self.sent += bytes.len() as u64;
        self.tokens -= (bytes.len() as u64 + HEADERS) as i64;
        self.last = Some(now);
        Ok(Some(bytes))
    }

    fn refill(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.refilled);
        let more = passed.saturating_mul(self.limits.rate) / 1_000;
        // The rest of a token is not lost: the time that made none stays to be counted.
        if more > 0 {
            self.tokens = self.tokens.saturating_add_unsigned(more).min(self.limits.burst as i64);
            self.refilled = now;
        }
    }

    fn fill_purges(&mut self, update: &mut Update, table: &Table, room: &mut usize) {
        for key in table.purges_after(self.purged) {
            let bytes = key.len() + 2;
            if bytes > *room {
                return;
            }
            *room -= bytes;
            update.purges.push(key.to_string());
            self.purged += 1;
        }
        debug_assert!(purges_fit(&update.purges).is_ok());
    }

    fn fill_records(&mut self, update: &mut Update, table: &mut Table, room: &mut usize) {
        loop {
            if let Some(parting) = &mut self.parting {
                let size = (*room).min(parting.bytes.len() - parting.offset);
                let end = parting.offset + size;
                update.part = (size > 0).then(|| Part {
                    revision: parting.position.0,
                    offset: parting.offset as u32,
                    total: parting.bytes.len() as u32,
                    bytes: parting.bytes[parting.offset..end].to_vec(),
                });
                parting.offset = end;
                if end == parting.bytes.len()
                    && let Some(done) = self.parting.take()
                {
                    self.position = done.position;
                }
                return; // a part is the last of its frame
            }
            let Some((&revision, key, held)) = table.next(&self.position) else { return };
            let (position, whole) = ((revision, Some(key.clone())), held.bytes.clone());
            let Some(bytes) = self.said(&position, whole, table) else {
                self.position = position; // the subscriber has it
                continue;
            };
            if bytes.len() + 8 > self.limits.frame {
                self.parting = Some(Parting { position, bytes, offset: 0 });
                continue;
            }
            if bytes.len() + 8 > *room {
                // Not sent now: a list would else be thought to be had.
                return;
            }
            *room -= bytes.len() + 8;
            if position.1 == Some(Key::List) {
                self.list = table.list_version();
            }
            self.position = position;
            update.records.push(Record { revision, item: bytes.to_vec() });
        }
    }

    /// An item as this subscriber is told it: a list as what differs from the one it has. Nothing if it has it.
    fn said(&mut self, position: &Position, whole: Arc<[u8]>, table: &mut Table) -> Option<Arc<[u8]>> {
        if position.1 != Some(Key::List) {
            return Some(whole);
        }
        if self.list == table.list_version() {
            return None;
        }
        let said = table.delta_from(self.list).unwrap_or(whole);
        if said.len() + 8 > self.limits.frame {
            self.list = table.list_version(); // it goes in parts from now on, to its end
        }
        Some(said)
    }
}
