//! The frames that publishers and subscribers send, each after a version byte ([`crate::codec`]).
//!
//! The encoding is positional: it depends on the order of the variants of an enum and of the fields of a struct.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::delta::Delta;
use crate::codec::{CodecError, decode, encode};
use crate::freshness::Millis;
use crate::state::AdminOverride;
use crate::state::limits::{
    MAX_DOCUMENT_BYTES, MAX_LIST_BYTES, MAX_NAME_BYTES, MAX_PURGE_KEY_BYTES, MAX_SERVER_ID_BYTES,
};

/// The longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 32 << 10;
/// The longest item, in bytes. An item that is too long for a frame is sent in parts.
pub const MAX_ITEM_BYTES: usize = MAX_LIST_BYTES + (4 << 10);
/// The name of an item in errors.
const ITEM: &str = "an item";
/// The name of a frame in errors.
const FRAME: &str = "a frame";

/// What identifies an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ItemKey {
    /// A document, by its name.
    Document(String),
    /// The endpoint list.
    List,
    /// An administrative override, by its server.
    Override(String),
}

/// The latest value of one part of the state that is distributed by itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// A document.
    Document {
        /// The document's name.
        name: String,
        /// The document's text.
        text: String,
        /// Who wrote this text.
        author: String,
        /// When the text was written, in ms of Unix time by the author's clock.
        at_ms: u64,
    },
    /// The complete endpoint list.
    List {
        /// Discovery's version.
        version: u64,
        /// The list as it was received.
        text: String,
    },
    /// The endpoint list, for a subscriber that has an older one.
    ListDelta {
        /// The version that the subscriber must have.
        from: u64,
        /// The version that the delta leads to.
        version: u64,
        /// The difference between the two lists.
        delta: Delta,
    },
    /// An administrative override.
    Override {
        /// The server's id.
        server: String,
        /// The server's override.
        admin_override: AdminOverride,
    },
}

impl Item {
    /// The key that identifies the item.
    pub fn key(&self) -> ItemKey {
        match self {
            Item::Document { name, .. } => ItemKey::Document(name.clone()),
            Item::List { .. } | Item::ListDelta { .. } => ItemKey::List,
            Item::Override { server, .. } => ItemKey::Override(server.clone()),
        }
    }

    /// Decodes an item.
    ///
    /// # Errors
    /// If the bytes are not an encoded item, or a field of the item is too long.
    pub fn decode(bytes: &[u8]) -> Result<Item, FrameError> {
        let item: Item = decode(ITEM, bytes)?;
        match &item {
            Item::Document { name, text, author, .. } => {
                check_len("a name", name.len(), MAX_NAME_BYTES)?;
                check_len("an author", author.len(), MAX_NAME_BYTES)?;
                check_len("a document", text.len(), MAX_DOCUMENT_BYTES)?;
            }
            Item::List { text, .. } => check_len("a list", text.len(), MAX_LIST_BYTES)?,
            Item::ListDelta { .. } => {}
            Item::Override { server, .. } => check_len("a server's id", server.len(), MAX_SERVER_ID_BYTES)?,
        }
        Ok(item)
    }

    /// Encodes the item.
    pub fn encode(&self) -> Vec<u8> {
        encode(ITEM, self).unwrap_or_default() // encoding an item can't fail
    }
}

/// An item at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The index of the log entry that set the item.
    pub revision: u64,
    /// The encoded item.
    pub item: Vec<u8>,
}

/// A part of an item that is too long for one frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemPart {
    /// The index of the log entry that set the item.
    pub revision: u64,
    /// The offset of this part in the encoded item.
    pub offset: u32,
    /// The length of the encoded item.
    pub total: u32,
    /// The bytes of this part.
    pub bytes: Vec<u8>,
}

/// How fresh a publisher is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublisherStatus {
    /// The latest time of the subscriber's clock that the publisher has received, in ms. This status is no older than
    /// that.
    pub echoed_time: Millis,
    /// The age of the publisher's state, in ms: it has everything that was committed that long ago. `None` if this is
    /// unknown.
    pub stale_ms: Option<Millis>,
    /// Whether the subscriber has everything that the publisher has, once it has applied this frame.
    pub is_complete: bool,
    /// The newest revision of any item that the publisher has.
    pub head_revision: u64,
    /// The number of the last purge that the publisher knows.
    pub last_purge: u64,
}

/// The changes since the last frame. Without changes, this is a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// How fresh the publisher is.
    pub publisher: PublisherStatus,
    /// The revision that the subscriber must have before this frame.
    pub after: u64,
    /// The subscriber's revision once it has applied this frame.
    pub through: u64,
    /// The items that have changed, in the order of their revisions.
    pub records: Vec<Record>,
    /// A part of the next item after the records, if that item is too long for one frame.
    pub part: Option<ItemPart>,
    /// The number of the last purge before those of this frame.
    pub purges_after: u64,
    /// Whether the publisher no longer retains all purges up to `purges_after`, so that the subscriber may lack some.
    pub purge_gap: bool,
    /// The keys of the next purges, numbered without gaps.
    pub purges: Vec<String>,
}

/// A frame of a publisher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublisherFrame {
    /// Carries the changes since the last frame, or is a heartbeat if there are none.
    Update(Box<Update>),
    /// The publisher ends the session.
    Rejected(SessionRejection),
}

/// Why a publisher ends a session, or doesn't begin one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum SessionRejection {
    /// The subscriber is ahead of the publisher, which lags or has another state. Both numbers are revisions or both
    /// are numbers of last purges; the message calls either a revision.
    #[error("revision {theirs} is from the future: the publisher is at {ours}")]
    Ahead {
        /// The subscriber's revision or last purge.
        theirs: u64,
        /// The publisher's revision or last purge.
        ours: u64,
    },
    /// The publisher no longer retains all purges that the subscriber lacks.
    #[error("the purges after {theirs} are needed, but those up to {ours} are no longer retained")]
    PurgesDropped {
        /// The last purge that the subscriber knows.
        theirs: u64,
        /// The last purge that the publisher no longer retains.
        ours: u64,
    },
    /// The subscriber has acknowledged nothing for this time, in ms.
    #[error("nothing was acknowledged for {0} ms: reconnect and resume")]
    TooSlow(Millis),
    /// The subscriber has sent an invalid frame, or the publisher can't encode its own.
    #[error("invalid frame: {0}")]
    Malformed(String),
    /// The publisher already serves this many subscribers, the maximum.
    #[error("{0} subscribers are served, and no more")]
    SubscriberLimitReached(u64),
}

/// A frame of a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscriberFrame {
    /// The first frame, which says where the subscriber resumes.
    Hello(Hello),
    /// Sent regularly; says how much the subscriber has received.
    Ack(Ack),
}

/// Where a subscriber resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The subscriber's revision.
    pub revision: u64,
    /// The version of the list that the subscriber has; 0 for none.
    pub list_version: u64,
    /// The last purge that the subscriber knows. `None` if it has just started, and has cached nothing that could be
    /// purged.
    pub last_purge: Option<u64>,
    /// The time of the subscriber's clock, in ms.
    pub time: Millis,
}

/// How much a subscriber has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The total length of the frames that the subscriber has received on this connection, in bytes.
    pub received_bytes: u64,
    /// The time of the subscriber's clock, in ms.
    pub time: Millis,
}

/// Why a frame is invalid. Nothing of it is applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame is longer than [`MAX_FRAME_BYTES`]. The value is its length in bytes.
    #[error("a frame of {0} bytes: at most {MAX_FRAME_BYTES} are read")]
    FrameTooLong(usize),
    /// The frame can't be decoded, or is of another version.
    #[error("{0}")]
    Codec(#[from] CodecError),
    /// A field of the frame is too long.
    #[error("{what} of {bytes} bytes: at most {max} are read")]
    TooLong {
        /// What is too long.
        what: &'static str,
        /// The length, in bytes.
        bytes: usize,
        /// The greatest length that is accepted, in bytes.
        max: usize,
    },
}

/// Checks the length of a field of a frame.
pub(super) fn check_len(what: &'static str, bytes: usize, max: usize) -> Result<(), FrameError> {
    if bytes <= max { Ok(()) } else { Err(FrameError::TooLong { what, bytes, max }) }
}

/// Encodes a frame.
///
/// # Errors
/// If the frame is too long.
pub fn encode_frame<T: Serialize>(frame: &T) -> Result<Vec<u8>, FrameError> {
    let bytes = encode(FRAME, frame)?;
    if bytes.len() > MAX_FRAME_BYTES { Err(FrameError::FrameTooLong(bytes.len())) } else { Ok(bytes) }
}

/// Decodes a frame.
///
/// # Errors
/// If the frame is too long, of another version, or invalid.
pub fn decode_frame<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::FrameTooLong(bytes.len()));
    }
    Ok(decode(FRAME, bytes)?)
}

/// Checks the lengths of purged keys.
///
/// # Errors
/// For the first key that is too long.
pub fn check_purge_keys(purges: &[String]) -> Result<(), FrameError> {
    purges.iter().try_for_each(|key| check_len("a purged key", key.len(), MAX_PURGE_KEY_BYTES))
}
