//! Buckets of ids, and a table of them in memory.

use std::io;

use super::{BucketTable, WriteId};

/// The number of ids in a bucket.
pub(super) const BUCKET_IDS: usize = 8;
/// The number of buckets of a table. With [`BUCKET_IDS`] a table has room for 65,536 ids, in 1 MiB.
pub(super) const BUCKETS: usize = 8 << 10;

/// The latest ids whose hashes select this bucket, the latest first. Free places are 0.
#[derive(Clone, Copy, Default)]
pub(super) struct Bucket(pub(super) [u128; BUCKET_IDS]);

impl Bucket {
    /// The index of the bucket of an id.
    pub(super) fn index_of(id: WriteId) -> usize {
        (id.0 % BUCKETS as u128) as usize
    }

    /// Adds an id, in place of the oldest one if the bucket is full. Returns false if it has the id already.
    pub(super) fn insert(&mut self, id: WriteId) -> bool {
        if self.0.contains(&id.0) {
            return false;
        }
        self.0.rotate_right(1);
        self.0[0] = id.0;
        true
    }

    /// Removes an id, if the bucket has it.
    pub(super) fn remove(&mut self, id: WriteId) {
        let Some(position) = self.0.iter().position(|&other| other == id.0) else { return };
        self.0[position..].rotate_left(1);
        self.0[BUCKET_IDS - 1] = 0;
    }
}

/// A table in memory, which is allocated with the first id.
#[derive(Default)]
pub(super) struct MemoryTable(Vec<Bucket>);

impl BucketTable for MemoryTable {
    fn update<T>(&mut self, id: WriteId, change: impl FnOnce(&mut Bucket) -> T) -> io::Result<T> {
        if self.0.is_empty() {
            self.0.resize(BUCKETS, Bucket::default());
        }
        Ok(change(&mut self.0[Bucket::index_of(id)]))
    }
}
