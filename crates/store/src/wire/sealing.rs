//! Sealed messages of an authenticated connection. Each consists of a length, the body, and a MAC over the direction,
//! the message's sequence number and the body. A message that was changed, dropped, replayed or reflected is detected.

use super::keys::Key;

/// The longest message, in bytes. A message can hold everything that a store may contain.
pub const MAX_MESSAGE_BYTES: usize = 12 << 20;
/// The size of the length field before a message's body, in bytes.
pub(super) const LENGTH_BYTES: usize = 4;
/// The size of the truncated MAC after a message's body, in bytes.
const TAG_BYTES: usize = 16;

/// Why a message can't be sealed or opened. The connection can't be used any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SealingError {
    /// The message is too long.
    #[error("a message of {0} bytes: at most {MAX_MESSAGE_BYTES} are read")]
    TooLong(usize),
    /// The MAC differs.
    #[error("a message was changed, dropped or replayed in transit")]
    Mac,
}

/// Seals the messages of one direction.
pub struct Sealer {
    key: Key,
    from_client: bool,
    next_number: u64,
}

impl Sealer {
    /// Creates a sealer of the messages that the client (the side that has connected) sends, or of those that the
    /// server sends.
    pub fn new(key: Key, from_client: bool) -> Sealer {
        Sealer { key, from_client, next_number: 0 }
    }

    /// Seals the next message.
    ///
    /// # Errors
    /// If the body is too long.
    pub fn seal(&mut self, body: &[u8]) -> Result<Vec<u8>, SealingError> {
        if body.len() > MAX_MESSAGE_BYTES {
            return Err(SealingError::TooLong(body.len()));
        }
        let mac = self.key.mac(&[&[self.from_client.into()], &self.next_number.to_be_bytes(), body]);
        self.next_number += 1;
        let mut sealed = Vec::with_capacity(LENGTH_BYTES + body.len() + TAG_BYTES);
        sealed.extend_from_slice(&(body.len() as u32).to_be_bytes());
        sealed.extend_from_slice(body);
        sealed.extend_from_slice(&mac[..TAG_BYTES]);
        Ok(sealed)
    }
}

/// Verifies the messages of one direction, and returns their bodies.
pub struct Opener {
    key: Key,
    from_client: bool,
    next_number: u64,
}

impl Opener {
    /// Creates an opener of the messages that the client (the side that has connected) sends, or of those that the
    /// server sends.
    pub fn new(key: Key, from_client: bool) -> Opener {
        Opener { key, from_client, next_number: 0 }
    }

    /// The number of bytes that follow a length field: the body and the MAC.
    ///
    /// # Errors
    /// If the message is too long.
    pub fn sealed_len(&self, length: [u8; LENGTH_BYTES]) -> Result<usize, SealingError> {
        let body_len = u32::from_be_bytes(length) as usize;
        if body_len > MAX_MESSAGE_BYTES {
            Err(SealingError::TooLong(body_len))
        } else {
            Ok(body_len + TAG_BYTES)
        }
    }

    /// Verifies the next message, given the bytes after its length field, and returns its body.
    ///
    /// # Errors
    /// If the bytes are not the next message as it was sent.
    pub fn open<'a>(&mut self, sealed: &'a [u8]) -> Result<&'a [u8], SealingError> {
        let body_len = sealed.len().saturating_sub(TAG_BYTES);
        let (body, tag) = sealed.split_at_checked(body_len).ok_or(SealingError::Mac)?;
        let parts: [&[u8]; 3] = [&[self.from_client.into()], &self.next_number.to_be_bytes(), body];
        if tag.len() != TAG_BYTES || !self.key.verify(&parts, tag) {
            return Err(SealingError::Mac);
        }
        self.next_number += 1;
        Ok(body)
    }
}
