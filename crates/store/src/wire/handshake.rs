//! The handshake, in which both sides prove that they have the same key. Each proof covers a nonce of the other side,
//! so that no message can be replayed. This module does no I/O; all its messages have fixed lengths.
//!
//! The client (the side that has connected) sends the magic bytes, the key's id and a nonce: the hello. The server
//! answers with the welcome: a nonce, and a proof over the hello and this nonce. The client then sends its own proof.
//! Each proof contains a label of its side, so that it can't be reflected to its sender.

use super::keys::{KEY_ID_BYTES, Key, Keys, MAC_BYTES};

/// Identifies the protocol and its version.
const MAGIC: &[u8; MAGIC_BYTES] = b"SFR1";
/// The length of [`MAGIC`], in bytes.
const MAGIC_BYTES: usize = 4;
/// The length of a nonce, in bytes. Each side draws one at random.
pub(super) const NONCE_BYTES: usize = 32;
/// The offset of the client's nonce in its hello, in bytes.
const HELLO_NONCE_OFFSET: usize = MAGIC_BYTES + KEY_ID_BYTES;
/// The length of the client's hello, in bytes.
pub const HELLO_BYTES: usize = HELLO_NONCE_OFFSET + NONCE_BYTES;
/// The length of the server's welcome, in bytes.
pub const WELCOME_BYTES: usize = NONCE_BYTES + MAC_BYTES;
/// The length of the client's proof, in bytes.
pub const PROOF_BYTES: usize = MAC_BYTES;

/// Why a handshake fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeError {
    /// The other side speaks another protocol, or another version of it.
    #[error("the other side speaks another protocol or version")]
    Protocol,
    /// The other side uses a key that this side doesn't have.
    #[error("the other side uses a key that this side does not have")]
    UnknownKey,
    /// The other side's proof is invalid.
    #[error("the other side has not proved that it has the key")]
    Proof,
}

/// The client's side of the handshake, after its hello.
pub struct ClientHandshake {
    key: Key,
    hello: [u8; HELLO_BYTES],
}

impl ClientHandshake {
    /// Begins a handshake with the first of the keys. Returns the hello, which has to be sent.
    pub fn new(keys: &Keys, nonce: [u8; NONCE_BYTES]) -> (ClientHandshake, [u8; HELLO_BYTES]) {
        let key = keys.first().clone();
        let mut hello = [0; HELLO_BYTES];
        hello[..MAGIC_BYTES].copy_from_slice(MAGIC);
        hello[MAGIC_BYTES..HELLO_NONCE_OFFSET].copy_from_slice(&key.id());
        hello[HELLO_NONCE_OFFSET..].copy_from_slice(&nonce);
        (ClientHandshake { key, hello }, hello)
    }

    /// Checks the server's welcome. Returns the connection's key, and the proof, which has to be sent.
    ///
    /// # Errors
    /// If the server has not proved that it has the key.
    pub fn finish(self, welcome: &[u8; WELCOME_BYTES]) -> Result<(Key, [u8; PROOF_BYTES]), HandshakeError> {
        let (nonce, proof) = welcome.split_at(NONCE_BYTES);
        if !self.key.verify(&[b"welcome", &self.hello, nonce], proof) {
            return Err(HandshakeError::Proof);
        }
        let own_proof = self.key.mac(&[b"proof", &self.hello, nonce]);
        Ok((self.key.derive(&[b"connection", &self.hello, nonce]), own_proof))
    }
}

/// The server's side of the handshake, after the client's hello.
pub struct ServerHandshake {
    key: Key,
    hello: [u8; HELLO_BYTES],
    nonce: [u8; NONCE_BYTES],
}

impl ServerHandshake {
    /// Begins a handshake with a client's hello. Returns the welcome, which has to be sent.
    ///
    /// # Errors
    /// If the hello is of another protocol or version, or names a key that is not among `keys`.
    pub fn new(
        keys: &Keys,
        hello: &[u8; HELLO_BYTES],
        nonce: [u8; NONCE_BYTES],
    ) -> Result<(ServerHandshake, [u8; WELCOME_BYTES]), HandshakeError> {
        if &hello[..MAGIC_BYTES] != MAGIC {
            return Err(HandshakeError::Protocol);
        }
        let key =
            keys.find(&hello[MAGIC_BYTES..HELLO_NONCE_OFFSET]).ok_or(HandshakeError::UnknownKey)?.clone();
        let mut welcome = [0; WELCOME_BYTES];
        welcome[..NONCE_BYTES].copy_from_slice(&nonce);
        welcome[NONCE_BYTES..].copy_from_slice(&key.mac(&[b"welcome", hello, &nonce]));
        Ok((ServerHandshake { key, hello: *hello, nonce }, welcome))
    }

    /// The key that the client claims to have, which [`finish`](ServerHandshake::finish) verifies.
    pub(super) fn claimed_key(&self) -> &Key {
        &self.key
    }

    /// Checks the client's proof. Returns the connection's key.
    ///
    /// # Errors
    /// If the proof is invalid.
    pub fn finish(self, proof: &[u8; PROOF_BYTES]) -> Result<Key, HandshakeError> {
        if !self.key.verify(&[b"proof", &self.hello, &self.nonce], proof) {
            return Err(HandshakeError::Proof);
        }
        Ok(self.key.derive(&[b"connection", &self.hello, &self.nonce]))
    }
}
