//! Access of callers with a wrong key, of another cluster, or with the subscribers' key.

use stonefold_store::feed::publisher::SessionLimits;
use stonefold_store::message::{Caller, Request, RequestError, Response};
use stonefold_store::replica::Transport;
use stonefold_store::state::{Change, Proposal};
use stonefold_store::wire::TcpTransport;

use super::nodes::{CLUSTER, TIMEOUT, keys, start_cluster, start_subscriber, start_subscriber_with};

#[tokio::test]
async fn callers_with_wrong_keys_or_clusters_are_rejected_and_subscriber_keys_allow_no_changes() {
    let members = start_cluster(1).await;
    let member = &members[0];
    let relay = start_subscriber(1, &[vec![member.addr.clone()]]);
    let (relay_addr, _) = relay.start_relay(SessionLimits::default()).await;
    member.write_document("a", "1").await;
    relay.wait_for_document("a", "1").await;
    for addr in [&member.addr, &relay_addr] {
        for (keys, cluster) in [(keys(2), CLUSTER), (keys(1).subscriber_keys(), 8)] {
            let before = member.tcp.rejected_callers() + relay.tcp.rejected_callers();
            let node = start_subscriber_with(
                3,
                &[vec![addr.clone()]],
                TcpTransport::subscriber(keys, cluster),
                cluster,
                None,
            );
            let is_rejected = || member.tcp.rejected_callers() + relay.tcp.rejected_callers() > before;
            node.wait_until("rejected", |node| is_rejected() && node.feed.counters().disconnects > 0).await;
            assert_eq!((node.feed.revision(), node.document_text("a")), (0, None));
            node.stop.cancel();
        }
    }
    // With the subscribers' key a caller is admitted neither as a member nor as a client, and a relay serves only
    // subscribers.
    let subscriber_keys = keys(1).subscriber_keys();
    let propose = || {
        let change = Change::Purge { key: "k".into() };
        Request::Propose(Proposal { client: 5, sequence: 1, change })
    };
    for (tcp, addr, reason) in [
        (
            TcpTransport::client(subscriber_keys.clone(), CLUSTER),
            &member.addr,
            "a subscriber's key is one to follow with",
        ),
        (
            TcpTransport::member(subscriber_keys.clone(), CLUSTER, 4, "127.0.0.1:4".into()),
            &member.addr,
            "a subscriber's key",
        ),
        (
            TcpTransport::client(subscriber_keys.clone(), CLUSTER),
            &relay_addr,
            "it serves subscribers, and nobody else",
        ),
    ] {
        match tcp.request(1, addr, propose(), TIMEOUT).await {
            Err(RequestError::Unreachable(error)) => assert!(error.contains(reason), "{error}"),
            other => panic!("{other:?}"),
        }
    }
    match member.replica.answer(Caller::Subscriber, propose()).await {
        Response::MembersChanged(Err(RequestError::Rejected(reason))) => {
            assert!(reason.contains("follows"), "{reason}");
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(member.replica.shared().read().changes.last_purge(), 0);
}
