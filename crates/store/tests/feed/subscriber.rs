//! The frames that a subscriber rejects, and how stale its state is.

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

/// A subscriber that is connected and holds document `a` of revision 5, list 3 of revision 6, and two purges.
fn subscriber() -> Subscriber {
    let mut subscriber =
        Subscriber::new(FeedTable::default(), PublisherSelector::new(1, &[vec!["a".into()]], 1));
    assert_eq!(subscriber.poll(0), Some(Action::Connect("a".into())));
    subscriber.on_connected(0);
    let update = Update {
        through: 6,
        records: vec![record(5, &document("a", "1")), record(6, &list(3, "{}"))],
        purges: vec!["k".into(), "l".into()],
        ..next(0, 6)
    };
    let events = subscriber.on_frame(&encoded(Update { purges_after: 0, ..update }), 1).unwrap();
    assert_eq!(events.len(), 3, "{events:?}");
    subscriber
}

/// An empty update after a revision, of a publisher that holds all up to `head`.
fn next(after: u64, head: u64) -> Update {
    let beacon = PublisherStatus {
        echoed_time: 0,
        stale_ms: Some(5),
        is_complete: true,
        head_revision: head,
        last_purge: 2,
    };
    Update { publisher: beacon, after, through: after, purges_after: 2, ..Update::default() }
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

/// An update after a valid record, which must not be applied either.
fn with(update: Update) -> Vec<u8> {
    let valid = record(8, &document("b", "2"));
    encoded(Update { records: [vec![valid], update.records].concat(), ..update })
}

fn invalid_encodings() -> Vec<InvalidFrame> {
    let mut old = with(next(6, 9));
    old[0] = 9;
    vec![
        case("another version", old, "version 9; this program reads 1"),
        case("no frame", vec![1, 200, 3], "damaged"),
        case("too large", vec![1; MAX_FRAME_BYTES + 1], "at most 32768"),
        case("a gap", with(next(7, 9)), "revision 7 is out of order: 6 is held"),
        case("a step back", with(next(5, 9)), "revision 5 is out of order: 6 is held"),
        case("back to before", with(Update { through: 4, ..next(6, 9) }), "out of order"),
        case(
            "a revision of the future",
            with(Update { through: 99, ..next(6, 9) }),
            "revision 99 is from the future",
        ),
        case(
            "a time of the future",
            with(Update {
                publisher: PublisherStatus { echoed_time: 77, ..next(6, 9).publisher },
                ..next(6, 9)
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
            "a record held before",
            with(Update { records: vec![record(6, &document("a", "0"))], ..next(6, 9) }),
            "record 6 is out of order: 8 is held",
        ),
        case(
            "an older list",
            with(Update { records: vec![record(9, &list(2, "{}"))], ..next(6, 9) }),
            "list 2 is out of order: 3 is held",
        ),
        case(
            "a record of the future",
            with(Update { records: vec![record(99, &document("a", "0"))], ..next(6, 9) }),
            "record 99 is from the future: the publisher holds 9",
        ),
        case(
            "an item that is none",
            with(Update { records: vec![Record { revision: 9, item: vec![1, 99] }], ..next(6, 9) }),
            "an item is damaged",
        ),
        case(
            "a name that is too long",
            with(Update { records: vec![record(9, &document(&long[..300], ""))], ..next(6, 9) }),
            "a name of 300 bytes",
        ),
        case(
            "a difference to another list",
            with(Update { records: vec![record(9, &delta(2))], ..next(6, 9) }),
            "a difference to another text",
        ),
    ]
}

fn invalid_parts() -> Vec<InvalidFrame> {
    let part =
        |offset, total, bytes: &[u8]| Some(ItemPart { revision: 9, offset, total, bytes: bytes.to_vec() });
    vec![
        case(
            "a part without a beginning",
            with(Update { part: part(10, 20, b"x"), ..next(6, 9) }),
            "a part at byte 10 is out of order",
        ),
        case(
            "a part that is too long",
            with(Update { part: part(0, MAX_ITEM_BYTES as u32 + 1, b"x"), ..next(6, 9) }),
            "an item of",
        ),
        case(
            "more than the whole",
            with(Update { part: part(0, 2, b"xyz"), ..next(6, 9) }),
            "an item of 3 bytes",
        ),
    ]
}

fn invalid_purges() -> Vec<InvalidFrame> {
    vec![
        case(
            "a purge left out",
            with(Update { purges_after: 3, purges: vec!["m".into()], ..next(6, 9) }),
            "purge 3 is out of order: 2 is held",
        ),
        case("a purge again", with(Update { purges_after: 1, ..next(6, 9) }), "purge 1 is out of order"),
        case(
            "a purge of the future",
            with(Update { purges: vec!["m".into()], ..next(6, 9) }),
            "purge 3 is from the future",
        ),
        case(
            "a purge that is too long",
            with(Update {
                purges: vec!["m".repeat(600)],
                publisher: PublisherStatus { last_purge: 3, ..next(6, 9).publisher },
                ..next(6, 9)
            }),
            "a purged key of 600 bytes",
        ),
    ]
}

#[test]
fn invalid_frames_are_rejected_counted_and_not_applied() {
    let cases = [invalid_encodings(), invalid_records(), invalid_parts(), invalid_purges()];
    for InvalidFrame { name, frame, error } in cases.into_iter().flatten() {
        let mut subscriber = subscriber();
        let state = |subscriber: &Subscriber| {
            let table = &subscriber.table;
            (table.items().clone(), table.revision(), table.last_purge())
        };
        let before = state(&subscriber);
        let found = subscriber.on_frame(&frame, 10).expect_err(name).to_string();
        assert!(found.contains(error), "{name}: {found}");
        assert_eq!(state(&subscriber), before, "{name}: applied in part");
        assert_eq!(subscriber.counters().rejected_frames, 1, "{name}");
    }
}

#[test]
fn a_rejected_session_is_counted_apart_from_rejected_frames() {
    let frame = encode_frame(&PublisherFrame::Rejected(SessionRejection::SubscriberLimitReached(3))).unwrap();
    let mut rejected = subscriber();
    assert_eq!(
        rejected.on_frame(&frame, 10),
        Err(ReceiveError::Publisher(SessionRejection::SubscriberLimitReached(3)))
    );
    assert_eq!((rejected.counters().rejected_frames, rejected.counters().rejected_sessions), (0, 1));
}

#[test]
fn staleness_is_measured_from_the_echoed_time() {
    let mut subscriber = subscriber();
    assert_eq!(subscriber.stale_ms(100), Some(105), "5 ms before time 0");
    let beacon = PublisherStatus { echoed_time: 90, stale_ms: Some(40), ..next(6, 6).publisher };
    subscriber
        .on_frame(
            &encoded(Update { publisher: PublisherStatus { is_complete: false, ..beacon }, ..next(6, 6) }),
            100,
        )
        .unwrap();
    assert_eq!(subscriber.stale_ms(100), Some(105), "more is to come");
    subscriber.on_frame(&encoded(Update { publisher: beacon, ..next(6, 6) }), 100).unwrap();
    assert_eq!(subscriber.stale_ms(120), Some(70));
    let unknown = PublisherStatus { echoed_time: 119, stale_ms: None, ..beacon };
    subscriber.on_frame(&encoded(Update { publisher: unknown, ..next(6, 6) }), 120).unwrap();
    assert_eq!(subscriber.stale_ms(120), Some(70), "a publisher that can't tell says nothing");
}
