//! What a request states, and what follows from it alone: its work, its value.

use std::num::NonZeroUsize;
use std::sync::Mutex;

use bytes::{BufMut, BytesMut};
use lru::LruCache;
use stonefold_model::Random;
use stonefold_model::site::{ClassKind, Site};
use stonefold_proto::metadata::metadata_value;
use xxhash_rust::xxh3::xxh3_64;

use crate::lock::locked;

/// Requests whose misses are remembered; more than are ever open at once.
const REMEMBERED: usize = 100_000;
/// Of those that missed for a request, so many get the value.
const STORED_AT: usize = 2;

/// A key, as it is written.
pub(crate) fn key(number: u64) -> String {
    format!("record:{number}")
}

/// The class that a request names, or else the first.
pub(crate) fn class<'a>(site: &'a Site, facts: &str) -> &'a ClassKind {
    let named =
        metadata_value(facts, "c").and_then(|name| site.classes.iter().find(|class| class.name == name));
    named.unwrap_or(&site.classes[0])
}

/// How much work a request is: the same at every server it comes to.
pub(crate) fn cost(site: &Site, class: &ClassKind, id: &[u8]) -> f64 {
    let mean = class.work.us() as f64;
    if mean == 0.0 {
        return 0.0;
    }
    Random::new(site.seed.get() as u64 ^ xxh3_64(id), 11).lognormal(mean, class.work_sigma.get())
}

/// How long a key's value is.
pub(crate) fn size(site: &Site, key: &str) -> u64 {
    let mean = site.keys.value.bytes() as f64;
    let drawn = Random::new(site.seed.get() as u64 ^ xxh3_64(key.as_bytes()), 12)
        .lognormal(mean, site.keys.value_sigma.get());
    (drawn as u64).min(4 << 20)
}

/// The value made for a request: it begins with the request's id and its key, so that another's is told from it.
pub(crate) fn value(to: &mut BytesMut, id: &[u8], key: &str, size: u64) {
    let head = id.len() + key.len() + 2;
    to.reserve(head.max(size as usize));
    to.put_slice(id);
    to.put_u8(b':');
    to.put_slice(key.as_bytes());
    to.put_u8(b':');
    to.put_bytes(b'.', (size as usize).saturating_sub(head));
}

/// The length of that value.
pub(crate) fn value_length(id: &[u8], key: &str, size: u64) -> usize {
    (id.len() + key.len() + 2).max(size as usize)
}

/// Whether a value was made for a request.
pub(crate) fn is_for(value: &[u8], id: &[u8], key: &str) -> bool {
    let rest = value.strip_prefix(id).and_then(|rest| rest.strip_prefix(b":"));
    rest.and_then(|rest| rest.strip_prefix(key.as_bytes())).is_some_and(|rest| rest.starts_with(b":"))
}

/// Which servers have said for a request that they lack its key.
pub(crate) struct Misses(Mutex<LruCache<Vec<u8>, Vec<usize>>>);

impl Default for Misses {
    fn default() -> Misses {
        Misses(Mutex::new(LruCache::new(NonZeroUsize::new(REMEMBERED).unwrap_or(NonZeroUsize::MIN))))
    }
}

impl Misses {
    pub fn note(&self, id: &[u8], server: usize) {
        let mut misses = locked(&self.0);
        let of = misses.get_or_insert_mut(id.to_vec(), Vec::new);
        if of.len() < STORED_AT {
            of.push(server);
        }
    }

    pub fn of(&self, id: &[u8]) -> Vec<usize> {
        locked(&self.0).get(id).cloned().unwrap_or_default()
    }

    /// They have the value now.
    pub fn take(&self, id: &[u8]) -> Vec<usize> {
        locked(&self.0).pop(id).unwrap_or_default()
    }
}
