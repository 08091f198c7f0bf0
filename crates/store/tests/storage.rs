//! Tests of the disk: openraft's storage suite, power cuts, full disks, other versions, damage, and two processes that
//! open one file.

#[path = "sim/memory_disk.rs"]
mod memory_disk;

use memory_disk::MemoryDisk;
use openraft::entry::FromAppData;
use openraft::storage::{RaftLogStorage, RaftLogStorageExt, RaftStateMachine};
use openraft::testing::{StoreBuilder, Suite};
use openraft::{CommittedLeaderId, RaftSnapshotBuilder, Vote};
use stonefold_store::applied::AppliedState;
use stonefold_store::codec::{CodecError, decode, encode, seal, unseal};
use stonefold_store::disk::{Disk, DiskError, Identity};
use stonefold_store::raft::{Entry, LogId, StorageError, TypeConfig};
use stonefold_store::snapshot::open_snapshot;
use stonefold_store::state::{AdminOverride, Change, Proposal};
use stonefold_store::state_machine::StateMachine;
use tokio::sync::watch;

const IDENTITY: Identity = Identity { cluster: 7, member: 1 };

/// Builds an empty disk and its state machine.
struct EmptyStore;

impl StoreBuilder<TypeConfig, Disk, StateMachine, ()> for EmptyStore {
    async fn build(&self) -> Result<((), Disk, StateMachine), StorageError> {
        let disk = Disk::with_backend(MemoryDisk::default(), IDENTITY).unwrap();
        Ok(((), disk.clone(), StateMachine::new(disk, watch::channel(0).0).unwrap()))
    }
}

#[test]
fn the_disk_passes_the_storage_suite_of_openraft() {
    Suite::test_all(EmptyStore).unwrap();
}

fn entry(index: u64) -> Entry {
    let admin_override = AdminOverride { disabled: true, since_ms: index };
    let change = Change::Override { server: format!("s-{index}"), admin_override };
    let mut entry = Entry::from_app_data(Proposal { client: 1, sequence: index, change });
    entry.log_id = LogId::new(CommittedLeaderId::new(1, 1), index);
    entry
}

#[tokio::test]
async fn acknowledged_writes_survive_a_power_cut() {
    for seed in 0..60 {
        fastrand::seed(seed);
        let memory_disk = MemoryDisk::default();
        let mut disk = Disk::with_backend(memory_disk.clone(), IDENTITY).unwrap();
        disk.save_vote(&Vote::new(3, 2)).await.unwrap();
        disk.blocking_append((1..=5).map(entry)).await.unwrap();
        disk.save_committed(Some(entry(5).log_id)).await.unwrap();
        // This write is not synced before the power cut, so any part of it may be on the disk.
        disk.clone().unsynced().save_vote(&Vote::new(3, 2)).await.unwrap();
        let mut reopened = Disk::with_backend(memory_disk.after_power_cut(), IDENTITY).unwrap();
        assert_eq!(reopened.entries(..).unwrap(), (1..=5).map(entry).collect::<Vec<_>>(), "seed {seed}");
        assert_eq!(reopened.read_vote().await.unwrap(), Some(Vote::new(3, 2)));
        assert_eq!(reopened.read_committed().await.unwrap(), Some(entry(5).log_id));
    }
}

#[tokio::test]
async fn a_leader_that_restarts_has_to_be_elected_again() {
    let mut disk = Disk::with_backend(MemoryDisk::default(), IDENTITY).unwrap();
    for (leader, stays_committed) in [(1, false), (2, true)] {
        disk.save_vote(&Vote::new_committed(5, leader)).await.unwrap();
        assert_eq!(disk.read_vote().await.unwrap().unwrap().committed, stays_committed);
    }
}

#[tokio::test]
async fn a_full_disk_fails_writes_and_keeps_its_entries() {
    let memory_disk = MemoryDisk::default();
    let mut disk = Disk::with_backend(memory_disk.clone(), IDENTITY).unwrap();
    disk.blocking_append([entry(1)]).await.unwrap();
    memory_disk.full.store(true, std::sync::atomic::Ordering::Relaxed);
    let error = disk.blocking_append([entry(2)]).await.unwrap_err();
    assert!(error.to_string().contains("storage"), "{error}");
    let reopened = Disk::with_backend(memory_disk.after_power_cut(), IDENTITY).unwrap();
    assert_eq!(reopened.entries(..).unwrap(), [entry(1)]);
}

#[test]
fn other_versions_damage_and_trailing_bytes_are_decode_errors() {
    let bytes = encode("a log entry", &entry(3)).unwrap();
    assert_eq!(decode::<Entry>("a log entry", &bytes).unwrap(), entry(3));
    let mut newer = bytes.clone();
    newer[0] = 9;
    let error = decode::<Entry>("a log entry", &newer).unwrap_err();
    assert_eq!(error, CodecError::Version { what: "a log entry", found: 9 });
    assert!(error.to_string().contains("version 9"), "{error}");
    // Bytes truncated at any length, and trailing bytes, are rejected.
    assert!((0..bytes.len()).all(|end| decode::<Entry>("a log entry", &bytes[..end]).is_err()));
    assert!(decode::<Entry>("a log entry", &[&bytes[..], &[0]].concat()).is_err());
    // A variant of a change that this version doesn't know is rejected.
    let unknown = encode("a change", &(77u8, 1u8)).unwrap();
    assert!(matches!(decode::<Change>("a change", &unknown), Err(CodecError::Damaged(..))));
}

#[tokio::test]
async fn a_damaged_snapshot_is_not_installed() {
    let (mut sources, mut target) =
        ([EmptyStore.build().await.unwrap().2], EmptyStore.build().await.unwrap().2);
    sources[0].apply((1..=4).map(entry)).await.unwrap();
    let snapshot = sources[0].get_snapshot_builder().await.build_snapshot().await.unwrap();
    let sealed = snapshot.snapshot.get_ref().clone();
    for position in 0..sealed.len() {
        let (truncated, mut altered) = (sealed[..position].to_vec(), sealed.clone());
        altered[position] ^= 1;
        for damaged in [truncated, altered] {
            assert!(open_snapshot(&damaged).is_err());
        }
    }
    let truncated = Box::new(std::io::Cursor::new(sealed[..sealed.len() - 1].to_vec()));
    assert!(target.install_snapshot(&snapshot.meta, truncated).await.is_err());
    assert_eq!(target.applied_state().await.unwrap().0, None, "a damaged snapshot was applied in part");
    target.install_snapshot(&snapshot.meta, snapshot.snapshot).await.unwrap();
    assert_eq!(target.shared().read().state, sources[0].shared().read().state);
    assert_eq!(
        unseal::<AppliedState>("s", &seal("s", &AppliedState::default()).unwrap()).unwrap().last,
        None
    );
}

#[test]
fn a_folder_holds_one_store_and_only_one_process_may_open_it() {
    let dir = tempfile::tempdir().unwrap();
    assert!(matches!(Disk::open(dir.path()), Err(DiskError::Missing(_))));
    let disk = Disk::create(dir.path(), IDENTITY).unwrap();
    let busy = Disk::open(dir.path()).unwrap_err();
    assert!(busy.to_string().contains("already open"), "{busy}");
    drop(disk);
    let error = Disk::create(dir.path(), Identity { cluster: 8, member: 2 }).unwrap_err();
    assert!(matches!(error, DiskError::Exists { member: 1, cluster: 7, .. }), "{error}");
    assert_eq!(Disk::open(dir.path()).unwrap().identity(), IDENTITY);
}
