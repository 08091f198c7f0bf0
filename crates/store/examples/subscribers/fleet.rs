//! Members, relays and subscribers in one process, each kind on a thread of its own.

use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use stonefold_store::disk::{Disk, Identity};
use stonefold_store::feed::frame::ItemKey;
use stonefold_store::feed::publisher::SessionLimits;
use stonefold_store::feed::selector::PublisherSelector;
use stonefold_store::feed::subscriber::{Counters, Event, Subscriber};
use stonefold_store::feed::table::FeedTable;
use stonefold_store::message::{Caller, Request, Response};
use stonefold_store::replica::{Options, Replica};
use stonefold_store::wire::{Key, Keys, SubscriberFeed, TcpTransport, follow, serve, serve_relay};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::load::{Made, Watched, histogram, load, quantiles, record};
use crate::support::{Failure, resident_kib};

const CLUSTER: u128 = 1;
/// The overhead of a frame and its acknowledgement by TCP, in bytes.
const HEADER_BYTES: u64 = 72 + 52;
/// The members of the cluster.
const MEMBERS: u64 = 3;
/// The regions, each with two relays.
const REGIONS: usize = 11;
/// The subscribers of a site, which has two relays.
const SITE_SUBSCRIBERS: usize = 14;

pub(crate) fn keys() -> Keys {
    Keys::new(Key::new([7; 32]), None)
}

/// A thread with a runtime of its own, whose processor time can be read.
pub(crate) struct RuntimeThread {
    pub(crate) handle: Handle,
    thread: u64,
    pub(crate) stop: CancellationToken,
}

pub(crate) fn start_runtime(name: &str) -> Result<RuntimeThread, Failure> {
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

pub(crate) struct Member {
    pub(crate) replica: Replica<TcpTransport>,
    pub(crate) addr: String,
    pub(crate) stop: CancellationToken,
}

pub(crate) async fn member(folder: &Path, member: u64) -> Result<Member, Failure> {
    let disk = Disk::create(&folder.join(format!("m{member}")), Identity { cluster: CLUSTER, member })?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?.to_string();
    let tcp = TcpTransport::member(keys(), CLUSTER, member, addr.clone());
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

/// A subscriber on a runtime's thread, which counts how long all takes to come.
pub(crate) fn subscribe(
    runtime: &RuntimeThread,
    id: u64,
    tiers: &[Vec<String>],
    watched: Option<&Watched>,
    stop: &CancellationToken,
) -> (SubscriberFeed, TcpTransport) {
    let tcp = TcpTransport::subscriber(keys().subscriber_keys(), CLUSTER);
    let selector = PublisherSelector::new(id, tiers, id);
    let feed = SubscriberFeed::new(CLUSTER, Subscriber::new(FeedTable::default(), selector));
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

pub(crate) async fn relays(
    runtime: &RuntimeThread,
    number: usize,
    first: u64,
    tiers: &[Vec<String>],
) -> Result<(Relays, Vec<String>), Failure> {
    let (mut feeds, mut at) = (Vec::new(), Vec::new());
    for n in 0..number {
        let stop = runtime.stop.child_token();
        let (feed, tcp) = subscribe(runtime, first + n as u64, tiers, None, &stop);
        let (source, ends) = (feed.clone(), stop.clone());
        let bound = runtime.handle.spawn(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let addr = listener.local_addr()?.to_string();
            tokio::spawn(serve_relay(listener, source, tcp, SessionLimits::default(), ends));
            Ok::<_, std::io::Error>(addr)
        });
        at.push(bound.await??);
        feeds.push((feed, stop));
    }
    Ok((feeds, at))
}

/// Starts a cluster of [`MEMBERS`] voters.
pub(crate) async fn start_members(folder: PathBuf) -> Result<Vec<Member>, Failure> {
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
    Ok(members)
}

/// Relays with their tokens to stop them.
pub(crate) type Relays = Vec<(SubscriberFeed, CancellationToken)>;

/// Members, relays and subscribers, each kind on a thread of its own.
pub(crate) struct Fleet {
    pub(crate) members: Vec<Member>,
    pub(crate) region: Relays,
    pub(crate) site: Relays,
    pub(crate) nodes: Vec<SubscriberFeed>,
    pub(crate) watched: Watched,
    pub(crate) control: RuntimeThread,
    pub(crate) relaying: RuntimeThread,
    pub(crate) following: RuntimeThread,
    /// Resident memory before sites and subscribers were started, in KiB.
    memory_before: u64,
}

impl Fleet {
    pub(crate) async fn start(number: usize, folder: &Path) -> Result<Fleet, Failure> {
        let control = start_runtime("members")?;
        let members = control.handle.spawn(start_members(folder.to_owned())).await??;
        let last: Vec<String> = members.iter().map(|member| member.addr.clone()).collect();
        let (relaying, following) = (start_runtime("relays")?, start_runtime("subscribers")?);
        let (region, region_at) =
            relays(&relaying, REGIONS * 2, 1_000_000, std::slice::from_ref(&last)).await?;
        let watched = Watched { made: Made::default(), purges: histogram()?, changes: histogram()? };
        let (mut site, mut nodes) = (Vec::new(), Vec::new());
        let memory_before = resident_kib()?;
        for n in 0..number.div_ceil(SITE_SUBSCRIBERS) {
            let of_region = region_at.chunks(2).nth(n % REGIONS).ok_or("a region")?.to_vec();
            let tiers = [of_region, last.clone()];
            let (feeds, at) = relays(&relaying, 2, 2_000_000 + 2 * n as u64, &tiers).await?;
            site.extend(feeds);
            let tiers = [vec![at], tiers.to_vec()].concat();
            for id in n * SITE_SUBSCRIBERS..((n + 1) * SITE_SUBSCRIBERS).min(number) {
                nodes.push(subscribe(&following, id as u64, &tiers, Some(&watched), &following.stop).0);
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(Fleet { members, region, site, nodes, watched, control, relaying, following, memory_before })
    }

    pub(crate) fn runtimes(&self) -> [&RuntimeThread; 3] {
        [&self.control, &self.relaying, &self.following]
    }

    /// Counters of all subscribers, and of all relays.
    fn counters(&self) -> (Counters, Counters) {
        (sum(&self.nodes), sum(relays_of(&self.region, &self.site)))
    }

    /// Runs the load, prints a row of what it costs and how long changes take, and returns the number of the last change.
    pub(crate) async fn measure(&self, seconds: u64, from: u64) -> Result<u64, Failure> {
        let cpu = self.runtimes().map(RuntimeThread::cpu);
        let (was, was_relays) = self.counters();
        let begun = Instant::now();
        let (first, made) = (self.members[0].replica.clone(), self.watched.made.clone());
        let last_made =
            self.control.handle.spawn(load(first, made, Duration::from_secs(seconds), from)).await??;
        let time = begun.elapsed().as_secs_f64();
        let (now, now_relays) = self.counters();
        let mut used = Vec::new();
        for (before, runtime) in cpu.into_iter().zip(self.runtimes()) {
            used.push((runtime.cpu()? - before?) / time * 100.0);
        }
        sleep(Duration::from_secs(2)).await; // the last are on their way
        let (number, relays) = (self.nodes.len(), self.region.len() + self.site.len());
        let memory = (resident_kib()? - self.memory_before) as f64 / (number + self.site.len()) as f64;
        let made = self.watched.made.lock().map_err(|_| "what was made")?.len();
        println!(
            "| {number}, {relays} | {} | {} | {made} | {:.0} | {:.0} | {:.1}% | {:.3}% | {:.3}% | {memory:.0} | {}, {} |",
            quantiles(&self.watched.purges)?,
            quantiles(&self.watched.changes)?,
            bytes(was, now, number, time),
            bytes(was_relays, now_relays, relays, time),
            used[0],
            used[1] / relays as f64,
            used[2] / number as f64,
            now.rejected_frames + now_relays.rejected_frames,
            now.disconnects + now_relays.disconnects,
        );
        Ok(last_made)
    }
}

pub(crate) fn sum<'a>(feeds: impl IntoIterator<Item = &'a SubscriberFeed>) -> Counters {
    feeds.into_iter().map(SubscriberFeed::counters).fold(Counters::default(), |sum, one| Counters {
        frames: sum.frames + one.frames,
        bytes: sum.bytes + one.bytes,
        rejected_frames: sum.rejected_frames + one.rejected_frames,
        rejected_sessions: sum.rejected_sessions + one.rejected_sessions,
        disconnects: sum.disconnects + one.disconnects,
    })
}

pub(crate) fn relays_of<'a>(
    region: &'a [(SubscriberFeed, CancellationToken)],
    site: &'a [(SubscriberFeed, CancellationToken)],
) -> impl Iterator<Item = &'a SubscriberFeed> {
    region.iter().chain(site).map(|(feed, _)| feed)
}

/// Bytes a second each, both ways: frames and their acknowledgements, by TCP and by us.
fn bytes(before: Counters, after: Counters, each: usize, seconds: f64) -> f64 {
    let down = (after.bytes - before.bytes + (after.frames - before.frames) * HEADER_BYTES) as f64;
    let up = (12 + HEADER_BYTES) as f64 * seconds * each as f64; // one a second each
    (down + up) / seconds / each.max(1) as f64
}
