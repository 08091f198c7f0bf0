//! Members, relays and subscribers for the tests.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use stonefold_store::disk::{Disk, Identity};
use stonefold_store::feed::frame::{Item, ItemKey};
use stonefold_store::feed::publisher::SessionLimits;
use stonefold_store::feed::selector::PublisherSelector;
use stonefold_store::feed::subscriber::{Event, Subscriber};
use stonefold_store::feed::table::FeedTable;
use stonefold_store::message::{Caller, Request, Response};
use stonefold_store::replica::{Replica, ReplicaOptions};
use stonefold_store::state::{Change, Proposal};
use stonefold_store::subscriber_folder::SubscriberFolder;
use stonefold_store::wire::{
    self, FeedSource, Keys, SubscriberFeed, TcpTransport, follow, serve, serve_relay,
};
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

/// How long a test waits for an expected change.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);
pub(crate) const CLUSTER: u128 = 9;

pub(crate) fn keys(n: u8) -> Keys {
    Keys::new(wire::Key::new([n; 32]), None)
}

/// A member that listens on a local port.
pub(crate) struct Member {
    pub(crate) addr: String,
    pub(crate) replica: Replica<TcpTransport>,
    pub(crate) tcp: TcpTransport,
    pub(crate) stop: CancellationToken,
    _dir: tempfile::TempDir,
}

/// Starts a member that belongs to no cluster yet.
pub(crate) async fn start_member(member: u64) -> Member {
    let dir = tempfile::tempdir().unwrap();
    let disk = Disk::create(dir.path(), Identity { cluster: CLUSTER, member }).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let tcp = TcpTransport::member(keys(1), CLUSTER, member, addr.clone());
    let replica = Replica::start(disk, ReplicaOptions::new(addr.clone()), tcp.clone()).await.unwrap();
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, replica.clone(), tcp.clone(), stop.clone()));
    let confirming_replica = replica.clone();
    tokio::spawn(async move {
        loop {
            // The daemon does the same, but less often.
            let _ = confirming_replica.confirm(Instant::now() + Duration::from_secs(1)).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    Member { addr, replica, tcp, stop, _dir: dir }
}

/// Starts a cluster with this many members.
pub(crate) async fn start_cluster(size: u64) -> Vec<Member> {
    let mut members = vec![start_member(1).await];
    members[0].replica.bootstrap().await.unwrap();
    members[0].replica.confirm(Instant::now() + TIMEOUT).await.unwrap();
    for member in 2..=size {
        let new_member = start_member(member).await;
        let add = Request::AddMember { member, addr: new_member.addr.clone() };
        let response = members[0].replica.answer(Caller::Client, add).await;
        assert!(matches!(response, Response::MembersChanged(Ok(()))), "{response:?}");
        members.push(new_member);
    }
    members
}

impl Member {
    /// Commits a change.
    pub(crate) async fn commit(&self, change: Change) {
        let proposal = Proposal { client: fastrand::u64(..), sequence: 1, change };
        self.replica.propose(proposal, Instant::now() + TIMEOUT).await.unwrap();
    }

    pub(crate) async fn write_document(&self, name: &str, text: &str) {
        let (name, text) = (name.into(), text.into());
        self.commit(Change::Document { name, text, author: "me".into(), at_ms: 0, after: None }).await;
    }

    pub(crate) async fn purge(&self, key: &str) {
        self.commit(Change::Purge { key: key.into() }).await;
    }

    /// Stops the member and its server.
    pub(crate) async fn shut_down(&self) {
        self.stop.cancel();
        self.replica.stop().await;
    }
}

/// A subscriber, and the purge events that it has reported.
pub(crate) struct TestSubscriber {
    pub(crate) feed: SubscriberFeed,
    pub(crate) purges: Arc<Mutex<Vec<Event>>>,
    pub(crate) stop: CancellationToken,
    pub(crate) tcp: TcpTransport,
}

/// Starts a subscriber with this id and these publishers. `saved` has its folder and the state read from it.
pub(crate) fn start_subscriber_with(
    id: u64,
    tiers: &[Vec<String>],
    tcp: TcpTransport,
    cluster: u128,
    saved: Option<(SubscriberFolder, FeedTable)>,
) -> TestSubscriber {
    let (folder, table) = saved.map_or((None, FeedTable::default()), |(folder, table)| (Some(folder), table));
    let feed = SubscriberFeed::new(cluster, Subscriber::new(table, PublisherSelector::new(id, tiers, id)));
    let (stop, purges) = (CancellationToken::new(), Arc::<Mutex<Vec<Event>>>::default());
    let recorded = purges.clone();
    let on_purge = Box::new(move |event: &Event| recorded.lock().unwrap().push(event.clone()));
    tokio::spawn(follow(feed.clone(), tcp.clone(), folder, on_purge, stop.clone()));
    TestSubscriber { feed, purges, stop, tcp }
}

/// Starts a subscriber with this id and these publishers, without a folder.
pub(crate) fn start_subscriber(id: u64, tiers: &[Vec<String>]) -> TestSubscriber {
    start_subscriber_with(
        id,
        tiers,
        TcpTransport::subscriber(keys(1).subscriber_keys(), CLUSTER),
        CLUSTER,
        None,
    )
}

impl TestSubscriber {
    /// Starts to serve other subscribers as a relay. Returns the relay's address and a token that stops its server.
    pub(crate) async fn start_relay(&self, limits: SessionLimits) -> (String, CancellationToken) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (addr, stop) = (listener.local_addr().unwrap().to_string(), CancellationToken::new());
        tokio::spawn(serve_relay(listener, self.feed.clone(), self.tcp.clone(), limits, stop.clone()));
        (addr, stop)
    }

    /// Waits until a condition holds. `what` describes it in the message of a timeout.
    pub(crate) async fn wait_until(&self, what: &str, condition: impl Fn(&TestSubscriber) -> bool) {
        let mut changed = self.feed.changes();
        let wait = async {
            while !condition(self) {
                let _ = timeout(Duration::from_millis(50), changed.changed()).await;
            }
        };
        let describe = || {
            let (revision, publisher) = (self.feed.revision(), self.feed.publisher());
            format!("{what}: {:?} {:?}", (revision, publisher), self.feed.counters())
        };
        timeout(TIMEOUT, wait).await.unwrap_or_else(|_| panic!("{}", describe()));
    }

    /// The text of a document, if the subscriber has it.
    pub(crate) fn document_text(&self, name: &str) -> Option<String> {
        match self.feed.view().item(&ItemKey::Document(name.into())) {
            Some((_, Item::Document { text, .. })) => Some(text),
            _ => None,
        }
    }

    /// Waits until a document has this text.
    pub(crate) async fn wait_for_document(&self, name: &str, text: &str) {
        self.wait_until(text, |subscriber| subscriber.document_text(name).as_deref() == Some(text)).await;
    }

    /// The keys of all reported purges, in their order.
    pub(crate) fn purged_keys(&self) -> Vec<String> {
        let purges = self.purges.lock().unwrap();
        let keys = purges
            .iter()
            .map(|event| if let Event::Purged { keys, .. } = event { keys.clone() } else { vec![] });
        keys.collect::<Vec<_>>().concat()
    }
}
