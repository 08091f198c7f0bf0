//! The disk: identity, vote, log and the latest snapshot, in one redb file. What is answered for is synced before.

use std::fmt::Debug;
use std::io;
use std::ops::RangeBounds;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{AnyError, LogState, RaftLogReader, StorageIOError, Vote};
use redb::{Builder, Database, Durability, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::codec::{self, CodecError};
use crate::engine::{Entry, LogId, MemberId, SnapshotMeta, StorageError, Types};

/// Of the file as a whole: which tables there are and what stands in them.
const FORMAT: u32 = 1;
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Pages that are held in memory, in bytes.
const CACHE: usize = 1 << 20;
const FILE: &str = "store.redb";

/// Whose disk it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The cluster, drawn at random when it is made.
    pub cluster: u128,
    /// The member.
    pub member: MemberId,
}

/// Why a disk can't be used.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// There is no store yet.
    #[error("{path}: no store here; make one with `stonefold store init`", path = .0.display())]
    Missing(PathBuf),
    /// There is one already.
    #[error("{path}: there is a store here already, of member {member} of cluster {cluster:032x}", path = .path.display())]
    Exists {
        /// Where.
        path: PathBuf,
        /// Whose it is.
        member: MemberId,
        /// Of which cluster.
        cluster: u128,
    },
    /// The file's format is another version's.
    #[error("the store's file is of format {0}; this program reads {FORMAT}: use the program that wrote it")]
    Format(u32),
    /// What stands in it can't be read.
    #[error("the store's file: {0}")]
    Codec(#[from] CodecError),
    /// The database.
    #[error("the store's file: {0}")]
    Database(Box<redb::Error>),
    /// An entry is missing.
    #[error("the log has entry {found} where {wanted} should be")]
    Gap {
        /// The entry that should be there.
        wanted: u64,
        /// The one that is.
        found: u64,
    },
    /// The folder.
    #[error("{path}: {1}", path = .0.display())]
    Io(PathBuf, io::Error),
}

impl<E: Into<redb::Error>> From<E> for DiskError {
    fn from(error: E) -> DiskError {
        DiskError::Database(Box::new(error.into()))
    }
}

/// What was found on a disk that is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verified {
    /// Whose it is.
    pub identity: Identity,
    /// The first entry of the log that is kept, and how many there are.
    pub first: u64,
    /// See `first`.
    pub entries: usize,
    /// The last entry that its snapshot stands for.
    pub snapshot: Option<u64>,
}

impl std::fmt::Display for Verified {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Identity { cluster, member } = self.identity;
        write!(f, "member {member} of cluster {cluster:032x}: {} entries from {}", self.entries, self.first)?;
        match self.snapshot {
            Some(upto) => write!(f, ", a snapshot up to {upto}: whole"),
            None => write!(f, ", no snapshot yet: whole"),
        }
    }
}

type Result<T, E = DiskError> = std::result::Result<T, E>;

/// An open disk.
#[derive(Clone)]
pub struct Disk {
    database: Arc<Database>,
    identity: Identity,
    /// Whether what is answered for is synced; off only where a test shows what that does.
    durability: Durability,
}

impl Debug for Disk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Disk").field("identity", &self.identity).finish_non_exhaustive()
    }
}

fn builder() -> Builder {
    let mut builder = Builder::new();
    builder.set_cache_size(CACHE);
    builder
}

impl Disk {
    /// Makes a store in a folder, which is made too.
    ///
    /// # Errors
    /// If there is one already, or it can't be written.
    pub fn create(dir: &Path, identity: Identity) -> Result<Disk> {
        let path = dir.join(FILE);
        if path.exists() {
            let Identity { cluster, member } = Disk::open(dir)?.identity;
            return Err(DiskError::Exists { path, member, cluster });
        }
        let io = |error| DiskError::Io(dir.to_owned(), error);
        std::fs::create_dir_all(dir).map_err(io)?;
        let disk = Disk::of(builder().create(&path)?, Some(identity))?;
        // Guards against: a power cut after which the folder doesn't name the file.
        std::fs::File::open(dir).and_then(|dir| dir.sync_all()).map_err(io)?;
        Ok(disk)
    }

    /// Opens the store of a folder.
    ///
    /// # Errors
    /// If there is none, it is in use, damaged, or of another version.
    pub fn open(dir: &Path) -> Result<Disk> {
        let path = dir.join(FILE);
        match path.exists() {
            true => Disk::of(builder().open(path)?, None),
            false => Err(DiskError::Missing(path)),
        }
    }

    /// A disk on a backend of the caller's, made where it is empty.
    ///
    /// # Errors
    /// As [`open`](Disk::open).
    pub fn on(backend: impl StorageBackend, identity: Identity) -> Result<Disk> {
        Disk::of(builder().create_with_backend(backend)?, Some(identity))
    }

    /// The same disk, which from now on answers before anything is synced. For tests that show what syncing is for.
    #[doc(hidden)]
    pub fn unsynced(mut self) -> Disk {
        self.durability = Durability::None;
        self
    }

    fn of(database: Database, make: Option<Identity>) -> Result<Disk> {
        let nobody = Identity { cluster: 0, member: 0 };
        let mut disk =
            Disk { database: Arc::new(database), identity: nobody, durability: Durability::Immediate };
        let format: Option<u32> = disk.get("format")?;
        disk.identity = match (format, make) {
            (Some(FORMAT), _) => disk.get("identity")?.ok_or(CodecError::Empty("the identity"))?,
            (Some(other), _) => return Err(DiskError::Format(other)),
            (None, Some(identity)) => {
                disk.write(|write| {
                    write.open_table(LOG)?;
                    put(write, "format", &FORMAT)?;
                    put(write, "identity", &identity)
                })?;
                identity
            }
            (None, None) => return Err(CodecError::Empty("the format").into()),
        };
        Ok(disk)
    }

    /// Reads all of it: entries in their order, without a gap, and the snapshot with its checksum.
    ///
    /// # Errors
    /// The first thing that can't be read or is missing.
    pub fn verify(&self) -> Result<Verified> {
        let entries = self.entries(..)?;
        let purged: Option<LogId> = self.get("purged")?;
        let first = purged.map_or(0, |purged| purged.index + 1);
        for (entry, index) in entries.iter().zip(first..) {
            if entry.log_id.index != index {
                return Err(DiskError::Gap { wanted: index, found: entry.log_id.index });
            }
        }
        let snapshot = crate::machine::kept(self)?.and_then(|applied| applied.last).map(|last| last.index);
        Ok(Verified { identity: self.identity, first, entries: entries.len(), snapshot })
    }

    /// Whose it is.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    fn write(&self, work: impl FnOnce(&redb::WriteTransaction) -> Result<()>) -> Result<()> {
        let mut write = self.database.begin_write()?;
        write.set_durability(self.durability)?;
        work(&write)?;
        Ok(write.commit()?)
    }

    /// A value by its name.
    pub(crate) fn get<T: DeserializeOwned>(&self, name: &'static str) -> Result<Option<T>> {
        let read = self.database.begin_read()?;
        let table = match read.open_table(META) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None), // nothing was ever written
            Err(error) => return Err(error.into()),
        };
        Ok(table.get(name)?.map(|bytes| codec::decode(name, bytes.value())).transpose()?)
    }

    /// Keeps a value by its name, synced.
    pub(crate) fn put<T: Serialize>(&self, name: &'static str, value: &T) -> Result<()> {
        self.write(|write| put(write, name, value))
    }

    /// The latest snapshot: what it stands for, and its bytes as they are.
    pub(crate) fn snapshot(&self) -> Result<Option<(SnapshotMeta, Vec<u8>)>> {
        let Some(meta) = self.get("snapshot_meta")? else { return Ok(None) };
        let table = self.database.begin_read()?.open_table(META)?;
        let bytes = table.get("snapshot")?.ok_or(CodecError::Empty("the snapshot"))?;
        Ok(Some((meta, bytes.value().to_vec())))
    }

    /// Keeps a snapshot, synced, in place of the one before.
    pub(crate) fn put_snapshot(&self, meta: &SnapshotMeta, sealed: &[u8]) -> Result<()> {
        self.write(|write| {
            put(write, "snapshot_meta", meta)?;
            write.open_table(META)?.insert("snapshot", sealed)?;
            Ok(())
        })
    }

    /// Entries by their indexes, in order.
    ///
    /// # Errors
    /// If one can't be read: the replica stops then, and guesses nothing.
    pub fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry>> {
        let read = self.database.begin_read()?;
        let table = read.open_table(LOG)?;
        let decoded = table.range(range)?.map(|row| Ok(codec::decode("a log entry", row?.1.value())?));
        decoded.collect()
    }

    fn last(&self) -> Result<Option<LogId>> {
        let read = self.database.begin_read()?;
        let table = read.open_table(LOG)?;
        let Some((_, bytes)) = table.last()? else { return Ok(None) };
        Ok(Some(codec::decode::<Entry>("a log entry", bytes.value())?.log_id))
    }

    fn append(&self, entries: impl IntoIterator<Item = Entry>) -> Result<()> {
        self.write(|write| {
            let mut table = write.open_table(LOG)?;
            for entry in entries {
                table.insert(entry.log_id.index, codec::encode("a log entry", &entry)?.as_slice())?;
            }
            Ok(())
        })
    }

    fn remove(&self, range: impl RangeBounds<u64>, purged: Option<LogId>) -> Result<()> {
        self.write(|write| {
            write.open_table(LOG)?.retain_in(range, |_, _| false)?;
            purged.map_or(Ok(()), |purged| put(write, "purged", &purged))
        })
    }
}

fn put<T: Serialize>(write: &redb::WriteTransaction, name: &'static str, value: &T) -> Result<()> {
    write.open_table(META)?.insert(name, codec::encode(name, value)?.as_slice())?;
    Ok(())
}

fn reading(error: DiskError) -> StorageError {
    StorageIOError::read_logs(AnyError::new(&error)).into()
}

fn writing(error: DiskError) -> StorageError {
    StorageIOError::write_logs(AnyError::new(&error)).into()
}

impl RaftLogReader<Types> for Disk {
    async fn try_get_log_entries<R: RangeBounds<u64> + Clone + Debug + Send>(
        &mut self,
        range: R,
    ) -> Result<Vec<Entry>, StorageError> {
        self.entries(range).map_err(reading)
    }
}

impl RaftLogStorage<Types> for Disk {
    type LogReader = Disk;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError> {
        let last_purged_log_id = self.get("purged").map_err(reading)?;
        let last_log_id = self.last().map_err(reading)?.or(last_purged_log_id);
        Ok(LogState { last_purged_log_id, last_log_id })
    }

    async fn get_log_reader(&mut self) -> Disk {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<MemberId>) -> Result<(), StorageError> {
        self.put("vote", vote).map_err(|error| StorageIOError::write_vote(AnyError::new(&error)).into())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<MemberId>>, StorageError> {
        let vote: Option<Vote<MemberId>> =
            self.get("vote").map_err(|error| StorageIOError::read_vote(AnyError::new(&error)))?;
        // Guards against: a leader that restarts, leads on in its old term, and tells readers the commit index that
        // its disk last held, which may be behind what it has answered for. It has to be elected anew.
        let me = self.identity.member;
        Ok(vote.map(|vote| Vote { committed: vote.committed && vote.leader_id.node_id != me, ..vote }))
    }

    async fn save_committed(&mut self, committed: Option<LogId>) -> Result<(), StorageError> {
        // Synced, before anything is applied. Guards against: a node that after a power cut and without a quorum goes
        // by an older list or configuration than it has acted on.
        self.put("committed", &committed).map_err(writing)
    }

    async fn read_committed(&mut self) -> Result<Option<LogId>, StorageError> {
        Ok(self.get::<Option<LogId>>("committed").map_err(reading)?.flatten())
    }

    async fn append<I>(&mut self, entries: I, flushed: LogFlushed<Types>) -> Result<(), StorageError>
    where
        I: IntoIterator<Item = Entry> + Send,
        I::IntoIter: Send,
    {
        let done = Disk::append(self, entries);
        let told = done.as_ref().copied().map_err(|error| io::Error::other(error.to_string()));
        flushed.log_io_completed(told);
        done.map_err(writing)
    }

    async fn truncate(&mut self, from: LogId) -> Result<(), StorageError> {
        self.remove(from.index.., None).map_err(writing)
    }

    async fn purge(&mut self, upto: LogId) -> Result<(), StorageError> {
        self.remove(..=upto.index, Some(upto)).map_err(writing)
    }
}
