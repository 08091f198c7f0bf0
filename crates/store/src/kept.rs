//! What a subscriber acted on, on its disk: so that after a restart it goes on from there, and never back behind it.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::codec::{self, CodecError};
use crate::feed::frame::{FrameError, Item, Key};
use crate::feed::table::{Held, Table};

const WHAT: &str = "what a subscriber keeps";
const FILE: &str = "subscriber";

/// Why a subscriber's folder can't be used.
#[derive(Debug, thiserror::Error)]
pub enum KeptError {
    /// A file.
    #[error("{path}: {1}", path = .0.display())]
    Io(PathBuf, io::Error),
    /// Another process has it.
    #[error("{path}: another process uses this folder", path = .0.display())]
    Taken(PathBuf),
    /// What is in it.
    #[error("{path}: {1}: move the file away to start anew, from what publishers hold", path = .0.display())]
    Damaged(PathBuf, CodecError),
    /// An item in it.
    #[error("{path}: {1}: move the file away to start anew, from what publishers hold", path = .0.display())]
    Item(PathBuf, FrameError),
    /// It is of another cluster.
    #[error("{path} is of cluster {theirs:032x}, not of {ours:032x}", path = .path.display())]
    Stranger {
        /// The file.
        path: PathBuf,
        /// Its cluster.
        theirs: u128,
        /// The one that is followed.
        ours: u128,
    },
}

#[derive(Serialize, Deserialize)]
struct Contents {
    cluster: u128,
    /// Drawn at the first start; by it publishers are chosen.
    subscriber: u64,
    /// The version of the newest list that the node acted on, whoever told it.
    acted: u64,
    revision: u64,
    items: Vec<(u64, Vec<u8>)>,
}

/// A subscriber's folder.
#[derive(Debug)]
pub struct Kept {
    dir: PathBuf,
    subscriber: u64,
    acted: u64,
    /// Locked for as long as this lives.
    _lock: File,
}

impl Kept {
    /// Opens a folder, which is made if it is absent: what is kept in it, and what it holds.
    ///
    /// # Errors
    /// If it is another process's or another cluster's, or can't be read.
    pub fn open(dir: &Path, cluster: u128) -> Result<(Kept, Table), KeptError> {
        let io = |error| KeptError::Io(dir.to_owned(), error);
        fs::create_dir_all(dir).map_err(io)?;
        let path = dir.join("lock");
        let lock = OpenOptions::new().write(true).create(true).truncate(false).open(path).map_err(io)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(KeptError::Taken(dir.to_owned())),
            Err(TryLockError::Error(error)) => return Err(io(error)),
        }
        let path = dir.join(FILE);
        let contents = match fs::read(&path) {
            Ok(bytes) => Some(
                codec::unseal::<Contents>(WHAT, &bytes)
                    .map_err(|error| KeptError::Damaged(path.clone(), error))?,
            ),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => return Err(KeptError::Io(path, error)),
        };
        let subscriber = contents.as_ref().map_or_else(|| fastrand::u64(..), |kept| kept.subscriber);
        let acted = contents.as_ref().map_or(0, |kept| kept.acted);
        let mut table = Table::default();
        if let Some(Contents { cluster: theirs, revision, items, .. }) = contents {
            if theirs != cluster {
                return Err(KeptError::Stranger { path, theirs, ours: cluster });
            }
            for (revision, bytes) in items {
                let item = Item::read(&bytes).map_err(|error| KeptError::Item(path.clone(), error))?;
                table.put(revision, &item);
            }
            table.advance(revision);
        }
        Ok((Kept { dir: dir.to_owned(), subscriber, acted, _lock: lock }, table))
    }

    /// Who this subscriber is, the same after a restart.
    pub fn subscriber(&self) -> u64 {
        self.subscriber
    }

    /// The version of the newest list that the node acted on in any of its lives; 0 for none.
    pub fn acted(&self) -> u64 {
        self.acted
    }

    /// Puts all that is held to disk, and which list was acted on: whole, or as it was.
    ///
    /// # Errors
    /// If it can't be written: nothing of it may be acted on then.
    pub fn write(
        &mut self,
        cluster: u128,
        acted: u64,
        revision: u64,
        items: &BTreeMap<Key, Held>,
    ) -> Result<(), KeptError> {
        let acted = acted.max(self.acted);
        let items = items.values().map(|held| (held.revision, held.bytes.to_vec())).collect();
        let contents = Contents { cluster, subscriber: self.subscriber, acted, revision, items };
        let (path, new) = (self.dir.join(FILE), self.dir.join("subscriber.new"));
        let sealed = codec::seal(WHAT, &contents).map_err(|error| KeptError::Damaged(path.clone(), error))?;
        let io = |error| KeptError::Io(path.clone(), error);
        let mut file = File::create(&new).map_err(io)?;
        file.write_all(&sealed).and_then(|()| file.sync_all()).map_err(io)?;
        fs::rename(&new, &path).and_then(|()| File::open(&self.dir)?.sync_all()).map_err(io)?;
        self.acted = acted;
        Ok(())
    }
}
