//! A subscriber's folder: the state that its node has used.

use std::fs;
use std::path::Path;

use stonefold_store::feed::frame::{Item, ItemKey};
use stonefold_store::feed::table::FeedTable;
use stonefold_store::state::AdminOverride;
use stonefold_store::subscriber_folder::SubscriberFolder;

use super::fixture;

const FILE: &str = "subscriber";
const CLUSTER: u128 = 9;
/// The subscriber's id, which was drawn at random when the fixture was written.
const SUBSCRIBER: u64 = 9_329_645_005_054_110_676;

fn table() -> FeedTable {
    let mut table = FeedTable::default();
    let (name, text, author) = ("config".into(), "text 2".into(), "alice".into());
    table.put(3, &Item::Document { name, text, author, at_ms: 1_700_000_000_001 });
    table.put(4, &Item::List { version: 9, text: r#"[{"id":"s-1"}]"#.into() });
    let admin_override = AdminOverride { disabled: true, since_ms: 1_700_000_000_003 };
    table.put(5, &Item::Override { server: "s-1".into(), admin_override });
    table
}

fn save(folder: &Path) {
    let (mut saved, _) = SubscriberFolder::open(folder, CLUSTER).unwrap();
    saved.save(CLUSTER, 12, 7, table().items()).unwrap();
}

pub(crate) fn write_fixture() {
    fastrand::seed(9);
    let folder = tempfile::tempdir().unwrap();
    save(folder.path());
    fixture::write(FILE, &fs::read(folder.path().join(FILE)).unwrap());
}

#[test]
fn a_subscriber_folder_is_read_and_written_as_in_the_fixture() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(FILE);
    fs::write(&path, fixture::read(FILE)).unwrap();
    let (saved, read) = SubscriberFolder::open(folder.path(), CLUSTER).unwrap();
    assert_eq!((saved.subscriber(), saved.list_in_use()), (SUBSCRIBER, 12));
    assert_eq!((read.revision(), read.list_version()), (7, 9));
    assert_eq!(read.items(), table().items());
    let document = Item::Document {
        name: "config".into(),
        text: "text 2".into(),
        author: "alice".into(),
        at_ms: 1_700_000_000_001,
    };
    assert_eq!(read.item(&ItemKey::Document("config".into())), Some((3, document)));
    let list = Item::List { version: 9, text: r#"[{"id":"s-1"}]"#.into() };
    assert_eq!(read.item(&ItemKey::List), Some((4, list)));
    let admin_override = AdminOverride { disabled: true, since_ms: 1_700_000_000_003 };
    assert_eq!(
        read.item(&ItemKey::Override("s-1".into())),
        Some((5, Item::Override { server: "s-1".into(), admin_override }))
    );
    drop(saved);
    fs::write(&path, fixture::read(FILE)).unwrap();
    save(folder.path());
    assert_eq!(hex::encode(fs::read(&path).unwrap()), hex::encode(fixture::read(FILE)));
    let mut files: Vec<_> =
        fs::read_dir(folder.path()).unwrap().map(|file| file.unwrap().file_name()).collect();
    files.sort();
    assert_eq!(files, ["lock", "subscriber"]);
}
