//! Starts members, relays and subscribers in one process, each kind on a thread of its own.

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
use stonefold_store::replica::{Replica, ReplicaOptions};
use stonefold_store::wire::{Key, Keys, SubscriberFeed, TcpTransport, follow, serve, serve_relay};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::load::{
    DeliveryLatencies, ProposalTimes, format_quantiles, new_histogram, record_latency, run_load,
};
use crate::support::{ExampleError, resident_kib};

const CLUSTER: u128 = 1;
/// The overhead of a frame, in bytes: its framing with IP and TCP headers, and its acknowledgement by TCP.
const HEADER_BYTES: u64 = 72 + 52;
/// The number of members in the cluster.
const MEMBERS: u64 = 3;
/// The number of regions, each with two relays.
const REGIONS: usize = 11;
/// The number of subscribers at a site, which has two relays.
const SITE_SUBSCRIBERS: usize = 14;

pub(crate) fn keys() -> Keys {
    Keys::new(Key::new([7; 32]), None)
}

/// A thread with its own runtime, whose processor time can be read.
pub(crate) struct RuntimeThread {
    pub(crate) handle: Handle,
    thread: u64,
    pub(crate) stop: CancellationToken,
}

pub(crate) fn start_runtime(name: &str) -> Result<RuntimeThread, ExampleError> {
    let stop = CancellationToken::new();
    let (thread_stop, (sender, receiver)) = (stop.clone(), std::sync::mpsc::channel());
    thread::Builder::new().name(name.into()).spawn(move || {
        let Ok(runtime) = Builder::new_current_thread().enable_all().build() else { return };
        let thread = std::fs::read_link("/proc/thread-self").ok();
        let thread = thread.and_then(|path| path.file_name()?.to_str()?.parse::<u64>().ok());
        let _ = sender.send((runtime.handle().clone(), thread.unwrap_or(0)));
        runtime.block_on(thread_stop.cancelled());
    })?;
    let (handle, thread) = receiver.recv()?;
    Ok(RuntimeThread { handle, thread, stop })
}

impl RuntimeThread {
    /// The thread's processor time so far, in seconds.
    fn cpu_seconds(&self) -> Result<f64, ExampleError> {
        let text = std::fs::read_to_string(format!("/proc/self/task/{}/schedstat", self.thread))?;
        Ok(text.split_whitespace().next().ok_or("a thread's schedstat is empty")?.parse::<f64>()? / 1e9)
    }
}

pub(crate) struct Member {
    pub(crate) replica: Replica<TcpTransport>,
    pub(crate) addr: String,
    pub(crate) stop: CancellationToken,
}

/// Starts a member that confirms the committed index once a second.
pub(crate) async fn start_member(folder: &Path, member: u64) -> Result<Member, ExampleError> {
    let disk = Disk::create(&folder.join(format!("m{member}")), Identity { cluster: CLUSTER, member })?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?.to_string();
    let tcp = TcpTransport::member(keys(), CLUSTER, member, addr.clone());
    let replica = Replica::start(disk, ReplicaOptions::new(addr.clone()), tcp.clone()).await?;
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, replica.clone(), tcp, stop.clone()));
    let (confirming, task_stop) = (replica.clone(), stop.clone());
    tokio::spawn(async move {
        while !task_stop.is_cancelled() {
            let _ = confirming.confirm(Instant::now() + Duration::from_secs(1)).await;
            sleep(Duration::from_secs(1)).await;
        }
    });
    Ok(Member { replica, addr, stop })
}

/// Starts a subscriber on a runtime's thread. With `latencies` it records how long each purge and change took to
/// arrive.
pub(crate) fn start_subscriber(
    runtime: &RuntimeThread,
    id: u64,
    tiers: &[Vec<String>],
    latencies: Option<&DeliveryLatencies>,
    stop: &CancellationToken,
) -> (SubscriberFeed, TcpTransport) {
    let tcp = TcpTransport::subscriber(keys().subscriber_keys(), CLUSTER);
    let selector = PublisherSelector::new(id, tiers, id);
    let feed = SubscriberFeed::new(CLUSTER, Subscriber::new(FeedTable::default(), selector));
    let purge_latencies = latencies.cloned();
    let on_purge = Box::new(move |event: &Event| {
        if let (Event::Purged { keys, .. }, Some(latencies)) = (event, &purge_latencies) {
            for key in keys {
                record_latency(&latencies.proposed, &latencies.purges, key);
            }
        }
    });
    runtime.handle.spawn(follow(feed.clone(), tcp.clone(), None, on_purge, stop.clone()));
    if let Some(latencies) = latencies.cloned() {
        let feed = feed.clone();
        runtime.handle.spawn(async move {
            let (mut view_changes, mut known_revision, mut known_list) = (feed.view_changes(), 0, 0);
            while view_changes.changed().await.is_ok() {
                let view = feed.view();
                let revision =
                    view.items().get(&ItemKey::Document("config".into())).map_or(0, |item| item.revision);
                // Whether the document and the list have changed.
                let changed = (revision > known_revision, view.list_version() > known_list);
                (known_revision, known_list) = (revision, view.list_version());
                if changed.0 {
                    record_latency(&latencies.proposed, &latencies.changes, &format!("revision {revision}"));
                }
                if changed.1 {
                    record_latency(&latencies.proposed, &latencies.changes, &format!("list {known_list}"));
                }
            }
        });
    }
    (feed, tcp)
}

/// Starts relays with consecutive ids, and returns them with their addresses.
pub(crate) async fn start_relays(
    runtime: &RuntimeThread,
    count: usize,
    first_id: u64,
    tiers: &[Vec<String>],
) -> Result<(Relays, Vec<String>), ExampleError> {
    let (mut relays, mut addrs) = (Vec::new(), Vec::new());
    for n in 0..count {
        let stop = runtime.stop.child_token();
        let (feed, tcp) = start_subscriber(runtime, first_id + n as u64, tiers, None, &stop);
        let (source, server_stop) = (feed.clone(), stop.clone());
        let bound = runtime.handle.spawn(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let addr = listener.local_addr()?.to_string();
            tokio::spawn(serve_relay(listener, source, tcp, SessionLimits::default(), server_stop));
            Ok::<_, std::io::Error>(addr)
        });
        addrs.push(bound.await??);
        relays.push((feed, stop));
    }
    Ok((relays, addrs))
}

/// Starts a cluster of [`MEMBERS`] voters.
pub(crate) async fn start_members(folder: PathBuf) -> Result<Vec<Member>, ExampleError> {
    let mut members = vec![start_member(&folder, 1).await?];
    members[0].replica.bootstrap().await?;
    members[0].replica.confirm(Instant::now() + Duration::from_secs(20)).await?;
    for id in 2..=MEMBERS {
        let new = start_member(&folder, id).await?;
        let add = Request::AddMember { member: id, addr: new.addr.clone() };
        match members[0].replica.answer(Caller::Client, add).await {
            Response::MembersChanged(done) => done?,
            other => return Err(format!("{other:?}").into()),
        }
        members.push(new);
    }
    Ok(members)
}

/// Relays, each with the token that stops it.
pub(crate) type Relays = Vec<(SubscriberFeed, CancellationToken)>;

/// Members, relays and subscribers, each kind on a thread of its own.
pub(crate) struct Fleet {
    pub(crate) members: Vec<Member>,
    pub(crate) region_relays: Relays,
    pub(crate) site_relays: Relays,
    pub(crate) subscribers: Vec<SubscriberFeed>,
    pub(crate) latencies: DeliveryLatencies,
    pub(crate) member_runtime: RuntimeThread,
    pub(crate) relay_runtime: RuntimeThread,
    pub(crate) subscriber_runtime: RuntimeThread,
    /// The resident memory before the site relays and subscribers were started, in KiB.
    memory_before: u64,
}

impl Fleet {
    /// Starts the members, the relays, and this many subscribers.
    pub(crate) async fn start(subscriber_count: usize, folder: &Path) -> Result<Fleet, ExampleError> {
        let member_runtime = start_runtime("members")?;
        let members = member_runtime.handle.spawn(start_members(folder.to_owned())).await??;
        let member_addrs: Vec<String> = members.iter().map(|member| member.addr.clone()).collect();
        let (relay_runtime, subscriber_runtime) = (start_runtime("relays")?, start_runtime("subscribers")?);
        let (region_relays, region_addrs) =
            start_relays(&relay_runtime, REGIONS * 2, 1_000_000, std::slice::from_ref(&member_addrs)).await?;
        let latencies = DeliveryLatencies {
            proposed: ProposalTimes::default(),
            purges: new_histogram()?,
            changes: new_histogram()?,
        };
        let (mut site_relays, mut subscribers) = (Vec::new(), Vec::new());
        let memory_before = resident_kib()?;
        for n in 0..subscriber_count.div_ceil(SITE_SUBSCRIBERS) {
            let of_region = region_addrs.chunks(2).nth(n % REGIONS).ok_or("a region has no relays")?.to_vec();
            let tiers = [of_region, member_addrs.clone()];
            let (relays, relay_addrs) =
                start_relays(&relay_runtime, 2, 2_000_000 + 2 * n as u64, &tiers).await?;
            site_relays.extend(relays);
            let tiers = [vec![relay_addrs], tiers.to_vec()].concat();
            for id in n * SITE_SUBSCRIBERS..((n + 1) * SITE_SUBSCRIBERS).min(subscriber_count) {
                subscribers.push(
                    start_subscriber(
                        &subscriber_runtime,
                        id as u64,
                        &tiers,
                        Some(&latencies),
                        &subscriber_runtime.stop,
                    )
                    .0,
                );
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(Fleet {
            members,
            region_relays,
            site_relays,
            subscribers,
            latencies,
            member_runtime,
            relay_runtime,
            subscriber_runtime,
            memory_before,
        })
    }

    pub(crate) fn runtimes(&self) -> [&RuntimeThread; 3] {
        [&self.member_runtime, &self.relay_runtime, &self.subscriber_runtime]
    }

    /// The total counters of all subscribers, and of all relays.
    fn counters(&self) -> (Counters, Counters) {
        (sum_counters(&self.subscribers), sum_counters(all_relays(&self.region_relays, &self.site_relays)))
    }

    /// Runs the load, prints a row with its cost and the latencies of its changes, and returns the number of the last
    /// change.
    pub(crate) async fn measure(&self, seconds: u64, last_number: u64) -> Result<u64, ExampleError> {
        let cpu_before = self.runtimes().map(RuntimeThread::cpu_seconds);
        let (before, relays_before) = self.counters();
        let started_at = Instant::now();
        let (first, proposed) = (self.members[0].replica.clone(), self.latencies.proposed.clone());
        let last_number = self
            .member_runtime
            .handle
            .spawn(run_load(first, proposed, Duration::from_secs(seconds), last_number))
            .await??;
        let time = started_at.elapsed().as_secs_f64();
        let (after, relays_after) = self.counters();
        let mut cpu_percent = Vec::new();
        for (cpu_before, runtime) in cpu_before.into_iter().zip(self.runtimes()) {
            cpu_percent.push((runtime.cpu_seconds()? - cpu_before?) / time * 100.0);
        }
        sleep(Duration::from_secs(2)).await; // the last changes still have to arrive
        let (subscribers, relays) =
            (self.subscribers.len(), self.region_relays.len() + self.site_relays.len());
        let memory =
            (resident_kib()? - self.memory_before) as f64 / (subscribers + self.site_relays.len()) as f64;
        let proposed =
            self.latencies.proposed.lock().map_err(|_| "the lock of the proposal times is poisoned")?.len();
        println!(
            "| {subscribers}, {relays} | {} | {} | {proposed} | {:.0} | {:.0} | {:.1}% | {:.3}% | {:.3}% | {memory:.0} | {}, {} |",
            format_quantiles(&self.latencies.purges)?,
            format_quantiles(&self.latencies.changes)?,
            bytes_per_second(before, after, subscribers, time),
            bytes_per_second(relays_before, relays_after, relays, time),
            cpu_percent[0],
            cpu_percent[1] / relays as f64,
            cpu_percent[2] / subscribers as f64,
            after.rejected_frames + relays_after.rejected_frames,
            after.disconnects + relays_after.disconnects,
        );
        Ok(last_number)
    }
}

/// The total counters of several feeds.
pub(crate) fn sum_counters<'a>(feeds: impl IntoIterator<Item = &'a SubscriberFeed>) -> Counters {
    feeds.into_iter().map(SubscriberFeed::counters).fold(Counters::default(), |sum, one| Counters {
        frames: sum.frames + one.frames,
        bytes: sum.bytes + one.bytes,
        rejected_frames: sum.rejected_frames + one.rejected_frames,
        rejected_sessions: sum.rejected_sessions + one.rejected_sessions,
        disconnects: sum.disconnects + one.disconnects,
    })
}

/// The feeds of the relays of regions and of sites.
pub(crate) fn all_relays<'a>(
    region_relays: &'a [(SubscriberFeed, CancellationToken)],
    site_relays: &'a [(SubscriberFeed, CancellationToken)],
) -> impl Iterator<Item = &'a SubscriberFeed> {
    region_relays.iter().chain(site_relays).map(|(feed, _)| feed)
}

/// The bytes per second of each of `count` subscribers in both directions: frames, their acknowledgements by TCP, and
/// the subscribers' acknowledgement frames.
fn bytes_per_second(before: Counters, after: Counters, count: usize, seconds: f64) -> f64 {
    let down = (after.bytes - before.bytes + (after.frames - before.frames) * HEADER_BYTES) as f64;
    let up = (12 + HEADER_BYTES) as f64 * seconds * count as f64; // each acknowledges once a second, in 12 bytes
    (down + up) / seconds / count.max(1) as f64
}
