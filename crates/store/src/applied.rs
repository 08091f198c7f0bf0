//! The state as of the last applied log entry, and how an entry is applied to it.

use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};

use openraft::EntryPayload;
use serde::{Deserialize, Serialize};

use crate::change_index::{ChangeIndex, ChangeTarget};
use crate::raft::{Entry, LogId, StoredMembership};
use crate::state::{Reply, State};

/// The replicated state, together with the last log entry that has been applied to it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AppliedState {
    /// The id of the last entry that has been applied.
    pub last: Option<LogId>,
    /// The members as of that entry.
    pub members: StoredMembership,
    /// The replicated state.
    pub state: State,
    /// The index of the entry that last changed each part of the state.
    pub changes: ChangeIndex,
}

impl AppliedState {
    /// The index of the last entry that has been applied; 0 for none.
    pub fn last_index(&self) -> u64 {
        self.last.map_or(0, |last| last.index)
    }

    /// Applies the next entry of the log.
    pub(crate) fn apply(&mut self, entry: Entry) -> Reply {
        self.last = Some(entry.log_id);
        match entry.payload {
            EntryPayload::Blank => Reply::Empty,
            EntryPayload::Normal(proposal) => {
                let index = entry.log_id.index;
                let target = ChangeTarget::of(&proposal.change);
                let reply = self.state.apply(index, proposal);
                self.changes.record(target, index, &reply, &self.state);
                reply
            }
            EntryPayload::Membership(members) => {
                let previous: Vec<_> = self.members.nodes().map(|(&id, _)| id).collect();
                let removed = previous.into_iter().filter(|id| members.get_node(id).is_none());
                self.state.remove_members(removed);
                self.members = StoredMembership::new(Some(entry.log_id), members);
                Reply::Empty
            }
        }
    }
}

/// The applied state, shared between the state machine, which changes it, and the requests that read it.
#[derive(Clone, Debug, Default)]
pub struct SharedState(Arc<RwLock<AppliedState>>);

impl SharedState {
    /// Locks the applied state for reading. No entry is applied while the guard is held, so it must be dropped soon.
    pub fn read(&self) -> RwLockReadGuard<'_, AppliedState> {
        self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the applied state.
    pub(crate) fn update<T>(&self, update: impl FnOnce(&mut AppliedState) -> T) -> T {
        update(&mut self.0.write().unwrap_or_else(PoisonError::into_inner))
    }
}
