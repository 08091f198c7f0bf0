//! Sessions with peers that send invalid frames or are slow.

use stonefold_store::feed::delta::diff;
use stonefold_store::feed::frame::{
    Ack, Hello, Item, MAX_FRAME_BYTES, PublisherFrame, PublisherStatus, Record, SessionRejection,
    SubscriberFrame, Update, decode_frame, encode_frame,
};
use stonefold_store::feed::publisher::SessionLimits;
use tokio::net::TcpListener;

use super::nodes::{start_cluster, start_subscriber};
use super::raw_peer::{RawPeer, hello};

fn encode(frame: SubscriberFrame) -> Vec<u8> {
    encode_frame(&frame).unwrap()
}

/// The frames of subscribers whose sessions are rejected, each with a part of the reason.
fn invalid_subscriber_sessions() -> Vec<(Vec<Vec<u8>>, &'static str)> {
    let mut version = encode(SubscriberFrame::Hello(hello(0)));
    version[0] = 9;
    vec![
        (vec![encode(SubscriberFrame::Hello(hello(99_999)))], "revision 99999 is from the future"),
        (
            vec![encode(SubscriberFrame::Hello(Hello { last_purge: Some(7), ..hello(0) }))],
            "revision 7 is from the future",
        ),
        (vec![version], "version 9; this program reads 1"),
        (vec![encode(SubscriberFrame::Ack(Ack { received_bytes: 0, time: 0 }))], "before a hello"),
        (
            vec![encode(SubscriberFrame::Hello(hello(0))), encode(SubscriberFrame::Hello(hello(0)))],
            "a second hello",
        ),
        (
            vec![
                encode(SubscriberFrame::Hello(hello(0))),
                encode(SubscriberFrame::Ack(Ack { received_bytes: 1 << 40, time: 0 })),
            ],
            "of what was not sent",
        ),
        (vec![encode(SubscriberFrame::Hello(hello(0))), vec![1, 250]], "damaged"),
    ]
}

#[tokio::test]
async fn invalid_subscriber_frames_are_rejected_with_a_reason() {
    let members = start_cluster(1).await;
    members[0].write_document("a", "1").await;
    for (frames, reason) in invalid_subscriber_sessions() {
        let before = members[0].tcp.rejected_callers();
        let mut peer = RawPeer::connect(&members[0].addr).await;
        for bytes in &frames {
            peer.send(bytes).await;
        }
        let error = format!(
            "{:?}",
            peer.receive_until_closed().await.last().map(|last| match last {
                PublisherFrame::Rejected(rejection) => rejection.to_string(),
                PublisherFrame::Update(_) => "an update".into(),
            })
        );
        assert!(error.contains(reason), "{error}");
        assert_eq!(members[0].tcp.rejected_callers(), before + 1, "{reason}");
    }
    // A frame that is too large is rejected before it is read.
    let mut peer = RawPeer::connect(&members[0].addr).await;
    peer.send(&encode(SubscriberFrame::Hello(hello(0)))).await;
    peer.send(&vec![1; MAX_FRAME_BYTES + 1]).await;
    peer.receive_until_closed().await;
    assert!(members[0].tcp.rejected_callers() > 7);
}

fn record(revision: u64, text: &str) -> Record {
    let item = Item::Document { name: "a".into(), text: text.into(), author: "me".into(), at_ms: 0 };
    Record { revision, item: item.encode() }
}

/// An encoded update of a publisher that has everything up to revision 5.
fn update(update: Update) -> Vec<u8> {
    let publisher = PublisherStatus {
        echoed_time: 0,
        stale_ms: Some(1),
        is_complete: true,
        head_revision: 5,
        last_purge: 0,
    };
    encode_frame(&PublisherFrame::Update(Box::new(Update { publisher, ..update }))).unwrap()
}

/// An update with document `a` of revision 5, for a subscriber that has nothing.
fn first_update() -> Vec<u8> {
    update(Update { after: 0, through: 5, records: vec![record(5, "1")], ..Update::default() })
}

/// Frames that are invalid for a subscriber that has applied the first update.
fn invalid_updates() -> Vec<Vec<u8>> {
    let list = Item::ListDelta { from: 3, version: 4, delta: diff("{}", "{}{}") };
    let mut version = first_update();
    version[0] = 9;
    let next = || Update { after: 5, through: 5, ..Update::default() };
    vec![
        version,
        update(Update { after: 2, ..next() }),
        update(Update { through: 9, ..next() }),
        update(Update { records: vec![record(4, "0")], ..next() }),
        update(Update { records: vec![record(7, "7")], ..next() }),
        update(Update { records: vec![Record { revision: 5, item: list.encode() }], ..next() }),
        update(Update { purges_after: 2, purges: vec!["k".into()], ..next() }),
        vec![1; MAX_FRAME_BYTES + 1],
    ]
}

#[tokio::test]
async fn invalid_publisher_frames_close_the_connection_and_are_not_applied() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let node = start_subscriber(3, &[vec![listener.local_addr().unwrap().to_string()]]);
    let mut peer = RawPeer::accept(&listener).await;
    peer.receive().await.unwrap();
    peer.send(&first_update()).await;
    node.wait_for_document("a", "1").await;
    drop(peer);
    for (n, frame) in invalid_updates().into_iter().enumerate() {
        let mut peer = RawPeer::accept(&listener).await;
        match decode_frame(&peer.receive().await.unwrap()).unwrap() {
            SubscriberFrame::Hello(hello) => {
                assert_eq!((hello.revision, hello.last_purge), (5, Some(0)), "{n}: the subscriber resumes");
            }
            ack => panic!("{ack:?}"),
        }
        peer.send(&frame).await;
        assert_eq!(peer.receive().await, None, "{n}: the subscriber closes the connection");
        node.wait_until("the frame is counted", |node| node.feed.counters().rejected_frames == n as u64 + 1)
            .await;
        assert_eq!((node.document_text("a").as_deref(), node.feed.revision()), (Some("1"), 5), "{n}");
        assert_eq!(node.purged_keys(), Vec::<String>::new());
    }
}

#[tokio::test]
async fn a_relay_disconnects_a_slow_subscriber_and_goes_on_serving_others() {
    let members = start_cluster(1).await;
    let relay = start_subscriber(1, &[vec![members[0].addr.clone()]]);
    let limits = SessionLimits {
        ack_timeout: 1_500,
        min_frame_interval: 1,
        max_in_flight_bytes: 20 << 10,
        ..SessionLimits::default()
    };
    let (addr, _) = relay.start_relay(limits).await;
    members[0].write_document("a", "1").await;
    relay.wait_for_document("a", "1").await;
    members[0].write_document("b", &"x".repeat(60_000)).await;
    members[0].purge("k1").await;
    relay
        .wait_until("all", |relay| relay.document_text("b").is_some() && relay.purged_keys() == ["k1"])
        .await;
    let mut peer = RawPeer::connect(&addr).await;
    let first_hello = Hello { last_purge: Some(0), ..hello(0) };
    peer.send(&encode_frame(&SubscriberFrame::Hello(first_hello)).unwrap()).await;
    let frames = peer.receive_until_closed().await;
    let updates: Vec<&Update> = frames
        .iter()
        .filter_map(|frame| match frame {
            PublisherFrame::Update(update) => Some(&**update),
            PublisherFrame::Rejected(_) => None,
        })
        .collect();
    assert!(
        matches!(frames.last(), Some(PublisherFrame::Rejected(SessionRejection::TooSlow(_)))),
        "{frames:?}"
    );
    let bytes: usize = updates
        .iter()
        .map(|update| encode_frame(&PublisherFrame::Update(Box::new((*update).clone()))).unwrap().len())
        .sum();
    assert!(bytes <= (20 << 10) + (8 << 10), "{bytes} bytes were in flight");
    assert_eq!(updates[0].purges, ["k1"], "purges are sent first");
    assert_eq!(relay.tcp.rejected_callers(), 1);
    // A subscriber that acknowledges gets everything from the same relay.
    members[0].purge("k2").await;
    let node = start_subscriber(3, &[vec![addr]]);
    node.wait_for_document("b", &"x".repeat(60_000)).await;
    members[0].purge("k3").await;
    node.wait_until("purges", |node| node.purged_keys().last().is_some_and(|key| key == "k3")).await;
}
