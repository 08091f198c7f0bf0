//! What callers with a wrong key, of another cluster, or with a subscriber's key may do.

use stonefold_store::feed::publisher::SessionLimits;
use stonefold_store::message::{Caller, Request, RequestError, Response};
use stonefold_store::replica::Transport;
use stonefold_store::state::{Change, Proposal};
use stonefold_store::wire::TcpTransport;

use super::nodes::{CLUSTER, PATIENCE, follows, keys, members, subscriber};

#[tokio::test]
async fn wrong_keys_and_foreign_clusters_are_rejected_and_subscriber_keys_change_nothing() {
    let members = members(1).await;
    let member = &members[0];
    let relay = subscriber(1, &[vec![member.addr.clone()]]);
    let (relay_at, _) = relay.relays(SessionLimits::default()).await;
    member.document("a", "1").await;
    relay.has("a", "1").await;
    for at in [&member.addr, &relay_at] {
        for (keys, cluster) in [(keys(2), CLUSTER), (keys(1).subscriber_keys(), 8)] {
            let before = member.tcp.rejected_callers() + relay.tcp.rejected_callers();
            let node =
                follows(3, &[vec![at.clone()]], TcpTransport::subscriber(keys, cluster), cluster, None);
            let refused = || member.tcp.rejected_callers() + relay.tcp.rejected_callers() > before;
            node.until("refused", |node| refused() && node.feed.counters().disconnects > 0).await;
            assert_eq!((node.feed.revision(), node.text("a")), (0, None));
            node.stop.cancel();
        }
    }
    // With the subscribers' key nobody is a member or a client; with the members' key a relay answers nobody either.
    let limited = keys(1).subscriber_keys();
    let propose = || {
        let change = Change::Purge { key: "k".into() };
        Request::Propose(Proposal { client: 5, sequence: 1, change })
    };
    for (tcp, at, why) in [
        (
            TcpTransport::client(limited.clone(), CLUSTER),
            &member.addr,
            "a subscriber's key is one to follow with",
        ),
        (
            TcpTransport::member(limited.clone(), CLUSTER, 4, "127.0.0.1:4".into()),
            &member.addr,
            "a subscriber's key",
        ),
        (TcpTransport::client(limited.clone(), CLUSTER), &relay_at, "it serves subscribers, and nobody else"),
    ] {
        match tcp.request(1, at, propose(), PATIENCE).await {
            Err(RequestError::Unreachable(error)) => assert!(error.contains(why), "{error}"),
            other => panic!("{other:?}"),
        }
    }
    match member.replica.answer(Caller::Subscriber, propose()).await {
        Response::MembersChanged(Err(RequestError::Rejected(why))) => {
            assert!(why.contains("follows"), "{why}");
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(member.replica.shared().read().changes.last_purge(), 0);
}
