//! Distribution by real connections: members, relays and subscribers over TCP, and those who should not be heard.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use stonefold_store::codec::{decode, encode};
use stonefold_store::disk::{Disk, Identity};
use stonefold_store::feed::delta::diff;
use stonefold_store::feed::frame::{
    Ack, Hello, Item, ItemKey, MAX_FRAME_BYTES, PublisherFrame, PublisherStatus, Record, SessionRejection,
    SubscriberFrame, Update, decode_frame, encode_frame,
};
use stonefold_store::feed::publisher::Limits;
use stonefold_store::feed::selector::{PublisherSelector, preference_order};
use stonefold_store::feed::subscriber::{Event, Subscriber};
use stonefold_store::feed::table::Table;
use stonefold_store::message::{Caller, Request, RequestError, Response};
use stonefold_store::replica::{Options, Replica, Transport};
use stonefold_store::state::{Change, Proposal};
use stonefold_store::subscriber_folder::SubscriberFolder;
use stonefold_store::wire::{
    self, ClientHandshake, Feed, HELLO_BYTES, Keys, Opener, PROOF_BYTES, Sealer, ServerHandshake, Source,
    Tcp, WELCOME_BYTES, follow, serve, serve_relay,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

const PATIENCE: Duration = Duration::from_secs(20);
const CLUSTER: u128 = 9;

fn keys(n: u8) -> Keys {
    Keys::new(wire::Key::new([n; 32]), None)
}

struct Member {
    addr: String,
    replica: Replica<Tcp>,
    tcp: Tcp,
    stop: CancellationToken,
    _dir: tempfile::TempDir,
}

async fn listening(member: u64) -> Member {
    let dir = tempfile::tempdir().unwrap();
    let disk = Disk::create(dir.path(), Identity { cluster: CLUSTER, member }).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let tcp = Tcp::member(keys(1), CLUSTER, member, addr.clone());
    let replica = Replica::start(disk, Options::new(addr.clone()), tcp.clone()).await.unwrap();
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

async fn members(number: u64) -> Vec<Member> {
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
    async fn change(&self, change: Change) {
        let proposal = Proposal { client: fastrand::u64(..), sequence: 1, change };
        self.replica.propose(proposal, Instant::now() + PATIENCE).await.unwrap();
    }

    async fn document(&self, name: &str, text: &str) {
        let (name, text) = (name.into(), text.into());
        self.change(Change::Document { name, text, author: "me".into(), at_ms: 0, after: None }).await;
    }

    async fn purge(&self, key: &str) {
        self.change(Change::Purge { key: key.into() }).await;
    }

    async fn end(&self) {
        self.stop.cancel();
        self.replica.stop().await;
    }
}

/// A subscriber, and what it was told of purges.
struct Follows {
    feed: Feed,
    purges: Arc<Mutex<Vec<Event>>>,
    stop: CancellationToken,
    tcp: Tcp,
}

fn follows(
    subscriber: u64,
    tiers: &[Vec<String>],
    tcp: Tcp,
    cluster: u128,
    kept: Option<(SubscriberFolder, Table)>,
) -> Follows {
    let (folder, table) = kept.map_or((None, Table::default()), |(folder, table)| (Some(folder), table));
    let feed =
        Feed::new(cluster, Subscriber::new(table, PublisherSelector::new(subscriber, tiers, subscriber)));
    let (stop, purges) = (CancellationToken::new(), Arc::<Mutex<Vec<Event>>>::default());
    let told = purges.clone();
    let on_purge = Box::new(move |event: &Event| told.lock().unwrap().push(event.clone()));
    tokio::spawn(follow(feed.clone(), tcp.clone(), folder, on_purge, stop.clone()));
    Follows { feed, purges, stop, tcp }
}

fn of(subscriber: u64, tiers: &[Vec<String>]) -> Follows {
    follows(subscriber, tiers, Tcp::subscriber(keys(1).subscriber_keys(), CLUSTER), CLUSTER, None)
}

impl Follows {
    /// It serves others, with these limits.
    async fn relays(&self, limits: Limits) -> (String, CancellationToken) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (addr, stop) = (listener.local_addr().unwrap().to_string(), CancellationToken::new());
        tokio::spawn(serve_relay(listener, self.feed.clone(), self.tcp.clone(), limits, stop.clone()));
        (addr, stop)
    }

    async fn until(&self, what: &str, there: impl Fn(&Follows) -> bool) {
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

    fn text(&self, name: &str) -> Option<String> {
        match self.feed.view().item(&ItemKey::Document(name.into())) {
            Some((_, Item::Document { text, .. })) => Some(text),
            _ => None,
        }
    }

    async fn has(&self, name: &str, text: &str) {
        self.until(text, |follows| follows.text(name).as_deref() == Some(text)).await;
    }

    /// The keys that were purged.
    fn purged(&self) -> Vec<String> {
        let purges = self.purges.lock().unwrap();
        let keys = purges
            .iter()
            .map(|event| if let Event::Purged { keys, .. } = event { keys.clone() } else { vec![] });
        keys.collect::<Vec<_>>().concat()
    }
}

#[tokio::test]
async fn what_is_committed_goes_through_two_relays_and_how_stale_it_is_is_known() {
    let members = members(1).await;
    members[0].document("before", "1").await;
    let region = of(1, &[vec![members[0].addr.clone()]]);
    let site = of(2, &[vec![region.relays(Limits::default()).await.0]]);
    let node = of(3, &[vec![site.relays(Limits::default()).await.0]]);
    node.has("before", "1").await;
    node.until("fresh", |node| node.feed.stale_ms().is_some_and(|stale| stale < 4_000)).await;
    let told = node.purges.lock().unwrap().clone();
    assert_eq!(
        told,
        [Event::PurgesUnknown { after: 0, through: 0 }],
        "whoever starts is told that it knows no purges before"
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
async fn when_a_member_is_killed_its_subscribers_go_on_at_another() {
    let mut members = members(3).await;
    let all: Vec<String> = members.iter().map(|member| member.addr.clone()).collect();
    let node = of(3, std::slice::from_ref(&all));
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
async fn when_a_relay_is_killed_its_subscribers_go_on_at_another_and_lose_no_purge() {
    let members = members(1).await;
    let tier = vec![members[0].addr.clone()];
    let relays = [of(1, std::slice::from_ref(&tier)), of(2, std::slice::from_ref(&tier))];
    let mut at = Vec::new();
    for relay in &relays {
        at.push(relay.relays(Limits::default()).await);
    }
    let tiers = [at.iter().map(|(addr, _)| addr.clone()).collect(), tier];
    let node = of(3, &tiers);
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
async fn after_a_restart_it_goes_on_from_its_disk_and_not_back_behind_it() {
    let members = members(1).await;
    let dir = tempfile::tempdir().unwrap();
    let tier = [vec![members[0].addr.clone()]];
    let tcp = || Tcp::subscriber(keys(1).subscriber_keys(), CLUSTER);
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
    let told = SubscriberFolder::open(copy.path(), 8).unwrap_err().to_string();
    assert!(told.contains("not of 00000000000000000000000000000008"), "{told}");
    let mut bytes = std::fs::read(copy.path().join("subscriber")).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    std::fs::write(copy.path().join("subscriber"), bytes).unwrap();
    let told = SubscriberFolder::open(copy.path(), CLUSTER).unwrap_err().to_string();
    assert!(told.contains("its checksum differs"), "{told}");
}

#[tokio::test]
async fn a_wrong_key_and_another_cluster_are_refused_and_counted_and_a_subscribers_key_changes_nothing() {
    let members = members(1).await;
    let member = &members[0];
    let relay = of(1, &[vec![member.addr.clone()]]);
    let (relay_at, _) = relay.relays(Limits::default()).await;
    member.document("a", "1").await;
    relay.has("a", "1").await;
    for at in [&member.addr, &relay_at] {
        for (keys, cluster) in [(keys(2), CLUSTER), (keys(1).subscriber_keys(), 8)] {
            let before = member.tcp.rejected_callers() + relay.tcp.rejected_callers();
            let node = follows(3, &[vec![at.clone()]], Tcp::subscriber(keys, cluster), cluster, None);
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
        (Tcp::client(limited.clone(), CLUSTER), &member.addr, "a subscriber's key is one to follow with"),
        (Tcp::member(limited.clone(), CLUSTER, 4, "127.0.0.1:4".into()), &member.addr, "a subscriber's key"),
        (Tcp::client(limited.clone(), CLUSTER), &relay_at, "it serves subscribers, and nobody else"),
    ] {
        match tcp.request(1, at, propose(), PATIENCE).await {
            Err(RequestError::Unreachable(told)) => assert!(told.contains(why), "{told}"),
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

/// A connection that says by hand what a subscriber says, or a publisher.
struct Raw {
    stream: TcpStream,
    sealer: Sealer,
    opener: Opener,
}

impl Raw {
    async fn connect(at: &str) -> Raw {
        let mut stream = TcpStream::connect(at).await.unwrap();
        let (asking, hello) = ClientHandshake::new(&keys(1).subscriber_keys(), [3; 32]);
        stream.write_all(&hello).await.unwrap();
        let mut welcome = [0; WELCOME_BYTES];
        stream.read_exact(&mut welcome).await.unwrap();
        let (key, proof) = asking.finish(&welcome).unwrap();
        stream.write_all(&proof).await.unwrap();
        let mut raw = Raw { stream, sealer: Sealer::new(key.clone(), true), opener: Opener::new(key, false) };
        raw.say(&encode("an introduction", &(CLUSTER, Caller::Subscriber, String::new())).unwrap()).await;
        let said: Result<(), String> = decode("an answer", &raw.hear().await.unwrap()).unwrap();
        assert_eq!(said, Ok(()));
        raw
    }

    async fn accept(listener: &TcpListener) -> Raw {
        let (mut stream, _) = timeout(PATIENCE, listener.accept()).await.unwrap().unwrap();
        let mut hello = [0; HELLO_BYTES];
        stream.read_exact(&mut hello).await.unwrap();
        let (welcoming, welcome) = ServerHandshake::new(&keys(1).subscriber_keys(), &hello, [4; 32]).unwrap();
        stream.write_all(&welcome).await.unwrap();
        let mut proof = [0; PROOF_BYTES];
        stream.read_exact(&mut proof).await.unwrap();
        let key = welcoming.finish(&proof).unwrap();
        let mut raw = Raw { stream, sealer: Sealer::new(key.clone(), false), opener: Opener::new(key, true) };
        raw.hear().await.unwrap();
        raw.say(&encode("an answer", &Ok::<(), String>(())).unwrap()).await;
        raw
    }

    async fn say(&mut self, bytes: &[u8]) {
        let frame = self.sealer.seal(bytes).unwrap();
        let _ = self.stream.write_all(&frame).await; // it may be closed already
    }

    async fn hear(&mut self) -> Option<Vec<u8>> {
        let mut head = [0; 4];
        timeout(PATIENCE, self.stream.read_exact(&mut head)).await.unwrap().ok()?;
        let mut rest = vec![0; self.opener.sealed_len(head).unwrap()];
        self.stream.read_exact(&mut rest).await.ok()?;
        Some(self.opener.open(&rest).unwrap().to_vec())
    }

    /// What it hears until the connection is closed.
    async fn rest(&mut self) -> Vec<PublisherFrame> {
        let mut all = Vec::new();
        while let Some(bytes) = self.hear().await {
            all.push(decode_frame(&bytes).unwrap());
        }
        all
    }
}

fn hello(revision: u64) -> Hello {
    Hello { revision, list_version: 0, last_purge: None, time: 0 }
}

#[tokio::test]
async fn a_subscriber_that_says_what_can_not_be_is_refused_with_a_reason() {
    let members = members(1).await;
    members[0].document("a", "1").await;
    let say = |uplink: SubscriberFrame| encode_frame(&uplink).unwrap();
    let mut version = say(SubscriberFrame::Hello(hello(0)));
    version[0] = 9;
    for (said, why) in [
        (vec![say(SubscriberFrame::Hello(hello(99_999)))], "revision 99999 is from the future"),
        (
            vec![say(SubscriberFrame::Hello(Hello { last_purge: Some(7), ..hello(0) }))],
            "revision 7 is from the future",
        ),
        (vec![version], "version 9; this program reads 1"),
        (vec![say(SubscriberFrame::Ack(Ack { received_bytes: 0, time: 0 }))], "before a hello"),
        (
            vec![say(SubscriberFrame::Hello(hello(0))), say(SubscriberFrame::Hello(hello(0)))],
            "a second hello",
        ),
        (
            vec![
                say(SubscriberFrame::Hello(hello(0))),
                say(SubscriberFrame::Ack(Ack { received_bytes: 1 << 40, time: 0 })),
            ],
            "of what was not sent",
        ),
        (vec![say(SubscriberFrame::Hello(hello(0))), vec![1, 250]], "damaged"),
    ] {
        let before = members[0].tcp.rejected_callers();
        let mut raw = Raw::connect(&members[0].addr).await;
        for bytes in &said {
            raw.say(bytes).await;
        }
        let told = format!(
            "{:?}",
            raw.rest().await.last().map(|last| match last {
                PublisherFrame::Rejected(why) => why.to_string(),
                PublisherFrame::Update(_) => "an update".into(),
            })
        );
        assert!(told.contains(why), "{told}");
        assert_eq!(members[0].tcp.rejected_callers(), before + 1, "{why}");
    }
    // One that is too large is not even read.
    let mut raw = Raw::connect(&members[0].addr).await;
    raw.say(&say(SubscriberFrame::Hello(hello(0)))).await;
    raw.say(&vec![1; MAX_FRAME_BYTES + 1]).await;
    raw.rest().await;
    assert!(members[0].tcp.rejected_callers() > 7);
}

#[tokio::test]
async fn a_publisher_that_says_what_can_not_be_is_left_and_nothing_of_it_is_applied() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let node = of(3, &[vec![listener.local_addr().unwrap().to_string()]]);
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
    let mut raw = Raw::accept(&listener).await;
    raw.hear().await.unwrap();
    raw.say(&first).await;
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
        let mut raw = Raw::accept(&listener).await;
        match decode_frame(&raw.hear().await.unwrap()).unwrap() {
            SubscriberFrame::Hello(hello) => {
                assert_eq!((hello.revision, hello.last_purge), (5, Some(0)), "{n}: it resumes");
            }
            ack => panic!("{ack:?}"),
        }
        raw.say(&bytes).await;
        assert_eq!(raw.hear().await, None, "{n}: it closes");
        node.until("counted", |node| node.feed.counters().rejected_frames == n as u64 + 1).await;
        assert_eq!((node.text("a").as_deref(), node.feed.revision()), (Some("1"), 5), "{n}");
        assert_eq!(node.purged(), Vec::<String>::new());
    }
}

#[tokio::test]
async fn a_slow_reader_is_cut_and_resumes_where_it_stands() {
    let members = members(1).await;
    let relay = of(1, &[vec![members[0].addr.clone()]]);
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
    let mut raw = Raw::connect(&at).await;
    let from = Hello { last_purge: Some(0), ..hello(0) };
    raw.say(&encode_frame(&SubscriberFrame::Hello(from)).unwrap()).await;
    let told = raw.rest().await;
    let updates: Vec<&Update> = told
        .iter()
        .filter_map(|one| match one {
            PublisherFrame::Update(update) => Some(&**update),
            PublisherFrame::Rejected(_) => None,
        })
        .collect();
    assert!(matches!(told.last(), Some(PublisherFrame::Rejected(SessionRejection::TooSlow(_)))), "{told:?}");
    let bytes: usize = updates
        .iter()
        .map(|update| encode_frame(&PublisherFrame::Update(Box::new((*update).clone()))).unwrap().len())
        .sum();
    assert!(bytes <= (20 << 10) + (8 << 10), "{bytes} bytes were on their way");
    assert_eq!(updates[0].purges, ["k1"], "purges go first");
    assert_eq!(relay.tcp.rejected_callers(), 1);
    // One that reads gets all of it from there.
    members[0].purge("k2").await;
    let node = of(3, &[vec![at]]);
    node.has("b", &"x".repeat(60_000)).await;
    members[0].purge("k3").await;
    node.until("purges", |node| node.purged().last().is_some_and(|key| key == "k3")).await;
}
