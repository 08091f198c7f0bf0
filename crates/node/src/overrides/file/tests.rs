//! Tests of the overrides' file: changes that processes make and read, and damaged files.

use super::*;
use crate::overrides::Override;

fn file(directory: &tempfile::TempDir) -> OverrideFile {
    OverrideFile::in_directory(Some(directory.path().into()))
}

fn disable(overrides: &mut Overrides, server: &str) {
    overrides.insert(server.into(), Override { disabled: true, since_ms: now_ms() });
}

#[test]
fn overrides_of_one_process_are_loaded_by_another() {
    let dir = tempfile::tempdir().unwrap();
    let (old, new) = (file(&dir), file(&dir));
    assert_eq!(new.load().unwrap(), Overrides::new());
    assert!(!new.changed());
    old.change(|overrides| disable(overrides, "s-1")).unwrap();
    assert!(new.changed() && !new.changed());
    new.change(|overrides| disable(overrides, "s-2")).unwrap();
    let both = old.load().unwrap();
    assert_eq!(both.keys().collect::<Vec<_>>(), ["s-1", "s-2"]);
}

#[test]
fn a_damaged_file_is_reported_renamed_and_replaced() {
    for text in ["", "{", "[]", r#"{"version":2,"servers":{}}"#, r#"{"version":1}"#, "\u{0}\u{0}"] {
        let dir = tempfile::tempdir().unwrap();
        let file = file(&dir);
        file.change(|overrides| disable(overrides, "s-1")).unwrap();
        fs::write(dir.path().join(FILE_NAME), text).unwrap();
        assert!(file.load().is_err(), "{text:?}");
        let overrides = file.change(|overrides| disable(overrides, "s-2")).unwrap();
        assert_eq!(overrides.len(), 2);
        assert_eq!(file.load().unwrap(), overrides);
        assert_eq!(fs::read_to_string(dir.path().join("stonefold-orders.damaged")).unwrap(), text);
    }
}

#[test]
fn without_a_directory_overrides_are_rejected() {
    let file = OverrideFile::in_directory(None);
    assert!(matches!(file.change(|_| {}), Err(OverrideError::NoDirectory)));
}

#[test]
fn overrides_that_disable_stay_and_old_ones_that_enable_are_removed() {
    let dir = tempfile::tempdir().unwrap();
    let overrides = file(&dir).change(|overrides| {
        for (server, disabled) in [("disabled", true), ("enabled", false)] {
            overrides.insert(server.into(), Override { disabled, since_ms: 0 });
        }
    });
    assert_eq!(overrides.unwrap().into_keys().collect::<Vec<_>>(), ["disabled"]);
}

/// A file that an earlier version of the program has written.
const RECORDED: &[u8] = include_bytes!("../../../tests/fixtures/stonefold-orders.json");

#[test]
fn a_recorded_file_parses_and_is_written_back_unchanged() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("stonefold-orders.json");
    fs::write(&path, RECORDED).unwrap();
    let file = file(&dir);
    let overrides = file.load().unwrap();
    assert_eq!(overrides.keys().collect::<Vec<_>>(), ["s-5be2a07c", "s-77"]);
    let (disabled, enabled) = (overrides["s-5be2a07c"], overrides["s-77"]);
    assert_eq!((disabled.disabled, disabled.since_ms), (true, 1_790_000_000_123));
    assert_eq!((enabled.disabled, enabled.since_ms), (false, 4_102_444_800_000));
    assert_eq!(file.change(|_| {}).unwrap(), overrides);
    assert_eq!(fs::read(&path).unwrap(), RECORDED);
    assert!(dir.path().join("stonefold-orders.lock").exists());
}
