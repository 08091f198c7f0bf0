//! Messages on a connection whose sides have proved themselves: a length, the bytes, and a MAC over the direction,
//! the message's number and the bytes, so that none can be changed, left out, repeated or sent back.

use super::keys::Key;

/// The longest message, in bytes: all that a store may keep fits into one.
pub const MESSAGE: usize = 12 << 20;
/// The length before a message, and the MAC behind it.
pub const HEAD: usize = 4;
const TAIL: usize = 16;

/// Why a message is not read; the connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// It says that it is longer than any may be.
    #[error("a message of {0} bytes: at most {MESSAGE} are read")]
    TooLong(usize),
    /// Its MAC differs.
    #[error("a message was changed, left out or repeated on its way")]
    Mac,
}

/// Writes one direction's messages.
pub struct Sealer {
    key: Key,
    side: u8,
    number: u64,
}

impl Sealer {
    /// Messages of the side that connected, or of the other.
    pub fn new(key: Key, connected: bool) -> Sealer {
        Sealer { key, side: connected.into(), number: 0 }
    }

    /// A message as it goes out.
    ///
    /// # Errors
    /// If it is too long.
    pub fn seal(&mut self, body: &[u8]) -> Result<Vec<u8>, FrameError> {
        if body.len() > MESSAGE {
            return Err(FrameError::TooLong(body.len()));
        }
        let mac = self.key.mac(&[&[self.side], &self.number.to_be_bytes(), body]);
        self.number += 1;
        let mut frame = Vec::with_capacity(HEAD + body.len() + TAIL);
        frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
        frame.extend_from_slice(body);
        frame.extend_from_slice(&mac[..TAIL]);
        Ok(frame)
    }
}

/// Reads one direction's messages.
pub struct Opener {
    key: Key,
    side: u8,
    number: u64,
}

impl Opener {
    /// Messages of the side that connected, or of the other.
    pub fn new(key: Key, connected: bool) -> Opener {
        Opener { key, side: connected.into(), number: 0 }
    }

    /// How many bytes come behind a head.
    ///
    /// # Errors
    /// If they are too many.
    pub fn length(&self, head: [u8; HEAD]) -> Result<usize, FrameError> {
        let body = u32::from_be_bytes(head) as usize;
        if body > MESSAGE { Err(FrameError::TooLong(body)) } else { Ok(body + TAIL) }
    }

    /// The message in what came behind its head.
    ///
    /// # Errors
    /// If it is not the next one, as it was sent.
    pub fn open<'a>(&mut self, rest: &'a [u8]) -> Result<&'a [u8], FrameError> {
        let (body, mac) = rest.split_at_checked(rest.len().saturating_sub(TAIL)).ok_or(FrameError::Mac)?;
        if mac.len() != TAIL || !self.key.verify(&[&[self.side], &self.number.to_be_bytes(), body], mac) {
            return Err(FrameError::Mac);
        }
        self.number += 1;
        Ok(body)
    }
}
