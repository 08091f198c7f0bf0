//! The consensus engine's state machine, which applies committed log entries, and builds and installs snapshots.

use std::io::Cursor;
use std::mem;

use openraft::storage::{RaftStateMachine, Snapshot};
use openraft::{AnyError, RaftSnapshotBuilder, StorageIOError};
use tokio::sync::watch;

use crate::applied::SharedState;
use crate::codec::CodecError;
use crate::disk::{Disk, DiskError};
use crate::raft::{Entry, LogId, SnapshotMeta, StorageError, StoredMembership, TypeConfig};
use crate::snapshot::{SNAPSHOT_LABEL, open_snapshot, seal_snapshot};
use crate::state::Reply;

/// The state machine of a replica.
pub struct StateMachine {
    disk: Disk,
    shared: SharedState,
    /// Publishes the index of the last applied entry.
    applied_index: watch::Sender<u64>,
}

impl StateMachine {
    /// The state machine of a replica, with the state of the latest snapshot on its disk. The engine then applies the
    /// rest of the log.
    ///
    /// # Errors
    /// If the snapshot can't be read.
    pub fn new(disk: Disk, applied_index: watch::Sender<u64>) -> Result<StateMachine, DiskError> {
        let shared = SharedState::default();
        if let Some(snapshot) = disk.open_snapshot()? {
            shared.update(|applied| *applied = snapshot);
        }
        Ok(StateMachine { disk, shared, applied_index })
    }

    /// The applied state that requests read.
    pub fn shared(&self) -> SharedState {
        self.shared.clone()
    }

    fn publish_applied_index(&self) {
        let index = self.shared.read().last_index();
        self.applied_index.send_replace(index);
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
        self.publish_applied_index();
        Ok(replies)
    }

    async fn get_snapshot_builder(&mut self) -> SnapshotBuilder {
        // The state is sealed here rather than cloned for the builder: a clone of the state would cost more.
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
        // The snapshot is decoded before anything is changed, so that a damaged one leaves the state as it was.
        let opened = open_snapshot(&sealed).map_err(|error| snapshot_error(&error))?;
        self.disk.put_snapshot(meta, &sealed).map_err(|error| snapshot_error(&error))?;
        self.shared.update(|applied| *applied = opened);
        self.publish_applied_index();
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<TypeConfig>>, StorageError> {
        let stored = self.disk.snapshot().map_err(|error| snapshot_error(&error))?;
        Ok(stored
            .map(|stored| Snapshot { meta: stored.meta, snapshot: Box::new(Cursor::new(stored.sealed)) }))
    }
}

/// Stores a snapshot of the state as of the builder's creation.
pub struct SnapshotBuilder {
    disk: Disk,
    meta: SnapshotMeta,
    sealed: Result<Vec<u8>, CodecError>,
}

impl RaftSnapshotBuilder<TypeConfig> for SnapshotBuilder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<TypeConfig>, StorageError> {
        // The engine calls this once for each builder: a second call would find nothing to write.
        let sealed = mem::replace(&mut self.sealed, Err(CodecError::Empty(SNAPSHOT_LABEL)));
        let sealed = sealed.map_err(|error| snapshot_error(&error))?;
        self.disk.put_snapshot(&self.meta, &sealed).map_err(|error| snapshot_error(&error))?;
        Ok(Snapshot { meta: self.meta.clone(), snapshot: Box::new(Cursor::new(sealed)) })
    }
}
