//! Messages as authenticated datagrams: version, cluster, key name, body, truncated HMAC-SHA256 (RFC 2104).

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

use crate::member::MAX_NAME;
use crate::message::{Claim, Message};

/// The longest datagram, in bytes. It fits in one packet of any usual network.
pub const MAX_DATAGRAM: usize = 1_200;
/// The version that is written and read.
const VERSION: u8 = 1;
const CLUSTER: usize = 8;
const KEY_NAME: usize = 2;
const MAC: usize = 16;
const HEADER: usize = 1 + CLUSTER + KEY_NAME;

/// Why a datagram is refused. Nothing of it is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// Shorter than any message, or cut off.
    #[error("too short or cut off")]
    Short,
    /// Over [`MAX_DATAGRAM`].
    #[error("over {MAX_DATAGRAM} bytes")]
    Long,
    /// Written by a program that speaks another version.
    #[error("of another version")]
    Version,
    /// Of another cluster.
    #[error("of another cluster")]
    Cluster,
    /// Under a key that is not in force here.
    #[error("under an unknown key")]
    Key,
    /// Its authentication code is wrong.
    #[error("not authentic")]
    Mac,
    /// Authentic, but not a message.
    #[error("not a message")]
    Malformed,
    /// A name is too long or does not belong to its id.
    #[error("a name that is too long or of another member")]
    Name,
}

/// Encodes and decodes the datagrams of one cluster.
#[derive(Clone)]
pub struct Codec {
    cluster: [u8; CLUSTER],
    /// The first is used, all are accepted.
    keys: Vec<([u8; KEY_NAME], Vec<u8>)>,
}

impl Codec {
    /// A codec for a cluster. The first key is used, the others are accepted while the key is changed.
    ///
    /// # Panics
    /// Without a key.
    pub fn new(cluster: &str, keys: &[[u8; 32]]) -> Codec {
        assert!(!keys.is_empty(), "at least one key");
        let hash =
            |label: &[u8], bytes: &[u8]| Sha256::new().chain_update(label).chain_update(bytes).finalize();
        let mut name = [0; CLUSTER];
        name.copy_from_slice(&hash(b"stonefold cluster", cluster.as_bytes())[..CLUSTER]);
        let named = |key: &[u8; 32]| {
            let mut name = [0; KEY_NAME];
            name.copy_from_slice(&hash(b"stonefold membership key", key)[..KEY_NAME]);
            (name, key.to_vec())
        };
        Codec { cluster: name, keys: keys.iter().map(named).collect() }
    }

    /// A message as a datagram; nothing if it is too long.
    pub fn encode(&self, message: &Message) -> Option<Vec<u8>> {
        let (name, key) = &self.keys[0];
        let mut bytes = vec![VERSION];
        bytes.extend_from_slice(&self.cluster);
        bytes.extend_from_slice(name);
        let mut bytes = postcard::to_extend(message, bytes).ok()?;
        let mac = mac(key, &bytes);
        bytes.extend_from_slice(&mac.finalize().into_bytes()[..MAC]);
        (bytes.len() <= MAX_DATAGRAM).then_some(bytes)
    }

    /// A message from a datagram, all of it.
    ///
    /// # Errors
    /// Why it is refused.
    pub fn decode(&self, bytes: &[u8]) -> Result<Message, CodecError> {
        if bytes.len() > MAX_DATAGRAM {
            return Err(CodecError::Long);
        }
        let (&version, _) = bytes.split_first().ok_or(CodecError::Short)?;
        if version != VERSION {
            return Err(CodecError::Version);
        }
        if bytes.len() < HEADER + MAC {
            return Err(CodecError::Short);
        }
        let (signed, code) = bytes.split_at(bytes.len() - MAC);
        if signed[1..1 + CLUSTER] != self.cluster {
            return Err(CodecError::Cluster);
        }
        let name = &signed[1 + CLUSTER..HEADER];
        let (_, key) = self.keys.iter().find(|(known, _)| known == name).ok_or(CodecError::Key)?;
        mac(key, signed).verify_truncated_left(code).map_err(|_| CodecError::Mac)?;
        match postcard::take_from_bytes::<Message>(&signed[HEADER..]) {
            Ok((message, [])) if message.updates.iter().all(named_right) => Ok(message),
            Ok((_, [])) => Err(CodecError::Name),
            _ => Err(CodecError::Malformed),
        }
    }
}

fn mac(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("a key of any length");
    mac.update(bytes);
    mac
}

/// Whether an update's profile is of the member that it names.
fn named_right(update: &crate::message::Update) -> bool {
    match &update.claim {
        Claim::Alive(profile) | Claim::Left(profile) | Claim::Failed { profile, .. } => {
            profile.name.len() <= MAX_NAME && crate::MemberId::of(&profile.name) == update.id
        }
        Claim::Suspect { .. } => true,
    }
}
