//! Committed state reaches subscribers through relays, after failovers and after restarts.

use stonefold_store::feed::frame::{Item, ItemKey};
use stonefold_store::feed::publisher::SessionLimits;
use stonefold_store::feed::selector::preference_order;
use stonefold_store::feed::subscriber::Event;
use stonefold_store::state::Change;
use stonefold_store::subscriber_folder::SubscriberFolder;
use stonefold_store::wire::TcpTransport;
use tokio::time::timeout;

use super::nodes::{CLUSTER, TIMEOUT, keys, start_cluster, start_subscriber, start_subscriber_with};

#[tokio::test]
async fn committed_state_and_its_staleness_pass_through_two_relays() {
    let members = start_cluster(1).await;
    members[0].write_document("before", "1").await;
    let region = start_subscriber(1, &[vec![members[0].addr.clone()]]);
    let site = start_subscriber(2, &[vec![region.start_relay(SessionLimits::default()).await.0]]);
    let node = start_subscriber(3, &[vec![site.start_relay(SessionLimits::default()).await.0]]);
    node.wait_for_document("before", "1").await;
    node.wait_until("fresh", |node| node.feed.stale_ms().is_some_and(|stale| stale < 4_000)).await;
    let purges = node.purges.lock().unwrap().clone();
    assert_eq!(
        purges,
        [Event::PurgesUnknown { after: 0, through: 0 }],
        "a subscriber that starts reports earlier purges as unknown"
    );
    members[0].commit(Change::List { version: 4, text: "{}".into(), learned_by: 1, started: vec![] }).await;
    members[0].purge("a").await;
    members[0].write_document("config", "2").await;
    members[0].purge("b").await;
    node.wait_for_document("config", "2").await;
    node.wait_until("purges", |node| node.purged_keys() == ["a", "b"]).await;
    let list = Item::List { version: 4, text: "{}".into() };
    assert_eq!(node.feed.view().item(&ItemKey::List).map(|(_, list)| list), Some(list));
    assert_eq!(node.feed.counters().rejected_frames, 0);
}

#[tokio::test]
async fn subscribers_of_a_killed_member_fail_over() {
    let mut members = start_cluster(3).await;
    let addrs: Vec<String> = members.iter().map(|member| member.addr.clone()).collect();
    let node = start_subscriber(3, std::slice::from_ref(&addrs));
    members[0].write_document("a", "1").await;
    node.wait_for_document("a", "1").await;
    node.wait_until("a publisher", |node| node.feed.publisher().is_some()).await;
    let publisher = node.feed.publisher().unwrap();
    let killed = members.remove(addrs.iter().position(|addr| *addr == publisher).unwrap());
    killed.shut_down().await;
    members[0].purge("k").await;
    members[0].write_document("a", "2").await;
    node.wait_for_document("a", "2").await;
    assert_eq!(node.purged_keys(), ["k"]);
    assert_ne!(node.feed.publisher(), Some(publisher));
}

#[tokio::test]
async fn subscribers_of_a_killed_relay_fail_over_without_losing_purges() {
    let members = start_cluster(1).await;
    let member_tier = vec![members[0].addr.clone()];
    let relays = [
        start_subscriber(1, std::slice::from_ref(&member_tier)),
        start_subscriber(2, std::slice::from_ref(&member_tier)),
    ];
    let mut relay_servers = Vec::new();
    for relay in &relays {
        relay_servers.push(relay.start_relay(SessionLimits::default()).await);
    }
    let tiers = [relay_servers.iter().map(|(addr, _)| addr.clone()).collect(), member_tier];
    let node = start_subscriber(3, &tiers);
    members[0].write_document("a", "1").await;
    node.wait_for_document("a", "1").await;
    members[0].purge("k1").await;
    node.wait_until("purges", |node| node.purged_keys() == ["k1"]).await;
    let first = relay_servers.iter().position(|(addr, _)| *addr == preference_order(3, &tiers)[0]).unwrap();
    assert_eq!(node.feed.publisher().as_ref(), Some(&relay_servers[first].0));
    relay_servers[first].1.cancel();
    relays[first].stop.cancel();
    members[0].purge("k2").await;
    members[0].write_document("a", "2").await;
    node.wait_for_document("a", "2").await;
    node.wait_until("purges", |node| node.purged_keys() == ["k1", "k2"]).await;
    assert_eq!(
        node.purges
            .lock()
            .unwrap()
            .iter()
            .filter(|event| matches!(event, Event::PurgesUnknown { .. }))
            .count(),
        1
    );
}

#[tokio::test]
async fn a_restarted_subscriber_resumes_from_its_folder() {
    let members = start_cluster(1).await;
    let dir = tempfile::tempdir().unwrap();
    let tier = [vec![members[0].addr.clone()]];
    let tcp = || TcpTransport::subscriber(keys(1).subscriber_keys(), CLUSTER);
    members[0].write_document("a", "1").await;
    {
        let node = start_subscriber_with(
            1,
            &tier,
            tcp(),
            CLUSTER,
            Some(SubscriberFolder::open(dir.path(), CLUSTER).unwrap()),
        );
        node.wait_for_document("a", "1").await;
        assert!(
            SubscriberFolder::open(dir.path(), CLUSTER).unwrap_err().to_string().contains("another process")
        );
        node.feed.use_list(7);
        members[0].write_document("b", "1").await;
        node.wait_for_document("b", "1").await;
        node.stop.cancel();
    }
    let reopened = async {
        loop {
            match SubscriberFolder::open(dir.path(), CLUSTER) {
                Ok(folder) => return folder,
                Err(_) => tokio::task::yield_now().await, // the first subscriber has not ended yet
            }
        }
    };
    let (folder, table) = timeout(TIMEOUT, reopened).await.unwrap();
    assert_eq!((folder.list_in_use(), table.items().len()), (7, 2));
    // Without a reachable publisher, the subscriber has the state from its folder.
    let unconnected =
        start_subscriber_with(1, &[vec!["127.0.0.1:1".into()]], tcp(), CLUSTER, Some((folder, table)));
    assert_eq!((unconnected.document_text("b").as_deref(), unconnected.feed.stale_ms()), (Some("1"), None));
    drop(unconnected);
    let empty = SubscriberFolder::open(tempfile::tempdir().unwrap().path(), CLUSTER).map(drop);
    assert!(empty.is_ok());
    std::fs::copy(dir.path().join("subscriber"), dir.path().join("copy")).unwrap();
    let copy = tempfile::tempdir().unwrap();
    std::fs::copy(dir.path().join("subscriber"), copy.path().join("subscriber")).unwrap();
    let error = SubscriberFolder::open(copy.path(), 8).unwrap_err().to_string();
    assert!(error.contains("not of 00000000000000000000000000000008"), "{error}");
    let mut bytes = std::fs::read(copy.path().join("subscriber")).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    std::fs::write(copy.path().join("subscriber"), bytes).unwrap();
    let error = SubscriberFolder::open(copy.path(), CLUSTER).unwrap_err().to_string();
    assert!(error.contains("its checksum differs"), "{error}");
}
