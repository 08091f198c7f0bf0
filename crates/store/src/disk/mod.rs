//! A replica's disk: its identity, vote, log and latest snapshot in one redb file. Writes are synced before they are
//! acknowledged.

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
/// The name of the store's file in its folder.
const FILE_NAME: &str = "store.redb";
/// The size of the database's page cache, in bytes.
const PAGE_CACHE_BYTES: usize = 1 << 20;
/// The table of single values, with the `KEY_` constants as keys.
const META_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// The table of log entries, with their indexes as keys.
const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// The key of the file's [`FORMAT_VERSION`].
const KEY_FORMAT: &str = "format";
/// The key of the [`Identity`].
const KEY_IDENTITY: &str = "identity";
/// The key of the vote in the current term.
const KEY_VOTE: &str = "vote";
/// The key of the last log entry known to be committed.
const KEY_COMMITTED: &str = "committed";
/// The key of the last entry that log compaction has removed. It is unrelated to
/// [`Change::Purge`](crate::state::Change::Purge).
const KEY_PURGED: &str = "purged";
/// The key of the latest snapshot's metadata, which says which entries it covers.
const KEY_SNAPSHOT_META: &str = "snapshot_meta";
/// The key of the latest snapshot, which is sealed.
const KEY_SNAPSHOT: &str = "snapshot";
/// The name of a log entry in error messages.
const LOG_ENTRY_LABEL: &str = "a log entry";

/// The cluster and the member that a disk belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The cluster's id, drawn at random when the cluster is created.
    pub cluster: u128,
    /// The member's id.
    pub member: MemberId,
}

/// The summary of a disk that was read completely and found undamaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiskSummary {
    /// The cluster and the member that it belongs to.
    pub identity: Identity,
    /// The index of the first entry in the log, after those that log compaction has removed.
    pub first: u64,
    /// The number of entries in the log.
    pub entries: usize,
    /// The index of the last entry that the snapshot covers; `None` without a snapshot.
    pub snapshot: Option<u64>,
}

impl Display for DiskSummary {
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

/// The latest snapshot as it is stored: its metadata and its sealed bytes.
pub(crate) struct StoredSnapshot {
    pub(crate) meta: SnapshotMeta,
    pub(crate) sealed: Vec<u8>,
}

type Result<T, E = DiskError> = std::result::Result<T, E>;

/// An open disk. Its clones share one database.
#[derive(Clone)]
pub struct Disk {
    database: Arc<Database>,
    identity: Identity,
    /// Whether writes are synced before they are acknowledged. Only tests that show the need for syncing turn it off.
    durability: Durability,
}

impl Debug for Disk {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Disk").field("identity", &self.identity).finish_non_exhaustive()
    }
}

fn database_builder() -> Builder {
    let mut builder = Builder::new();
    builder.set_cache_size(PAGE_CACHE_BYTES);
    builder
}

impl Disk {
    /// Creates a store in a folder. The folder is created as well if it doesn't exist.
    ///
    /// # Errors
    /// If the folder already holds a store, or can't be written.
    pub fn create(dir: &Path, identity: Identity) -> Result<Disk> {
        let path = dir.join(FILE_NAME);
        if path.exists() {
            let Identity { cluster, member } = Disk::open(dir)?.identity;
            return Err(DiskError::Exists { path, member, cluster });
        }
        let io_error = |error| DiskError::Io(dir.to_owned(), error);
        fs::create_dir_all(dir).map_err(io_error)?;
        let disk = Disk::initialize(database_builder().create(&path)?, identity)?;
        // The folder is synced too: otherwise its entry for the file could be lost in a power cut.
        File::open(dir).and_then(|dir| dir.sync_all()).map_err(io_error)?;
        Ok(disk)
    }

    /// Opens the store in a folder.
    ///
    /// # Errors
    /// If the folder holds no store, or the store is in use, damaged, or of another version.
    pub fn open(dir: &Path) -> Result<Disk> {
        let path = dir.join(FILE_NAME);
        if !path.exists() {
            return Err(DiskError::Missing(path));
        }
        let disk = Disk::uninitialized(database_builder().open(path)?);
        let identity = disk.stored_identity()?.ok_or(CodecError::Empty("the format"))?;
        Ok(Disk { identity, ..disk })
    }

    /// Opens a disk on a storage backend that the caller provides. If the backend is empty, a store is created in it.
    ///
    /// # Errors
    /// As [`open`](Disk::open).
    pub fn with_backend(backend: impl StorageBackend, identity: Identity) -> Result<Disk> {
        Disk::initialize(database_builder().create_with_backend(backend)?, identity)
    }

    /// Returns the disk with syncing turned off: it acknowledges writes before they are synced. For tests that show the
    /// need for syncing.
    #[doc(hidden)]
    pub fn unsynced(mut self) -> Disk {
        self.durability = Durability::None;
        self
    }

    /// A disk whose identity has not been read yet.
    fn uninitialized(database: Database) -> Disk {
        let identity = Identity { cluster: 0, member: 0 };
        Disk { database: Arc::new(database), identity, durability: Durability::Immediate }
    }

    /// Reads the identity of a database, or stores the given one if the database has none.
    fn initialize(database: Database, identity: Identity) -> Result<Disk> {
        let mut disk = Disk::uninitialized(database);
        if let Some(stored) = disk.stored_identity()? {
            disk.identity = stored;
            return Ok(disk);
        }
        disk.write(|transaction| {
            transaction.open_table(LOG_TABLE)?;
            put(transaction, KEY_FORMAT, &FORMAT_VERSION)?;
            put(transaction, KEY_IDENTITY, &identity)
        })?;
        disk.identity = identity;
        Ok(disk)
    }

    /// The identity stored in the database; `None` if the database has not been initialized.
    fn stored_identity(&self) -> Result<Option<Identity>> {
        match self.get(KEY_FORMAT)? {
            None => Ok(None),
            Some(FORMAT_VERSION) => {
                Ok(Some(self.get(KEY_IDENTITY)?.ok_or(CodecError::Empty("the identity"))?))
            }
            Some(other) => Err(DiskError::Format(other)),
        }
    }

    /// Reads everything on the disk, and checks that the log has no gap and that the snapshot matches its checksum.
    ///
    /// # Errors
    /// For the first value that can't be read or is missing.
    pub fn verify(&self) -> Result<DiskSummary> {
        let entries = self.entries(..)?;
        let purged: Option<LogId> = self.get(KEY_PURGED)?;
        let first = purged.map_or(0, |purged| purged.index + 1);
        for (entry, expected) in entries.iter().zip(first..) {
            if entry.log_id.index != expected {
                return Err(DiskError::Gap { expected, found: entry.log_id.index });
            }
        }
        let snapshot = self.open_snapshot()?.and_then(|applied| applied.last).map(|last| last.index);
        Ok(DiskSummary { identity: self.identity, first, entries: entries.len(), snapshot })
    }

    /// The cluster and the member that the disk belongs to.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Runs `work` in a write transaction, and commits it.
    fn write(&self, work: impl FnOnce(&redb::WriteTransaction) -> Result<()>) -> Result<()> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(self.durability)?;
        work(&transaction)?;
        Ok(transaction.commit()?)
    }

    /// Reads the value of a key in [`META_TABLE`]; `None` if it is not set.
    fn get<T: DeserializeOwned>(&self, key: &'static str) -> Result<Option<T>> {
        let transaction = self.database.begin_read()?;
        let table = match transaction.open_table(META_TABLE) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None), // nothing has ever been written
            Err(error) => return Err(error.into()),
        };
        Ok(table.get(key)?.map(|bytes| codec::decode(key, bytes.value())).transpose()?)
    }

    /// Stores the value of a key in [`META_TABLE`], synced.
    fn put<T: Serialize>(&self, key: &'static str, value: &T) -> Result<()> {
        self.write(|transaction| put(transaction, key, value))
    }

    /// Reads the latest snapshot, still sealed; `None` if there is none.
    pub(crate) fn snapshot(&self) -> Result<Option<StoredSnapshot>> {
        let Some(meta) = self.get(KEY_SNAPSHOT_META)? else { return Ok(None) };
        let table = self.database.begin_read()?.open_table(META_TABLE)?;
        let bytes = table.get(KEY_SNAPSHOT)?.ok_or(CodecError::Empty("the snapshot"))?;
        Ok(Some(StoredSnapshot { meta, sealed: bytes.value().to_vec() }))
    }

    /// Reads and decodes the latest snapshot; `None` if there is none.
    pub(crate) fn open_snapshot(&self) -> Result<Option<AppliedState>> {
        Ok(self.snapshot()?.map(|stored| open_snapshot(&stored.sealed)).transpose()?)
    }

    /// Stores a snapshot, synced, in place of the previous one.
    pub(crate) fn put_snapshot(&self, meta: &SnapshotMeta, sealed: &[u8]) -> Result<()> {
        self.write(|transaction| {
            put(transaction, KEY_SNAPSHOT_META, meta)?;
            transaction.open_table(META_TABLE)?.insert(KEY_SNAPSHOT, sealed)?;
            Ok(())
        })
    }

    /// Reads the log entries with indexes in this range, in order.
    ///
    /// # Errors
    /// If an entry can't be read. The replica stops in that case.
    pub fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry>> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(LOG_TABLE)?;
        let decoded = table.range(range)?.map(|row| Ok(codec::decode(LOG_ENTRY_LABEL, row?.1.value())?));
        decoded.collect()
    }

    fn last_log_id(&self) -> Result<Option<LogId>> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(LOG_TABLE)?;
        let Some((_, bytes)) = table.last()? else { return Ok(None) };
        Ok(Some(codec::decode::<Entry>(LOG_ENTRY_LABEL, bytes.value())?.log_id))
    }

    fn append(&self, entries: impl IntoIterator<Item = Entry>) -> Result<()> {
        self.write(|transaction| {
            let mut table = transaction.open_table(LOG_TABLE)?;
            for entry in entries {
                table.insert(entry.log_id.index, codec::encode(LOG_ENTRY_LABEL, &entry)?.as_slice())?;
            }
            Ok(())
        })
    }

    /// Removes the log entries in this range. With `purged`, also records that the log begins after that entry.
    fn remove(&self, range: impl RangeBounds<u64>, purged: Option<LogId>) -> Result<()> {
        self.write(|transaction| {
            transaction.open_table(LOG_TABLE)?.retain_in(range, |_, _| false)?;
            purged.map_or(Ok(()), |purged| put(transaction, KEY_PURGED, &purged))
        })
    }
}

/// Stores the value of a key in [`META_TABLE`], as part of a transaction.
fn put<T: Serialize>(transaction: &redb::WriteTransaction, key: &'static str, value: &T) -> Result<()> {
    transaction.open_table(META_TABLE)?.insert(key, codec::encode(key, value)?.as_slice())?;
    Ok(())
}
