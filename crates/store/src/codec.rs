//! The encoding of values on disk and on the wire: a version byte, then the value in postcard's stable format.

use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};

/// The version of the encoding.
pub const VERSION: u8 = 1;
/// The SHA-256 before a sealed value, in bytes.
const CHECKSUM_BYTES: usize = 32;

/// Why bytes can't be decoded.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum CodecError {
    /// There are no bytes.
    #[error("no bytes where {0} should be")]
    Empty(&'static str),
    /// They are of another version.
    #[error(
        "{what} is of version {found}; this program reads {VERSION}: use the program that wrote it, or a newer one"
    )]
    Version {
        /// What the value is.
        what: &'static str,
        /// The version.
        found: u8,
    },
    /// They are not a value of this kind.
    #[error("{0} is damaged: {1}")]
    Damaged(&'static str, postcard::Error),
    /// There are more bytes than the value has.
    #[error("{0} is damaged: {1} bytes too many")]
    Longer(&'static str, usize),
    /// The checksum differs.
    #[error("{0} is damaged: its checksum differs")]
    Checksum(&'static str),
}

/// Encodes a value. Errors call it `what`.
///
/// # Errors
/// If the value can't be encoded, which doesn't happen for this crate's types.
pub fn encode<T: Serialize>(what: &'static str, value: &T) -> Result<Vec<u8>, CodecError> {
    postcard::to_extend(value, vec![VERSION]).map_err(|error| CodecError::Damaged(what, error))
}

/// Decodes a value that has to take up all of the bytes.
///
/// # Errors
/// If they are not a complete value of this version.
pub fn decode<T: DeserializeOwned>(what: &'static str, bytes: &[u8]) -> Result<T, CodecError> {
    match bytes.split_first() {
        None => Err(CodecError::Empty(what)),
        Some((&VERSION, rest)) => match postcard::take_from_bytes(rest) {
            Ok((value, [])) => Ok(value),
            Ok((_, more)) => Err(CodecError::Longer(what, more.len())),
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

/// Decodes a sealed value.
///
/// # Errors
/// If the checksum differs, and as [`decode`].
pub fn unseal<T: DeserializeOwned>(what: &'static str, bytes: &[u8]) -> Result<T, CodecError> {
    let (checksum, body) = bytes.split_at_checked(CHECKSUM_BYTES).ok_or(CodecError::Empty(what))?;
    if Sha256::digest(body).as_slice() != checksum {
        return Err(CodecError::Checksum(what));
    }
    decode(what, body)
}
