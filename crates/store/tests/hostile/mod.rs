//! Feeds arbitrary bytes to all decoders, for the fuzz targets and the replay of their corpus. The bytes have to be
//! rejected or decoded completely, and nothing may panic. Each function has the name of its fuzz target.
#![allow(dead_code)] // each fuzz target uses only its own function

use stonefold_store::codec::{decode, encode};
use stonefold_store::feed::frame::{
    Hello, Item, ItemKey, PublisherFrame, SubscriberFrame, decode_frame, encode_frame,
};
use stonefold_store::feed::publisher::{PublisherSession, SessionLimits};
use stonefold_store::feed::selector::PublisherSelector;
use stonefold_store::feed::subscriber::Subscriber;
use stonefold_store::feed::table::FeedTable;
use stonefold_store::message::{Request, Response};
use stonefold_store::raft::Entry;
use stonefold_store::snapshot::open_snapshot;
use stonefold_store::wire::{self, HELLO_BYTES, Keys, Opener, ServerHandshake};

/// Feeds bytes to the handshake, to the opener of sealed messages, and to the decoders of requests and responses.
pub(crate) fn frames(bytes: &[u8]) {
    let keys = Keys::new(wire::Key::new([1; 32]), None);
    if let Some(hello) = bytes.first_chunk::<HELLO_BYTES>() {
        let _ = ServerHandshake::new(&keys, hello, [2; 32]);
    }
    let mut opener = Opener::new(wire::Key::new([1; 32]), true);
    if let Some((head, rest)) = bytes.split_first_chunk::<4>()
        && let Ok(length) = opener.sealed_len(*head)
    {
        let _ = opener.open(&rest[..length.min(rest.len())]);
    }
    let _ = decode::<Response>("a response", bytes);
    if let Ok(request) = decode::<Request>("a request", bytes) {
        assert_eq!(encode("a request", &request).unwrap().first(), bytes.first());
    }
}

/// Feeds bytes to the decoder of log entries. An entry that is decoded has to be the same after another round trip.
pub(crate) fn entries(bytes: &[u8]) {
    if let Ok(entry) = decode::<Entry>("a log entry", bytes) {
        let encoded = encode("a log entry", &entry).unwrap();
        assert_eq!(decode::<Entry>("a log entry", &encoded).unwrap(), entry);
    }
}

/// Feeds bytes to the reader of snapshots.
pub(crate) fn snapshots(bytes: &[u8]) {
    let _ = open_snapshot(bytes);
}

/// Feeds bytes, as a frame of the other side, to a subscriber and to a publisher's session that have a few items. The
/// subscriber must not go back, nor apply a frame that it rejects.
pub(crate) fn feed(bytes: &[u8]) {
    let mut table = FeedTable::default();
    let name = "d".to_owned();
    table.put(3, &Item::Document { name: name.clone(), text: "t".into(), author: "a".into(), at_ms: 7 });
    table.put(4, &Item::List { version: 9, text: "[{}]".into() });
    table.advance(4);
    table.reset_purges(2);
    if let Ok(frame) = decode_frame::<PublisherFrame>(bytes) {
        assert_eq!(decode_frame::<PublisherFrame>(&encode_frame(&frame).unwrap()).unwrap(), frame);
    }
    let _ = Item::decode(bytes);
    let mut subscriber = Subscriber::new(table.clone(), PublisherSelector::new(1, &[vec!["p".into()]], 1));
    subscriber.poll(0);
    subscriber.on_connected(0);
    let before = (subscriber.table.items().clone(), subscriber.table.revision());
    let result = subscriber.on_frame(bytes, 1_000);
    let (items, revision) = (subscriber.table.items(), subscriber.table.revision());
    match result {
        Err(_) => assert_eq!((items, revision), (&before.0, before.1)),
        Ok(_) => {
            assert!(revision >= before.1 && subscriber.table.list_version() >= 9);
            let revision_of = |key: &ItemKey| items.get(key).map(|held| held.revision);
            assert!(
                revision_of(&ItemKey::List) >= Some(4) && revision_of(&ItemKey::Document(name)) >= Some(3)
            );
        }
    }
    match decode_frame::<SubscriberFrame>(bytes) {
        Ok(SubscriberFrame::Hello(hello)) => {
            if let Ok(mut session) = PublisherSession::open(&hello, &table, true, SessionLimits::default(), 0)
            {
                let _ = session.poll(0, &mut table, Some(0)).unwrap();
                let _ = session.next_poll_at(0, &table);
            }
        }
        Ok(SubscriberFrame::Ack(ack)) => {
            let hello = Hello { revision: 4, list_version: 9, last_purge: None, time: 0 };
            let mut session =
                PublisherSession::open(&hello, &table, true, SessionLimits::default(), 0).unwrap();
            let _ = session.on_ack(ack, 1);
            let _ = session.next_poll_at(1, &table);
        }
        Err(_) => {}
    }
}
