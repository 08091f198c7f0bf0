//! The feed's frames and the items in them: one of each kind.

use stonefold_store::feed::delta::{Delta, diff};
use stonefold_store::feed::frame::{
    Ack, Hello, Item, ItemPart, PublisherFrame, PublisherStatus, Record, SessionRejection, SubscriberFrame,
    Update, decode_frame, encode_frame,
};
use stonefold_store::state::AdminOverride;

use super::fixture::{self, Table};

const ITEMS_FILE: &str = "feed_items.hex";
const PUBLISHER_FILE: &str = "feed_downlink.hex";
const SUBSCRIBER_FILE: &str = "feed_uplink.hex";
const OLD_LIST: &str = r#"[{"id":"s-1"},{"id":"s-2"}]"#;
const NEW_LIST: &str = r#"[{"id":"s-1"},{"id":"s-3"},{"id":"s-2"}]"#;

fn items() -> Vec<(&'static str, Item)> {
    let (name, text, author) = ("config".into(), "text 2".into(), "alice".into());
    let admin_override = AdminOverride { disabled: true, since_ms: 1_700_000_000_003 };
    vec![
        ("document", Item::Document { name, text, author, at_ms: 1_700_000_000_001 }),
        ("list", Item::List { version: 9, text: OLD_LIST.into() }),
        ("list-delta", Item::ListDelta { from: 9, version: 10, delta: diff(OLD_LIST, NEW_LIST) }),
        ("order", Item::Override { server: "s-1".into(), admin_override }),
    ]
}

fn update() -> Update {
    Update {
        publisher: PublisherStatus {
            echoed_time: 5_000,
            stale_ms: Some(70),
            is_complete: true,
            head_revision: 6,
            last_purge: 3,
        },
        after: 4,
        through: 6,
        records: vec![Record { revision: 5, item: vec![1, 0, 255] }],
        part: Some(ItemPart { revision: 6, offset: 300, total: 900, bytes: vec![7, 8] }),
        purges_after: 2,
        purge_gap: true,
        purges: vec!["key-1".into()],
    }
}

fn publisher_frames() -> Vec<(&'static str, PublisherFrame)> {
    let rejected = PublisherFrame::Rejected;
    vec![
        ("heartbeat", PublisherFrame::Update(Box::default())),
        ("refused-full", rejected(SessionRejection::SubscriberLimitReached(2_048))),
        ("refused-future", rejected(SessionRejection::Ahead { theirs: 9, ours: 4 })),
        ("refused-malformed", rejected(SessionRejection::Malformed("a reason".into()))),
        ("refused-purges-gone", rejected(SessionRejection::PurgesDropped { theirs: 2, ours: 7 })),
        ("refused-slow", rejected(SessionRejection::TooSlow(8_000))),
        ("update", PublisherFrame::Update(Box::new(update()))),
    ]
}

fn subscriber_frames() -> Vec<(&'static str, SubscriberFrame)> {
    let hello = Hello { revision: 3, list_version: 9, last_purge: Some(2), time: 1_000 };
    vec![
        ("ack", SubscriberFrame::Ack(Ack { received_bytes: 16_384, time: 2_000 })),
        ("hello", SubscriberFrame::Hello(hello)),
        ("hello-new", SubscriberFrame::Hello(Hello { last_purge: None, ..hello })),
    ]
}

fn table<T>(values: Vec<(&'static str, T)>, bytes: impl Fn(&T) -> Vec<u8>) -> Table {
    values.into_iter().map(|(name, value)| (name.into(), bytes(&value))).collect()
}

fn encoded() -> [(&'static str, Table); 3] {
    [
        (ITEMS_FILE, table(items(), Item::encode)),
        (PUBLISHER_FILE, table(publisher_frames(), |frame| encode_frame(frame).unwrap())),
        (SUBSCRIBER_FILE, table(subscriber_frames(), |frame| encode_frame(frame).unwrap())),
    ]
}

pub(crate) fn write_fixture() {
    for (file, table) in encoded() {
        fixture::write_table(file, &table);
    }
}

#[test]
fn feed_items_and_frames_are_written_as_in_the_fixtures() {
    for (file, table) in encoded() {
        fixture::assert_same_bytes(file, &table);
    }
}

#[test]
fn the_feed_items_of_the_fixture_are_read() {
    let table = fixture::read_table(ITEMS_FILE);
    for (name, item) in items() {
        assert_eq!(Item::decode(&table[name]).unwrap(), item, "{name}");
    }
    let Item::ListDelta { from: 9, version: 10, delta } = Item::decode(&table["list-delta"]).unwrap() else {
        panic!("not a delta from list 9 to list 10");
    };
    let apply = |delta: &Delta| delta.apply(OLD_LIST).unwrap();
    assert_eq!(apply(&delta), NEW_LIST);
}

#[test]
fn the_feed_frames_of_the_fixtures_are_read() {
    let table = fixture::read_table(PUBLISHER_FILE);
    for (name, frame) in publisher_frames() {
        assert_eq!(decode_frame::<PublisherFrame>(&table[name]).unwrap(), frame, "{name}");
    }
    let table = fixture::read_table(SUBSCRIBER_FILE);
    for (name, frame) in subscriber_frames() {
        assert_eq!(decode_frame::<SubscriberFrame>(&table[name]).unwrap(), frame, "{name}");
    }
}
