//! Sessions with peers that send invalid frames or are slow.

use stonefold_store::feed::delta::diff;
use stonefold_store::feed::frame::{
    Ack, Hello, Item, MAX_FRAME_BYTES, PublisherFrame, PublisherStatus, Record, SessionRejection,
    SubscriberFrame, Update, decode_frame, encode_frame,
};
use stonefold_store::feed::publisher::Limits;
use tokio::net::TcpListener;

use super::nodes::{members, subscriber};
use super::raw_peer::{RawPeer, hello};

#[tokio::test]
async fn invalid_subscriber_frames_are_rejected_with_a_reason() {
    let members = members(1).await;
    members[0].document("a", "1").await;
    let frame = |uplink: SubscriberFrame| encode_frame(&uplink).unwrap();
    let mut version = frame(SubscriberFrame::Hello(hello(0)));
    version[0] = 9;
    for (said, why) in [
        (vec![frame(SubscriberFrame::Hello(hello(99_999)))], "revision 99999 is from the future"),
        (
            vec![frame(SubscriberFrame::Hello(Hello { last_purge: Some(7), ..hello(0) }))],
            "revision 7 is from the future",
        ),
        (vec![version], "version 9; this program reads 1"),
        (vec![frame(SubscriberFrame::Ack(Ack { received_bytes: 0, time: 0 }))], "before a hello"),
        (
            vec![frame(SubscriberFrame::Hello(hello(0))), frame(SubscriberFrame::Hello(hello(0)))],
            "a second hello",
        ),
        (
            vec![
                frame(SubscriberFrame::Hello(hello(0))),
                frame(SubscriberFrame::Ack(Ack { received_bytes: 1 << 40, time: 0 })),
            ],
            "of what was not sent",
        ),
        (vec![frame(SubscriberFrame::Hello(hello(0))), vec![1, 250]], "damaged"),
    ] {
        let before = members[0].tcp.rejected_callers();
        let mut raw = RawPeer::connect(&members[0].addr).await;
        for bytes in &said {
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
    raw.send(&frame(SubscriberFrame::Hello(hello(0)))).await;
    raw.send(&vec![1; MAX_FRAME_BYTES + 1]).await;
    raw.receive_until_closed().await;
    assert!(members[0].tcp.rejected_callers() > 7);
}

#[tokio::test]
async fn invalid_publisher_frames_close_the_connection_and_are_not_applied() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let node = subscriber(3, &[vec![listener.local_addr().unwrap().to_string()]]);
    let item =
        |text: &str| Item::Document { name: "a".into(), text: text.into(), author: "me".into(), at_ms: 0 };
    let record = |revision, text: &str| Record { revision, item: item(text).encode() };
    let beacon = PublisherStatus {
        echoed_time: 0,
        stale_ms: Some(1),
        is_complete: true,
        head_revision: 5,
        last_purge: 0,
    };
    let said = |update: Update| {
        encode_frame(&PublisherFrame::Update(Box::new(Update { publisher: beacon, ..update }))).unwrap()
    };
    let good = |after| Update { after, through: 5, records: vec![record(5, "1")], ..Update::default() };
    let list = Item::ListDelta { from: 3, version: 4, delta: diff("{}", "{}{}") };
    let mut version = said(good(0));
    version[0] = 9;
    let first = said(good(0));
    let mut raw = RawPeer::accept(&listener).await;
    raw.receive().await.unwrap();
    raw.send(&first).await;
    node.has("a", "1").await;
    drop(raw);
    for (n, bytes) in [
        version,
        said(Update { after: 2, through: 5, ..Update::default() }),
        said(Update { after: 5, through: 9, ..Update::default() }),
        said(Update { after: 5, through: 5, records: vec![record(4, "0")], ..Update::default() }),
        said(Update { after: 5, through: 5, records: vec![record(7, "7")], ..Update::default() }),
        said(Update {
            after: 5,
            through: 5,
            records: vec![Record { revision: 5, item: list.encode() }],
            ..Update::default()
        }),
        said(Update { after: 5, through: 5, purges_after: 2, purges: vec!["k".into()], ..Update::default() }),
        vec![1; MAX_FRAME_BYTES + 1],
    ]
    .into_iter()
    .enumerate()
    {
        let mut raw = RawPeer::accept(&listener).await;
        match decode_frame(&raw.receive().await.unwrap()).unwrap() {
            SubscriberFrame::Hello(hello) => {
                assert_eq!((hello.revision, hello.last_purge), (5, Some(0)), "{n}: it resumes");
            }
            ack => panic!("{ack:?}"),
        }
        raw.send(&bytes).await;
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
    let limits = Limits {
        ack_timeout: 1_500,
        min_frame_interval: 1,
        max_in_flight_bytes: 20 << 10,
        ..Limits::default()
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
