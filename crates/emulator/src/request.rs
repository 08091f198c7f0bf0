//! Properties of a request that follow from its id, key and metadata alone, such as its work and its value.

use std::num::NonZeroUsize;
use std::sync::Mutex;

use bytes::{BufMut, BytesMut};
use lru::LruCache;
use stonefold_model::Random;
use stonefold_model::site::{ClassKind, Site};
use stonefold_proto::metadata::metadata_value;
use xxhash_rust::xxh3::xxh3_64;

use crate::lock::lock;

/// Number of requests whose misses are recorded; more than are ever open at once.
const MAX_REQUESTS: usize = 100_000;
/// Number of servers that store the value of a request after a miss.
const MAX_SERVERS_PER_REQUEST: usize = 2;

/// Returns the name of a key.
pub(crate) fn key_name(number: u64) -> String {
    format!("record:{number}")
}

/// Returns the class that a request's metadata names, or else the first.
pub(crate) fn request_class<'a>(site: &'a Site, metadata: &str) -> &'a ClassKind {
    let named =
        metadata_value(metadata, "c").and_then(|name| site.classes.iter().find(|class| class.name == name));
    named.unwrap_or(&site.classes[0])
}

/// Returns the work of a request in microseconds, which is the same at every server.
pub(crate) fn work_cost(site: &Site, class: &ClassKind, id: &[u8]) -> f64 {
    let mean = class.work.us() as f64;
    if mean == 0.0 {
        return 0.0;
    }
    Random::new(site.seed.get() as u64 ^ xxh3_64(id), 11).lognormal(mean, class.work_sigma.get())
}

/// Returns the size of a key's value, in bytes.
pub(crate) fn value_size(site: &Site, key: &str) -> u64 {
    let mean = site.keys.value.bytes() as f64;
    let drawn = Random::new(site.seed.get() as u64 ^ xxh3_64(key.as_bytes()), 12)
        .lognormal(mean, site.keys.value_sigma.get());
    (drawn as u64).min(4 << 20)
}

/// Writes the value for a request. It begins with the request's id and key, which distinguish it from the value for any
/// other request.
pub(crate) fn write_value(out: &mut BytesMut, id: &[u8], key: &str, size: u64) {
    let prefix_length = id.len() + key.len() + 2;
    out.reserve(prefix_length.max(size as usize));
    out.put_slice(id);
    out.put_u8(b':');
    out.put_slice(key.as_bytes());
    out.put_u8(b':');
    out.put_bytes(b'.', (size as usize).saturating_sub(prefix_length));
}

/// Returns the length of the value that [`write_value`] writes.
pub(crate) fn value_length(id: &[u8], key: &str, size: u64) -> usize {
    (id.len() + key.len() + 2).max(size as usize)
}

/// Whether a value was written for this request.
pub(crate) fn is_value_for(value: &[u8], id: &[u8], key: &str) -> bool {
    let rest = value.strip_prefix(id).and_then(|rest| rest.strip_prefix(b":"));
    rest.and_then(|rest| rest.strip_prefix(key.as_bytes())).is_some_and(|rest| rest.starts_with(b":"))
}

/// The servers that answered a request with a miss.
pub(crate) struct RequestMisses(Mutex<LruCache<Vec<u8>, Vec<usize>>>);

impl Default for RequestMisses {
    fn default() -> RequestMisses {
        RequestMisses(Mutex::new(LruCache::new(NonZeroUsize::new(MAX_REQUESTS).unwrap_or(NonZeroUsize::MIN))))
    }
}

impl RequestMisses {
    pub fn record(&self, id: &[u8], server: usize) {
        let mut misses = lock(&self.0);
        let servers = misses.get_or_insert_mut(id.to_vec(), Vec::new);
        if servers.len() < MAX_SERVERS_PER_REQUEST {
            servers.push(server);
        }
    }

    pub fn servers(&self, id: &[u8]) -> Vec<usize> {
        lock(&self.0).get(id).cloned().unwrap_or_default()
    }

    /// Removes and returns the servers of a request, which store its value now.
    pub fn take(&self, id: &[u8]) -> Vec<usize> {
        lock(&self.0).pop(id).unwrap_or_default()
    }
}
