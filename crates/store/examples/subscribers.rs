//! What distribution costs and how long it takes: members, relays by region and by site, and subscribers, all in one
//! process over TCP on loopback.
//!
//!     cargo run --release -p stonefold-store --example subscribers -- [SECONDS] [SUBSCRIBERS ...]
//!
//! Three members; 11 regions with two relays each; sites of 14 subscribers with two relays each. 12 purges and 0.5 changes
//! (documents and a list of 340 servers) a second. Bytes are those that publishers sent and subscribers acknowledged with,
//! headers reckoned in: 20 bytes of our framing and 52 of IP and TCP a frame, and 52 for each frame's acknowledgement by
//! TCP. Processor time is by threads of members, relays and subscribers. Then a relay of each region is killed, one
//! of each site, and the leader: how long all takes then, whether all came, and how many changed their publisher.

mod support;

use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use hdrhistogram::Histogram;
use stonefold_store::disk::{Disk, Identity};
use stonefold_store::feed::frame::ItemKey;
use stonefold_store::feed::publisher::Limits;
use stonefold_store::feed::selector::PublisherSelector;
use stonefold_store::feed::subscriber::{Counters, Event, Subscriber};
use stonefold_store::feed::table::Table;
use stonefold_store::message::{Caller, Request, Response};
use stonefold_store::replica::{Options, Replica};
use stonefold_store::state::{Change, Proposal};
use stonefold_store::wire::{Feed, Key, Keys, Tcp, follow, serve, serve_relay};
use support::{Failure, resident_kib};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

const CLUSTER: u128 = 1;
const MEMBERS: u64 = 3;
const REGIONS: usize = 11;
const SITE: usize = 14;
const MAX_RETAINED_PURGES: Duration = Duration::from_millis(83);
const CHANGES: Duration = Duration::from_secs(2);
const HEADERS: u64 = 72 + 52;

fn keys() -> Keys {
    Keys::new(Key::new([7; 32]), None)
}

/// A thread with a runtime of its own, whose processor time can be read.
struct RuntimeThread {
    handle: Handle,
    thread: u64,
    stop: CancellationToken,
}

fn start_runtime(name: &str) -> Result<RuntimeThread, Failure> {
    let stop = CancellationToken::new();
    let (ends, (told, hears)) = (stop.clone(), std::sync::mpsc::channel());
    thread::Builder::new().name(name.into()).spawn(move || {
        let Ok(runtime) = Builder::new_current_thread().enable_all().build() else { return };
        let thread = std::fs::read_link("/proc/thread-self").ok();
        let thread = thread.and_then(|path| path.file_name()?.to_str()?.parse::<u64>().ok());
        let _ = told.send((runtime.handle().clone(), thread.unwrap_or(0)));
        runtime.block_on(ends.cancelled());
    })?;
    let (handle, thread) = hears.recv()?;
    Ok(RuntimeThread { handle, thread, stop })
}

impl RuntimeThread {
    /// Processor time so far, in seconds.
    fn cpu(&self) -> Result<f64, Failure> {
        let text = std::fs::read_to_string(format!("/proc/self/task/{}/schedstat", self.thread))?;
        Ok(text.split_whitespace().next().ok_or("schedstat")?.parse::<f64>()? / 1e9)
    }
}

struct Member {
    replica: Replica<Tcp>,
    addr: String,
    stop: CancellationToken,
}

async fn member(folder: &Path, member: u64) -> Result<Member, Failure> {
    let disk = Disk::create(&folder.join(format!("m{member}")), Identity { cluster: CLUSTER, member })?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?.to_string();
    let tcp = Tcp::member(keys(), CLUSTER, member, addr.clone());
    let replica = Replica::start(disk, Options::new(addr.clone()), tcp.clone()).await?;
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, replica.clone(), tcp, stop.clone()));
    let (confirms, ends) = (replica.clone(), stop.clone());
    tokio::spawn(async move {
        while !ends.is_cancelled() {
            let _ = confirms.confirm(Instant::now() + Duration::from_secs(1)).await;
            sleep(Duration::from_secs(1)).await;
        }
    });
    Ok(Member { replica, addr, stop })
}

/// When what was made: by purged key, and by document text or list version.
type Made = Arc<Mutex<HashMap<String, Instant>>>;
type Took = Arc<Mutex<Histogram<u64>>>;

fn histogram() -> Result<Took, Failure> {
    Ok(Arc::new(Mutex::new(Histogram::new(3)?)))
}

fn record(made: &Made, took: &Took, what: &str) {
    let at = made.lock().ok().and_then(|made| made.get(what).copied());
    if let (Some(at), Ok(mut took)) = (at, took.lock()) {
        let _ = took.record(at.elapsed().as_micros() as u64);
    }
}

#[derive(Clone)]
struct Watched {
    made: Made,
    purges: Took,
    changes: Took,
}

/// A subscriber on a runtime's thread, which counts how long all takes to come.
fn subscribe(
    runtime: &RuntimeThread,
    id: u64,
    tiers: &[Vec<String>],
    watched: Option<&Watched>,
    stop: &CancellationToken,
) -> (Feed, Tcp) {
    let tcp = Tcp::subscriber(keys().subscriber_keys(), CLUSTER);
    let selector = PublisherSelector::new(id, tiers, id);
    let feed = Feed::new(CLUSTER, Subscriber::new(Table::default(), selector));
    let purges = watched.cloned();
    let on_purge = Box::new(move |event: &Event| {
        if let (Event::Purged { keys, .. }, Some(watched)) = (event, &purges) {
            for key in keys {
                record(&watched.made, &watched.purges, key);
            }
        }
    });
    runtime.handle.spawn(follow(feed.clone(), tcp.clone(), None, on_purge, stop.clone()));
    if let Some(watched) = watched.cloned() {
        let feed = feed.clone();
        runtime.handle.spawn(async move {
            let (mut items, mut document, mut list) = (feed.view_changes(), 0, 0);
            while items.changed().await.is_ok() {
                let view = feed.view();
                let revision =
                    view.items().get(&ItemKey::Document("config".into())).map_or(0, |item| item.revision);
                let changed = (revision > document, view.list_version() > list);
                (document, list) = (revision, view.list_version());
                if changed.0 {
                    record(&watched.made, &watched.changes, &format!("revision {revision}"));
                }
                if changed.1 {
                    record(&watched.made, &watched.changes, &format!("list {list}"));
                }
            }
        });
    }
    (feed, tcp)
}

async fn relays(
    runtime: &RuntimeThread,
    number: usize,
    first: u64,
    tiers: &[Vec<String>],
) -> Result<(Vec<(Feed, CancellationToken)>, Vec<String>), Failure> {
    let (mut feeds, mut at) = (Vec::new(), Vec::new());
    for n in 0..number {
        let stop = runtime.stop.child_token();
        let (feed, tcp) = subscribe(runtime, first + n as u64, tiers, None, &stop);
        let (source, ends) = (feed.clone(), stop.clone());
        let bound = runtime.handle.spawn(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let addr = listener.local_addr()?.to_string();
            tokio::spawn(serve_relay(listener, source, tcp, Limits::default(), ends));
            Ok::<_, std::io::Error>(addr)
        });
        at.push(bound.await??);
        feeds.push((feed, stop));
    }
    Ok((feeds, at))
}

fn list(version: u64) -> String {
    let server = |n: u64| {
        let weight = if n == version % 340 { version } else { 1 };
        format!(
            r#"{{"id":"s-{n:08x}","addr":"127.0.0.1:{}","zone":"north","kind":"fast","cell":{},"state":"SERVING","weight":{weight},"started_ms":1790000000000}}"#,
            n + 1_000,
            n % 16
        )
    };
    let servers: Vec<String> = (0..340).map(server).collect();
    format!(r#"{{"full":true,"servers":[{}],"version":{version}}}"#, servers.join(","))
}

/// Changes and purges for so long; each is noted before it is proposed.
async fn load(replica: Replica<Tcp>, made: Made, lasts: Duration, from: u64) -> Result<u64, Failure> {
    let (until, mut next, mut n) = (Instant::now() + lasts, Instant::now(), from);
    let (mut change_at, mut turn) = (Instant::now(), 0);
    while Instant::now() < until {
        n += 1;
        let key = format!("{n:08}-a-key-of-32-bytes-in-all-");
        let mut changes = vec![(key.clone(), Change::Purge { key })];
        if Instant::now() >= change_at {
            change_at += CHANGES;
            turn += 1;
            changes.push(match turn % 2 {
                0 => (
                    format!("list {n}"),
                    Change::List { version: n, text: list(n), learned_by: 1, started: vec![] },
                ),
                _ => {
                    let text = format!("{n}:{}", "x".repeat(2_000));
                    let change = Change::Document {
                        name: "config".into(),
                        text,
                        author: "me".into(),
                        at_ms: 0,
                        after: None,
                    };
                    (String::new(), change)
                }
            });
        }
        for (what, change) in changes {
            let begun = Instant::now();
            if !what.is_empty()
                && let Ok(mut made) = made.lock()
            {
                made.insert(what.clone(), begun);
            }
            let proposal = Proposal { client: fastrand::u64(..), sequence: 1, change };
            let reply = replica.propose(proposal, Instant::now() + Duration::from_secs(5)).await?;
            if let (true, stonefold_store::state::Reply::Applied(revision), Ok(mut made)) =
                (what.is_empty(), reply, made.lock())
            {
                made.insert(format!("revision {revision}"), begun);
            }
        }
        next += MAX_RETAINED_PURGES;
        sleep_until(next).await;
    }
    Ok(n)
}

fn sum<'a>(feeds: impl IntoIterator<Item = &'a Feed>) -> Counters {
    feeds.into_iter().map(Feed::counters).fold(Counters::default(), |sum, one| Counters {
        frames: sum.frames + one.frames,
        bytes: sum.bytes + one.bytes,
        rejected_frames: sum.rejected_frames + one.rejected_frames,
        rejected_sessions: sum.rejected_sessions + one.rejected_sessions,
        disconnects: sum.disconnects + one.disconnects,
    })
}

fn relays_of<'a>(
    region: &'a [(Feed, CancellationToken)],
    site: &'a [(Feed, CancellationToken)],
) -> impl Iterator<Item = &'a Feed> {
    region.iter().chain(site).map(|(feed, _)| feed)
}

/// Bytes a second each, both ways: frames and their acknowledgements, by TCP and by us.
fn bytes(before: Counters, after: Counters, each: usize, seconds: f64) -> f64 {
    let down = (after.bytes - before.bytes + (after.frames - before.frames) * HEADERS) as f64;
    let up = (12 + HEADERS) as f64 * seconds * each as f64; // one a second each
    (down + up) / seconds / each.max(1) as f64
}

/// p50, p99 and p100 in ms, and how many there were.
fn told(took: &Took) -> Result<String, Failure> {
    let took = took.lock().map_err(|_| "a histogram")?;
    let at = |quantile| took.value_at_quantile(quantile) as f64 / 1e3;
    Ok(format!("{:.0}, {:.0}, {:.0} ({})", at(0.5), at(0.99), at(1.0), took.len()))
}

/// What was made, as (purges, other changes), since this was last asked; all figures begin anew.
fn anew(watched: &Watched) -> Result<(usize, usize), Failure> {
    let mut made = watched.made.lock().map_err(|_| "what was made")?;
    let changes =
        made.keys().filter(|what| what.starts_with("list ") || what.starts_with("revision ")).count();
    let count = (made.len() - changes, changes);
    made.clear();
    for took in [&watched.purges, &watched.changes] {
        took.lock().map_err(|_| "a histogram")?.reset();
    }
    Ok(count)
}

/// A relay of each region is killed, one of each site, then the leader; each under the same load.
async fn fail(
    members: &[Member],
    [region, site]: [&[(Feed, CancellationToken)]; 2],
    nodes: &[Feed],
    watched: &Watched,
    control: &RuntimeThread,
    mut from: u64,
) -> Result<(), Failure> {
    anew(watched)?;
    let disconnects = || sum(nodes).disconnects + sum(relays_of(region, site)).disconnects;
    for what in ["a relay of each region killed", "a relay of each site killed", "the leader killed"] {
        let leader = members[0].replica.status().leader.ok_or("a leader")? as usize - 1;
        let other = &members[(leader + 1) % members.len()].replica;
        let was = disconnects();
        let running =
            control.handle.spawn(load(other.clone(), watched.made.clone(), Duration::from_secs(6), from));
        sleep(Duration::from_secs(1)).await;
        match what {
            "a relay of each region killed" => region.iter().step_by(2).for_each(|(_, stop)| stop.cancel()),
            "a relay of each site killed" => site.iter().step_by(2).for_each(|(_, stop)| stop.cancel()),
            _ => {
                members[leader].stop.cancel();
                let replica = members[leader].replica.clone();
                control.handle.spawn(async move { replica.stop().await }).await?;
            }
        }
        from = running.await??;
        sleep(Duration::from_secs(3)).await;
        let (purges, changes) = (told(&watched.purges)?, told(&watched.changes)?);
        let (made, due) = (anew(watched)?, nodes.len());
        println!(
            "| {due}: {what} | {purges} of {} | {changes} of {} | {} |",
            made.0 * due,
            made.1 * due,
            disconnects() - was
        );
    }
    Ok(())
}

async fn play(number: usize, seconds: u64, folder: &Path) -> Result<(), Failure> {
    let control = start_runtime("members")?;
    let folder = folder.to_owned();
    let members = control.handle.spawn(async move {
        let mut members = vec![member(&folder, 1).await?];
        members[0].replica.bootstrap().await?;
        members[0].replica.confirm(Instant::now() + Duration::from_secs(20)).await?;
        for id in 2..=MEMBERS {
            let new = member(&folder, id).await?;
            let add = Request::AddMember { member: id, addr: new.addr.clone() };
            match members[0].replica.answer(Caller::Client, add).await {
                Response::MembersChanged(done) => done?,
                other => return Err(format!("{other:?}").into()),
            }
            members.push(new);
        }
        Ok::<_, Failure>(members)
    });
    let members = members.await??;
    let last: Vec<String> = members.iter().map(|member| member.addr.clone()).collect();
    let (relaying, following) = (start_runtime("relays")?, start_runtime("subscribers")?);
    let (region, region_at) = relays(&relaying, REGIONS * 2, 1_000_000, std::slice::from_ref(&last)).await?;
    let sites = number.div_ceil(SITE);
    let watched = Watched { made: Made::default(), purges: histogram()?, changes: histogram()? };
    let (mut site, mut nodes) = (Vec::new(), Vec::new());
    let before_nodes = resident_kib()?;
    for n in 0..sites {
        let of_region = region_at.chunks(2).nth(n % REGIONS).ok_or("a region")?.to_vec();
        let tiers = [of_region, last.clone()];
        let (feeds, at) = relays(&relaying, 2, 2_000_000 + 2 * n as u64, &tiers).await?;
        site.extend(feeds);
        let tiers = [vec![at], tiers.to_vec()].concat();
        for id in n * SITE..((n + 1) * SITE).min(number) {
            nodes.push(subscribe(&following, id as u64, &tiers, Some(&watched), &following.stop).0);
        }
        sleep(Duration::from_millis(20)).await;
    }
    let first =
        control.handle.spawn(load(members[0].replica.clone(), Made::default(), Duration::from_secs(3), 1));
    let from = first.await??;
    sleep(Duration::from_secs(4)).await; // the first list goes whole to all: that is not what goes on from then on
    // All have caught up, or it is said.
    let there = async {
        while nodes.iter().any(|node| node.stale_ms().is_none_or(|stale| stale > 5_000)) {
            sleep(Duration::from_millis(100)).await;
        }
    };
    if timeout(Duration::from_secs(20), there).await.is_err() {
        println!("| {number} | not all caught up in 20 s: {:?} |", sum(&nodes));
    }
    let runtimes = [&control, &relaying, &following];
    let cpu = runtimes.map(RuntimeThread::cpu);
    let (was, was_relays) = (sum(&nodes), sum(relays_of(&region, &site)));
    let begun = Instant::now();
    let run = load(members[0].replica.clone(), watched.made.clone(), Duration::from_secs(seconds), from);
    let last_made = control.handle.spawn(run).await??;
    let time = begun.elapsed().as_secs_f64();
    let (now, now_relays) = (sum(&nodes), sum(relays_of(&region, &site)));
    let mut used = Vec::new();
    for (before, runtime) in cpu.into_iter().zip(runtimes) {
        used.push((runtime.cpu()? - before?) / time * 100.0);
    }
    sleep(Duration::from_secs(2)).await; // the last are on their way
    let memory = (resident_kib()? - before_nodes) as f64 / (nodes.len() + site.len()) as f64;
    let ms = told;
    let made = watched.made.lock().map_err(|_| "what was made")?.len();
    let relays = region.len() + site.len();
    println!(
        "| {number}, {relays} | {} | {} | {made} | {:.0} | {:.0} | {:.1}% | {:.3}% | {:.3}% | {memory:.0} | {}, {} |",
        ms(&watched.purges)?,
        ms(&watched.changes)?,
        bytes(was, now, nodes.len(), time),
        bytes(was_relays, now_relays, relays, time),
        used[0],
        used[1] / relays as f64,
        used[2] / nodes.len() as f64,
        now.rejected_frames + now_relays.rejected_frames,
        now.disconnects + now_relays.disconnects,
    );
    fail(&members, [&region, &site], &nodes, &watched, &control, last_made).await?;
    for runtime in runtimes {
        runtime.stop.cancel();
    }
    Ok(())
}

fn main() -> Result<(), Failure> {
    let numbers: Vec<usize> = support::number_args()?;
    let (seconds, sizes) = numbers.split_first().map_or((12, &[][..]), |(&seconds, sizes)| (seconds, sizes));
    let sizes = if sizes.is_empty() { &[100, 225, 450, 900][..] } else { sizes };
    println!(
        "| subscribers, relays | purges: p50, p99, p100 in ms (taken) | changes: the same | made | B/s each | B/s a relay, as a \
         subscriber | members, all | a relay | a subscriber | KiB each | refused, left |"
    );
    println!("|{}", " --- |".repeat(11));
    let runtime = Builder::new_current_thread().enable_all().build()?;
    for &number in sizes {
        let folder = tempfile::tempdir()?;
        runtime.block_on(play(number, seconds as u64, folder.path()))?;
    }
    Ok(())
}
