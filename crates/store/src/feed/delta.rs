//! The difference between two texts. Texts are compared in pieces, each of which ends with a `}`, so that a piece of an
//! endpoint list is one entry. The difference of any two texts can be expressed, but it is not always short.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::state::limits::MAX_LIST_BYTES;

/// The length of a text's checksum, in bytes.
const CHECKSUM_BYTES: usize = 8;

/// An operation that appends to the new text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Appends pieces of the old text.
    Copy {
        /// The index of the first piece.
        first: u32,
        /// The number of pieces.
        count: u32,
    },
    /// Appends text that the old text doesn't have.
    Insert(String),
}

/// The difference between two texts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    ops: Vec<Op>,
    /// The first bytes of the new text's SHA-256.
    checksum: [u8; CHECKSUM_BYTES],
}

/// Why a delta can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta copies pieces that the old text doesn't have: it was made for another one.
    #[error("a difference to another text")]
    Pieces,
    /// The checksum of the result differs.
    #[error("the result of a difference has another checksum than the text it was made for")]
    Checksum,
    /// The result is too long.
    #[error("the result of a difference is longer than {MAX_LIST_BYTES} bytes")]
    TooLong,
}

fn pieces(text: &str) -> Vec<&str> {
    text.split_inclusive('}').collect()
}

fn checksum(text: &str) -> [u8; CHECKSUM_BYTES] {
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&Sha256::digest(text)[..CHECKSUM_BYTES]);
    checksum
}

/// Returns the difference that turns `old` into `new`.
pub fn diff(old: &str, new: &str) -> Delta {
    let indexes: HashMap<&str, u32> = (0..).zip(pieces(old)).map(|(index, piece)| (piece, index)).collect();
    let mut ops: Vec<Op> = Vec::new();
    for piece in pieces(new) {
        match (indexes.get(piece), ops.last_mut()) {
            (Some(&index), Some(Op::Copy { first, count })) if *first + *count == index => *count += 1,
            (Some(&index), _) => ops.push(Op::Copy { first: index, count: 1 }),
            (None, Some(Op::Insert(text))) => text.push_str(piece),
            (None, _) => ops.push(Op::Insert(piece.into())),
        }
    }
    Delta { ops, checksum: checksum(new) }
}

impl Delta {
    /// Returns the new text, computed from the old one.
    ///
    /// # Errors
    /// If the delta was made for another old text, or the new text is too long.
    pub fn apply(&self, old: &str) -> Result<String, DeltaError> {
        let pieces = pieces(old);
        let mut new = String::new();
        for op in &self.ops {
            match op {
                Op::Insert(text) => new.push_str(text),
                Op::Copy { first, count } => {
                    let end = first.checked_add(*count).ok_or(DeltaError::Pieces)?;
                    let copied = pieces.get(*first as usize..end as usize).ok_or(DeltaError::Pieces)?;
                    // The length is checked before copying, as a delta of a few bytes can copy the whole text many
                    // times.
                    let bytes: usize = copied.iter().map(|piece| piece.len()).sum();
                    if new.len() + bytes > MAX_LIST_BYTES {
                        return Err(DeltaError::TooLong);
                    }
                    new.extend(copied.iter().copied());
                }
            }
            if new.len() > MAX_LIST_BYTES {
                return Err(DeltaError::TooLong);
            }
        }
        if checksum(&new) == self.checksum { Ok(new) } else { Err(DeltaError::Checksum) }
    }
}
