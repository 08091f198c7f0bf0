//! The handshake, in which both sides prove that they have a key, each over a nonce of the other's, so that no message can
//! be replayed. Pure: bytes of fixed lengths in, bytes out.
//!
//! The client, which has connected, sends a magic word, the key's id and a nonce. The server answers with a nonce and a
//! proof over all of it. Then comes the client's proof. Each proof names its side, so that none can be sent back.

use super::keys::{KEY_ID_BYTES, Key, Keys, MAC_BYTES};

/// Names the protocol and its version.
const MAGIC: &[u8; MAGIC_BYTES] = b"SFR1";
/// The length of [`MAGIC`].
const MAGIC_BYTES: usize = 4;
/// Random bytes that each side draws.
pub(super) const NONCE_BYTES: usize = 32;
/// Where the client's nonce begins in its hello.
const HELLO_NONCE_OFFSET: usize = MAGIC_BYTES + KEY_ID_BYTES;
/// The length of the client's first message.
pub const HELLO_BYTES: usize = HELLO_NONCE_OFFSET + NONCE_BYTES;
/// The length of the server's answer.
pub const WELCOME_BYTES: usize = NONCE_BYTES + MAC_BYTES;
/// The length of the client's proof.
pub const PROOF_BYTES: usize = MAC_BYTES;

/// Why a handshake fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeError {
    /// The other side speaks another protocol.
    #[error("the other side speaks another protocol or version")]
    Protocol,
    /// The other side uses a key that this side doesn't have.
    #[error("the other side uses a key that is not known here")]
    UnknownKey,
    /// The other side's proof is wrong.
    #[error("the other side has not proved that it has the key")]
    Proof,
}

/// The client's side, once it has sent its hello.
pub struct ClientHandshake {
    key: Key,
    hello: [u8; HELLO_BYTES],
}

impl ClientHandshake {
    /// Begins a handshake; the hello is to be sent.
    pub fn new(keys: &Keys, nonce: [u8; NONCE_BYTES]) -> (ClientHandshake, [u8; HELLO_BYTES]) {
        let key = keys.first().clone();
        let mut hello = [0; HELLO_BYTES];
        hello[..MAGIC_BYTES].copy_from_slice(MAGIC);
        hello[MAGIC_BYTES..HELLO_NONCE_OFFSET].copy_from_slice(&key.id());
        hello[HELLO_NONCE_OFFSET..].copy_from_slice(&nonce);
        (ClientHandshake { key, hello }, hello)
    }

    /// Checks the server's answer. The connection's key, and the proof that is to be sent.
    ///
    /// # Errors
    /// If the server doesn't have the key.
    pub fn finish(self, welcome: &[u8; WELCOME_BYTES]) -> Result<(Key, [u8; PROOF_BYTES]), HandshakeError> {
        let (nonce, proof) = welcome.split_at(NONCE_BYTES);
        if !self.key.verify(&[b"welcome", &self.hello, nonce], proof) {
            return Err(HandshakeError::Proof);
        }
        let own_proof = self.key.mac(&[b"proof", &self.hello, nonce]);
        Ok((self.key.derive(&[b"connection", &self.hello, nonce]), own_proof))
    }
}

/// The server's side, once it has received the client's hello.
pub struct ServerHandshake {
    key: Key,
    hello: [u8; HELLO_BYTES],
    nonce: [u8; NONCE_BYTES],
}

impl ServerHandshake {
    /// Begins a handshake with a client's hello; the welcome is to be sent.
    ///
    /// # Errors
    /// If the hello is invalid, or names a key that is not known here.
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

    /// The key that the client claims to have.
    pub(super) fn claimed_key(&self) -> &Key {
        &self.key
    }

    /// Checks the client's proof; the connection's key.
    ///
    /// # Errors
    /// If the proof is wrong.
    pub fn finish(self, proof: &[u8; PROOF_BYTES]) -> Result<Key, HandshakeError> {
        if !self.key.verify(&[b"proof", &self.hello, &self.nonce], proof) {
            return Err(HandshakeError::Proof);
        }
        Ok(self.key.derive(&[b"connection", &self.hello, &self.nonce]))
    }
}
