//! Encodes messages as authenticated datagrams: version, cluster id, key id, encoded message, truncated HMAC-SHA256
//! (RFC 2104).

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

use crate::member::{MAX_NAME_LEN, MemberId};
use crate::message::{Message, Update};

/// The longest datagram, in bytes. It fits in one packet of any usual network.
pub const MAX_DATAGRAM: usize = 1_200;
/// The length of a key, in bytes.
pub const KEY_LEN: usize = 32;
/// The version of the format, the only one that is written and accepted.
const VERSION: u8 = 1;
/// The length of a cluster's id in a datagram, in bytes.
const CLUSTER_ID_LEN: usize = 8;
/// The length of a key's id in a datagram, in bytes.
const KEY_ID_LEN: usize = 2;
/// The length of the truncated authentication code, in bytes.
const MAC_LEN: usize = 16;
/// The offset of the end of the cluster's id in a datagram, in bytes.
const CLUSTER_ID_END: usize = 1 + CLUSTER_ID_LEN;
/// The length of the header, which precedes the encoded message, in bytes.
const HEADER_LEN: usize = CLUSTER_ID_END + KEY_ID_LEN;

/// Why a datagram is rejected as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The datagram is shorter than any message, or truncated.
    #[error("datagram is too short or truncated")]
    TooShort,
    /// The datagram is longer than [`MAX_DATAGRAM`].
    #[error("datagram is longer than {MAX_DATAGRAM} bytes")]
    TooLong,
    /// The datagram has another version of the format.
    #[error("datagram has another protocol version")]
    UnknownVersion,
    /// The datagram belongs to another cluster.
    #[error("datagram belongs to another cluster")]
    WrongCluster,
    /// The datagram is signed with a key that this node does not have.
    #[error("datagram is signed with an unknown key")]
    UnknownKey,
    /// The datagram's authentication code is wrong.
    #[error("authentication code of the datagram is wrong")]
    BadMac,
    /// The datagram is authentic, but does not decode to a message.
    #[error("datagram does not decode to a message")]
    Malformed,
    /// A name is too long, or does not hash to its member's id.
    #[error("member name is too long or does not match the member id")]
    BadName,
}

/// A key and the id that identifies it in datagrams.
#[derive(Clone)]
struct Key {
    id: [u8; KEY_ID_LEN],
    secret: [u8; KEY_LEN],
}

impl Key {
    fn new(secret: &[u8; KEY_LEN]) -> Key {
        Key { id: labelled_hash(b"stonefold membership key", secret), secret: *secret }
    }

    fn mac(&self, bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC takes keys of any length");
        mac.update(bytes);
        mac
    }
}

/// Encodes and decodes the datagrams of one cluster.
#[derive(Clone)]
pub struct Codec {
    cluster_id: [u8; CLUSTER_ID_LEN],
    /// The first one signs; all are accepted.
    keys: Vec<Key>,
}

impl Codec {
    /// Creates the codec of a cluster. The first key signs; the others are accepted too, for key rotation.
    ///
    /// # Panics
    /// If there is no key.
    pub fn new(cluster: &str, keys: &[[u8; KEY_LEN]]) -> Codec {
        assert!(!keys.is_empty(), "a codec needs at least one key");
        let cluster_id = labelled_hash(b"stonefold cluster", cluster.as_bytes());
        Codec { cluster_id, keys: keys.iter().map(Key::new).collect() }
    }

    /// Encodes a message as a datagram; `None` if that would be longer than [`MAX_DATAGRAM`].
    pub fn encode(&self, message: &Message) -> Option<Vec<u8>> {
        let key = &self.keys[0];
        let mut header = vec![VERSION];
        header.extend_from_slice(&self.cluster_id);
        header.extend_from_slice(&key.id);
        let mut bytes = postcard::to_extend(message, header).ok()?;
        let mac = key.mac(&bytes);
        bytes.extend_from_slice(&mac.finalize().into_bytes()[..MAC_LEN]);
        (bytes.len() <= MAX_DATAGRAM).then_some(bytes)
    }

    /// Decodes a datagram and checks its authentication code.
    ///
    /// # Errors
    /// Fails if the datagram is malformed, not authentic, or not of this cluster and version.
    pub fn decode(&self, bytes: &[u8]) -> Result<Message, CodecError> {
        if bytes.len() > MAX_DATAGRAM {
            return Err(CodecError::TooLong);
        }
        let &version = bytes.first().ok_or(CodecError::TooShort)?;
        if version != VERSION {
            return Err(CodecError::UnknownVersion);
        }
        if bytes.len() < HEADER_LEN + MAC_LEN {
            return Err(CodecError::TooShort);
        }
        let (signed, mac) = bytes.split_at(bytes.len() - MAC_LEN);
        if signed[1..CLUSTER_ID_END] != self.cluster_id {
            return Err(CodecError::WrongCluster);
        }
        let key_id = &signed[CLUSTER_ID_END..HEADER_LEN];
        let key = self.keys.iter().find(|key| key.id == key_id).ok_or(CodecError::UnknownKey)?;
        key.mac(signed).verify_truncated_left(mac).map_err(|_| CodecError::BadMac)?;
        match postcard::take_from_bytes::<Message>(&signed[HEADER_LEN..]) {
            Ok((message, [])) if message.updates.iter().all(has_valid_name) => Ok(message),
            Ok((_, [])) => Err(CodecError::BadName),
            _ => Err(CodecError::Malformed),
        }
    }
}

/// The first bytes of the SHA-256 of a label followed by a value.
fn labelled_hash<const LEN: usize>(label: &[u8], value: &[u8]) -> [u8; LEN] {
    let hash = Sha256::new().chain_update(label).chain_update(value).finalize();
    let mut first = [0; LEN];
    first.copy_from_slice(&hash[..LEN]);
    first
}

/// Whether the name in an update's profile, if it has one, hashes to the update's member id and is not too long.
fn has_valid_name(update: &Update) -> bool {
    update
        .claim
        .profile()
        .is_none_or(|profile| profile.name.len() <= MAX_NAME_LEN && MemberId::of(&profile.name) == update.id)
}
