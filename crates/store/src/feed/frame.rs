//! What publishers and subscribers say to each other, behind a version byte ([`crate::codec`]).

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::delta::Delta;
use crate::codec::{CodecError, decode, encode};
use crate::freshness::Millis;
use crate::state::{DOCUMENT, ID, KEY, LIST, NAME, Order};

/// The longest frame that is read, in bytes.
pub const FRAME: usize = 32 << 10;
/// The longest item that is put together from parts, in bytes.
pub const ITEM: usize = LIST + (4 << 10);

/// What an item is known by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// A document, by its name.
    Document(String),
    /// The list of servers.
    List,
    /// An operator's order, by its server.
    Order(String),
}

/// The newest of one thing that is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// A document.
    Document {
        /// Its name.
        name: String,
        /// All of it.
        text: String,
        /// Who wrote it.
        author: String,
        /// When, in ms of Unix time, by the author's clock.
        at_ms: u64,
    },
    /// The list of servers, whole.
    List {
        /// Discovery's version.
        version: u64,
        /// The list as it was told.
        text: String,
    },
    /// The list of servers, for whoever has an older one.
    ListDelta {
        /// The version it has to have.
        from: u64,
        /// The version it has then.
        version: u64,
        /// What differs.
        delta: Delta,
    },
    /// An operator's order.
    Order {
        /// The server.
        server: String,
        /// What is ordered.
        order: Order,
    },
}

impl Item {
    /// What it is known by.
    pub fn key(&self) -> Key {
        match self {
            Item::Document { name, .. } => Key::Document(name.clone()),
            Item::List { .. } | Item::ListDelta { .. } => Key::List,
            Item::Order { server, .. } => Key::Order(server.clone()),
        }
    }

    /// An item from its bytes.
    ///
    /// # Errors
    /// If they are none, or a part of it is too long.
    pub fn read(bytes: &[u8]) -> Result<Item, FrameError> {
        let item: Item = decode("an item", bytes)?;
        let fits = |what, bytes: usize, most| match bytes <= most {
            true => Ok(()),
            false => Err(FrameError::TooLong { what, bytes, most }),
        };
        match &item {
            Item::Document { name, text, author, .. } => {
                fits("a name", name.len(), NAME)?;
                fits("an author", author.len(), NAME)?;
                fits("a document", text.len(), DOCUMENT)?;
            }
            Item::List { text, .. } => fits("a list", text.len(), LIST)?,
            Item::ListDelta { .. } => {}
            Item::Order { server, .. } => fits("a server's id", server.len(), ID)?,
        }
        Ok(item)
    }

    /// Its bytes.
    pub fn bytes(&self) -> Vec<u8> {
        encode("an item", self).unwrap_or_default() // no item of this type fails to be written
    }
}

/// An item at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The entry that made it.
    pub revision: u64,
    /// The item's bytes, passed on as they came.
    pub item: Vec<u8>,
}

/// A part of a record that is too long for one frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The entry that made the record.
    pub revision: u64,
    /// Where in the item's bytes this part begins.
    pub offset: u32,
    /// How many bytes the item has.
    pub total: u32,
    /// The part.
    pub bytes: Vec<u8>,
}

/// How fresh a publisher is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// The subscriber's own time that the publisher last heard of, in ms: what follows was said after that.
    pub echo: Millis,
    /// The publisher holds all that was committed so many ms before this was said; unknown if nothing.
    pub stale_ms: Option<Millis>,
    /// Whether the subscriber holds all that the publisher does, once it has taken this frame.
    pub complete: bool,
    /// The newest revision of anything that the publisher holds.
    pub head: u64,
    /// The number up to which it knows all purges.
    pub purged: u64,
}

/// What changed; a heartbeat if nothing did.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// How fresh the publisher is.
    pub beacon: Beacon,
    /// The subscriber's revision before this frame ...
    pub after: u64,
    /// ... and once it has taken it.
    pub through: u64,
    /// What changed, by revision.
    pub records: Vec<Record>,
    /// A part of what changed next.
    pub part: Option<Part>,
    /// The number of the last purge that the subscriber knows.
    pub purges_after: u64,
    /// Purges up to there are no longer known, and the subscriber may lack some of them.
    pub gap: bool,
    /// The keys of the next purges, one number each.
    pub purges: Vec<String>,
}

/// What a publisher says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Downlink {
    /// What changed.
    Update(Box<Update>),
    /// It ends the session.
    Refused(Refusal),
}

/// Why a publisher ends a session, or does not begin one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// A relay that lags, or a revision that never was.
    #[error("revision {theirs} is from the future: the publisher is at {ours}")]
    Future {
        /// What the subscriber holds.
        theirs: u64,
        /// What the publisher holds.
        ours: u64,
    },
    /// A relay does not know all purges that the subscriber lacks.
    #[error("purges after {theirs} are wanted, and those up to {ours} are not known here")]
    PurgesGone {
        /// The last one the subscriber knows.
        theirs: u64,
        /// The last one that is not known here.
        ours: u64,
    },
    /// The subscriber does not take what it is sent.
    #[error("nothing was taken for {0} ms: reconnect and resume")]
    Slow(Millis),
    /// It says what makes no sense.
    #[error("refused: {0}")]
    Malformed(String),
    /// There are enough.
    #[error("{0} subscribers are served, and no more")]
    Full(u64),
}

/// What a subscriber says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Uplink {
    /// First: where it stands.
    Hello(Hello),
    /// Then, regularly: how far it has read.
    Ack(Ack),
}

/// Where a subscriber stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Its revision.
    pub revision: u64,
    /// The version of the list that it holds; 0 for none.
    pub list: u64,
    /// The last purge that it knows; nothing for whoever starts now and holds nothing that could be purged.
    pub purged: Option<u64>,
    /// Its own time, in ms.
    pub now: Millis,
}

/// How far a subscriber has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Bytes of frames that it has taken on this connection.
    pub taken: u64,
    /// Its own time, in ms.
    pub now: Millis,
}

/// Why a frame is not taken; nothing of it is applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The whole frame.
    #[error("a frame of {0} bytes: at most {FRAME} are read")]
    Frame(usize),
    /// It can't be read, or is of another version.
    #[error("{0}")]
    Codec(#[from] CodecError),
    /// A part of it.
    #[error("{what} of {bytes} bytes: at most {most} are read")]
    TooLong {
        /// What.
        what: &'static str,
        /// How long it is.
        bytes: usize,
        /// How long it may be.
        most: usize,
    },
}

/// A frame's bytes.
///
/// # Errors
/// If it is too long.
pub fn write<T: Serialize>(frame: &T) -> Result<Vec<u8>, FrameError> {
    let bytes = encode("a frame", frame)?;
    if bytes.len() > FRAME { Err(FrameError::Frame(bytes.len())) } else { Ok(bytes) }
}

/// A frame from its bytes.
///
/// # Errors
/// If they are too many, of another version, or none.
pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    if bytes.len() > FRAME {
        return Err(FrameError::Frame(bytes.len()));
    }
    Ok(decode("a frame", bytes)?)
}

/// Whether the keys of purges are of a length that may be kept.
///
/// # Errors
/// For the first that is too long.
pub fn purges_fit(purges: &[String]) -> Result<(), FrameError> {
    match purges.iter().find(|key| key.len() > KEY) {
        Some(key) => Err(FrameError::TooLong { what: "a purged key", bytes: key.len(), most: KEY }),
        None => Ok(()),
    }
}
