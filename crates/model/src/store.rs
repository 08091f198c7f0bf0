//! The objects of a cache server, evicted in least-recently-used order.

use lru::LruCache;

use crate::Micros;

/// Size and expiry of a cached object.
#[derive(Clone, Copy, Debug)]
struct Entry {
    size: u64,
    expires_at: Micros,
}

/// Objects by key, whose total size never exceeds the memory.
#[derive(Debug)]
pub(crate) struct ObjectStore {
    entries: LruCache<String, Entry>,
    bytes: u64,
    memory: u64,
}

impl ObjectStore {
    pub(crate) fn new(memory: u64) -> ObjectStore {
        ObjectStore { entries: LruCache::unbounded(), bytes: 0, memory }
    }

    /// Returns the size of an object and marks it as used. An expired object is removed.
    pub(crate) fn get(&mut self, now: Micros, key: &str) -> Option<u64> {
        let entry = *self.entries.get(key)?;
        if now < entry.expires_at {
            return Some(entry.size);
        }
        self.remove(key);
        None
    }

    /// Inserts an object and evicts others to make room. An object larger than the memory is not stored.
    pub(crate) fn insert(&mut self, key: &str, size: u64, expires_at: Micros) {
        self.remove(key);
        if size > self.memory {
            return;
        }
        while self.bytes + size > self.memory
            && let Some((_, evicted)) = self.entries.pop_lru()
        {
            self.bytes -= evicted.size;
        }
        self.entries.put(key.to_owned(), Entry { size, expires_at });
        self.bytes += size;
    }

    pub(crate) fn remove(&mut self, key: &str) {
        if let Some(removed) = self.entries.pop(key) {
            self.bytes -= removed.size;
        }
    }

    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(crate) fn objects(&self) -> usize {
        self.entries.len()
    }
}
