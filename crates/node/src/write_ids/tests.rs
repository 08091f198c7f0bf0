//! Ids that come again, within one process and at another one.

use super::table::{BUCKET_IDS, BUCKETS};
use super::*;

/// The id with this number.
fn id(number: usize) -> Vec<u8> {
    format!("{number:016x}").into_bytes()
}

/// Guards against a write that is executed twice, and against the rejection of one that was not executed.
#[test]
fn id_is_known_until_it_is_released() {
    let mut ids = WriteIds::in_directory(None);
    assert!(ids.claim(b"one"));
    assert!(ids.claim(b"other"));
    assert!(!ids.claim(b"one"));
    ids.release(b"one");
    assert!(ids.claim(b"one"));
    assert!(!ids.claim(b"other"));
}

/// Guards against an id that is executed at both processes of an upgrade.
#[test]
fn id_is_known_to_the_other_process() {
    let directory = tempfile::tempdir().unwrap();
    let process = || WriteIds::in_directory(Some(directory.path().into()));
    let (mut former, mut successor) = (process(), process());
    assert!(former.claim(b"one"));
    assert!(!successor.claim(b"one"));
    assert!(successor.claim(b"other"));
    assert!(!former.claim(b"other"));
    former.release(b"one");
    assert!(successor.claim(b"one"), "a write that the former process did not execute");
    assert!(!process().claim(b"one"));
}

/// Guards against an event loop that each write holds up again, because the other process is stopped with the lock.
#[test]
fn locked_file_holds_up_one_write_only() {
    let directory = tempfile::tempdir().unwrap();
    let mut ids = WriteIds::in_directory(Some(directory.path().into()));
    let path = directory.path().read_dir().unwrap().next().unwrap().unwrap().path();
    let stopped_process = std::fs::File::open(path).unwrap();
    stopped_process.lock().unwrap();
    assert!(ids.claim(b"one"));
    assert!(ids.file.is_none());
    assert!(!ids.claim(b"one"));
}

/// Guards against memory that grows without end, and against recent ids that are forgotten.
#[test]
fn many_ids_take_bounded_memory_and_recent_ones_are_known() {
    const RECENT: usize = 10_000;
    let directory = tempfile::tempdir().unwrap();
    let mut ids = WriteIds::in_directory(Some(directory.path().into()));
    let total = 2 * BUCKETS * BUCKET_IDS;
    assert!((0..total).all(|number| ids.claim(&id(number))));
    assert!((total - RECENT..total).all(|number| !ids.claim(&id(number))));
    let files = directory.path().read_dir().unwrap();
    let bytes: u64 = files.map(|file| file.unwrap().metadata().unwrap().len()).sum();
    assert!(bytes <= 1 << 20, "{bytes} bytes");
}

/// Guards against an id that counts as known because the memory of the node cannot be shared.
#[test]
fn writes_are_accepted_without_a_directory() {
    let mut ids = WriteIds::in_directory(Some("/nonexistent".into()));
    assert!(ids.claim(b"one"));
    assert!(!ids.claim(b"one"));
}
