//! Stores the consensus engine's log and vote on a [`Disk`].

use std::fmt::Debug;
use std::io;
use std::ops::RangeBounds;

use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{AnyError, LogState, RaftLogReader, StorageIOError, Vote};

use super::{Disk, DiskError, KEY_COMMITTED, KEY_PURGED, KEY_VOTE};
use crate::raft::{Entry, LogId, MemberId, StorageError, TypeConfig};

fn read_error(error: DiskError) -> StorageError {
    StorageIOError::read_logs(AnyError::new(&error)).into()
}

fn write_error(error: DiskError) -> StorageError {
    StorageIOError::write_logs(AnyError::new(&error)).into()
}

impl RaftLogReader<TypeConfig> for Disk {
    async fn try_get_log_entries<R: RangeBounds<u64> + Clone + Debug + Send>(
        &mut self,
        range: R,
    ) -> Result<Vec<Entry>, StorageError> {
        self.entries(range).map_err(read_error)
    }
}

impl RaftLogStorage<TypeConfig> for Disk {
    type LogReader = Disk;

    async fn get_log_state(&mut self) -> Result<LogState<TypeConfig>, StorageError> {
        let last_purged_log_id = self.get(KEY_PURGED).map_err(read_error)?;
        let last_log_id = self.last_log_id().map_err(read_error)?.or(last_purged_log_id);
        Ok(LogState { last_purged_log_id, last_log_id })
    }

    async fn get_log_reader(&mut self) -> Disk {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<MemberId>) -> Result<(), StorageError> {
        self.put(KEY_VOTE, vote).map_err(|error| StorageIOError::write_vote(AnyError::new(&error)).into())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<MemberId>>, StorageError> {
        let vote: Option<Vote<MemberId>> =
            self.get(KEY_VOTE).map_err(|error| StorageIOError::read_vote(AnyError::new(&error)))?;
        // A leader that restarts has to be elected again, so its own vote is returned as not committed. If it went on
        // as the leader of its old term, it would report to readers the commit index on its disk, which may be behind
        // what it has acknowledged.
        let own_id = self.identity.member;
        Ok(vote.map(|vote| Vote { committed: vote.committed && vote.leader_id.node_id != own_id, ..vote }))
    }

    async fn save_committed(&mut self, committed: Option<LogId>) -> Result<(), StorageError> {
        // The index is synced before anything is applied, so that a node that restarts after a power cut without a
        // quorum doesn't use an older list or configuration than it has used before.
        self.put(KEY_COMMITTED, &committed).map_err(write_error)
    }

    async fn read_committed(&mut self) -> Result<Option<LogId>, StorageError> {
        Ok(self.get::<Option<LogId>>(KEY_COMMITTED).map_err(read_error)?.flatten())
    }

    async fn append<I>(&mut self, entries: I, flushed: LogFlushed<TypeConfig>) -> Result<(), StorageError>
    where
        I: IntoIterator<Item = Entry> + Send,
        I::IntoIter: Send,
    {
        let result = Disk::append(self, entries);
        let completion = result.as_ref().copied().map_err(|error| io::Error::other(error.to_string()));
        flushed.log_io_completed(completion);
        result.map_err(write_error)
    }

    async fn truncate(&mut self, from: LogId) -> Result<(), StorageError> {
        self.remove(from.index.., None).map_err(write_error)
    }

    async fn purge(&mut self, upto: LogId) -> Result<(), StorageError> {
        self.remove(..=upto.index, Some(upto)).map_err(write_error)
    }
}
