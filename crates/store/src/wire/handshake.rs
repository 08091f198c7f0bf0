//! Both sides prove that they have a key, each over a nonce of the other's, so that nothing that was ever said can be
//! said again. Pure: bytes of fixed lengths in, bytes out.
//!
//! Who connects says a magic word, the key's name and a nonce; who was connected to answers with a nonce and the proof
//! over all of it; then comes the proof of who connects. Each proof names its side, so none can be sent back.

use super::keys::{Key, Keys, MAC};

/// Of a protocol that nobody else speaks, with its version.
const MAGIC: &[u8; 4] = b"SFR1";
const NONCE: usize = 32;
/// The lengths of the three messages, in bytes.
pub const HELLO: usize = 4 + 8 + NONCE;
/// See [`HELLO`].
pub const WELCOME: usize = NONCE + MAC;
/// See [`HELLO`].
pub const PROOF: usize = MAC;

/// Why the other side is not heard any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeError {
    /// It speaks something else.
    #[error("the other side speaks another protocol or version")]
    Magic,
    /// It uses a key that this side doesn't have.
    #[error("the other side uses a key that is not known here")]
    Unknown,
    /// It has not proved that it has the key.
    #[error("the other side has not proved that it has the key")]
    Proof,
}

/// The side that connects, once it has said hello.
pub struct Asking {
    key: Key,
    hello: [u8; HELLO],
}

impl Asking {
    /// The first message, and what is to be done with the answer to it.
    pub fn new(keys: &Keys, nonce: [u8; NONCE]) -> (Asking, [u8; HELLO]) {
        let key = keys.first().clone();
        let mut hello = [0; HELLO];
        hello[..4].copy_from_slice(MAGIC);
        hello[4..12].copy_from_slice(&key.name());
        hello[12..].copy_from_slice(&nonce);
        (Asking { key, hello }, hello)
    }

    /// The proof to send, and the connection's key.
    ///
    /// # Errors
    /// If the other side doesn't have the key.
    pub fn welcomed(self, welcome: &[u8; WELCOME]) -> Result<(Key, [u8; PROOF]), HandshakeError> {
        let (nonce, proof) = welcome.split_at(NONCE);
        if !self.key.verify(&[b"welcome", &self.hello, nonce], proof) {
            return Err(HandshakeError::Proof);
        }
        let mine = self.key.mac(&[b"proof", &self.hello, nonce]);
        Ok((self.key.derive(&[b"connection", &self.hello, nonce]), mine))
    }
}

/// The side that was connected to.
pub struct Welcoming {
    key: Key,
    hello: [u8; HELLO],
    nonce: [u8; NONCE],
}

/// What it is to send.
pub type Asked = [u8; WELCOME];

impl Welcoming {
    /// The answer to a hello.
    ///
    /// # Errors
    /// If it is none, or names a key that is not known here.
    pub fn new(
        keys: &Keys,
        hello: &[u8; HELLO],
        nonce: [u8; NONCE],
    ) -> Result<(Welcoming, Asked), HandshakeError> {
        if &hello[..4] != MAGIC {
            return Err(HandshakeError::Magic);
        }
        let key = keys.named(&hello[4..12]).ok_or(HandshakeError::Unknown)?.clone();
        let mut welcome = [0; WELCOME];
        welcome[..NONCE].copy_from_slice(&nonce);
        welcome[NONCE..].copy_from_slice(&key.mac(&[b"welcome", hello, &nonce]));
        Ok((Welcoming { key, hello: *hello, nonce }, welcome))
    }

    /// The key that the other side says it has.
    pub(super) fn used(&self) -> &Key {
        &self.key
    }

    /// The connection's key, once the other side has proved itself.
    ///
    /// # Errors
    /// If it has not.
    pub fn proved(self, proof: &[u8; PROOF]) -> Result<Key, HandshakeError> {
        match self.key.verify(&[b"proof", &self.hello, &self.nonce], proof) {
            true => Ok(self.key.derive(&[b"connection", &self.hello, &self.nonce])),
            false => Err(HandshakeError::Proof),
        }
    }
}
