//! Committed state passes relays, failovers and restarts.

use stonefold_store::feed::frame::{Item, ItemKey};
use stonefold_store::feed::publisher::SessionLimits;
use stonefold_store::feed::selector::preference_order;
use stonefold_store::feed::subscriber::Event;
use stonefold_store::state::Change;
use stonefold_store::subscriber_folder::SubscriberFolder;
use stonefold_store::wire::TcpTransport;
use tokio::time::timeout;

use super::nodes::{CLUSTER, PATIENCE, follows, keys, members, subscriber};

#[tokio::test]
async fn committed_state_passes_two_relays_with_its_staleness() {
    let members = members(1).await;
    members[0].document("before", "1").await;
    let region = subscriber(1, &[vec![members[0].addr.clone()]]);
    let site = subscriber(2, &[vec![region.relays(SessionLimits::default()).await.0]]);
    let node = subscriber(3, &[vec![site.relays(SessionLimits::default()).await.0]]);
    node.has("before", "1").await;
    node.until("fresh", |node| node.feed.stale_ms().is_some_and(|stale| stale < 4_000)).await;
    let purges = node.purges.lock().unwrap().clone();
    assert_eq!(
        purges,
        [Event::PurgesUnknown { after: 0, through: 0 }],
        "a subscriber that starts reports earlier purges as unknown"
    );
    members[0].change(Change::List { version: 4, text: "{}".into(), learned_by: 1, started: vec![] }).await;
    members[0].purge("a").await;
    members[0].document("config", "2").await;
    members[0].purge("b").await;
    node.has("config", "2").await;
    node.until("purges", |node| node.purged() == ["a", "b"]).await;
    let list = Item::List { version: 4, text: "{}".into() };
    assert_eq!(node.feed.view().item(&ItemKey::List).map(|(_, list)| list), Some(list));
    assert_eq!(node.feed.counters().rejected_frames, 0);
}

#[tokio::test]
async fn subscribers_of_a_killed_member_fail_over() {
    let mut members = members(3).await;
    let all: Vec<String> = members.iter().map(|member| member.addr.clone()).collect();
    let node = subscriber(3, std::slice::from_ref(&all));
    members[0].document("a", "1").await;
    node.has("a", "1").await;
    node.until("a publisher", |node| node.feed.publisher().is_some()).await;
    let at = node.feed.publisher().unwrap();
    let killed = members.remove(all.iter().position(|addr| *addr == at).unwrap());
    killed.end().await;
    members[0].purge("k").await;
    members[0].document("a", "2").await;
    node.has("a", "2").await;
    assert_eq!(node.purged(), ["k"]);
    assert_ne!(node.feed.publisher(), Some(at));
}

#[tokio::test]
async fn subscribers_of_a_killed_relay_fail_over_without_losing_purges() {
    let members = members(1).await;
    let tier = vec![members[0].addr.clone()];
    let relays = [subscriber(1, std::slice::from_ref(&tier)), subscriber(2, std::slice::from_ref(&tier))];
    let mut at = Vec::new();
    for relay in &relays {
        at.push(relay.relays(SessionLimits::default()).await);
    }
    let tiers = [at.iter().map(|(addr, _)| addr.clone()).collect(), tier];
    let node = subscriber(3, &tiers);
    members[0].document("a", "1").await;
    node.has("a", "1").await;
    members[0].purge("k1").await;
    node.until("purges", |node| node.purged() == ["k1"]).await;
    let first = at.iter().position(|(addr, _)| *addr == preference_order(3, &tiers)[0]).unwrap();
    assert_eq!(node.feed.publisher().as_ref(), Some(&at[first].0));
    at[first].1.cancel();
    relays[first].stop.cancel();
    members[0].purge("k2").await;
    members[0].document("a", "2").await;
    node.has("a", "2").await;
    node.until("purges", |node| node.purged() == ["k1", "k2"]).await;
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
    let members = members(1).await;
    let dir = tempfile::tempdir().unwrap();
    let tier = [vec![members[0].addr.clone()]];
    let tcp = || TcpTransport::subscriber(keys(1).subscriber_keys(), CLUSTER);
    members[0].document("a", "1").await;
    {
        let node =
            follows(1, &tier, tcp(), CLUSTER, Some(SubscriberFolder::open(dir.path(), CLUSTER).unwrap()));
        node.has("a", "1").await;
        assert!(
            SubscriberFolder::open(dir.path(), CLUSTER).unwrap_err().to_string().contains("another process")
        );
        node.feed.use_list(7);
        members[0].document("b", "1").await;
        node.has("b", "1").await;
        node.stop.cancel();
    }
    let reopened = async {
        loop {
            match SubscriberFolder::open(dir.path(), CLUSTER) {
                Ok(folder) => return folder,
                Err(_) => tokio::task::yield_now().await, // the first has not ended yet
            }
        }
    };
    let (folder, table) = timeout(PATIENCE, reopened).await.unwrap();
    assert_eq!((folder.list_in_use(), table.items().len()), (7, 2));
    // Nobody to be reached: it has what it had.
    let alone = follows(1, &[vec!["127.0.0.1:1".into()]], tcp(), CLUSTER, Some((folder, table)));
    assert_eq!((alone.text("b").as_deref(), alone.feed.stale_ms()), (Some("1"), None));
    drop(alone);
    let other = SubscriberFolder::open(tempfile::tempdir().unwrap().path(), CLUSTER).map(drop);
    assert!(other.is_ok());
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
