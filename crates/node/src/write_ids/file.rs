//! A table of ids in a file that the processes of a node share.

use std::fs::{File, OpenOptions, TryLockError};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::{Duration, Instant};
use std::{io, thread};

use super::table::{BUCKET_IDS, Bucket};
use super::{BucketTable, WriteId};

/// The name of the file. Its number is the version of the format.
const FILE_NAME: &str = "stonefold-write-ids-1";
/// The length of an id, in bytes.
const ID_BYTES: usize = size_of::<u128>();
/// The length of a bucket, in bytes.
const BUCKET_BYTES: usize = BUCKET_IDS * ID_BYTES;
/// How long the lock is waited for. The other process holds it for two system calls, unless it is held up in between.
const LOCK_TIMEOUT: Duration = Duration::from_millis(200);
/// How often the lock is tried.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// A table in a file. What of the file was never written counts as free places.
pub(super) struct FileTable(File);

impl FileTable {
    /// Opens the file in this directory, and creates it if there is none.
    pub(super) fn open(directory: &Path) -> io::Result<FileTable> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false);
        options.open(directory.join(FILE_NAME)).map(FileTable)
    }

    /// Locks the file against the other process. The kernel releases the lock of a process that is killed.
    fn lock(&self) -> io::Result<()> {
        let started = Instant::now();
        loop {
            match self.0.try_lock() {
                Ok(()) => return Ok(()),
                Err(TryLockError::Error(error)) => return Err(error),
                Err(TryLockError::WouldBlock) if started.elapsed() >= LOCK_TIMEOUT => {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Err(TryLockError::WouldBlock) => thread::sleep(LOCK_RETRY_INTERVAL),
            }
        }
    }

    fn read(&self, offset: u64) -> io::Result<Bucket> {
        let mut bytes = [0; BUCKET_BYTES];
        let mut filled = 0;
        while filled < BUCKET_BYTES {
            match self.0.read_at(&mut bytes[filled..], offset + filled as u64)? {
                0 => break, // the end of the file
                read => filled += read,
            }
        }
        let mut bucket = Bucket::default();
        for (id, bytes) in bucket.0.iter_mut().zip(bytes.as_chunks::<ID_BYTES>().0) {
            *id = u128::from_le_bytes(*bytes);
        }
        Ok(bucket)
    }

    fn write(&self, offset: u64, bucket: Bucket) -> io::Result<()> {
        let bytes: Vec<u8> = bucket.0.iter().flat_map(|id| id.to_le_bytes()).collect();
        self.0.write_all_at(&bytes, offset)
    }

    fn update_locked<T>(&self, id: WriteId, change: impl FnOnce(&mut Bucket) -> T) -> io::Result<T> {
        let offset = (Bucket::index_of(id) * BUCKET_BYTES) as u64;
        let mut bucket = self.read(offset)?;
        let result = change(&mut bucket);
        self.write(offset, bucket)?;
        Ok(result)
    }
}

impl BucketTable for FileTable {
    fn update<T>(&mut self, id: WriteId, change: impl FnOnce(&mut Bucket) -> T) -> io::Result<T> {
        self.lock()?;
        let result = self.update_locked(id, change);
        self.0.unlock()?;
        result
    }
}
