//! A subscriber's folder. It contains the state that the node used last, so that the subscriber resumes from it after a
//! restart and the node never goes back to an older state.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::codec::{self, CodecError};
use crate::feed::frame::{FrameError, Item, ItemKey};
use crate::feed::table::{EncodedItem, FeedTable};

/// The name of the file's contents in errors.
const CONTENTS: &str = "a subscriber's saved state";
const FILE_NAME: &str = "subscriber";
/// The name under which a new file is written before it replaces the previous one.
const NEW_FILE_NAME: &str = "subscriber.new";
const LOCK_FILE_NAME: &str = "lock";

/// Why a subscriber's folder can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FolderError {
    /// A file can't be read or written.
    #[error("{path}: {1}", path = .0.display())]
    Io(PathBuf, io::Error),
    /// Another process uses the folder.
    #[error("{path}: another process uses this folder", path = .0.display())]
    InUse(PathBuf),
    /// The contents are damaged or of another version.
    #[error("{path}: {1}: move the file away to start again with the publishers' state", path = .0.display())]
    Damaged(PathBuf, CodecError),
    /// An item in the contents can't be decoded.
    #[error("{path}: {1}: move the file away to start again with the publishers' state", path = .0.display())]
    Item(PathBuf, FrameError),
    /// The folder belongs to another cluster.
    #[error("{path} is of cluster {theirs:032x}, not of {ours:032x}", path = .path.display())]
    ForeignCluster {
        /// The path of the subscriber's file.
        path: PathBuf,
        /// The cluster that the folder belongs to.
        theirs: u128,
        /// The cluster that the subscriber follows.
        ours: u128,
    },
}

/// The contents of the file. The encoding is positional: it depends on the order of the fields.
#[derive(Serialize, Deserialize)]
struct Contents {
    cluster: u128,
    /// The subscriber's id, drawn at random at the first start. It determines the order in which the subscriber prefers
    /// publishers.
    subscriber: u64,
    /// The version of the newest list that the node has used, from whatever source.
    list_in_use: u64,
    /// The revision up to which the items are complete.
    revision: u64,
    /// The encoded items with their revisions.
    items: Vec<(u64, Vec<u8>)>,
}

impl Contents {
    /// Returns the table that was saved.
    fn table(&self) -> Result<FeedTable, FrameError> {
        let mut table = FeedTable::default();
        for (revision, bytes) in &self.items {
            table.put(*revision, &Item::decode(bytes)?);
        }
        table.advance(self.revision);
        Ok(table)
    }
}

/// A subscriber's folder, which is locked until this is dropped.
#[derive(Debug)]
pub struct SubscriberFolder {
    dir: PathBuf,
    subscriber: u64,
    list_in_use: u64,
    _lock: File,
}

impl SubscriberFolder {
    /// Opens a folder, creating it if it is absent, and reads the table that was saved in it.
    ///
    /// # Errors
    /// If another process uses the folder, it belongs to another cluster, or its contents can't be read.
    pub fn open(dir: &Path, cluster: u128) -> Result<(SubscriberFolder, FeedTable), FolderError> {
        let lock = lock(dir)?;
        let path = dir.join(FILE_NAME);
        let contents = read(&path)?;
        let subscriber = contents.as_ref().map_or_else(|| fastrand::u64(..), |contents| contents.subscriber);
        let list_in_use = contents.as_ref().map_or(0, |contents| contents.list_in_use);
        let table = match contents {
            None => FeedTable::default(),
            Some(contents) if contents.cluster != cluster => {
                return Err(FolderError::ForeignCluster { path, theirs: contents.cluster, ours: cluster });
            }
            Some(contents) => contents.table().map_err(|error| FolderError::Item(path, error))?,
        };
        Ok((SubscriberFolder { dir: dir.to_owned(), subscriber, list_in_use, _lock: lock }, table))
    }

    /// The subscriber's id, the same after a restart.
    pub fn subscriber(&self) -> u64 {
        self.subscriber
    }

    /// The version of the newest list that the node has used, also before the last restart; 0 for none.
    pub fn list_in_use(&self) -> u64 {
        self.list_in_use
    }

    /// Saves the items of a table and the version of the list in use. The file is replaced atomically, and is on disk
    /// when this returns.
    ///
    /// # Errors
    /// If the file can't be written. The node must not use any of this state then.
    pub fn save(
        &mut self,
        cluster: u128,
        list_in_use: u64,
        revision: u64,
        items: &BTreeMap<ItemKey, EncodedItem>,
    ) -> Result<(), FolderError> {
        let list_in_use = list_in_use.max(self.list_in_use);
        let items = items.values().map(|item| (item.revision, item.bytes.to_vec())).collect();
        let contents = Contents { cluster, subscriber: self.subscriber, list_in_use, revision, items };
        let (path, new_path) = (self.dir.join(FILE_NAME), self.dir.join(NEW_FILE_NAME));
        let sealed =
            codec::seal(CONTENTS, &contents).map_err(|error| FolderError::Damaged(path.clone(), error))?;
        let io_error = |error| FolderError::Io(path.clone(), error);
        let mut file = File::create(&new_path).map_err(io_error)?;
        file.write_all(&sealed).and_then(|()| file.sync_all()).map_err(io_error)?;
        fs::rename(&new_path, &path).and_then(|()| File::open(&self.dir)?.sync_all()).map_err(io_error)?;
        self.list_in_use = list_in_use;
        Ok(())
    }
}

/// Creates a folder if it is absent, and locks it against other processes.
fn lock(dir: &Path) -> Result<File, FolderError> {
    let io_error = |error| FolderError::Io(dir.to_owned(), error);
    fs::create_dir_all(dir).map_err(io_error)?;
    let path = dir.join(LOCK_FILE_NAME);
    let lock = OpenOptions::new().write(true).create(true).truncate(false).open(path).map_err(io_error)?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(FolderError::InUse(dir.to_owned())),
        Err(TryLockError::Error(error)) => Err(io_error(error)),
    }
}

/// Reads the file's contents. Returns `None` if there is no file yet.
fn read(path: &Path) -> Result<Option<Contents>, FolderError> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(FolderError::Io(path.to_owned(), error)),
    };
    let contents = codec::unseal(CONTENTS, &bytes);
    contents.map(Some).map_err(|error| FolderError::Damaged(path.to_owned(), error))
}
