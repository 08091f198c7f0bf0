//! The replica's database file: identity, vote, log and snapshot.
//!
//! One fixture is the file: its length and its pages, without the empty ones, which are most of them. The program has
//! to read this file, but may write other pages. A second fixture has the rows of the database's tables, which the
//! program has to write byte for byte.

use std::fs;
use std::path::Path;

use openraft::Vote;
use openraft::storage::{RaftLogStorage, RaftLogStorageExt};
use redb::{Builder, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use stonefold_store::disk::{Disk, DiskSummary, Identity};
use stonefold_store::snapshot::open_snapshot;
use stonefold_store::state_machine::StateMachine;
use tokio::sync::watch;

use super::fixture::{self, Table};
use super::{history, snapshot};

const PAGES_FILE: &str = "store.redb.pages";
const ROWS_FILE: &str = "store_rows.hex";
const DATABASE_FILE: &str = "store.redb";
const PAGE_BYTES: usize = 4096;
const IDENTITY: Identity = Identity { cluster: 9, member: 1 };

/// Creates a replica's disk in a folder, as a replica leaves it that has applied, snapshotted and purged parts of its
/// log.
async fn create(folder: &Path) {
    let mut disk = Disk::create(folder, IDENTITY).unwrap();
    disk.save_vote(&Vote::new_committed(3, 2)).await.unwrap();
    disk.blocking_append(history::entries()).await.unwrap();
    disk.save_committed(Some(history::log_id(8))).await.unwrap();
    snapshot::build(disk.clone(), 6).await;
    disk.purge(history::log_id(4)).await.unwrap();
}

/// The fixture of a database file: its length, and the number and the bytes of each page that isn't empty.
fn pages(file: &[u8]) -> Vec<u8> {
    let mut pages = (file.len() as u64).to_be_bytes().to_vec();
    for (number, page) in (0u64..).zip(file.chunks(PAGE_BYTES)) {
        if page.iter().any(|byte| *byte != 0) {
            pages.extend_from_slice(&number.to_be_bytes());
            pages.extend_from_slice(page);
        }
    }
    pages
}

/// Writes the database file of the fixture into a folder.
fn unpack(folder: &Path) {
    let pages = fixture::read(PAGES_FILE);
    let number = |bytes: &[u8]| u64::from_be_bytes(bytes.try_into().unwrap()) as usize;
    let (length, pages) = pages.split_at(8);
    let mut file = vec![0; number(length)];
    for page in pages.chunks(8 + PAGE_BYTES) {
        let start = number(&page[..8]) * PAGE_BYTES;
        file[start..start + PAGE_BYTES].copy_from_slice(&page[8..]);
    }
    fs::write(folder.join(DATABASE_FILE), file).unwrap();
}

/// All rows of the database's tables, by table and key.
fn rows(folder: &Path) -> Table {
    let database = Builder::new().open(folder.join(DATABASE_FILE)).unwrap();
    let read = database.begin_read().unwrap();
    let mut tables: Vec<String> = read.list_tables().unwrap().map(|table| table.name().to_owned()).collect();
    tables.sort();
    assert_eq!(tables, ["log", "meta"]);
    let meta = read.open_table(TableDefinition::<&str, &[u8]>::new("meta")).unwrap();
    let log = read.open_table(TableDefinition::<u64, &[u8]>::new("log")).unwrap();
    let meta = meta.iter().unwrap().map(|row| {
        let (key, value) = row.unwrap();
        (format!("meta/{}", key.value()), value.value().to_vec())
    });
    let log = log.iter().unwrap().map(|row| {
        let (key, value) = row.unwrap();
        (format!("log/{:02}", key.value()), value.value().to_vec())
    });
    meta.chain(log).collect()
}

pub(crate) async fn write_fixture() {
    let folder = tempfile::tempdir().unwrap();
    create(folder.path()).await;
    fixture::write(PAGES_FILE, &pages(&fs::read(folder.path().join(DATABASE_FILE)).unwrap()));
    fixture::write_table(ROWS_FILE, &rows(folder.path()));
}

#[tokio::test]
async fn database_rows_are_written_as_in_the_fixture() {
    let folder = tempfile::tempdir().unwrap();
    create(folder.path()).await;
    fixture::assert_same_bytes(ROWS_FILE, &rows(folder.path()));
}

#[test]
fn the_database_file_of_the_fixture_has_the_same_rows() {
    let folder = tempfile::tempdir().unwrap();
    unpack(folder.path());
    fixture::assert_same_bytes(ROWS_FILE, &rows(folder.path()));
}

#[tokio::test]
async fn the_database_file_of_the_fixture_is_read_completely() {
    let folder = tempfile::tempdir().unwrap();
    unpack(folder.path());
    let mut disk = Disk::open(folder.path()).unwrap();
    assert_eq!(disk.identity(), IDENTITY);
    let verified = DiskSummary { identity: IDENTITY, first: 5, entries: 6, snapshot: Some(6) };
    assert_eq!(disk.verify().unwrap(), verified);
    assert_eq!(disk.entries(..).unwrap(), history::entries()[4..]);
    assert_eq!(disk.read_vote().await.unwrap(), Some(Vote::new_committed(3, 2)));
    assert_eq!(disk.read_committed().await.unwrap(), Some(history::log_id(8)));
    let state = disk.get_log_state().await.unwrap();
    assert_eq!(state.last_purged_log_id, Some(history::log_id(4)));
    assert_eq!(state.last_log_id, Some(history::log_id(10)));
    let machine = StateMachine::new(disk, watch::channel(0).0).unwrap();
    let shared = machine.shared();
    let applied = shared.read();
    assert_eq!(applied.last, Some(history::log_id(6)));
    assert_eq!(applied.state.document("config").map(|latest| latest.text.as_str()), Some("text 2"));
    assert_eq!(applied.state.overrides().keys().collect::<Vec<_>>(), ["s-1"]);
}

#[test]
fn the_snapshot_in_the_database_rows_is_read() {
    let sealed = &fixture::read_table(ROWS_FILE)["meta/snapshot"];
    let applied = open_snapshot(sealed).unwrap();
    assert_eq!(applied.last, Some(history::log_id(6)));
    assert_eq!(applied.changes.purges_after(0).collect::<Vec<_>>(), ["key-1"]);
}
