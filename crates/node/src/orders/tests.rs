use super::*;

fn store(dir: &tempfile::TempDir) -> OrderFile {
    OrderFile::at(Some(dir.path().into()))
}

fn out(orders: &mut Orders, id: &str) {
    orders.insert(id.into(), Order { out: true, since_ms: now_ms() });
}

#[test]
fn what_one_process_keeps_another_finds() {
    let dir = tempfile::tempdir().unwrap();
    let (old, new) = (store(&dir), store(&dir));
    assert_eq!(new.load().unwrap(), Orders::new());
    assert!(!new.changed());
    old.change(|orders| out(orders, "s-1")).unwrap();
    assert!(new.changed() && !new.changed());
    new.change(|orders| out(orders, "s-2")).unwrap();
    let both = old.load().unwrap();
    assert_eq!(both.keys().collect::<Vec<_>>(), ["s-1", "s-2"]);
}

#[test]
fn a_damaged_file_is_told_set_aside_and_written_anew() {
    for text in ["", "{", "[]", r#"{"version":2,"servers":{}}"#, r#"{"version":1}"#, "\u{0}\u{0}"] {
        let dir = tempfile::tempdir().unwrap();
        let store = store(&dir);
        store.change(|orders| out(orders, "s-1")).unwrap();
        fs::write(OrderFile::path(dir.path()), text).unwrap();
        assert!(store.load().is_err(), "{text:?}");
        let orders = store.change(|orders| out(orders, "s-2")).unwrap();
        assert_eq!(orders.len(), 2);
        assert_eq!(store.load().unwrap(), orders);
        assert_eq!(fs::read_to_string(dir.path().join("stonefold-orders.damaged")).unwrap(), text);
    }
}

#[test]
fn without_a_place_nothing_is_promised() {
    let store = OrderFile::at(None);
    assert!(matches!(store.change(|_| {}), Err(StateError::NoPlace)));
}

#[test]
fn bans_are_kept_for_good_and_old_returns_forgotten() {
    let dir = tempfile::tempdir().unwrap();
    let orders = store(&dir).change(|orders| {
        for (id, out) in [("out", true), ("back", false)] {
            orders.insert(id.into(), Order { out, since_ms: 0 });
        }
    });
    assert_eq!(orders.unwrap().into_keys().collect::<Vec<_>>(), ["out"]);
}

/// A file that an earlier program has written.
const RECORDED: &[u8] = include_bytes!("../../tests/fixtures/stonefold-orders.json");

#[test]
fn a_recorded_file_means_the_same_and_is_written_alike() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("stonefold-orders.json");
    fs::write(&path, RECORDED).unwrap();
    let store = store(&dir);
    let orders = store.load().unwrap();
    assert_eq!(orders.keys().collect::<Vec<_>>(), ["s-5be2a07c", "s-77"]);
    let (disabled, enabled) = (orders["s-5be2a07c"], orders["s-77"]);
    assert_eq!((disabled.out, disabled.since_ms), (true, 1_790_000_000_123));
    assert_eq!((enabled.out, enabled.since_ms), (false, 4_102_444_800_000));
    assert_eq!(store.change(|_| {}).unwrap(), orders);
    assert_eq!(fs::read(&path).unwrap(), RECORDED);
    assert!(dir.path().join("stonefold-orders.lock").exists());
}
