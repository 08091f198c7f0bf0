//! The traffic and the processor time of the members of a store. All are voters in one process, with real disks and
//! connections over loopback.

use std::path::Path;
use std::time::Duration;

use stonefold_store::disk::{Disk, DiskError, Identity};
use stonefold_store::message::{Caller, Request, RequestError, Response};
use stonefold_store::replica::{Replica, ReplicaOptions, StartError};
use stonefold_store::wire::{Key, Keys, TcpTransport, serve};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval_at, sleep};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::experiment::StorePlan;
use crate::machine::{LoopbackTraffic, own_processor_s};
use crate::sample::Figures;

/// Cluster identifier of the measured store.
const CLUSTER: u128 = 1;
/// Time within which the first member must lead, and within which each further member must be added.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after the last member is added, in which all members catch up.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time over which the loopback traffic of other processes is measured before the members start.
const BACKGROUND_TIME: Duration = Duration::from_secs(1);
/// Interval at which each member asks the leader to confirm the committed index, and the timeout of such a request;
/// both as in a node.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// Why a store could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk of a member failed.
    #[error("{0}")]
    Disk(#[from] DiskError),
    /// A member could not be started.
    #[error("{0}")]
    Start(#[from] StartError),
    /// A runtime, a folder or a socket could not be created.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A member could not be added in time.
    #[error("member {member} could not be added: {reason}")]
    Add {
        /// Number of the member.
        member: u64,
        /// The last error.
        reason: RequestError,
    },
    /// The response is not one to the request that was sent.
    #[error("unexpected response: {0}")]
    UnexpectedResponse(String),
    /// The measurement was stopped.
    #[error("stopped before the end")]
    Stopped,
    /// The first member did not become the leader.
    #[error("no leader: {0}")]
    NoLeader(RequestError),
}

/// A running member of the store.
struct RunningMember {
    replica: Replica<TcpTransport>,
    addr: String,
}

/// Starts this number of members and measures their traffic and processor time.
///
/// # Errors
/// If a member can't be started or added, or `stop` is cancelled. Nothing is left on the disk.
pub fn measure(plan: &StorePlan, members: usize, stop: &CancellationToken) -> Result<Figures, StoreError> {
    let folder = tempfile::tempdir()?;
    // The runtime is dropped before the folder, so that no task writes to the folder when it is removed.
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(async {
        tokio::select! {
            done = run_members(plan, members, folder.path()) => done,
            () = stop.cancelled() => Err(StoreError::Stopped),
        }
    })
}

/// Starts the members and measures both phases of the plan.
async fn run_members(plan: &StorePlan, member_count: usize, folder: &Path) -> Result<Figures, StoreError> {
    let background = loopback_rates(BACKGROUND_TIME).await;
    let stop = CancellationToken::new();
    let _stop: DropGuard = stop.clone().drop_guard();
    let started_at = Instant::now();
    let members = start_voters(member_count, folder, &stop).await?;
    let start_time = started_at.elapsed();
    sleep(SETTLE_TIME).await;
    let mut figures = Figures::default();
    figures.put("start_s", start_time.as_secs_f64());
    figures.put("background_bytes_per_s", background.0);

    let processor_before = own_processor_s();
    let idle = loopback_rates(plan.idle.duration()).await;
    put_costs(
        &mut figures,
        "idle",
        member_count,
        idle,
        background,
        (own_processor_s() - processor_before) / plan.idle.duration().as_secs_f64(),
    );

    let (processor_before, loopback_before, started_at) =
        (own_processor_s(), LoopbackTraffic::now(), Instant::now());
    // The number of requests and how many of them failed.
    let asks = confirm_at_all_members(&members, plan.asking.duration()).await;
    let seconds = started_at.elapsed().as_secs_f64();
    let asking = LoopbackTraffic::now().rates_since(loopback_before, seconds);
    put_costs(
        &mut figures,
        "asking",
        member_count,
        asking,
        background,
        (own_processor_s() - processor_before) / seconds,
    );
    figures.put("asks", asks.0 as f64);
    figures.put("asks_failed", asks.1 as f64);
    figures.put("asks_failed_share", asks.1 as f64 / asks.0.max(1) as f64);
    for member in &members {
        member.replica.stop().await;
    }
    Ok(figures)
}

/// Adds the traffic of each member, without that of other processes, and its processor time.
fn put_costs(
    figures: &mut Figures,
    phase: &str,
    members: usize,
    loopback: (f64, f64),
    background: (f64, f64),
    cores: f64,
) {
    let each = |total: f64, background: f64| (total - background).max(0.0) / members as f64;
    figures.put(&format!("{phase}_each_bytes_per_s"), each(loopback.0, background.0));
    figures.put(&format!("{phase}_each_packets_per_s"), each(loopback.1, background.1));
    figures.put(&format!("{phase}_each_core_percent"), cores * 100.0 / members as f64);
}

/// Measures the traffic over loopback for a time, in bytes and packets per second.
async fn loopback_rates(time: Duration) -> (f64, f64) {
    let (before, started_at) = (LoopbackTraffic::now(), Instant::now());
    sleep(time).await;
    LoopbackTraffic::now().rates_since(before, started_at.elapsed().as_secs_f64())
}

/// Starts the members of a store; the first one leads it and adds the others as voters.
async fn start_voters(
    member_count: usize,
    folder: &Path,
    stop: &CancellationToken,
) -> Result<Vec<RunningMember>, StoreError> {
    let mut members = vec![start_member(folder, 1, stop).await?];
    let first = members[0].replica.clone();
    first.bootstrap().await.map_err(StoreError::NoLeader)?;
    first.confirm(Instant::now() + START_TIMEOUT).await.map_err(StoreError::NoLeader)?;
    for member in 2..=member_count as u64 {
        let new = start_member(folder, member, stop).await?;
        add_member(&first, member, &new.addr).await?;
        members.push(new);
    }
    Ok(members)
}

async fn start_member(
    folder: &Path,
    member: u64,
    stop: &CancellationToken,
) -> Result<RunningMember, StoreError> {
    let disk = Disk::create(&folder.join(member.to_string()), Identity { cluster: CLUSTER, member })?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?.to_string();
    let tcp = TcpTransport::member(Keys::new(Key::new([7; 32]), None), CLUSTER, member, addr.clone());
    let replica = Replica::start(disk, ReplicaOptions::new(addr.clone()), tcp.clone()).await?;
    tokio::spawn(serve(listener, replica.clone(), tcp, stop.clone()));
    Ok(RunningMember { replica, addr })
}

/// Adds a member. Retries until the timeout, as there may be no quorum while the member before is still being added.
async fn add_member(first: &Replica<TcpTransport>, member: u64, addr: &str) -> Result<(), StoreError> {
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        match first.answer(Caller::Client, Request::AddMember { member, addr: addr.into() }).await {
            Response::MembersChanged(Ok(())) => return Ok(()),
            Response::MembersChanged(Err(reason)) if Instant::now() > deadline => {
                return Err(StoreError::Add { member, reason });
            }
            Response::MembersChanged(Err(_)) => sleep(CONFIRM_INTERVAL / 10).await,
            other => return Err(StoreError::UnexpectedResponse(format!("{other:?}"))),
        }
    }
}

/// Has each member ask the leader once a second to confirm the committed index, at times that are spread over the
/// second. Returns the number of requests and how many failed.
async fn confirm_at_all_members(members: &[RunningMember], time: Duration) -> (u64, u64) {
    let (start, mut tasks) = (Instant::now(), JoinSet::new());
    for (n, member) in members.iter().enumerate() {
        let replica = member.replica.clone();
        let first = start + CONFIRM_INTERVAL.mul_f64(n as f64 / members.len() as f64);
        tasks.spawn(async move {
            let mut due = interval_at(first, CONFIRM_INTERVAL);
            due.set_missed_tick_behavior(MissedTickBehavior::Skip);
            let (mut asked, mut failed) = (0, 0);
            while due.tick().await < first + time {
                asked += 1;
                failed += u64::from(replica.confirm(Instant::now() + CONFIRM_INTERVAL).await.is_err());
            }
            (asked, failed)
        });
    }
    let mut sum = (0, 0);
    while let Some(done) = tasks.join_next().await {
        let (asked, failed) = done.unwrap_or((0, 0));
        sum = (sum.0 + asked, sum.1 + failed);
    }
    sum
}
