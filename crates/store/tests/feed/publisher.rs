//! A publisher's sessions: which it rejects, and what it sends within its limits.

use stonefold_store::feed::frame::{
    Ack, Hello, ItemKey, MAX_FRAME_BYTES, SessionRejection, SubscriberFrame, decode_frame,
};
use stonefold_store::feed::publisher::{PublisherSession, SessionLimits};
use stonefold_store::feed::selector::PublisherSelector;
use stonefold_store::feed::subscriber::{Event, Subscriber};
use stonefold_store::feed::table::FeedTable;
use stonefold_store::state::limits::MAX_RETAINED_PURGES;

use super::items::{document, list};

#[test]
fn a_session_is_rejected_for_a_future_revision_or_dropped_purges() {
    let mut table = FeedTable::default();
    table.put(5, &document("a", "1"));
    table.advance(5);
    table.reset_purges(10);
    let hello = Hello { revision: 5, list_version: 0, last_purge: Some(10), time: 3 };
    let open =
        |hello, member| PublisherSession::open(&hello, &table, member, SessionLimits::default(), 0).map(drop);
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
    let mut session = PublisherSession::open(&hello, &table, false, SessionLimits::default(), 0).unwrap();
    for ack in [Ack { received_bytes: 1, time: 3 }, Ack { received_bytes: 0, time: 2 }] {
        assert!(matches!(session.on_ack(ack, 0), Err(SessionRejection::Malformed(_))), "{ack:?}");
    }
}

/// All frames of a session until nothing more comes, each taken at once, with their times.
fn drained(
    session: &mut PublisherSession,
    table: &mut FeedTable,
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

fn connected(table: &FeedTable) -> (PublisherSession, Subscriber) {
    let mut subscriber =
        Subscriber::new(FeedTable::default(), PublisherSelector::new(1, &[vec!["a".into()]], 1));
    subscriber.poll(0);
    let hello = match decode_frame::<SubscriberFrame>(&subscriber.on_connected(0)).unwrap() {
        SubscriberFrame::Hello(hello) => hello,
        ack => panic!("{ack:?}"),
    };
    (PublisherSession::open(&hello, table, true, SessionLimits::default(), 0).unwrap(), subscriber)
}

#[test]
fn large_items_go_out_in_parts_within_the_rate_with_purges_between() {
    let mut table = FeedTable::default();
    let text = "x".repeat(200 << 10);
    table.put(1, &document("large", &text));
    table.put(2, &document("small", "1"));
    table.advance(2);
    let (mut session, mut subscriber) = connected(&table);
    let mut all = drained(&mut session, &mut table, &mut subscriber, 0, 2_000);
    // The burst is used up; what is purged now is not held up by the rest.
    table.add_purge("k");
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
    let limits = SessionLimits::default();
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
fn items_are_coalesced_and_purges_are_not() {
    let mut table = FeedTable::default();
    let (mut session, mut subscriber) = connected(&table);
    drained(&mut session, &mut table, &mut subscriber, 0, 10);
    for revision in 1..=200 {
        match revision % 2 {
            0 => table.put(revision, &document("a", &revision.to_string())),
            _ => table.add_purge(&format!("k{revision}")),
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
fn a_list_is_sent_as_a_delta_or_complete_to_a_new_subscriber() {
    let text = |changed: u64| {
        let entries: Vec<String> = (0..300)
            .map(|n| format!(r#"{{"id":"s-{n}","v":{}}}"#, if n == 7 { changed } else { 0 }))
            .collect();
        format!(r#"{{"servers":[{}],"version":{changed}}}"#, entries.join(","))
    };
    let mut table = FeedTable::default();
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
fn a_session_ends_without_acks_or_when_its_purges_are_dropped() {
    let mut table = FeedTable::default();
    table.put(1, &document("a", "1"));
    table.advance(1);
    let (mut session, _) = connected(&table);
    assert!(session.poll(0, &mut table, None).unwrap().is_some());
    let cut = (0..20_000)
        .step_by(10)
        .find_map(|now| session.poll(now, &mut table, None).err().map(|why| (now, why)));
    assert_eq!(cut, Some((8_000, SessionRejection::TooSlow(8_000))));
    let (mut session, _) = connected(&table);
    (0..=MAX_RETAINED_PURGES).for_each(|n| table.add_purge(&n.to_string()));
    assert!(matches!(
        session.poll(0, &mut table, None),
        Err(SessionRejection::PurgesDropped { theirs: 0, ours: 1 })
    ));
}
