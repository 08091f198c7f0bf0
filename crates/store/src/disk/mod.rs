//! A replica's disk: identity, vote, log and latest snapshot in one redb file. What is acknowledged is synced before.

mod error;
mod log_storage;

use std::fmt::{self, Debug, Display, Formatter};
use std::fs::{self, File};
use std::ops::RangeBounds;
use std::path::Path;
use std::sync::Arc;

use redb::{Builder, Database, Durability, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

pub use self::error::DiskError;
use crate::applied::AppliedState;
use crate::codec::{self, CodecError};
use crate::raft::{Entry, LogId, MemberId, SnapshotMeta};
use crate::snapshot::open_snapshot;

/// The version of the file's layout: its tables, and the keys and values in them.
const FORMAT_VERSION: u32 = 1;
const FILE_NAME: &str = "store.redb";
/// The database's page cache, in bytes.
const PAGE_CACHE_BYTES: usize = 1 << 20;
/// Single values by the `KEY_` constants.
const META_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// Log entries by their index.
const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// The [`FORMAT_VERSION`] of the file.
const KEY_FORMAT: &str = "format";
/// The [`Identity`].
const KEY_IDENTITY: &str = "identity";
/// The vote in the current term.
const KEY_VOTE: &str = "vote";
/// The last entry known to be committed.
const KEY_COMMITTED: &str = "committed";
/// The last entry that log compaction has removed. Unrelated to [`Change::Purge`](crate::state::Change::Purge).
const KEY_PURGED: &str = "purged";
/// Which entries the latest snapshot covers.
const KEY_SNAPSHOT_META: &str = "snapshot_meta";
/// The latest snapshot, sealed.
const KEY_SNAPSHOT: &str = "snapshot";
/// What errors call an entry.
const LOG_ENTRY: &str = "a log entry";

/// The cluster and the member that a disk belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The cluster, drawn at random when it is made.
    pub cluster: u128,
    /// The member.
    pub member: MemberId,
}

/// The summary of an undamaged disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verified {
    /// The cluster and the member that it belongs to.
    pub identity: Identity,
    /// The index of the log's first entry.
    pub first: u64,
    /// The number of entries.
    pub entries: usize,
    /// The index of the last entry that the snapshot covers.
    pub snapshot: Option<u64>,
}

impl Display for Verified {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Identity { cluster, member } = self.identity;
        let (entries, first) = (self.entries, self.first);
        write!(formatter, "member {member} of cluster {cluster:032x}: {entries} entries from {first}")?;
        match self.snapshot {
            Some(upto) => write!(formatter, ", a snapshot up to {upto}: whole"),
            None => write!(formatter, ", no snapshot yet: whole"),
        }
    }
}

/// A stored snapshot.
pub(crate) struct StoredSnapshot {
    pub(crate) meta: SnapshotMeta,
    pub(crate) sealed: Vec<u8>,
}

type Result<T, E = DiskError> = std::result::Result<T, E>;

/// An open disk.
#[derive(Clone)]
pub struct Disk {
    database: Arc<Database>,
    identity: Identity,
    /// Whether writes are synced; off only where a test shows what syncing is for.
    durability: Durability,
}

impl Debug for Disk {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Disk").field("identity", &self.identity).finish_non_exhaustive()
    }
}

fn builder() -> Builder {
    let mut builder = Builder::new();
    builder.set_cache_size(PAGE_CACHE_BYTES);
    builder
}

impl Disk {
    /// Creates a store in a folder, and the folder too.
    ///
    /// # Errors
    /// If there is a store already, or it can't be written.
    pub fn create(dir: &Path, identity: Identity) -> Result<Disk> {
        let path = dir.join(FILE_NAME);
        if path.exists() {
            let Identity { cluster, member } = Disk::open(dir)?.identity;
            return Err(DiskError::Exists { path, member, cluster });
        }
        let io_error = |error| DiskError::Io(dir.to_owned(), error);
        fs::create_dir_all(dir).map_err(io_error)?;
        let disk = Disk::initialize(builder().create(&path)?, identity)?;
        // The folder is synced too: after a power cut it might not name the file otherwise.
        File::open(dir).and_then(|dir| dir.sync_all()).map_err(io_error)?;
        Ok(disk)
    }

    /// Opens the store of a folder.
    ///
    /// # Errors
    /// If there is none, or it is in use, damaged, or of another version.
    pub fn open(dir: &Path) -> Result<Disk> {
        let path = dir.join(FILE_NAME);
        if !path.exists() {
            return Err(DiskError::Missing(path));
        }
        let disk = Disk::uninitialized(builder().open(path)?);
        let identity = disk.stored_identity()?.ok_or(CodecError::Empty("the format"))?;
        Ok(Disk { identity, ..disk })
    }

    /// A disk on a backend of the caller's. The store is created in it if it is empty.
    ///
    /// # Errors
    /// As [`open`](Disk::open).
    pub fn with_backend(backend: impl StorageBackend, identity: Identity) -> Result<Disk> {
        Disk::initialize(builder().create_with_backend(backend)?, identity)
    }

    /// The same disk, which from now on acknowledges writes before they are synced. For tests that show what syncing is
    /// for.
    #[doc(hidden)]
    pub fn unsynced(mut self) -> Disk {
        self.durability = Durability::None;
        self
    }

    fn uninitialized(database: Database) -> Disk {
        let identity = Identity { cluster: 0, member: 0 };
        Disk { database: Arc::new(database), identity, durability: Durability::Immediate }
    }

    fn initialize(database: Database, identity: Identity) -> Result<Disk> {
        let mut disk = Disk::uninitialized(database);
        if let Some(stored) = disk.stored_identity()? {
            disk.identity = stored;
            return Ok(disk);
        }
        disk.write(|write| {
            write.open_table(LOG_TABLE)?;
            put(write, KEY_FORMAT, &FORMAT_VERSION)?;
            put(write, KEY_IDENTITY, &identity)
        })?;
        disk.identity = identity;
        Ok(disk)
    }

    /// The identity in a database that has been initialized; nothing in one that has not.
    fn stored_identity(&self) -> Result<Option<Identity>> {
        match self.get(KEY_FORMAT)? {
            None => Ok(None),
            Some(FORMAT_VERSION) => {
                Ok(Some(self.get(KEY_IDENTITY)?.ok_or(CodecError::Empty("the identity"))?))
            }
            Some(other) => Err(DiskError::Format(other)),
        }
    }

    /// Reads everything: the entries in their order and without a gap, and the snapshot with its checksum.
    ///
    /// # Errors
    /// The first value that can't be read or is missing.
    pub fn verify(&self) -> Result<Verified> {
        let entries = self.entries(..)?;
        let purged: Option<LogId> = self.get(KEY_PURGED)?;
        let first = purged.map_or(0, |purged| purged.index + 1);
        for (entry, expected) in entries.iter().zip(first..) {
            if entry.log_id.index != expected {
                return Err(DiskError::Gap { expected, found: entry.log_id.index });
            }
        }
        let snapshot = self.open_snapshot()?.and_then(|applied| applied.last).map(|last| last.index);
        Ok(Verified { identity: self.identity, first, entries: entries.len(), snapshot })
    }

    /// The cluster and the member that it belongs to.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    fn write(&self, work: impl FnOnce(&redb::WriteTransaction) -> Result<()>) -> Result<()> {
        let mut write = self.database.begin_write()?;
        write.set_durability(self.durability)?;
        work(&write)?;
        Ok(write.commit()?)
    }

    /// The value of a key.
    fn get<T: DeserializeOwned>(&self, key: &'static str) -> Result<Option<T>> {
        let read = self.database.begin_read()?;
        let table = match read.open_table(META_TABLE) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None), // nothing was ever written
            Err(error) => return Err(error.into()),
        };
        Ok(table.get(key)?.map(|bytes| codec::decode(key, bytes.value())).transpose()?)
    }

    /// Stores the value of a key, synced.
    fn put<T: Serialize>(&self, key: &'static str, value: &T) -> Result<()> {
        self.write(|write| put(write, key, value))
    }

    /// The latest snapshot, sealed.
    pub(crate) fn snapshot(&self) -> Result<Option<StoredSnapshot>> {
        let Some(meta) = self.get(KEY_SNAPSHOT_META)? else { return Ok(None) };
        let table = self.database.begin_read()?.open_table(META_TABLE)?;
        let bytes = table.get(KEY_SNAPSHOT)?.ok_or(CodecError::Empty("the snapshot"))?;
        Ok(Some(StoredSnapshot { meta, sealed: bytes.value().to_vec() }))
    }

    /// The applied state in the latest snapshot.
    pub(crate) fn open_snapshot(&self) -> Result<Option<AppliedState>> {
        Ok(self.snapshot()?.map(|stored| open_snapshot(&stored.sealed)).transpose()?)
    }

    /// Stores a snapshot, synced, in place of the last one.
    pub(crate) fn put_snapshot(&self, meta: &SnapshotMeta, sealed: &[u8]) -> Result<()> {
        self.write(|write| {
            put(write, KEY_SNAPSHOT_META, meta)?;
            write.open_table(META_TABLE)?.insert(KEY_SNAPSHOT, sealed)?;
            Ok(())
        })
    }

    /// The log's entries by their indexes, in order.
    ///
    /// # Errors
    /// If one can't be read. The replica stops then.
    pub fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry>> {
        let read = self.database.begin_read()?;
        let table = read.open_table(LOG_TABLE)?;
        let decoded = table.range(range)?.map(|row| Ok(codec::decode(LOG_ENTRY, row?.1.value())?));
        decoded.collect()
    }

    fn last_log_id(&self) -> Result<Option<LogId>> {
        let read = self.database.begin_read()?;
        let table = read.open_table(LOG_TABLE)?;
        let Some((_, bytes)) = table.last()? else { return Ok(None) };
        Ok(Some(codec::decode::<Entry>(LOG_ENTRY, bytes.value())?.log_id))
    }

    fn append(&self, entries: impl IntoIterator<Item = Entry>) -> Result<()> {
        self.write(|write| {
            let mut table = write.open_table(LOG_TABLE)?;
            for entry in entries {
                table.insert(entry.log_id.index, codec::encode(LOG_ENTRY, &entry)?.as_slice())?;
            }
            Ok(())
        })
    }

    /// Removes entries; with `purged` also records that the log begins after that one.
    fn remove(&self, range: impl RangeBounds<u64>, purged: Option<LogId>) -> Result<()> {
        self.write(|write| {
            write.open_table(LOG_TABLE)?.retain_in(range, |_, _| false)?;
            purged.map_or(Ok(()), |purged| put(write, KEY_PURGED, &purged))
        })
    }
}

fn put<T: Serialize>(write: &redb::WriteTransaction, key: &'static str, value: &T) -> Result<()> {
    write.open_table(META_TABLE)?.insert(key, codec::encode(key, value)?.as_slice())?;
    Ok(())
}
