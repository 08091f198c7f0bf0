//! The frames that a subscriber rejects, and the staleness that it reports.

use stonefold_store::feed::delta::diff;
use stonefold_store::feed::frame::{
    Item, ItemPart, MAX_FRAME_BYTES, MAX_ITEM_BYTES, PublisherFrame, PublisherStatus, Record,
    SessionRejection, Update, encode_frame,
};
use stonefold_store::feed::selector::PublisherSelector;
use stonefold_store::feed::subscriber::{Action, ReceiveError, Subscriber};
use stonefold_store::feed::table::FeedTable;

use super::items::{document, list};

fn record(revision: u64, item: &Item) -> Record {
    Record { revision, item: item.encode() }
}

/// A connected subscriber that holds document `a` of revision 5, list 3 of revision 6, and two purges.
fn subscriber() -> Subscriber {
    let mut subscriber =
        Subscriber::new(FeedTable::default(), PublisherSelector::new(1, &[vec!["a".into()]], 1));
    assert_eq!(subscriber.poll(0), Some(Action::Connect("a".into())));
    subscriber.on_connected(0);
    let update = Update {
        through: 6,
        records: vec![record(5, &document("a", "1")), record(6, &list(3, "{}"))],
        purges: vec!["k".into(), "l".into()],
        ..empty_update(0, 6)
    };
    let events = subscriber.on_frame(&encoded(Update { purges_after: 0, ..update }), 1).unwrap();
    assert_eq!(events.len(), 3, "{events:?}");
    subscriber
}

/// An update without changes after revision `after`. The publisher holds everything up to revision `head`.
fn empty_update(after: u64, head: u64) -> Update {
    let status = PublisherStatus {
        echoed_time: 0,
        stale_ms: Some(5),
        is_complete: true,
        head_revision: head,
        last_purge: 2,
    };
    Update { publisher: status, after, through: after, purges_after: 2, ..Update::default() }
}

fn encoded(update: Update) -> Vec<u8> {
    encode_frame(&PublisherFrame::Update(Box::new(update))).unwrap()
}

/// A frame that the subscriber rejects.
struct InvalidFrame {
    name: &'static str,
    frame: Vec<u8>,
    /// A part of the error.
    error: &'static str,
}

fn case(name: &'static str, frame: Vec<u8>, error: &'static str) -> InvalidFrame {
    InvalidFrame { name, frame, error }
}

/// An encoded update with a valid record before its own ones. The valid record must not be applied either.
fn with_valid_record(update: Update) -> Vec<u8> {
    let valid = record(8, &document("b", "2"));
    encoded(Update { records: [vec![valid], update.records].concat(), ..update })
}

fn invalid_encodings_and_revisions() -> Vec<InvalidFrame> {
    let mut other_version = with_valid_record(empty_update(6, 9));
    other_version[0] = 9;
    vec![
        case("another version", other_version, "version 9; this program reads 1"),
        case("undecodable bytes", vec![1, 200, 3], "damaged"),
        case("too large", vec![1; MAX_FRAME_BYTES + 1], "at most 32768"),
        case("a gap", with_valid_record(empty_update(7, 9)), "revision 7 is out of order: 6 is held"),
        case(
            "a start before the held revision",
            with_valid_record(empty_update(5, 9)),
            "revision 5 is out of order: 6 is held",
        ),
        case(
            "an end before its start",
            with_valid_record(Update { through: 4, ..empty_update(6, 9) }),
            "out of order",
        ),
        case(
            "a revision of the future",
            with_valid_record(Update { through: 99, ..empty_update(6, 9) }),
            "revision 99 is from the future",
        ),
        case(
            "a time of the future",
            with_valid_record(Update {
                publisher: PublisherStatus { echoed_time: 77, ..empty_update(6, 9).publisher },
                ..empty_update(6, 9)
            }),
            "time 77 is from the future",
        ),
    ]
}

fn invalid_records() -> Vec<InvalidFrame> {
    let long = "x".repeat(300 << 10);
    let delta = |from| Item::ListDelta { from, version: 4, delta: diff("{}", "{}{}") };
    vec![
        case(
            "a record older than the valid one",
            with_valid_record(Update { records: vec![record(6, &document("a", "0"))], ..empty_update(6, 9) }),
            "record 6 is out of order: 8 is held",
        ),
        case(
            "an older list",
            with_valid_record(Update { records: vec![record(9, &list(2, "{}"))], ..empty_update(6, 9) }),
            "list 2 is out of order: 3 is held",
        ),
        case(
            "a record of the future",
            with_valid_record(Update {
                records: vec![record(99, &document("a", "0"))],
                ..empty_update(6, 9)
            }),
            "record 99 is from the future: the publisher holds 9",
        ),
        case(
            "an undecodable item",
            with_valid_record(Update {
                records: vec![Record { revision: 9, item: vec![1, 99] }],
                ..empty_update(6, 9)
            }),
            "an item is damaged",
        ),
        case(
            "a name that is too long",
            with_valid_record(Update {
                records: vec![record(9, &document(&long[..300], ""))],
                ..empty_update(6, 9)
            }),
            "a name of 300 bytes",
        ),
        case(
            "a delta to another list",
            with_valid_record(Update { records: vec![record(9, &delta(2))], ..empty_update(6, 9) }),
            "a difference to another text",
        ),
    ]
}

fn invalid_parts() -> Vec<InvalidFrame> {
    let part =
        |offset, total, bytes: &[u8]| Some(ItemPart { revision: 9, offset, total, bytes: bytes.to_vec() });
    vec![
        case(
            "a part without the ones before it",
            with_valid_record(Update { part: part(10, 20, b"x"), ..empty_update(6, 9) }),
            "a part at byte 10 is out of order",
        ),
        case(
            "a part that is too long",
            with_valid_record(Update {
                part: part(0, MAX_ITEM_BYTES as u32 + 1, b"x"),
                ..empty_update(6, 9)
            }),
            "an item of",
        ),
        case(
            "a part longer than its item",
            with_valid_record(Update { part: part(0, 2, b"xyz"), ..empty_update(6, 9) }),
            "an item of 3 bytes",
        ),
    ]
}

fn invalid_purges() -> Vec<InvalidFrame> {
    vec![
        case(
            "a missing purge",
            with_valid_record(Update { purges_after: 3, purges: vec!["m".into()], ..empty_update(6, 9) }),
            "purge 3 is out of order: 2 is held",
        ),
        case(
            "a repeated purge",
            with_valid_record(Update { purges_after: 1, ..empty_update(6, 9) }),
            "purge 1 is out of order",
        ),
        case(
            "a purge of the future",
            with_valid_record(Update { purges: vec!["m".into()], ..empty_update(6, 9) }),
            "purge 3 is from the future",
        ),
        case(
            "a purge that is too long",
            with_valid_record(Update {
                purges: vec!["m".repeat(600)],
                publisher: PublisherStatus { last_purge: 3, ..empty_update(6, 9).publisher },
                ..empty_update(6, 9)
            }),
            "a purged key of 600 bytes",
        ),
    ]
}

#[test]
fn invalid_frames_are_rejected_counted_and_not_applied() {
    let cases = [invalid_encodings_and_revisions(), invalid_records(), invalid_parts(), invalid_purges()];
    for InvalidFrame { name, frame, error } in cases.into_iter().flatten() {
        let mut subscriber = subscriber();
        let state = |subscriber: &Subscriber| {
            let table = &subscriber.table;
            (table.items().clone(), table.revision(), table.last_purge())
        };
        let before = state(&subscriber);
        let message = subscriber.on_frame(&frame, 10).expect_err(name).to_string();
        assert!(message.contains(error), "{name}: {message}");
        assert_eq!(state(&subscriber), before, "{name}: the frame was applied in part");
        assert_eq!(subscriber.counters().rejected_frames, 1, "{name}");
    }
}

#[test]
fn a_rejected_session_is_counted_apart_from_rejected_frames() {
    let frame = encode_frame(&PublisherFrame::Rejected(SessionRejection::SubscriberLimitReached(3))).unwrap();
    let mut subscriber = subscriber();
    assert_eq!(
        subscriber.on_frame(&frame, 10),
        Err(ReceiveError::Publisher(SessionRejection::SubscriberLimitReached(3)))
    );
    assert_eq!((subscriber.counters().rejected_frames, subscriber.counters().rejected_sessions), (0, 1));
}

#[test]
fn staleness_is_measured_from_the_echoed_time() {
    let mut subscriber = subscriber();
    assert_eq!(subscriber.stale_ms(100), Some(105), "the publisher's state was 5 ms old at time 0");
    let status = PublisherStatus { echoed_time: 90, stale_ms: Some(40), ..empty_update(6, 6).publisher };
    subscriber
        .on_frame(
            &encoded(Update {
                publisher: PublisherStatus { is_complete: false, ..status },
                ..empty_update(6, 6)
            }),
            100,
        )
        .unwrap();
    assert_eq!(subscriber.stale_ms(100), Some(105), "an incomplete update does not confirm the state");
    subscriber.on_frame(&encoded(Update { publisher: status, ..empty_update(6, 6) }), 100).unwrap();
    assert_eq!(subscriber.stale_ms(120), Some(70));
    let unknown = PublisherStatus { echoed_time: 119, stale_ms: None, ..status };
    subscriber.on_frame(&encoded(Update { publisher: unknown, ..empty_update(6, 6) }), 120).unwrap();
    assert_eq!(subscriber.stale_ms(120), Some(70), "a publisher of unknown staleness changes nothing");
}
