//! Bytes on disk and between replicas: a version, then the value in postcard's form (its wire format is stable).

use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};

/// The version that is written.
pub const VERSION: u8 = 1;

/// Why bytes can't be read. Nothing is guessed from them.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum CodecError {
    /// Nothing at all.
    #[error("no bytes where {0} should be")]
    Empty(&'static str),
    /// Another version wrote it.
    #[error(
        "{what} is of version {found}; this program reads {VERSION}: use the program that wrote it, or a newer one"
    )]
    Version {
        /// What it is.
        what: &'static str,
        /// Its version.
        found: u8,
    },
    /// It is not what it should be.
    #[error("{0} is damaged: {1}")]
    Damaged(&'static str, postcard::Error),
    /// There is more than there should be.
    #[error("{0} is damaged: {1} bytes too many")]
    Longer(&'static str, usize),
    /// It has changed since it was written.
    #[error("{0} is damaged: its checksum differs")]
    Checksum(&'static str),
}

/// A value as bytes.
///
/// # Errors
/// If a value can't be written, which no type of this crate brings about.
pub fn encode<T: Serialize>(what: &'static str, value: &T) -> Result<Vec<u8>, CodecError> {
    postcard::to_extend(value, vec![VERSION]).map_err(|error| CodecError::Damaged(what, error))
}

/// A value from its bytes, all of them.
///
/// # Errors
/// If they are not the whole of a value of this version.
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

const SUM: usize = 32;

/// A value as bytes, with their SHA-256 before them.
///
/// # Errors
/// As [`encode`].
pub fn seal<T: Serialize>(what: &'static str, value: &T) -> Result<Vec<u8>, CodecError> {
    let body = encode(what, value)?;
    let mut sealed = Sha256::digest(&body).to_vec();
    sealed.extend_from_slice(&body);
    Ok(sealed)
}

/// A value from sealed bytes.
///
/// # Errors
/// If the checksum differs, and as [`decode`].
pub fn unseal<T: DeserializeOwned>(what: &'static str, bytes: &[u8]) -> Result<T, CodecError> {
    let (sum, body) = bytes.split_at_checked(SUM).ok_or(CodecError::Empty(what))?;
    match Sha256::digest(body).as_slice() == sum {
        true => decode(what, body),
        false => Err(CodecError::Checksum(what)),
    }
}
