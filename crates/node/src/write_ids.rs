//! The ids of writes that may have been executed, so that a write whose id comes again is not sent a second time.
//!
//! A client gives each request an id of its own. One that leaves and sends a write again under the same id, to this
//! process or to the other one of an upgrade, must not have it executed twice. The memory is bounded: a new id takes the
//! place of an old one once there are too many.

mod file;
mod table;

use std::path::PathBuf;
use std::{env, io};

use tracing::warn;
use xxhash_rust::xxh3::xxh3_128;

use crate::handover;
use file::FileTable;
use table::{Bucket, MemoryTable};

/// The hash of an id; never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WriteId(u128);

impl WriteId {
    fn of(id: &[u8]) -> WriteId {
        WriteId(xxh3_128(id).max(1))
    }
}

/// A place where buckets of ids are stored.
trait BucketTable {
    /// Changes the bucket that an id belongs to, and returns what `change` returns.
    fn update<T>(&mut self, id: WriteId, change: impl FnOnce(&mut Bucket) -> T) -> io::Result<T>;
}

/// The ids of the latest writes of a node.
pub(crate) struct WriteIds {
    /// The ids of this process.
    memory: MemoryTable,
    /// The ids of all processes of the node, where there may be two; `None` after a failure, since each further one could
    /// hold up the node.
    file: Option<FileTable>,
}

impl WriteIds {
    /// The ids of this node. Processes that may run side by side share a file in `$TMPDIR`.
    pub(crate) fn of_node() -> WriteIds {
        let directory = env::var_os("TMPDIR").filter(|_| handover::is_passed());
        WriteIds::in_directory(directory.map(PathBuf::from))
    }

    fn in_directory(directory: Option<PathBuf>) -> WriteIds {
        let file = directory.and_then(|directory| match FileTable::open(&directory) {
            Ok(file) => Some(file),
            Err(error) => {
                warn_not_shared(&error);
                None
            }
        });
        WriteIds { memory: MemoryTable::default(), file }
    }

    /// Records an id. Returns false if it was recorded before.
    pub(crate) fn claim(&mut self, id: &[u8]) -> bool {
        let id = WriteId::of(id);
        let insert = |bucket: &mut Bucket| bucket.insert(id);
        // The file first: an id of the other process, which may yet release it, is not kept in memory.
        self.update_file(id, insert).unwrap_or(true) && self.memory.update(id, insert).unwrap_or(true)
    }

    /// Forgets an id whose write was certainly not executed.
    pub(crate) fn release(&mut self, id: &[u8]) {
        let id = WriteId::of(id);
        let remove = |bucket: &mut Bucket| bucket.remove(id);
        let _ = self.memory.update(id, remove); // memory does not fail
        self.update_file(id, remove);
    }

    /// Changes the shared file, if there is one. Uses it no more after a failure.
    fn update_file<T>(&mut self, id: WriteId, change: impl FnOnce(&mut Bucket) -> T) -> Option<T> {
        let updated = self.file.as_mut()?.update(id, change);
        if let Err(error) = &updated {
            warn_not_shared(error);
            self.file = None;
        }
        updated.ok()
    }
}

fn warn_not_shared(error: &io::Error) {
    warn!(event = "write_ids_not_shared", %error, "the ids of writes are not shared with the other process of an upgrade any more");
}

#[cfg(test)]
mod tests;
