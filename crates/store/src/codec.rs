//! The encoding of values on disk and on the wire: a version byte, followed by the value in postcard's stable format.

use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};

/// The version of the encoding.
pub const VERSION: u8 = 1;
/// The length of the SHA-256 checksum before a sealed value, in bytes.
const CHECKSUM_BYTES: usize = 32;

/// The reason why a value can't be decoded or encoded.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum CodecError {
    /// The value is missing, or too short to hold a checksum.
    #[error("{0} is missing or empty")]
    Empty(&'static str),
    /// The value is of another version.
    #[error(
        "{what} is of version {found}; this program reads {VERSION}: use the program that wrote it, or a newer one"
    )]
    Version {
        /// The kind of the value.
        what: &'static str,
        /// The version that was found.
        found: u8,
    },
    /// The bytes are not a value of this kind.
    #[error("{0} is damaged: {1}")]
    Damaged(&'static str, postcard::Error),
    /// More bytes follow the end of the value.
    #[error("{0} is damaged: {1} extra bytes at the end")]
    TrailingBytes(&'static str, usize),
    /// The checksum doesn't match the value.
    #[error("{0} is damaged: its checksum differs")]
    Checksum(&'static str),
}

/// Encodes a value. Error messages name the value `what`.
///
/// # Errors
/// If the value can't be encoded, which doesn't happen for this crate's types.
pub fn encode<T: Serialize>(what: &'static str, value: &T) -> Result<Vec<u8>, CodecError> {
    postcard::to_extend(value, vec![VERSION]).map_err(|error| CodecError::Damaged(what, error))
}

/// Decodes a value that has to take up all of the bytes.
///
/// # Errors
/// If the bytes are not exactly one complete value of this version.
pub fn decode<T: DeserializeOwned>(what: &'static str, bytes: &[u8]) -> Result<T, CodecError> {
    match bytes.split_first() {
        None => Err(CodecError::Empty(what)),
        Some((&VERSION, rest)) => match postcard::take_from_bytes(rest) {
            Ok((value, [])) => Ok(value),
            Ok((_, trailing)) => Err(CodecError::TrailingBytes(what, trailing.len())),
            Err(error) => Err(CodecError::Damaged(what, error)),
        },
        Some((&found, _)) => Err(CodecError::Version { what, found }),
    }
}

/// Encodes a value with a SHA-256 checksum before it.
///
/// # Errors
/// As [`encode`].
pub fn seal<T: Serialize>(what: &'static str, value: &T) -> Result<Vec<u8>, CodecError> {
    let body = encode(what, value)?;
    let mut sealed = Sha256::digest(&body).to_vec();
    sealed.extend_from_slice(&body);
    Ok(sealed)
}

/// Decodes a sealed value and checks its checksum.
///
/// # Errors
/// If the checksum doesn't match, and as [`decode`].
pub fn unseal<T: DeserializeOwned>(what: &'static str, bytes: &[u8]) -> Result<T, CodecError> {
    let (checksum, body) = bytes.split_at_checked(CHECKSUM_BYTES).ok_or(CodecError::Empty(what))?;
    if Sha256::digest(body).as_slice() != checksum {
        return Err(CodecError::Checksum(what));
    }
    decode(what, body)
}
