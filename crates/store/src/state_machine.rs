//! The engine's state machine: it applies committed entries, and makes and installs snapshots.

use std::io::Cursor;
use std::mem;

use openraft::storage::{RaftStateMachine, Snapshot};
use openraft::{AnyError, RaftSnapshotBuilder, StorageIOError};
use tokio::sync::watch;

use crate::applied::SharedState;
use crate::codec::CodecError;
use crate::disk::{Disk, DiskError};
use crate::raft::{Entry, LogId, SnapshotMeta, StorageError, StoredMembership, TypeConfig};
use crate::snapshot::{SNAPSHOT, open_snapshot, seal_snapshot};
use crate::state::Reply;

/// The state machine of a replica.
pub struct StateMachine {
    disk: Disk,
    shared: SharedState,
    /// The index of the last applied entry.
    applied: watch::Sender<u64>,
}

impl StateMachine {
    /// The state machine of a disk, as of its latest snapshot; the engine applies the rest of the log.
    ///
    /// # Errors
    /// If the snapshot can't be read.
    pub fn new(disk: Disk, applied: watch::Sender<u64>) -> Result<StateMachine, DiskError> {
        let shared = SharedState::default();
        if let Some(snapshot) = disk.open_snapshot()? {
            shared.update(|applied| *applied = snapshot);
        }
        Ok(StateMachine { disk, shared, applied })
    }

    /// The applied state that requests read.
    pub fn shared(&self) -> SharedState {
        self.shared.clone()
    }

    fn notify(&self) {
        let index = self.shared.read().last_index();
        self.applied.send_replace(index);
    }
}

fn snapshot_error(error: &(impl std::error::Error + 'static)) -> StorageError {
    StorageIOError::write_snapshot(None, AnyError::new(error)).into()
}

impl RaftStateMachine<TypeConfig> for StateMachine {
    type SnapshotBuilder = SnapshotBuilder;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, StoredMembership), StorageError> {
        let applied = self.shared.read();
        Ok((applied.last, applied.members.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Reply>, StorageError>
    where
        I: IntoIterator<Item = Entry> + Send,
        I::IntoIter: Send,
    {
        let replies =
            self.shared.update(|applied| entries.into_iter().map(|entry| applied.apply(entry)).collect());
        self.notify();
        Ok(replies)
    }

    async fn get_snapshot_builder(&mut self) -> SnapshotBuilder {
        // Sealed at once: a copy of the state itself would cost more.
        let applied = self.shared.read();
        let last = applied.last;
        let meta = SnapshotMeta {
            last_log_id: last,
            last_membership: applied.members.clone(),
            snapshot_id: last.map_or_else(String::new, |last| format!("{}-{}", last.leader_id, last.index)),
        };
        SnapshotBuilder { disk: self.disk.clone(), meta, sealed: seal_snapshot(&applied) }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError> {
        let sealed = snapshot.into_inner();
        // Opened before anything is changed, so that a damaged snapshot leaves the state as it was.
        let opened = open_snapshot(&sealed).map_err(|error| snapshot_error(&error))?;
        self.disk.put_snapshot(meta, &sealed).map_err(|error| snapshot_error(&error))?;
        self.shared.update(|applied| *applied = opened);
        self.notify();
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<TypeConfig>>, StorageError> {
        let stored = self.disk.snapshot().map_err(|error| snapshot_error(&error))?;
        Ok(stored
            .map(|stored| Snapshot { meta: stored.meta, snapshot: Box::new(Cursor::new(stored.sealed)) }))
    }
}

/// Writes a snapshot of the state as it was when this was made.
pub struct SnapshotBuilder {
    disk: Disk,
    meta: SnapshotMeta,
    sealed: Result<Vec<u8>, CodecError>,
}

impl RaftSnapshotBuilder<TypeConfig> for SnapshotBuilder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<TypeConfig>, StorageError> {
        // The engine builds once; a second call has nothing to write.
        let sealed = mem::replace(&mut self.sealed, Err(CodecError::Empty(SNAPSHOT)));
        let sealed = sealed.map_err(|error| snapshot_error(&error))?;
        self.disk.put_snapshot(&self.meta, &sealed).map_err(|error| snapshot_error(&error))?;
        Ok(Snapshot { meta: self.meta.clone(), snapshot: Box::new(Cursor::new(sealed)) })
    }
}
