//! Request coalescing: of the reads that missed the same key, one fetches the value and the others wait.
//!
//! A popular key that expires is then fetched once instead of once per waiting client.
//!
//! Inputs: hashes of keys and the ids of requests, in the order in which they join.

use std::collections::HashMap;

use crate::api::RequestId;

/// The role of a read in the fetch of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FetchRole {
    /// It fetches the value, also for other reads.
    Leader,
    /// It waits for the fetch by another read.
    Waiter,
}

/// The fetches that are in progress or wait for capacity.
#[derive(Default)]
pub(crate) struct SingleFlight {
    /// The reads that wait for each fetch, by the hash of its key.
    waiters: HashMap<u64, Vec<RequestId>>,
}

impl SingleFlight {
    /// Has a read join the fetch of a key, or start it if there is none.
    pub(crate) fn join(&mut self, key: u64, request: RequestId) -> FetchRole {
        if let Some(waiters) = self.waiters.get_mut(&key) {
            waiters.push(request);
            return FetchRole::Waiter;
        }
        self.waiters.insert(key, Vec::new());
        FetchRole::Leader
    }

    /// Ends the fetch of a key and returns the reads that waited, in the order in which they joined.
    pub(crate) fn finish(&mut self, key: u64) -> Vec<RequestId> {
        self.waiters.remove(&key).unwrap_or_default()
    }

    /// Whether a fetch of this key is in progress or waiting for capacity.
    pub(crate) fn is_fetching(&self, key: u64) -> bool {
        self.waiters.contains_key(&key)
    }

    /// Has reads that waited for an earlier fetch of a key wait for the present one. They need no new
    /// timer: the one set when they began to wait is still running.
    pub(crate) fn rejoin(&mut self, key: u64, requests: impl Iterator<Item = RequestId>) {
        self.waiters.entry(key).or_default().extend(requests);
    }
}
