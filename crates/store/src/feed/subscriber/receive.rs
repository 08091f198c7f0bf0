//! Checks a publisher's frame against the subscriber's state and applies it. The whole frame is checked before any of
//! it is applied.

use super::event::{Event, ReceiveError};
use super::{ConnectionState, Subscriber};
use crate::feed::delta::{Delta, DeltaError};
use crate::feed::frame::{
    FrameError, Item, ItemPart, MAX_ITEM_BYTES, PublisherFrame, PublisherStatus, Update, check_len,
    check_purge_keys, decode_frame,
};
use crate::freshness::Millis;
use crate::state::limits::{MAX_DOCUMENTS, MAX_SERVERS};

/// An item that is being received in parts.
#[derive(Debug)]
pub(super) struct PartiallyReceivedItem {
    revision: u64,
    total: usize,
    bytes: Vec<u8>,
}

impl PartiallyReceivedItem {
    fn is_complete(&self) -> bool {
        self.bytes.len() == self.total
    }

    /// Whether `part` is the next part of this item.
    fn is_followed_by(&self, part: &ItemPart) -> bool {
        self.revision == part.revision
            && self.total == part.total as usize
            && self.bytes.len() == part.offset as usize
    }
}

/// An item that has passed the checks, and its revision.
struct CheckedItem {
    revision: u64,
    item: Item,
}

fn check_not_ahead(what: &'static str, found: u64, head: u64) -> Result<(), ReceiveError> {
    if found > head { Err(ReceiveError::AheadOfPublisher { what, found, head }) } else { Ok(()) }
}

impl Subscriber {
    pub(super) fn apply_frame(&mut self, bytes: &[u8], now: Millis) -> Result<Vec<Event>, ReceiveError> {
        let update = match decode_frame(bytes)? {
            PublisherFrame::Update(update) => update,
            PublisherFrame::Rejected(rejection) => return Err(rejection.into()),
        };
        self.check_update(&update, now)?;
        let mut items = Vec::new();
        for record in &update.records {
            self.check_item(record.revision, &record.item, &update.publisher, &mut items)?;
        }
        let partial = update.part.as_ref().map(|part| self.assemble(part)).transpose()?;
        if let Some(complete) = partial.as_ref().filter(|partial| partial.is_complete()) {
            self.check_item(complete.revision, &complete.bytes, &update.publisher, &mut items)?;
        }
        if let Some(partial) = partial {
            self.partial = Some(partial).filter(|partial| !partial.is_complete());
        }
        Ok(self.apply_update(*update, items))
    }

    fn check_update(&self, update: &Update, now: Millis) -> Result<(), ReceiveError> {
        let Update { publisher, after, through, purges_after, .. } = *update;
        let held = self.table.revision();
        if after != held || through < after {
            return Err(ReceiveError::OutOfOrder { what: "revision", found: after.min(through), held });
        }
        check_not_ahead("revision", through, publisher.head_revision)?;
        check_not_ahead("time", publisher.echoed_time, now)?;
        let known = self.table.last_purge();
        let follows = purges_after == known || !self.knows_purges || update.purge_gap && purges_after > known;
        if !follows {
            return Err(ReceiveError::OutOfOrder { what: "purge", found: purges_after, held: known });
        }
        let last_purge = purges_after.saturating_add(update.purges.len() as u64);
        check_not_ahead("purge", last_purge, publisher.last_purge)?;
        Ok(check_purge_keys(&update.purges)?)
    }

    /// Checks an encoded item, and adds it to `checked` unless the subscriber has this revision of it or a newer one.
    fn check_item(
        &self,
        revision: u64,
        bytes: &[u8],
        publisher: &PublisherStatus,
        checked: &mut Vec<CheckedItem>,
    ) -> Result<(), ReceiveError> {
        let position = match &self.connection {
            ConnectionState::Open(session) => session.position,
            _ => 0,
        };
        let position = checked.last().map_or(position, |last| last.revision);
        let min_revision = position.max(self.table.revision() + 1);
        if revision < min_revision {
            return Err(ReceiveError::OutOfOrder { what: "record", found: revision, held: min_revision });
        }
        check_not_ahead("record", revision, publisher.head_revision)?;
        let mut item = Item::decode(bytes)?;
        match self.table.items().get(&item.key()) {
            Some(held) if held.revision >= revision => return Ok(()), // received from another publisher, or sent twice
            None if self.table.items().len() + checked.len() > MAX_DOCUMENTS + MAX_SERVERS => {
                return Err(ReceiveError::ItemLimitExceeded);
            }
            _ => {}
        }
        if let Item::ListDelta { from, version, delta } = &item {
            item = Item::List { version: *version, text: self.apply_delta(*from, delta)? };
        }
        if let Item::List { version, .. } = &item
            && *version < self.table.list_version()
        {
            let held = self.table.list_version();
            return Err(ReceiveError::OutOfOrder { what: "list", found: *version, held });
        }
        checked.push(CheckedItem { revision, item });
        Ok(())
    }

    fn apply_delta(&self, from: u64, delta: &Delta) -> Result<String, DeltaError> {
        let old = self.table.list_text().filter(|_| self.table.list_version() == from);
        delta.apply(old.ok_or(DeltaError::Pieces)?)
    }

    /// Returns the item that is being received in parts, with this part appended.
    fn assemble(&self, part: &ItemPart) -> Result<PartiallyReceivedItem, ReceiveError> {
        let total = part.total as usize;
        check_len("an item", total, MAX_ITEM_BYTES)?;
        let bytes = match &self.partial {
            _ if part.offset == 0 => part.bytes.clone(),
            Some(before) if before.is_followed_by(part) => [&before.bytes[..], &part.bytes].concat(),
            before => {
                let held = before.as_ref().map_or(0, |before| before.bytes.len() as u64);
                let found = part.offset.into();
                return Err(ReceiveError::OutOfOrder { what: "a part at byte", found, held });
            }
        };
        if bytes.len() > total {
            return Err(FrameError::TooLong { what: "an item", bytes: bytes.len(), max: total }.into());
        }
        Ok(PartiallyReceivedItem { revision: part.revision, total, bytes })
    }

    fn apply_update(&mut self, update: Update, items: Vec<CheckedItem>) -> Vec<Event> {
        let mut events = Vec::new();
        if let (ConnectionState::Open(session), Some(last)) = (&mut self.connection, items.last()) {
            session.position = last.revision;
        }
        for CheckedItem { revision, item } in &items {
            self.needs_complete_list &= !matches!(item, Item::List { .. });
            self.table.put(*revision, item);
        }
        if !items.is_empty() {
            events.push(Event::Changed(items.iter().map(|checked| checked.item.key()).collect()));
        }
        self.table.advance(update.through);
        let known = self.table.last_purge();
        if update.purges_after != known || !self.knows_purges {
            events.push(Event::PurgesUnknown { after: known, through: update.purges_after });
            self.table.reset_purges(update.purges_after);
            self.knows_purges = true;
        }
        for key in &update.purges {
            self.table.add_purge(key);
        }
        if !update.purges.is_empty() {
            events.push(Event::Purged { first: update.purges_after + 1, keys: update.purges });
        }
        self.update_freshness(update.publisher);
        events
    }

    /// Takes over the publisher's freshness if the subscriber has everything that the publisher has.
    fn update_freshness(&mut self, publisher: PublisherStatus) {
        if let Some(stale_ms) = publisher.stale_ms.filter(|_| publisher.is_complete) {
            let stale_ms = i64::try_from(stale_ms).unwrap_or(i64::MAX);
            let fresh_as_of = (publisher.echoed_time as i64).saturating_sub(stale_ms);
            self.fresh_as_of = self.fresh_as_of.max(Some(fresh_as_of));
        }
    }
}
