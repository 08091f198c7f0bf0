//! Sealed messages of an authenticated connection: a length, the bytes, and a MAC over the direction, the message's number
//! and the bytes. No message can be changed, left out, repeated or sent back unnoticed.

use super::keys::Key;

/// The longest message, in bytes: everything that a store may hold fits into one.
pub const MAX_MESSAGE_BYTES: usize = 12 << 20;
/// The length before a message, in bytes.
pub(super) const LENGTH_BYTES: usize = 4;
/// The truncated MAC after a message, in bytes.
const TAG_BYTES: usize = 16;

/// Why a message can't be opened. The connection can't be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SealingError {
    /// The message is too long.
    #[error("a message of {0} bytes: at most {MAX_MESSAGE_BYTES} are read")]
    TooLong(usize),
    /// The MAC differs.
    #[error("a message was changed, left out or repeated on its way")]
    Mac,
}

/// Seals the messages of one direction.
pub struct Sealer {
    key: Key,
    is_client: bool,
    next_number: u64,
}

impl Sealer {
    /// Seals the messages of the side that connected, the client, or those of the other side.
    pub fn new(key: Key, is_client: bool) -> Sealer {
        Sealer { key, is_client, next_number: 0 }
    }

    /// Seals the next message.
    ///
    /// # Errors
    /// If it is too long.
    pub fn seal(&mut self, body: &[u8]) -> Result<Vec<u8>, SealingError> {
        if body.len() > MAX_MESSAGE_BYTES {
            return Err(SealingError::TooLong(body.len()));
        }
        let mac = self.key.mac(&[&[self.is_client.into()], &self.next_number.to_be_bytes(), body]);
        self.next_number += 1;
        let mut sealed = Vec::with_capacity(LENGTH_BYTES + body.len() + TAG_BYTES);
        sealed.extend_from_slice(&(body.len() as u32).to_be_bytes());
        sealed.extend_from_slice(body);
        sealed.extend_from_slice(&mac[..TAG_BYTES]);
        Ok(sealed)
    }
}

/// Opens the messages of one direction.
pub struct Opener {
    key: Key,
    is_client: bool,
    next_number: u64,
}

impl Opener {
    /// Opens the messages of the side that connected, the client, or those of the other side.
    pub fn new(key: Key, is_client: bool) -> Opener {
        Opener { key, is_client, next_number: 0 }
    }

    /// The number of bytes after a length: the message's and the MAC's.
    ///
    /// # Errors
    /// If the message is too long.
    pub fn sealed_len(&self, length: [u8; LENGTH_BYTES]) -> Result<usize, SealingError> {
        let body = u32::from_be_bytes(length) as usize;
        if body > MAX_MESSAGE_BYTES { Err(SealingError::TooLong(body)) } else { Ok(body + TAG_BYTES) }
    }

    /// Opens the next message, from the bytes after its length.
    ///
    /// # Errors
    /// If it is not the next message as it was sent.
    pub fn open<'a>(&mut self, sealed: &'a [u8]) -> Result<&'a [u8], SealingError> {
        let body_len = sealed.len().saturating_sub(TAG_BYTES);
        let (body, tag) = sealed.split_at_checked(body_len).ok_or(SealingError::Mac)?;
        let parts: [&[u8]; 3] = [&[self.is_client.into()], &self.next_number.to_be_bytes(), body];
        if tag.len() != TAG_BYTES || !self.key.verify(&parts, tag) {
            return Err(SealingError::Mac);
        }
        self.next_number += 1;
        Ok(body)
    }
}
