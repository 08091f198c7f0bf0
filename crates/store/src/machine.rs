//! The state machine: the state in memory, which every replica gets to by the same entries, and its snapshots.

use std::io::Cursor;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};

use openraft::storage::{RaftStateMachine, Snapshot};
use openraft::{AnyError, EntryPayload, RaftSnapshotBuilder, StorageIOError};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::changes::{Changes, Note};
use crate::codec::{self, CodecError};
use crate::disk::{Disk, DiskError};
use crate::engine::{Entry, LogId, Membership, SnapshotMeta, StorageError, Types};
use crate::state::{Reply, State};

/// The largest snapshot that is taken over, in bytes.
pub const SNAPSHOT: usize = 16 << 20;

/// A state, and the entry it stands for.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Applied {
    /// The last entry that has been applied.
    pub last: Option<LogId>,
    /// The members as of then.
    pub members: Membership,
    /// What is kept.
    pub state: State,
    /// When it changed, for those who follow.
    pub changes: Changes,
}

/// As it was kept before anybody followed.
#[derive(Deserialize)]
struct Unfollowed {
    last: Option<LogId>,
    members: Membership,
    state: State,
}

impl From<Unfollowed> for Applied {
    fn from(Unfollowed { last, members, state }: Unfollowed) -> Applied {
        let changes = Changes::at(last.map_or(0, |last| last.index), &state);
        Applied { last, members, state, changes }
    }
}

/// The state that requests read, shared with the machine that changes it.
#[derive(Clone, Debug, Default)]
pub struct Shared(Arc<RwLock<Applied>>);

impl Shared {
    /// The state as it is applied now; hold it for no longer than a read takes.
    pub fn read(&self) -> RwLockReadGuard<'_, Applied> {
        self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn change<T>(&self, change: impl FnOnce(&mut Applied) -> T) -> T {
        change(&mut self.0.write().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Applies entries.
pub struct Machine {
    disk: Disk,
    shared: Shared,
    /// The index of the last entry applied, for whoever waits for it.
    applied: watch::Sender<u64>,
}

const WHAT: &str = "a snapshot";

impl Machine {
    /// The machine of a disk, as of its latest snapshot; the engine applies the rest of the log.
    ///
    /// # Errors
    /// If the snapshot can't be read.
    pub fn new(disk: Disk, applied: watch::Sender<u64>) -> Result<Machine, DiskError> {
        let shared = Shared::default();
        if let Some(kept) = kept(&disk)? {
            shared.change(|applied| *applied = kept);
        }
        Ok(Machine { disk, shared, applied })
    }

    /// What requests read.
    pub fn shared(&self) -> Shared {
        self.shared.clone()
    }

    fn tell(&self) {
        let index = self.shared.read().last.map_or(0, |last| last.index);
        self.applied.send_replace(index);
    }
}

/// The state of a disk's latest snapshot.
pub(crate) fn kept(disk: &Disk) -> Result<Option<Applied>, DiskError> {
    Ok(disk.snapshot()?.map(|(_, sealed)| open_snapshot(&sealed)).transpose()?)
}

fn apply(applied: &mut Applied, entry: Entry) -> Reply {
    applied.last = Some(entry.log_id);
    match entry.payload {
        EntryPayload::Blank => Reply::Nothing,
        EntryPayload::Normal(proposal) => {
            let (index, note) = (entry.log_id.index, Note::of(&proposal.change));
            let reply = applied.state.apply(index, proposal);
            applied.changes.made(note, index, &reply, &applied.state);
            reply
        }
        EntryPayload::Membership(members) => {
            let before: Vec<_> = applied.members.nodes().map(|(&id, _)| id).collect();
            applied.state.remove(before.into_iter().filter(|id| members.get_node(id).is_none()));
            applied.members = Membership::new(Some(entry.log_id), members);
            Reply::Nothing
        }
    }
}

fn failed(error: &(impl std::error::Error + 'static)) -> StorageError {
    StorageIOError::write_snapshot(None, AnyError::new(error)).into()
}

impl RaftStateMachine<Types> for Machine {
    type SnapshotBuilder = Builder;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, Membership), StorageError> {
        let applied = self.shared.read();
        Ok((applied.last, applied.members.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Reply>, StorageError>
    where
        I: IntoIterator<Item = Entry> + Send,
        I::IntoIter: Send,
    {
        let replies =
            self.shared.change(|applied| entries.into_iter().map(|entry| apply(applied, entry)).collect());
        self.tell();
        Ok(replies)
    }

    async fn get_snapshot_builder(&mut self) -> Builder {
        // Written out at once: a copy of the state itself would cost more.
        let applied = self.shared.read();
        let last = applied.last;
        let meta = SnapshotMeta {
            last_log_id: last,
            last_membership: applied.members.clone(),
            snapshot_id: last.map_or_else(String::new, |last| format!("{}-{}", last.leader_id, last.index)),
        };
        Builder { disk: self.disk.clone(), meta, sealed: codec::seal(WHAT, &*applied) }
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
        // Whole and unchanged, or nothing of it.
        let kept = open_snapshot(&sealed).map_err(|error| failed(&error))?;
        self.disk.put_snapshot(meta, &sealed).map_err(|error| failed(&error))?;
        self.shared.change(|applied| *applied = kept);
        self.tell();
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StorageError> {
        let kept = self.disk.snapshot().map_err(|error| failed(&error))?;
        Ok(kept.map(|(meta, sealed)| Snapshot { meta, snapshot: Box::new(Cursor::new(sealed)) }))
    }
}

/// Writes a snapshot of the state as it was when this was made.
pub struct Builder {
    disk: Disk,
    meta: SnapshotMeta,
    sealed: Result<Vec<u8>, CodecError>,
}

impl RaftSnapshotBuilder<Types> for Builder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StorageError> {
        // It is asked once; a second one would have nothing to write.
        let sealed = std::mem::replace(&mut self.sealed, Err(CodecError::Empty(WHAT)));
        let sealed = sealed.map_err(|error| failed(&error))?;
        self.disk.put_snapshot(&self.meta, &sealed).map_err(|error| failed(&error))?;
        Ok(Snapshot { meta: self.meta.clone(), snapshot: Box::new(Cursor::new(sealed)) })
    }
}

/// The state in a sealed snapshot, for whoever restores or inspects one.
///
/// # Errors
/// If it is damaged, cut short, or of another version.
pub fn open_snapshot(sealed: &[u8]) -> Result<Applied, CodecError> {
    // One that was written before anybody followed ends where the changes would begin.
    codec::unseal(WHAT, sealed)
        .or_else(|error| codec::unseal::<Unfollowed>(WHAT, sealed).map(Applied::from).map_err(|_| error))
}
