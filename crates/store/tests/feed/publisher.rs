//! A publisher's sessions: which of them it rejects, and what it sends within its limits.

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
    let future_revision = Hello { revision: 6, ..hello };
    assert_eq!(open(future_revision, true), Err(SessionRejection::Ahead { theirs: 6, ours: 5 }));
    assert_eq!(
        open(Hello { last_purge: Some(11), ..hello }, true),
        Err(SessionRejection::Ahead { theirs: 11, ours: 10 })
    );
    let dropped_purges = Hello { last_purge: Some(3), ..hello };
    assert_eq!(
        open(dropped_purges, false),
        Err(SessionRejection::PurgesDropped { theirs: 3, ours: 10 }),
        "a relay rejects it, because another relay may still have the purges"
    );
    assert_eq!(
        open(dropped_purges, true),
        Ok(()),
        "a member accepts it and reports the gap, because no publisher has the purges"
    );
    let mut session = PublisherSession::open(&hello, &table, false, SessionLimits::default(), 0).unwrap();
    for ack in [Ack { received_bytes: 1, time: 3 }, Ack { received_bytes: 0, time: 2 }] {
        assert!(matches!(session.on_ack(ack, 0), Err(SessionRejection::Malformed(_))), "{ack:?}");
    }
}

/// Runs a session for some time; the subscriber acknowledges each frame at once. Returns the frames: their times, their
/// lengths in bytes and the subscriber's events.
fn run_session(
    session: &mut PublisherSession,
    table: &mut FeedTable,
    subscriber: &mut Subscriber,
    from: u64,
    until: u64,
) -> Vec<(u64, usize, Vec<Event>)> {
    let mut frames = Vec::new();
    let mut received_bytes = 0;
    for now in (from..until).step_by(10) {
        if let Some(bytes) = session.poll(now, table, Some(0)).unwrap() {
            let events = subscriber.on_frame(&bytes, now).unwrap();
            received_bytes += bytes.len() as u64;
            session.on_ack(Ack { received_bytes, time: now }, now).unwrap();
            frames.push((now, bytes.len(), events));
        }
    }
    frames
}

/// Connects a new subscriber to a publisher with this table.
fn connect(table: &FeedTable) -> (PublisherSession, Subscriber) {
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
fn large_items_are_sent_in_parts_at_a_limited_rate_and_do_not_delay_purges() {
    let mut table = FeedTable::default();
    let text = "x".repeat(200 << 10);
    table.put(1, &document("large", &text));
    table.put(2, &document("small", "1"));
    table.advance(2);
    let (mut session, mut subscriber) = connect(&table);
    let mut frames = run_session(&mut session, &mut table, &mut subscriber, 0, 2_000);
    // The burst is used up and most of the large item is still to be sent, but a purge must not wait for it.
    table.add_purge("k");
    table.advance(3);
    let first_bytes: u64 = frames.iter().map(|(_, bytes, _)| *bytes as u64).sum();
    let purged_at = 2_000;
    for now in (purged_at..80_000).step_by(10) {
        if let Some(bytes) = session.poll(now, &mut table, Some(0)).unwrap() {
            frames.push((now, bytes.len(), subscriber.on_frame(&bytes, now).unwrap()));
            let received_bytes = frames.iter().map(|(_, bytes, _)| *bytes as u64).sum();
            session.on_ack(Ack { received_bytes, time: now }, now).unwrap();
        }
    }
    assert!(first_bytes < 110 << 10, "{first_bytes} bytes in 2 s, with a burst of 96 KiB");
    assert!(frames.iter().all(|(_, bytes, _)| *bytes <= MAX_FRAME_BYTES), "a frame is too long");
    let purge = frames
        .iter()
        .find(|(.., events)| events.contains(&Event::Purged { first: 1, keys: vec!["k".into()] }))
        .unwrap();
    assert!(purge.0 <= purged_at + 1_000, "the purge took {} ms", purge.0 - purged_at);
    let limits = SessionLimits::default();
    let mut sent_bytes = 0;
    for (now, bytes, _) in &frames {
        sent_bytes += *bytes as u64 + 72; // with the overhead of a frame on the network
        let max_bytes = limits.burst_bytes
            + limits.purge_reserve_bytes
            + limits.max_payload_bytes as u64 * 2
            + limits.bytes_per_second * now / 1_000
            + now / 10;
        assert!(sent_bytes <= max_bytes, "{sent_bytes} bytes by {now} ms");
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
    let (mut session, mut subscriber) = connect(&table);
    run_session(&mut session, &mut table, &mut subscriber, 0, 10);
    for revision in 1..=200 {
        match revision % 2 {
            0 => table.put(revision, &document("a", &revision.to_string())),
            _ => table.add_purge(&format!("k{revision}")),
        }
        table.advance(revision);
    }
    let frames = run_session(&mut session, &mut table, &mut subscriber, 10, 3_000);
    let events: Vec<&Event> = frames.iter().flat_map(|(.., events)| events).collect();
    let changed_events = events.iter().filter(|event| matches!(event, Event::Changed(_))).count();
    let purged_keys: usize =
        events.iter().map(|event| if let Event::Purged { keys, .. } = event { keys.len() } else { 0 }).sum();
    assert_eq!((changed_events, purged_keys), (1, 100));
    assert_eq!(subscriber.table.item(&ItemKey::Document("a".into())), Some((200, document("a", "200"))));
}

#[test]
fn a_new_subscriber_gets_the_complete_list_and_then_deltas() {
    let text = |version: u64| {
        let entries: Vec<String> = (0..300)
            .map(|n| format!(r#"{{"id":"s-{n}","v":{}}}"#, if n == 7 { version } else { 0 }))
            .collect();
        format!(r#"{{"servers":[{}],"version":{version}}}"#, entries.join(","))
    };
    let mut table = FeedTable::default();
    table.put(1, &list(1, &text(1)));
    table.advance(1);
    let (mut session, mut subscriber) = connect(&table);
    let complete_bytes: usize = run_session(&mut session, &mut table, &mut subscriber, 0, 2_000)
        .iter()
        .map(|(_, bytes, _)| bytes)
        .sum();
    table.put(2, &list(2, &text(2)));
    table.advance(2);
    let bytes = session.poll(5_000, &mut table, Some(0)).unwrap().unwrap();
    subscriber.on_frame(&bytes, 5_000).unwrap();
    assert!(
        bytes.len() < 200 && complete_bytes > 5_000,
        "{} bytes for one entry of {complete_bytes}",
        bytes.len()
    );
    assert_eq!(&**subscriber.table.list_text().unwrap(), text(2));
}

#[test]
fn a_session_ends_without_acks_or_when_its_purges_are_dropped() {
    let mut table = FeedTable::default();
    table.put(1, &document("a", "1"));
    table.advance(1);
    let (mut session, _) = connect(&table);
    assert!(session.poll(0, &mut table, None).unwrap().is_some());
    let end = (0..20_000)
        .step_by(10)
        .find_map(|now| session.poll(now, &mut table, None).err().map(|reason| (now, reason)));
    assert_eq!(end, Some((8_000, SessionRejection::TooSlow(8_000))));
    let (mut session, _) = connect(&table);
    (0..=MAX_RETAINED_PURGES).for_each(|n| table.add_purge(&n.to_string()));
    assert!(matches!(
        session.poll(0, &mut table, None),
        Err(SessionRejection::PurgesDropped { theirs: 0, ours: 1 })
    ));
}
