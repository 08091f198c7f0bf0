//! Sessions with peers that send invalid frames or are slow.

use stonefold_store::feed::delta::diff;
use stonefold_store::feed::frame::{
    Ack, Hello, Item, MAX_FRAME_BYTES, PublisherFrame, PublisherStatus, Record, SessionRejection,
    SubscriberFrame, Update, decode_frame, encode_frame,
};
use stonefold_store::feed::publisher::SessionLimits;
use tokio::net::TcpListener;

use super::nodes::{members, subscriber};
use super::raw_peer::{RawPeer, hello};

fn encoded(frame: SubscriberFrame) -> Vec<u8> {
    encode_frame(&frame).unwrap()
}

/// Frames of subscribers whose sessions are rejected, with a part of the reason.
fn invalid_subscriber_sessions() -> Vec<(Vec<Vec<u8>>, &'static str)> {
    let mut version = encoded(SubscriberFrame::Hello(hello(0)));
    version[0] = 9;
    vec![
        (vec![encoded(SubscriberFrame::Hello(hello(99_999)))], "revision 99999 is from the future"),
        (
            vec![encoded(SubscriberFrame::Hello(Hello { last_purge: Some(7), ..hello(0) }))],
            "revision 7 is from the future",
        ),
        (vec![version], "version 9; this program reads 1"),
        (vec![encoded(SubscriberFrame::Ack(Ack { received_bytes: 0, time: 0 }))], "before a hello"),
        (
            vec![encoded(SubscriberFrame::Hello(hello(0))), encoded(SubscriberFrame::Hello(hello(0)))],
            "a second hello",
        ),
        (
            vec![
                encoded(SubscriberFrame::Hello(hello(0))),
                encoded(SubscriberFrame::Ack(Ack { received_bytes: 1 << 40, time: 0 })),
            ],
            "of what was not sent",
        ),
        (vec![encoded(SubscriberFrame::Hello(hello(0))), vec![1, 250]], "damaged"),
    ]
}

#[tokio::test]
async fn invalid_subscriber_frames_are_rejected_with_a_reason() {
    let members = members(1).await;
    members[0].document("a", "1").await;
    for (frames, why) in invalid_subscriber_sessions() {
        let before = members[0].tcp.rejected_callers();
        let mut raw = RawPeer::connect(&members[0].addr).await;
        for bytes in &frames {
            raw.send(bytes).await;
        }
        let error = format!(
            "{:?}",
            raw.receive_until_closed().await.last().map(|last| match last {
                PublisherFrame::Rejected(why) => why.to_string(),
                PublisherFrame::Update(_) => "an update".into(),
            })
        );
        assert!(error.contains(why), "{error}");
        assert_eq!(members[0].tcp.rejected_callers(), before + 1, "{why}");
    }
    // One that is too large is not even read.
    let mut raw = RawPeer::connect(&members[0].addr).await;
    raw.send(&encoded(SubscriberFrame::Hello(hello(0)))).await;
    raw.send(&vec![1; MAX_FRAME_BYTES + 1]).await;
    raw.receive_until_closed().await;
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
    let node = subscriber(3, &[vec![listener.local_addr().unwrap().to_string()]]);
    let mut raw = RawPeer::accept(&listener).await;
    raw.receive().await.unwrap();
    raw.send(&first_update()).await;
    node.has("a", "1").await;
    drop(raw);
    for (n, frame) in invalid_updates().into_iter().enumerate() {
        let mut raw = RawPeer::accept(&listener).await;
        match decode_frame(&raw.receive().await.unwrap()).unwrap() {
            SubscriberFrame::Hello(hello) => {
                assert_eq!((hello.revision, hello.last_purge), (5, Some(0)), "{n}: it resumes");
            }
            ack => panic!("{ack:?}"),
        }
        raw.send(&frame).await;
        assert_eq!(raw.receive().await, None, "{n}: it closes");
        node.until("counted", |node| node.feed.counters().rejected_frames == n as u64 + 1).await;
        assert_eq!((node.text("a").as_deref(), node.feed.revision()), (Some("1"), 5), "{n}");
        assert_eq!(node.purged(), Vec::<String>::new());
    }
}

#[tokio::test]
async fn a_slow_subscriber_is_disconnected_and_resumes() {
    let members = members(1).await;
    let relay = subscriber(1, &[vec![members[0].addr.clone()]]);
    let limits = SessionLimits {
        ack_timeout: 1_500,
        min_frame_interval: 1,
        max_in_flight_bytes: 20 << 10,
        ..SessionLimits::default()
    };
    let (at, _) = relay.relays(limits).await;
    members[0].document("a", "1").await;
    relay.has("a", "1").await;
    members[0].document("b", &"x".repeat(60_000)).await;
    members[0].purge("k1").await;
    relay.until("all", |relay| relay.text("b").is_some() && relay.purged() == ["k1"]).await;
    let mut raw = RawPeer::connect(&at).await;
    let from = Hello { last_purge: Some(0), ..hello(0) };
    raw.send(&encode_frame(&SubscriberFrame::Hello(from)).unwrap()).await;
    let frames = raw.receive_until_closed().await;
    let updates: Vec<&Update> = frames
        .iter()
        .filter_map(|one| match one {
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
    assert!(bytes <= (20 << 10) + (8 << 10), "{bytes} bytes were on their way");
    assert_eq!(updates[0].purges, ["k1"], "purges go first");
    assert_eq!(relay.tcp.rejected_callers(), 1);
    // One that reads gets all of it from there.
    members[0].purge("k2").await;
    let node = subscriber(3, &[vec![at]]);
    node.has("b", &"x".repeat(60_000)).await;
    members[0].purge("k3").await;
    node.until("purges", |node| node.purged().last().is_some_and(|key| key == "k3")).await;
}
