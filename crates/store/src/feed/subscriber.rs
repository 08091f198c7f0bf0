//! A subscriber: which publisher it is connected to, what it takes of what it is sent, and how fresh that is. Pure.

use super::delta::DeltaError;
use super::frame::{
    Ack, Beacon, Downlink, FrameError, Hello, ITEM, Item, Key, Part, Refusal, Update, Uplink, purges_fit,
    read, write,
};
use super::route::Route;
use super::table::Table;
use crate::freshness::Millis;
use crate::state::{DOCUMENTS, SERVERS};

/// A connection and its proofs take at most so long, in ms.
const CONNECTS: Millis = 3_000;
/// A publisher that says nothing for so long is left, in ms; it says something each second.
const SILENCE: Millis = 3_500;
/// How often a publisher is told how far this has read, in ms.
const ACK: Millis = 1_000;
/// ... and after so many bytes.
const ACK_BYTES: u64 = 16 << 10;
/// What is known to be no older than this is fresh, in ms.
pub const FRESH: Millis = 6_000;
/// A publisher may be stale for so long after it was connected, in ms.
const SETTLES: Millis = 4_000;
/// A publisher that served for so long is a good one, in ms.
const GOOD: Millis = 10_000;
/// On another publisher than a preferred one: for a time between these, in ms.
const AWAY: (Millis, Millis) = (20_000, 60_000);

/// What the sockets are to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to a publisher; any other connection is closed.
    Connect(String),
    /// Send this to it.
    Send(Vec<u8>),
    /// Close the connection.
    Close(Left),
}

/// Why a publisher is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// It can't be reached in time.
    Unreachable,
    /// It says nothing.
    Silent,
    /// It is not fresh, and another may be.
    Stale,
    /// A preferred one may be back.
    Home,
}

/// What a frame brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// These items changed.
    Changed(Vec<Key>),
    /// These keys are purged; the first has this number, the others follow it.
    Purged(u64, Vec<String>),
    /// Purges after the first number and up to the second are not told: whatever is held from before now may have been
    /// purged. So it is once at each start, with 0 first; later only after an absence longer than purges are kept for.
    PurgesUnknown(u64, u64),
}

/// Why a frame is not taken. Nothing of it is applied, and the publisher is left.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// It can't be read.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// It does not follow on what is held, or goes back behind it.
    #[error("{what} {found} is out of order: {held} is held")]
    OutOfOrder {
        /// What.
        what: &'static str,
        /// What was sent.
        found: u64,
        /// What is held.
        held: u64,
    },
    /// It tells of what its publisher says that it doesn't hold.
    #[error("{what} {found} is from the future: the publisher holds {head}")]
    Future {
        /// What.
        what: &'static str,
        /// What was sent.
        found: u64,
        /// What can be.
        head: u64,
    },
    /// A difference that is none to what is held.
    #[error("the list: {0}")]
    Delta(#[from] DeltaError),
    /// More than a store keeps.
    #[error("more items than a store keeps")]
    TooMany,
    /// The publisher ends the session.
    #[error("the publisher refuses: {0}")]
    Publisher(#[from] Refusal),
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Frames taken, and their bytes.
    pub frames: u64,
    /// See `frames`.
    pub bytes: u64,
    /// Frames that were not taken.
    pub refused: u64,
    /// Publishers that said they serve this one no longer, or not yet.
    pub turned_away: u64,
    /// Publishers that were left or lost.
    pub moves: u64,
}

#[derive(Debug)]
enum Phase {
    Idle,
    Connecting { place: usize, since: Millis },
    Open(Open),
}

#[derive(Debug)]
struct Open {
    place: usize,
    since: Millis,
    heard: Millis,
    taken: u64,
    acked: (Millis, u64),
    /// The revision of the last record.
    position: u64,
    /// When a preferred publisher is tried again.
    home: Millis,
}

/// An item that comes in parts.
#[derive(Debug)]
struct Assembly {
    revision: u64,
    total: u32,
    bytes: Vec<u8>,
}

/// A subscriber.
#[derive(Debug)]
pub struct Subscriber {
    /// What it holds.
    pub table: Table,
    route: Route,
    phase: Phase,
    assembly: Option<Assembly>,
    /// Whether the next list is to come whole.
    whole: bool,
    /// Whether purges are known from a number on.
    purges: bool,
    /// All that was committed at this time is held; before the start it is negative.
    as_of: Option<i64>,
    stale: u32,
    /// Whether the publisher has said that another may serve better.
    declined: bool,
    figures: Figures,
}

impl Subscriber {
    /// A subscriber that holds this already.
    pub fn new(table: Table, route: Route) -> Subscriber {
        Subscriber {
            table,
            route,
            phase: Phase::Idle,
            assembly: None,
            whole: false,
            purges: false,
            as_of: None,
            stale: 0,
            declined: false,
            figures: Figures::default(),
        }
    }

    /// Counts since the start.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// All that was committed so many ms ago is held; nothing if no publisher could tell yet.
    pub fn stale_ms(&self, now: Millis) -> Option<Millis> {
        Some((now as i64).saturating_sub(self.as_of?).max(0) as u64)
    }

    /// The publisher that it is connected to.
    pub fn publisher(&self) -> Option<&str> {
        match &self.phase {
            Phase::Open(open) => Some(self.route.addr(open.place)),
            _ => None,
        }
    }

    /// When [`Subscriber::poll`] has something to do at the latest.
    pub fn due(&self, now: Millis) -> Millis {
        match &self.phase {
            Phase::Idle => self.route.not_before(),
            Phase::Connecting { since, .. } => since + CONNECTS,
            Phase::Open(open) if self.acks(open, now) => now,
            Phase::Open(open) => (open.heard + SILENCE).min(open.acked.0 + ACK),
        }
    }

    fn acks(&self, open: &Open, now: Millis) -> bool {
        now >= open.acked.0 + ACK || open.taken >= open.acked.1 + ACK_BYTES
    }

    /// What is to be done now.
    pub fn poll(&mut self, now: Millis) -> Option<Action> {
        match &self.phase {
            Phase::Idle if now < self.route.not_before() => None,
            Phase::Idle => {
                let place = self.route.choose(now)?;
                self.phase = Phase::Connecting { place, since: now };
                Some(Action::Connect(self.route.addr(place).to_owned()))
            }
            Phase::Connecting { since, .. } if now < since + CONNECTS => None,
            Phase::Connecting { .. } => Some(self.leave(now, Left::Unreachable)),
            Phase::Open(open) => {
                if now >= open.heard + SILENCE {
                    return Some(self.leave(now, Left::Silent));
                }
                let settled = now >= open.since + SETTLES;
                let fresh = self.stale_ms(now).is_some_and(|stale| stale < FRESH);
                if settled && !fresh && self.route.other(open.place, now) {
                    return Some(self.leave(now, Left::Stale));
                }
                if now >= open.home && self.route.better(open.place, now) {
                    return Some(self.leave(now, Left::Home));
                }
                if fresh && settled {
                    self.stale = 0;
                }
                if now >= open.since + GOOD {
                    self.route.served();
                }
                self.ack(now)
            }
        }
    }

    fn ack(&mut self, now: Millis) -> Option<Action> {
        let Phase::Open(open) = &self.phase else { return None };
        if !self.acks(open, now) {
            return None;
        }
        let taken = open.taken;
        if let Phase::Open(open) = &mut self.phase {
            open.acked = (now, taken);
        }
        let bytes = write(&Uplink::Ack(Ack { taken, now })).ok()?;
        Some(Action::Send(bytes))
    }

    fn leave(&mut self, now: Millis, why: Left) -> Action {
        let place = match &self.phase {
            Phase::Connecting { place, .. } => *place,
            Phase::Open(open) => open.place,
            Phase::Idle => return Action::Close(why),
        };
        match why {
            Left::Unreachable | Left::Silent => self.route.failed(place, now),
            Left::Stale => {
                self.stale = self.stale.saturating_add(1);
                self.route.stale(place, now, self.stale);
            }
            Left::Home => {}
        }
        self.ended();
        Action::Close(why)
    }

    fn ended(&mut self) {
        self.figures.moves += 1;
        (self.phase, self.assembly, self.declined) = (Phase::Idle, None, false);
    }

    /// The connection that was asked for stands: what is to be said first.
    pub fn connected(&mut self, now: Millis) -> Vec<u8> {
        if let Phase::Connecting { place, .. } = self.phase {
            let home = if place == 0 { Millis::MAX } else { now + self.route.drawn(AWAY.0, AWAY.1) };
            self.phase = Phase::Open(Open {
                place,
                since: now,
                heard: now,
                taken: 0,
                acked: (now, 0),
                position: 0,
                home,
            });
        }
        let hello = Hello {
            revision: self.table.revision(),
            list: if self.whole { 0 } else { self.table.list_version() },
            purged: self.purges.then(|| self.table.purged()),
            now,
        };
        write(&Uplink::Hello(hello)).unwrap_or_default() // a hello is a few bytes
    }

    /// The connection is no more, or was not to be had.
    pub fn closed(&mut self, now: Millis) {
        let place = match &self.phase {
            Phase::Connecting { place, .. } => *place,
            Phase::Open(open) => open.place,
            Phase::Idle => return,
        };
        match std::mem::take(&mut self.declined) {
            true => self.route.declined(place, now),
            false => self.route.failed(place, now),
        }
        self.ended();
    }

    /// A frame has come that is too long to be taken, or was changed on its way.
    pub fn unreadable(&mut self) {
        self.figures.refused += 1;
    }

    /// A frame has come.
    ///
    /// # Errors
    /// Why nothing of it is taken; the connection is to be closed, and [`Subscriber::closed`] said.
    pub fn received(&mut self, bytes: &[u8], now: Millis) -> Result<Vec<Event>, Refused> {
        let taken = self.take(bytes, now);
        match &taken {
            Ok(_) => {
                self.figures.frames += 1;
                self.figures.bytes += bytes.len() as u64;
                if let Phase::Open(open) = &mut self.phase {
                    (open.heard, open.taken) = (now, open.taken + bytes.len() as u64);
                }
                self.route.serves();
            }
            Err(Refused::Publisher(why)) => {
                self.declined =
                    matches!(why, Refusal::Future { .. } | Refusal::PurgesGone { .. } | Refusal::Full(_));
                self.figures.turned_away += 1;
            }
            Err(error) => {
                self.whole |= matches!(error, Refused::Delta(_));
                self.figures.refused += 1;
            }
        }
        taken
    }

    fn take(&mut self, bytes: &[u8], now: Millis) -> Result<Vec<Event>, Refused> {
        let update = match read(bytes)? {
            Downlink::Update(update) => update,
            Downlink::Refused(why) => return Err(why.into()),
        };
        // All is checked before any of it is applied.
        self.check(&update, now)?;
        let mut items = Vec::new();
        for record in &update.records {
            self.stage(record.revision, &record.item, &update.beacon, &mut items)?;
        }
        let assembly = update.part.as_ref().map(|part| self.assemble(part)).transpose()?;
        if let Some(whole) = assembly.as_ref().filter(|whole| whole.bytes.len() == whole.total as usize) {
            self.stage(whole.revision, &whole.bytes, &update.beacon, &mut items)?;
        }
        if let Some(part) = assembly {
            self.assembly = (part.bytes.len() < part.total as usize).then_some(part);
        }
        Ok(self.apply(*update, items))
    }

    fn check(&self, update: &Update, now: Millis) -> Result<(), Refused> {
        let Update { beacon, after, through, purges_after, .. } = *update;
        let held = self.table.revision();
        if after != held || through < after {
            return Err(Refused::OutOfOrder { what: "revision", found: after.min(through), held });
        }
        let future = |what, found, head| match found > head {
            true => Err(Refused::Future { what, found, head }),
            false => Ok(()),
        };
        future("revision", through, beacon.head)?;
        future("time", beacon.echo, now)?;
        let known = self.table.purged();
        let follows = purges_after == known || !self.purges || update.gap && purges_after > known;
        if !follows {
            return Err(Refused::OutOfOrder { what: "purge", found: purges_after, held: known });
        }
        future("purge", purges_after.saturating_add(update.purges.len() as u64), beacon.purged)?;
        Ok(purges_fit(&update.purges)?)
    }

    /// Reads an item that is to be taken, if it is not held already.
    fn stage(
        &self,
        revision: u64,
        bytes: &[u8],
        beacon: &Beacon,
        items: &mut Vec<(u64, Item)>,
    ) -> Result<(), Refused> {
        let position = if let Phase::Open(open) = &self.phase { open.position } else { 0 };
        let held = items.last().map_or(position, |(revision, _)| *revision).max(self.table.revision() + 1);
        if revision < held {
            return Err(Refused::OutOfOrder { what: "record", found: revision, held });
        }
        if revision > beacon.head {
            return Err(Refused::Future { what: "record", found: revision, head: beacon.head });
        }
        let mut item = Item::read(bytes)?;
        match self.table.items().get(&item.key()) {
            Some(held) if held.revision >= revision => return Ok(()), // of another publisher, or sent again
            None if self.table.items().len() + items.len() > DOCUMENTS + SERVERS => {
                return Err(Refused::TooMany);
            }
            _ => {}
        }
        if let Item::ListDelta { from, version, delta } = &item {
            let (from, version) = (*from, *version);
            let old = self.table.list_text().filter(|_| self.table.list_version() == from);
            let text = delta.apply(old.ok_or(DeltaError::Pieces)?)?;
            item = Item::List { version, text };
        }
        if let Item::List { version, .. } = &item
            && *version < self.table.list_version()
        {
            let held = self.table.list_version();
            return Err(Refused::OutOfOrder { what: "list", found: *version, held });
        }
        items.push((revision, item));
        Ok(())
    }

    fn assemble(&self, part: &Part) -> Result<Assembly, Refused> {
        let more = |bytes: &[u8]| [bytes, &part.bytes].concat();
        let total = part.total as usize;
        if total > ITEM {
            let error = FrameError::TooLong { what: "an item", bytes: total, most: ITEM };
            return Err(error.into());
        }
        let bytes = match &self.assembly {
            _ if part.offset == 0 => part.bytes.clone(),
            Some(before)
                if (before.revision, before.total, before.bytes.len())
                    == (part.revision, part.total, part.offset as usize) =>
            {
                more(&before.bytes)
            }
            before => {
                let held = before.as_ref().map_or(0, |before| before.bytes.len() as u64);
                return Err(Refused::OutOfOrder { what: "a part at byte", found: part.offset.into(), held });
            }
        };
        if bytes.len() > total {
            return Err(FrameError::TooLong { what: "an item", bytes: bytes.len(), most: total }.into());
        }
        Ok(Assembly { revision: part.revision, total: part.total, bytes })
    }

    fn apply(&mut self, update: Update, items: Vec<(u64, Item)>) -> Vec<Event> {
        let mut events = Vec::new();
        if let (Phase::Open(open), Some((revision, _))) = (&mut self.phase, items.last()) {
            open.position = *revision;
        }
        for (revision, item) in &items {
            self.whole &= !matches!(item, Item::List { .. });
            self.table.put(*revision, item);
        }
        if !items.is_empty() {
            events.push(Event::Changed(items.iter().map(|(_, item)| item.key()).collect()));
        }
        self.table.advance(update.through);
        let known = self.table.purged();
        if update.purges_after != known || !self.purges {
            events.push(Event::PurgesUnknown(known, update.purges_after));
            self.table.purges_from(update.purges_after);
            self.purges = true;
        }
        for key in &update.purges {
            self.table.purge(key);
        }
        if !update.purges.is_empty() {
            events.push(Event::Purged(update.purges_after + 1, update.purges));
        }
        self.fresh(update.beacon);
        events
    }

    /// What a publisher says of how fresh it is counts once all that it holds is held here.
    fn fresh(&mut self, beacon: Beacon) {
        if let Some(stale) = beacon.stale_ms.filter(|_| beacon.complete) {
            let as_of = (beacon.echo as i64).saturating_sub(i64::try_from(stale).unwrap_or(i64::MAX));
            self.as_of = self.as_of.max(Some(as_of));
        }
    }
}
