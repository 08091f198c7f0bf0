//! The errors of a replica's disk.

use std::io;
use std::path::PathBuf;

use super::FORMAT_VERSION;
use crate::codec::CodecError;
use crate::raft::MemberId;

/// The reason why a replica's disk can't be used.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The folder holds no store.
    #[error("{path}: no store here; create one with `stonefold store init`", path = .0.display())]
    Missing(PathBuf),
    /// The folder already holds a store.
    #[error("{path}: there is already a store here, of member {member} of cluster {cluster:032x}", path = .path.display())]
    Exists {
        /// The store's file.
        path: PathBuf,
        /// The member that the store belongs to.
        member: MemberId,
        /// The cluster that the store belongs to.
        cluster: u128,
    },
    /// The file's layout is of another version.
    #[error(
        "the store's file is of format version {0}; this program reads {FORMAT_VERSION}: use the program that wrote it"
    )]
    Format(u32),
    /// A value in the file can't be decoded.
    #[error("the store's file: {0}")]
    Codec(#[from] CodecError),
    /// The database failed.
    #[error("the store's file: {0}")]
    Database(Box<redb::Error>),
    /// A log entry is missing.
    #[error("the log has entry {found} where entry {expected} is expected")]
    Gap {
        /// The index of the missing entry.
        expected: u64,
        /// The index that was found instead.
        found: u64,
    },
    /// The folder can't be read or written.
    #[error("{path}: {1}", path = .0.display())]
    Io(PathBuf, io::Error),
}

impl<E: Into<redb::Error>> From<E> for DiskError {
    fn from(error: E) -> DiskError {
        DiskError::Database(Box::new(error.into()))
    }
}
