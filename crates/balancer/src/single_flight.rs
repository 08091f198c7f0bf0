//! Request coalescing: of the reads that missed the same key, one fetches the value and the others wait.
//!
//! Keeps a popular key that expires from being fetched once per waiting client.
//!
//! Inputs: hashes of keys and the ids of requests, in the order in which they join.

use std::collections::HashMap;

use crate::api::RequestId;

/// The part of a read in the fetch of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FetchRole {
    /// It fetches the value, for others too.
    Leader,
    /// It waits for the fetch of another.
    Waiter,
}

/// Fetches in progress or waiting for capacity, by key hash, with the reads that wait for each.
#[derive(Default)]
pub(crate) struct SingleFlight {
    waiters: HashMap<u64, Vec<RequestId>>,
}

impl SingleFlight {
    /// Joins the fetch of a key, or starts one if there is none.
    pub(crate) fn join(&mut self, key: u64, request: RequestId) -> FetchRole {
        if let Some(waiters) = self.waiters.get_mut(&key) {
            waiters.push(request);
            return FetchRole::Waiter;
        }
        self.waiters.insert(key, Vec::new());
        FetchRole::Leader
    }

    /// Ends the fetch of a key and returns the reads that waited, in their order.
    pub(crate) fn finish(&mut self, key: u64) -> Vec<RequestId> {
        self.waiters.remove(&key).unwrap_or_default()
    }

    /// Whether a fetch of this key is in progress or waiting for capacity.
    pub(crate) fn is_fetching(&self, key: u64) -> bool {
        self.waiters.contains_key(&key)
    }

    /// Has reads wait for the present fetch of a key. They need no timer: that of their first wait still
    /// runs.
    pub(crate) fn rejoin(&mut self, key: u64, requests: impl Iterator<Item = RequestId>) {
        self.waiters.entry(key).or_default().extend(requests);
    }
}
