//! A text as what differs from an older one. Pieces end at each `}`, so that in a list of servers a piece is an entry;
//! any text can be told so, some not shortly.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::state::LIST;

/// What makes the new text, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Pieces of the old text.
    Copy {
        /// The first of them, from 0.
        first: u32,
        /// How many.
        count: u32,
    },
    /// A text that is new.
    Insert(String),
}

/// The difference of two texts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    ops: Vec<Op>,
    /// Of the new text: the first bytes of its SHA-256.
    sum: [u8; 8],
}

/// Why a difference can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// It takes pieces that the old text does not have.
    #[error("a difference to another text")]
    Pieces,
    /// What comes out is not what was meant.
    #[error("a difference that does not give the text it was made for")]
    Sum,
    /// What comes out is too long.
    #[error("a difference that gives more than {LIST} bytes")]
    TooLong,
}

fn pieces(text: &str) -> Vec<&str> {
    text.split_inclusive('}').collect()
}

fn sum(text: &str) -> [u8; 8] {
    let mut sum = [0; 8];
    sum.copy_from_slice(&Sha256::digest(text)[..8]);
    sum
}

/// What makes `new` of `old`.
pub fn diff(old: &str, new: &str) -> Delta {
    let places: HashMap<&str, u32> = (0..).zip(pieces(old)).map(|(place, piece)| (piece, place)).collect();
    let mut ops: Vec<Op> = Vec::new();
    for piece in pieces(new) {
        match (places.get(piece), ops.last_mut()) {
            (Some(&place), Some(Op::Copy { first, count })) if *first + *count == place => *count += 1,
            (Some(&place), _) => ops.push(Op::Copy { first: place, count: 1 }),
            (None, Some(Op::Insert(text))) => text.push_str(piece),
            (None, _) => ops.push(Op::Insert(piece.into())),
        }
    }
    Delta { ops, sum: sum(new) }
}

impl Delta {
    /// The new text.
    ///
    /// # Errors
    /// If this was not made for the old one, or the new one is too long.
    pub fn apply(&self, old: &str) -> Result<String, DeltaError> {
        let pieces = pieces(old);
        let mut new = String::new();
        for op in &self.ops {
            match op {
                Op::Insert(text) => new.push_str(text),
                Op::Copy { first, count } => {
                    let end = first.checked_add(*count).ok_or(DeltaError::Pieces)?;
                    let copied = pieces.get(*first as usize..end as usize).ok_or(DeltaError::Pieces)?;
                    // Guards against: a few bytes that copy the whole again and again.
                    let bytes: usize = copied.iter().map(|piece| piece.len()).sum();
                    if new.len() + bytes > LIST {
                        return Err(DeltaError::TooLong);
                    }
                    new.extend(copied.iter().copied());
                }
            }
            if new.len() > LIST {
                return Err(DeltaError::TooLong);
            }
        }
        if sum(&new) == self.sum { Ok(new) } else { Err(DeltaError::Sum) }
    }
}
