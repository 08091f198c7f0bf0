//! Decides by version which endpoint list and which configuration a node may use. Pure code: the time is a parameter.
//!
//! A node never uses a list older than the latest one that it knows to be committed or has used, nor a configuration
//! older than one it has used. A node that starts first waits, up to a timeout, for the other members to confirm what
//! is committed.

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

/// A confirmation by the leader, which takes effect once this node has applied the entry with its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingConfirmation {
    /// The index up to which everything was committed, as the leader stated.
    index: u64,
    /// The time at which the confirmation was requested.
    requested_at: Millis,
}

/// What a node knows about the freshness of its state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Freshness {
    /// The version of the latest list known to be committed; 0 for none.
    committed_list: u64,
    /// The version of the latest list used; 0 for none.
    list: u64,
    /// The revision of the latest configuration used; 0 for none.
    config: u64,
    /// The time at which the startup is complete even without a confirmation.
    startup_deadline: Millis,
    /// The latest point in time for which everything committed by then is known to be applied on this node.
    confirmed_at: Option<Millis>,
    started_at: Millis,
    pending: Option<PendingConfirmation>,
}

/// The result of checking whether a version may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionCheck {
    /// The version is newer than the one in use, and may be used.
    Newer,
    /// The version is already in use.
    Current,
    /// A newer version is known, so this one may not be used.
    Stale {
        /// The newest known version.
        known: u64,
    },
}

impl Freshness {
    /// The freshness of a node that starts at `now`, and on whose disk `committed_list` is the version of the committed
    /// list. Its startup waits for the other members for `timeout` at most.
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

    /// Records that a list is committed.
    pub fn list_committed(&mut self, version: u64) {
        self.committed_list = self.committed_list.max(version);
    }

    /// Decides whether a list may be used, and if so records it as in use. The list may come from the store, or from
    /// discovery, whose list may be newer than the committed one.
    pub fn use_list(&mut self, version: u64) -> VersionCheck {
        let known = self.committed_list.max(self.list);
        if version < known {
            return VersionCheck::Stale { known };
        }
        let is_current = version == self.list;
        self.list = version;
        if is_current { VersionCheck::Current } else { VersionCheck::Newer }
    }

    /// Decides whether a configuration may be used, and if so records it as in use.
    pub fn use_config(&mut self, revision: u64) -> VersionCheck {
        if revision < self.config {
            return VersionCheck::Stale { known: self.config };
        }
        let is_current = revision == self.config;
        self.config = revision;
        if is_current { VersionCheck::Current } else { VersionCheck::Newer }
    }

    /// Records the leader's answer to a request that was sent at `requested_at`: the index up to which everything is
    /// committed.
    pub fn read_index_received(&mut self, requested_at: Millis, index: u64) {
        self.pending = Some(match self.pending {
            Some(pending) => PendingConfirmation {
                index: pending.index.max(index),
                requested_at: pending.requested_at.max(requested_at),
            },
            None => PendingConfirmation { index, requested_at },
        });
    }

    /// Records that this node has applied everything up to this index.
    pub fn index_applied(&mut self, index: u64) {
        if let Some(pending) = self.pending
            && index >= pending.index
        {
            self.confirmed_at = self.confirmed_at.max(Some(pending.requested_at));
            self.pending = None;
        }
    }

    /// Whether the startup is complete: the other members have confirmed the state, or the startup has timed out.
    pub fn startup_complete(&self, now: Millis) -> bool {
        self.confirmed_at.is_some() || now >= self.startup_deadline
    }

    /// The time since the state was last confirmed, or since the node started if it never was. It is 0 if the clock
    /// went back.
    pub fn stale_for(&self, now: Millis) -> Millis {
        now.saturating_sub(self.confirmed_at.unwrap_or(self.started_at))
    }

    /// Whether the other members have confirmed the state since the start.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// The versions of the list and of the configuration in use.
    pub fn in_use(&self) -> VersionsInUse {
        VersionsInUse { list: self.list, config: self.config }
    }
}
