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

pub(crate) const PATIENCE: Duration = Duration::from_secs(20);
pub(crate) const CLUSTER: u128 = 9;

pub(crate) fn keys(n: u8) -> Keys {
    Keys::new(wire::Key::new([n; 32]), None)
}

pub(crate) struct Member {
    pub(crate) addr: String,
    pub(crate) replica: Replica<TcpTransport>,
    pub(crate) tcp: TcpTransport,
    pub(crate) stop: CancellationToken,
    _dir: tempfile::TempDir,
}

pub(crate) async fn listening(member: u64) -> Member {
    let dir = tempfile::tempdir().unwrap();
    let disk = Disk::create(dir.path(), Identity { cluster: CLUSTER, member }).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let tcp = TcpTransport::member(keys(1), CLUSTER, member, addr.clone());
    let replica = Replica::start(disk, ReplicaOptions::new(addr.clone()), tcp.clone()).await.unwrap();
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, replica.clone(), tcp.clone(), stop.clone()));
    let confirms = replica.clone();
    tokio::spawn(async move {
        loop {
            // As the daemon does, but more often.
            let _ = confirms.confirm(Instant::now() + Duration::from_secs(1)).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    Member { addr, replica, tcp, stop, _dir: dir }
}

pub(crate) async fn members(number: u64) -> Vec<Member> {
    let mut all = vec![listening(1).await];
    all[0].replica.bootstrap().await.unwrap();
    all[0].replica.confirm(Instant::now() + PATIENCE).await.unwrap();
    for member in 2..=number {
        let new = listening(member).await;
        let add = Request::AddMember { member, addr: new.addr.clone() };
        let added = all[0].replica.answer(Caller::Client, add).await;
        assert!(matches!(added, Response::MembersChanged(Ok(()))), "{added:?}");
        all.push(new);
    }
    all
}

impl Member {
    pub(crate) async fn change(&self, change: Change) {
        let proposal = Proposal { client: fastrand::u64(..), sequence: 1, change };
        self.replica.propose(proposal, Instant::now() + PATIENCE).await.unwrap();
    }

    pub(crate) async fn document(&self, name: &str, text: &str) {
        let (name, text) = (name.into(), text.into());
        self.change(Change::Document { name, text, author: "me".into(), at_ms: 0, after: None }).await;
    }

    pub(crate) async fn purge(&self, key: &str) {
        self.change(Change::Purge { key: key.into() }).await;
    }

    pub(crate) async fn end(&self) {
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

pub(crate) fn follows(
    subscriber: u64,
    tiers: &[Vec<String>],
    tcp: TcpTransport,
    cluster: u128,
    saved: Option<(SubscriberFolder, FeedTable)>,
) -> TestSubscriber {
    let (folder, table) = saved.map_or((None, FeedTable::default()), |(folder, table)| (Some(folder), table));
    let feed = SubscriberFeed::new(
        cluster,
        Subscriber::new(table, PublisherSelector::new(subscriber, tiers, subscriber)),
    );
    let (stop, purges) = (CancellationToken::new(), Arc::<Mutex<Vec<Event>>>::default());
    let recorded = purges.clone();
    let on_purge = Box::new(move |event: &Event| recorded.lock().unwrap().push(event.clone()));
    tokio::spawn(follow(feed.clone(), tcp.clone(), folder, on_purge, stop.clone()));
    TestSubscriber { feed, purges, stop, tcp }
}

pub(crate) fn subscriber(subscriber: u64, tiers: &[Vec<String>]) -> TestSubscriber {
    follows(subscriber, tiers, TcpTransport::subscriber(keys(1).subscriber_keys(), CLUSTER), CLUSTER, None)
}

impl TestSubscriber {
    /// Serves others as a relay, with these limits.
    pub(crate) async fn relays(&self, limits: SessionLimits) -> (String, CancellationToken) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (addr, stop) = (listener.local_addr().unwrap().to_string(), CancellationToken::new());
        tokio::spawn(serve_relay(listener, self.feed.clone(), self.tcp.clone(), limits, stop.clone()));
        (addr, stop)
    }

    pub(crate) async fn until(&self, what: &str, there: impl Fn(&TestSubscriber) -> bool) {
        let mut changed = self.feed.changes();
        let wait = async {
            while !there(self) {
                let _ = timeout(Duration::from_millis(50), changed.changed()).await;
            }
        };
        let standing = || {
            let (revision, publisher) = (self.feed.revision(), self.feed.publisher());
            format!("{what}: {:?} {:?}", (revision, publisher), self.feed.counters())
        };
        timeout(PATIENCE, wait).await.unwrap_or_else(|_| panic!("{}", standing()));
    }

    pub(crate) fn text(&self, name: &str) -> Option<String> {
        match self.feed.view().item(&ItemKey::Document(name.into())) {
            Some((_, Item::Document { text, .. })) => Some(text),
            _ => None,
        }
    }

    pub(crate) async fn has(&self, name: &str, text: &str) {
        self.until(text, |follows| follows.text(name).as_deref() == Some(text)).await;
    }

    /// The purged keys so far.
    pub(crate) fn purged(&self) -> Vec<String> {
        let purges = self.purges.lock().unwrap();
        let keys = purges
            .iter()
            .map(|event| if let Event::Purged { keys, .. } = event { keys.clone() } else { vec![] });
        keys.collect::<Vec<_>>().concat()
    }
}
