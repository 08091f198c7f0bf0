//! What a cache server keeps: objects up to its memory, those used longest ago dropped first.

use lru::LruCache;

use crate::Micros;

/// An object's size, and until when it may be served.
#[derive(Clone, Copy, Debug)]
struct Kept {
    size: u64,
    until: Micros,
}

/// Objects by key, never more bytes than the memory.
#[derive(Debug)]
pub(crate) struct Store {
    kept: LruCache<String, Kept>,
    bytes: u64,
    memory: u64,
}

impl Store {
    pub fn new(memory: u64) -> Store {
        Store { kept: LruCache::unbounded(), bytes: 0, memory }
    }

    /// Uses an object; tells its size. One whose time is up is dropped.
    pub fn get(&mut self, now: Micros, key: &str) -> Option<u64> {
        let kept = *self.kept.get(key)?;
        if now < kept.until {
            return Some(kept.size);
        }
        self.drop(key);
        None
    }

    /// Keeps an object, and drops others for it; one larger than the memory is not kept.
    pub fn put(&mut self, key: &str, size: u64, until: Micros) {
        self.drop(key);
        if size > self.memory {
            return;
        }
        while self.bytes + size > self.memory
            && let Some((_, old)) = self.kept.pop_lru()
        {
            self.bytes -= old.size;
        }
        self.kept.put(key.to_owned(), Kept { size, until });
        self.bytes += size;
    }

    pub fn drop(&mut self, key: &str) {
        if let Some(old) = self.kept.pop(key) {
            self.bytes -= old.size;
        }
    }

    pub fn clear(&mut self) {
        self.kept.clear();
        self.bytes = 0;
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }
    pub fn objects(&self) -> usize {
        self.kept.len()
    }
}
