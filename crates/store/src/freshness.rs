//! Which list and which configuration a node may use, by their versions. Pure: the time is a parameter.
//!
//! A node never uses a list older than the last one it knows to be committed, nor a configuration older than one it has
//! used. A node that starts asks the other members first, within a timeout.

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in milliseconds.
pub type Millis = u64;

/// The versions of the list and of the configuration that a node uses; 0 for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionsInUse {
    /// The version of the list.
    pub list: u64,
    /// The revision of the configuration.
    pub config: u64,
}

/// A confirmation by the leader that takes effect once its index is applied here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingConfirmation {
    index: u64,
    requested_at: Millis,
}

/// What a node knows of how fresh its state is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Freshness {
    /// The latest list known to be committed; 0 for none.
    committed_list: u64,
    /// The latest list used; 0 for none.
    list: u64,
    /// The latest configuration used; 0 for none.
    config: u64,
    startup_deadline: Millis,
    /// The latest time at which everything that was committed then is known to be applied now.
    confirmed_at: Option<Millis>,
    started_at: Millis,
    pending: Option<PendingConfirmation>,
}

/// Whether a version may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is newer than the one in use, and may be used.
    Newer,
    /// It is in use already.
    Current,
    /// A newer one is known.
    Stale {
        /// The newest that is known.
        known: u64,
    },
}

impl Freshness {
    /// The freshness of a node that starts now, and whose disk holds this list as committed. Its startup waits for the
    /// other members until `timeout` is over.
    pub fn new(now: Millis, timeout: Millis, committed_list: u64) -> Freshness {
        Freshness {
            committed_list,
            list: 0,
            config: 0,
            startup_deadline: now.saturating_add(timeout),
            confirmed_at: None,
            started_at: now,
            pending: None,
        }
    }

    /// Notes that a list is committed.
    pub fn list_committed(&mut self, version: u64) {
        self.committed_list = self.committed_list.max(version);
    }

    /// Decides whether a list may be used, and if so notes that it is. The list may come from the store or from
    /// discovery, which may have a newer one than is committed.
    pub fn use_list(&mut self, version: u64) -> Verdict {
        let known = self.committed_list.max(self.list);
        if version < known {
            return Verdict::Stale { known };
        }
        let is_current = version == self.list;
        self.list = version;
        if is_current { Verdict::Current } else { Verdict::Newer }
    }

    /// Decides whether a configuration may be used, and if so notes that it is.
    pub fn use_config(&mut self, revision: u64) -> Verdict {
        if revision < self.config {
            return Verdict::Stale { known: self.config };
        }
        let is_current = revision == self.config;
        self.config = revision;
        if is_current { Verdict::Current } else { Verdict::Newer }
    }

    /// Notes that everything up to this index is committed, in response to a request that was sent at this time.
    pub fn read_index_received(&mut self, requested_at: Millis, index: u64) {
        self.pending = Some(match self.pending {
            Some(before) => PendingConfirmation {
                index: before.index.max(index),
                requested_at: before.requested_at.max(requested_at),
            },
            None => PendingConfirmation { index, requested_at },
        });
    }

    /// Notes that everything up to this index is applied here.
    pub fn index_applied(&mut self, index: u64) {
        if let Some(pending) = self.pending
            && index >= pending.index
        {
            self.confirmed_at = self.confirmed_at.max(Some(pending.requested_at));
            self.pending = None;
        }
    }

    /// Whether the startup is complete: confirmed by the other members, or timed out.
    pub fn startup_complete(&self, now: Millis) -> bool {
        self.confirmed_at.is_some() || now >= self.startup_deadline
    }

    /// How long ago the state was last confirmed, or the node started. It is 0 if the clock went back.
    pub fn stale_for(&self, now: Millis) -> Millis {
        now.saturating_sub(self.confirmed_at.unwrap_or(self.started_at))
    }

    /// Whether the other members have confirmed the state since the start.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// The latest list and the latest configuration used.
    pub fn in_use(&self) -> VersionsInUse {
        VersionsInUse { list: self.list, config: self.config }
    }
}
