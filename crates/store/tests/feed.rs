//! The rules of distribution, without sockets: what is refused, what is bounded, who follows whom.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use stonefold_store::applied::AppliedState;
use stonefold_store::feed::delta::diff;
use stonefold_store::feed::frame::{
    Ack, Hello, Item, ItemKey, ItemPart, MAX_FRAME_BYTES, MAX_ITEM_BYTES, PublisherFrame, PublisherStatus,
    Record, SessionRejection, SubscriberFrame, Update, decode_frame, encode_frame,
};
use stonefold_store::feed::publisher::{Limits, Session};
use stonefold_store::feed::selector::{PublisherSelector, preference_order};
use stonefold_store::feed::subscriber::{Action, Event, ReceiveError, Subscriber};
use stonefold_store::feed::table::Table;
use stonefold_store::state::limits::{MAX_LIST_BYTES, MAX_RETAINED_PURGES};

fn document(name: &str, text: &str) -> Item {
    Item::Document { name: name.into(), text: text.into(), author: "me".into(), at_ms: 1 }
}

fn list(version: u64, text: &str) -> Item {
    Item::List { version, text: text.into() }
}

fn record(revision: u64, item: &Item) -> Record {
    Record { revision, item: item.encode() }
}

/// A subscriber that is connected and holds document `a` of revision 5, list 3 of revision 6, and two purges.
fn subscriber() -> Subscriber {
    let mut subscriber = Subscriber::new(Table::default(), PublisherSelector::new(1, &[vec!["a".into()]], 1));
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

#[test]
fn what_is_wrong_with_a_frame_is_told_and_counted_and_nothing_of_it_is_applied() {
    let good = record(8, &document("b", "2"));
    let with =
        |update: Update| encoded(Update { records: [vec![good.clone()], update.records].concat(), ..update });
    let long = "x".repeat(300 << 10);
    let part =
        |offset, total, bytes: &[u8]| Some(ItemPart { revision: 9, offset, total, bytes: bytes.to_vec() });
    let delta = |from| Item::ListDelta { from, version: 4, delta: diff("{}", "{}{}") };
    let mut old = with(next(6, 9));
    old[0] = 9;
    for (what, frame, why) in [
        ("another version", old, "version 9; this program reads 1"),
        ("no frame", vec![1, 200, 3], "damaged"),
        ("too large", vec![1; MAX_FRAME_BYTES + 1], "at most 32768"),
        ("a gap", with(next(7, 9)), "revision 7 is out of order: 6 is held"),
        ("a step back", with(next(5, 9)), "revision 5 is out of order: 6 is held"),
        ("back to before", with(Update { through: 4, ..next(6, 9) }), "out of order"),
        (
            "a record held before",
            with(Update { records: vec![record(6, &document("a", "0"))], ..next(6, 9) }),
            "record 6 is out of order: 8 is held",
        ),
        (
            "an older list",
            with(Update { records: vec![record(9, &list(2, "{}"))], ..next(6, 9) }),
            "list 2 is out of order: 3 is held",
        ),
        (
            "a record of the future",
            with(Update { records: vec![record(99, &document("a", "0"))], ..next(6, 9) }),
            "record 99 is from the future: the publisher holds 9",
        ),
        (
            "a revision of the future",
            with(Update { through: 99, ..next(6, 9) }),
            "revision 99 is from the future",
        ),
        (
            "a time of the future",
            with(Update {
                publisher: PublisherStatus { echoed_time: 77, ..next(6, 9).publisher },
                ..next(6, 9)
            }),
            "time 77 is from the future",
        ),
        (
            "a purge left out",
            with(Update { purges_after: 3, purges: vec!["m".into()], ..next(6, 9) }),
            "purge 3 is out of order: 2 is held",
        ),
        ("a purge again", with(Update { purges_after: 1, ..next(6, 9) }), "purge 1 is out of order"),
        (
            "a purge of the future",
            with(Update { purges: vec!["m".into()], ..next(6, 9) }),
            "purge 3 is from the future",
        ),
        (
            "a purge that is too long",
            with(Update {
                purges: vec!["m".repeat(600)],
                publisher: PublisherStatus { last_purge: 3, ..next(6, 9).publisher },
                ..next(6, 9)
            }),
            "a purged key of 600 bytes",
        ),
        (
            "an item that is none",
            with(Update { records: vec![Record { revision: 9, item: vec![1, 99] }], ..next(6, 9) }),
            "an item is damaged",
        ),
        (
            "a name that is too long",
            with(Update { records: vec![record(9, &document(&long[..300], ""))], ..next(6, 9) }),
            "a name of 300 bytes",
        ),
        (
            "a part without a beginning",
            with(Update { part: part(10, 20, b"x"), ..next(6, 9) }),
            "a part at byte 10 is out of order",
        ),
        (
            "a part that is too long",
            with(Update { part: part(0, MAX_ITEM_BYTES as u32 + 1, b"x"), ..next(6, 9) }),
            "an item of",
        ),
        (
            "more than the whole",
            with(Update { part: part(0, 2, b"xyz"), ..next(6, 9) }),
            "an item of 3 bytes",
        ),
        (
            "a difference to another list",
            with(Update { records: vec![record(9, &delta(2))], ..next(6, 9) }),
            "a difference to another text",
        ),
    ] {
        let mut subscriber = subscriber();
        let before =
            (subscriber.table.items().clone(), subscriber.table.revision(), subscriber.table.last_purge());
        let told = subscriber.on_frame(&frame, 10).expect_err(what).to_string();
        assert!(told.contains(why), "{what}: {told}");
        let after =
            (subscriber.table.items().clone(), subscriber.table.revision(), subscriber.table.last_purge());
        assert_eq!(before, after, "{what}: applied in part");
        assert_eq!(subscriber.counters().rejected_frames, 1, "{what}");
    }
    let refused =
        encode_frame(&PublisherFrame::Rejected(SessionRejection::SubscriberLimitReached(3))).unwrap();
    let mut rejected = subscriber();
    assert_eq!(
        rejected.on_frame(&refused, 10),
        Err(ReceiveError::Publisher(SessionRejection::SubscriberLimitReached(3)))
    );
    assert_eq!((rejected.counters().rejected_frames, rejected.counters().rejected_sessions), (0, 1));
}

#[test]
fn a_publisher_refuses_a_revision_of_the_future_and_purges_that_it_does_not_know() {
    let mut table = Table::default();
    table.put(5, &document("a", "1"));
    table.advance(5);
    table.reset_purges(10);
    let hello = Hello { revision: 5, list_version: 0, last_purge: Some(10), time: 3 };
    let open = |hello, member| Session::open(&hello, &table, member, Limits::default(), 0).map(drop);
    assert_eq!(open(hello, false), Ok(()));
    let ahead = Hello { revision: 6, ..hello };
    assert_eq!(open(ahead, true), Err(SessionRejection::Ahead { theirs: 6, ours: 5 }));
    assert_eq!(
        open(Hello { last_purge: Some(11), ..hello }, true),
        Err(SessionRejection::Ahead { theirs: 11, ours: 10 })
    );
    let away = Hello { last_purge: Some(3), ..hello };
    assert_eq!(
        open(away, false),
        Err(SessionRejection::PurgesDropped { theirs: 3, ours: 10 }),
        "another relay may know them"
    );
    assert_eq!(open(away, true), Ok(()), "nobody does, and it is said");
    let mut session = Session::open(&hello, &table, false, Limits::default(), 0).unwrap();
    for ack in [Ack { received_bytes: 1, time: 3 }, Ack { received_bytes: 0, time: 2 }] {
        assert!(matches!(session.on_ack(ack, 0), Err(SessionRejection::Malformed(_))), "{ack:?}");
    }
}

/// All frames of a session until nothing more comes, each taken at once, with their times.
fn drained(
    session: &mut Session,
    table: &mut Table,
    subscriber: &mut Subscriber,
    from: u64,
    until: u64,
) -> Vec<(u64, usize, Vec<Event>)> {
    let mut all = Vec::new();
    let mut taken = 0;
    for now in (from..until).step_by(10) {
        if let Some(bytes) = session.poll(now, table, Some(0)).unwrap() {
            let events = subscriber.on_frame(&bytes, now).unwrap();
            taken += bytes.len() as u64;
            session.on_ack(Ack { received_bytes: taken, time: now }, now).unwrap();
            all.push((now, bytes.len(), events));
        }
    }
    all
}

fn connected(table: &Table) -> (Session, Subscriber) {
    let mut subscriber = Subscriber::new(Table::default(), PublisherSelector::new(1, &[vec!["a".into()]], 1));
    subscriber.poll(0);
    let hello = match decode_frame::<SubscriberFrame>(&subscriber.on_connected(0)).unwrap() {
        SubscriberFrame::Hello(hello) => hello,
        ack => panic!("{ack:?}"),
    };
    (Session::open(&hello, table, true, Limits::default(), 0).unwrap(), subscriber)
}

#[test]
fn a_snapshot_comes_in_bounded_parts_within_the_rate_and_purges_go_between_them() {
    let mut table = Table::default();
    let text = "x".repeat(200 << 10);
    table.put(1, &document("large", &text));
    table.put(2, &document("small", "1"));
    table.advance(2);
    let (mut session, mut subscriber) = connected(&table);
    let mut all = drained(&mut session, &mut table, &mut subscriber, 0, 2_000);
    // The burst is used up; what is purged now is not held up by the rest.
    table.purge("k");
    table.advance(3);
    let taken: u64 = all.iter().map(|(_, bytes, _)| *bytes as u64).sum();
    let begun = 2_000;
    for now in (begun..80_000).step_by(10) {
        if let Some(bytes) = session.poll(now, &mut table, Some(0)).unwrap() {
            all.push((now, bytes.len(), subscriber.on_frame(&bytes, now).unwrap()));
            let sum = all.iter().map(|(_, bytes, _)| *bytes as u64).sum();
            session.on_ack(Ack { received_bytes: sum, time: now }, now).unwrap();
        }
    }
    assert!(taken < 110 << 10, "{taken} bytes in 2 s, of which 96 KiB may come at once");
    assert!(all.iter().all(|(_, bytes, _)| *bytes <= MAX_FRAME_BYTES), "a frame is too long");
    let purge = all
        .iter()
        .find(|(.., events)| events.contains(&Event::Purged { first: 1, keys: vec!["k".into()] }))
        .unwrap();
    assert!(purge.0 <= begun + 1_000, "the purge took {} ms", purge.0 - begun);
    let limits = Limits::default();
    let mut sent = 0;
    for (now, bytes, _) in &all {
        sent += *bytes as u64 + 72;
        let most = limits.burst_bytes
            + limits.purge_reserve_bytes
            + limits.max_payload_bytes as u64 * 2
            + limits.bytes_per_second * now / 1_000
            + now / 10;
        assert!(sent <= most, "{sent} bytes by {now} ms");
    }
    assert_eq!(
        subscriber.table.item(&ItemKey::Document("large".into())).unwrap().1,
        document("large", &text)
    );
    assert_eq!(subscriber.table.revision(), 3);
}

#[test]
fn changes_are_coalesced_to_the_newest_and_purges_never() {
    let mut table = Table::default();
    let (mut session, mut subscriber) = connected(&table);
    drained(&mut session, &mut table, &mut subscriber, 0, 10);
    for revision in 1..=200 {
        match revision % 2 {
            0 => table.put(revision, &document("a", &revision.to_string())),
            _ => table.purge(&format!("k{revision}")),
        }
        table.advance(revision);
    }
    let all = drained(&mut session, &mut table, &mut subscriber, 10, 3_000);
    let events: Vec<&Event> = all.iter().flat_map(|(.., events)| events).collect();
    let changed = events.iter().filter(|event| matches!(event, Event::Changed(_))).count();
    let purged: usize =
        events.iter().map(|event| if let Event::Purged { keys, .. } = event { keys.len() } else { 0 }).sum();
    assert_eq!((changed, purged), (1, 100));
    assert_eq!(subscriber.table.item(&ItemKey::Document("a".into())), Some((200, document("a", "200"))));
}

#[test]
fn a_list_goes_out_as_what_differs_and_whole_to_whoever_has_none() {
    let text = |changed: u64| {
        let entries: Vec<String> = (0..300)
            .map(|n| format!(r#"{{"id":"s-{n}","v":{}}}"#, if n == 7 { changed } else { 0 }))
            .collect();
        format!(r#"{{"servers":[{}],"version":{changed}}}"#, entries.join(","))
    };
    let mut table = Table::default();
    table.put(1, &list(1, &text(1)));
    table.advance(1);
    let (mut session, mut subscriber) = connected(&table);
    let whole: usize =
        drained(&mut session, &mut table, &mut subscriber, 0, 2_000).iter().map(|(_, bytes, _)| bytes).sum();
    table.put(2, &list(2, &text(2)));
    table.advance(2);
    let bytes = session.poll(5_000, &mut table, Some(0)).unwrap().unwrap();
    subscriber.on_frame(&bytes, 5_000).unwrap();
    assert!(bytes.len() < 200 && whole > 5_000, "{} bytes for one entry of {whole}", bytes.len());
    assert_eq!(&**subscriber.table.list_text().unwrap(), text(2));
}

#[test]
fn a_reader_that_takes_nothing_is_cut_and_one_that_lags_behind_all_purges_too() {
    let mut table = Table::default();
    table.put(1, &document("a", "1"));
    table.advance(1);
    let (mut session, _) = connected(&table);
    assert!(session.poll(0, &mut table, None).unwrap().is_some());
    let cut = (0..20_000)
        .step_by(10)
        .find_map(|now| session.poll(now, &mut table, None).err().map(|why| (now, why)));
    assert_eq!(cut, Some((8_000, SessionRejection::TooSlow(8_000))));
    let (mut session, _) = connected(&table);
    (0..=MAX_RETAINED_PURGES).for_each(|n| table.purge(&n.to_string()));
    assert!(matches!(
        session.poll(0, &mut table, None),
        Err(SessionRejection::PurgesDropped { theirs: 0, ours: 1 })
    ));
}

#[test]
fn the_subscribers_of_a_lost_relay_spread_over_all_others() {
    let tiers: Vec<Vec<String>> =
        vec![(0..10).map(|n| format!("relay-{n}")).collect(), vec!["member".into()]];
    let mut second: BTreeMap<String, u32> = BTreeMap::new();
    let mut first: BTreeMap<String, u32> = BTreeMap::new();
    for subscriber in 0..9_000u64 {
        let order = preference_order(subscriber, &tiers);
        assert_eq!(order.last().unwrap(), "member");
        *first.entry(order[0].clone()).or_default() += 1;
        if order[0] == "relay-3" {
            *second.entry(order[1].clone()).or_default() += 1;
        }
    }
    assert!(first.values().all(|&n| (750..1_050).contains(&n)), "{first:?}");
    assert!(second.len() == 9 && second.values().all(|&n| (60..140).contains(&n)), "{second:?}");
}

#[test]
fn reconnects_are_drawn_over_the_whole_of_a_pause_that_grows_to_a_bound() {
    let mut drawn: Vec<Vec<u64>> = vec![Vec::new(); 9];
    for seed in 0..400 {
        let mut selector = PublisherSelector::new(seed, &[vec!["a".into()]], seed);
        for pauses in &mut drawn {
            selector.on_failure(0, 0);
            pauses.push(selector.next_attempt_at());
        }
    }
    for (n, pauses) in drawn.iter().enumerate() {
        let most = (200 << n).min(8_000);
        let (least, longest) = (pauses.iter().min().unwrap(), pauses.iter().max().unwrap());
        assert!(
            *least < most / 10 && (most * 9 / 10..=most).contains(longest),
            "{n}: {least} to {longest} of {most}"
        );
    }
    // Relays that all decline are not tried for ever before the one that serves.
    let mut selector = PublisherSelector::new(1, &[vec!["a".into(), "b".into()], vec!["member".into()]], 1);
    let mut tried = BTreeSet::new();
    for _ in 0..3 {
        let index = selector.select(100_000).unwrap();
        tried.insert(selector.addr(index).to_owned());
        selector.on_declined(index, 100_000);
    }
    assert_eq!(tried.len(), 3, "{tried:?}");
}

#[test]
fn how_stale_it_is_counts_from_what_the_publisher_had_heard() {
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

#[test]
fn an_empty_member_is_followed_as_nothing() {
    let mut table = Table::default();
    table.sync_from(&AppliedState::default());
    assert_eq!((table.revision(), table.items().len(), table.last_purge()), (0, 0, 0));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn a_difference_gives_the_new_text_of_the_old_one_alone(old in "[ab}]{0,60}", new in "[ab}]{0,60}", other in "[ab}]{0,60}") {
        let delta = diff(&old, &new);
        prop_assert_eq!(delta.apply(&old).unwrap(), new.clone());
        prop_assert!(delta.apply(&other).is_err() || delta.apply(&other).unwrap() == new);
        prop_assert!(new.len() <= MAX_LIST_BYTES);
    }
}
