//! Snapshots of the state machine.

use openraft::RaftSnapshotBuilder;
use openraft::storage::RaftStateMachine;
use stonefold_store::codec::seal;
use stonefold_store::disk::{Disk, Identity};
use stonefold_store::raft::StoredMembership;
use stonefold_store::snapshot::open_snapshot;
use stonefold_store::state::{AdminOverride, Rejection, Reply, Revision, ServerList};
use stonefold_store::state_machine::StateMachine;
use tokio::sync::watch;

use super::{fixture, history};

const FILE: &str = "snapshot";

/// Applies the log's entries up to an index, and builds a snapshot. Returns it in its sealed form.
pub(crate) async fn build(disk: Disk, last_index: usize) -> Vec<u8> {
    let mut machine = StateMachine::new(disk, watch::channel(0).0).unwrap();
    machine.apply(history::entries().into_iter().take(last_index)).await.unwrap();
    let snapshot = machine.get_snapshot_builder().await.build_snapshot().await.unwrap();
    snapshot.snapshot.into_inner()
}

/// The sealed snapshot of all entries of the log.
async fn build_complete() -> Vec<u8> {
    let folder = tempfile::tempdir().unwrap();
    build(Disk::create(folder.path(), Identity { cluster: 9, member: 1 }).unwrap(), 10).await
}

pub(crate) async fn write_fixture() {
    fixture::write(FILE, &build_complete().await);
}

#[tokio::test]
async fn a_snapshot_is_written_as_in_the_fixture() {
    let sealed = fixture::read(FILE);
    assert_eq!(hex::encode(build_complete().await), hex::encode(&sealed));
    let opened = open_snapshot(&sealed).unwrap();
    assert_eq!(hex::encode(seal("a snapshot", &opened).unwrap()), hex::encode(&sealed));
}

#[test]
fn the_snapshot_of_the_fixture_is_read() {
    let applied = open_snapshot(&fixture::read(FILE)).unwrap();
    assert_eq!(applied.last, Some(history::log_id(10)));
    let members = StoredMembership::new(Some(history::log_id(7)), history::membership(&[1, 2]));
    assert_eq!(applied.members, members);
    let state = &applied.state;
    let revision = |revision, text: &str| Revision {
        revision,
        text: text.into(),
        author: "alice".into(),
        at_ms: 1_700_000_000_001,
    };
    let revisions: Vec<Revision> = state.history("config").cloned().collect();
    assert_eq!(revisions, [revision(2, "text 1"), revision(3, "text 2")]);
    let text = r#"[{"id":"s-1"},{"id":"s-2"}]"#.to_owned();
    assert_eq!(state.list(), Some(&ServerList { version: 9, text, learned_by: 2 }));
    let overrides = [
        ("s-1".to_owned(), AdminOverride { disabled: true, since_ms: 1_700_000_000_003 }),
        ("s-2".to_owned(), AdminOverride { disabled: false, since_ms: 1_700_000_000_004 }),
    ];
    assert_eq!(*state.overrides(), overrides.into());
    assert_eq!(state.started_at("s-1"), Some(1_700_000_000_002));
    assert_eq!(*state.removed_members(), [3].into());
    let changes = &applied.changes;
    assert_eq!((changes.list(), changes.admin_override("s-1"), changes.admin_override("s-2")), (4, 5, 9));
    assert_eq!((changes.last_purge(), changes.last_dropped_purge()), (1, 0));
    assert_eq!(changes.purges_after(0).collect::<Vec<_>>(), ["key-1"]);
}

#[test]
fn the_snapshot_of_the_fixture_has_the_clients_last_proposals() {
    let mut state = open_snapshot(&fixture::read(FILE)).unwrap().state;
    let replies = [
        (3, Reply::Applied(3)),
        (4, Reply::Applied(9)),
        (5, Reply::Rejected(Rejection::Superseded { sequence: 1, last: 2 })),
        (6, Reply::Applied(6)),
        (9, Reply::Applied(9)),
        (10, Reply::Rejected(Rejection::Conflict { expected: 2, found: 3 })),
    ];
    for (index, reply) in replies {
        assert_eq!(state.apply(20, history::proposal(index)), reply, "entry {index}");
    }
}
