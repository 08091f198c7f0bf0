//! Frames of the feed, and the items in them: one of each kind.

use stonefold_store::feed::delta::{Delta, diff};
use stonefold_store::feed::frame::{
    Ack, Beacon, Downlink, Hello, Item, Part, Record, Refusal, Update, Uplink, read, write,
};
use stonefold_store::state::Order;

use super::fixture::{self, Table};

const ITEMS_FILE: &str = "feed_items.hex";
const DOWNLINK_FILE: &str = "feed_downlink.hex";
const UPLINK_FILE: &str = "feed_uplink.hex";
const OLD_LIST: &str = r#"[{"id":"s-1"},{"id":"s-2"}]"#;
const NEW_LIST: &str = r#"[{"id":"s-1"},{"id":"s-3"},{"id":"s-2"}]"#;

fn items() -> Vec<(&'static str, Item)> {
    let (name, text, author) = ("config".into(), "text 2".into(), "alice".into());
    let order = Order { out: true, since_ms: 1_700_000_000_003 };
    vec![
        ("document", Item::Document { name, text, author, at_ms: 1_700_000_000_001 }),
        ("list", Item::List { version: 9, text: OLD_LIST.into() }),
        ("list-delta", Item::ListDelta { from: 9, version: 10, delta: diff(OLD_LIST, NEW_LIST) }),
        ("order", Item::Order { server: "s-1".into(), order }),
    ]
}

fn update() -> Update {
    Update {
        beacon: Beacon { echo: 5_000, stale_ms: Some(70), complete: true, head: 6, purged: 3 },
        after: 4,
        through: 6,
        records: vec![Record { revision: 5, item: vec![1, 0, 255] }],
        part: Some(Part { revision: 6, offset: 300, total: 900, bytes: vec![7, 8] }),
        purges_after: 2,
        gap: true,
        purges: vec!["key-1".into()],
    }
}

fn downlink() -> Vec<(&'static str, Downlink)> {
    let refused = Downlink::Refused;
    vec![
        ("heartbeat", Downlink::Update(Box::default())),
        ("refused-full", refused(Refusal::Full(2_048))),
        ("refused-future", refused(Refusal::Future { theirs: 9, ours: 4 })),
        ("refused-malformed", refused(Refusal::Malformed("a reason".into()))),
        ("refused-purges-gone", refused(Refusal::PurgesGone { theirs: 2, ours: 7 })),
        ("refused-slow", refused(Refusal::Slow(8_000))),
        ("update", Downlink::Update(Box::new(update()))),
    ]
}

fn uplink() -> Vec<(&'static str, Uplink)> {
    let hello = Hello { revision: 3, list: 9, purged: Some(2), now: 1_000 };
    vec![
        ("ack", Uplink::Ack(Ack { taken: 16_384, now: 2_000 })),
        ("hello", Uplink::Hello(hello)),
        ("hello-new", Uplink::Hello(Hello { purged: None, ..hello })),
    ]
}

fn table<T>(values: Vec<(&'static str, T)>, bytes: impl Fn(&T) -> Vec<u8>) -> Table {
    values.into_iter().map(|(name, value)| (name.into(), bytes(&value))).collect()
}

fn encoded() -> [(&'static str, Table); 3] {
    [
        (ITEMS_FILE, table(items(), Item::bytes)),
        (DOWNLINK_FILE, table(downlink(), |frame| write(frame).unwrap())),
        (UPLINK_FILE, table(uplink(), |frame| write(frame).unwrap())),
    ]
}

pub(crate) fn write_fixture() {
    for (file, table) in encoded() {
        fixture::write_table(file, &table);
    }
}

#[test]
fn the_feeds_items_and_frames_are_written_as_before() {
    for (file, table) in encoded() {
        fixture::assert_same_bytes(file, &table);
    }
}

#[test]
fn the_feeds_items_are_read_as_before() {
    let table = fixture::read_table(ITEMS_FILE);
    for (name, item) in items() {
        assert_eq!(Item::read(&table[name]).unwrap(), item, "{name}");
    }
    let Item::ListDelta { from: 9, version: 10, delta } = Item::read(&table["list-delta"]).unwrap() else {
        panic!("no difference to list 9");
    };
    let apply = |delta: &Delta| delta.apply(OLD_LIST).unwrap();
    assert_eq!(apply(&delta), NEW_LIST);
}

#[test]
fn the_feeds_frames_are_read_as_before() {
    let table = fixture::read_table(DOWNLINK_FILE);
    for (name, frame) in downlink() {
        assert_eq!(read::<Downlink>(&table[name]).unwrap(), frame, "{name}");
    }
    let table = fixture::read_table(UPLINK_FILE);
    for (name, frame) in uplink() {
        assert_eq!(read::<Uplink>(&table[name]).unwrap(), frame, "{name}");
    }
}
