//! What the store's members say to each other: all of them voters, in one process, over loopback and on disks.

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

use crate::experiment::Store;
use crate::machine::{Carried, own_time};
use crate::sample::Figures;

const CLUSTER: u128 = 1;
/// A leader of one, a member that is added.
const IN_TIME: Duration = Duration::from_secs(60);
/// After the last member was added, until nothing is left to catch up with.
const SETTLE: Duration = Duration::from_millis(1_500);
/// What the machine's loopback carries without us is counted for so long.
const BACKGROUND: Duration = Duration::from_secs(1);
/// Each member asks so often, and gives up an answer after so long, as a node does.
const ASK: Duration = Duration::from_secs(1);

/// Why a store can't be measured.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A member's disk.
    #[error("{0}")]
    Disk(#[from] DiskError),
    /// A member's start.
    #[error("{0}")]
    Start(#[from] StartError),
    /// A socket, a folder.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A member that can't be added.
    #[error("member {member} is not added: {why}")]
    Add {
        /// Its number.
        member: u64,
        /// Why.
        why: RequestError,
    },
    /// An answer to something else.
    #[error("an answer to another question: {0}")]
    Other(String),
    /// Somebody wanted it to end.
    #[error("told to stop")]
    Stopped,
    /// Nobody leads a store of one.
    #[error("no leader: {0}")]
    Leader(RequestError),
}

struct Member {
    replica: Replica<TcpTransport>,
    addr: String,
}

/// Starts so many members and counts what they say, unless it is told to stop.
///
/// # Errors
/// If one can't be started or added, or it is told to stop. Nothing is left on the disk.
pub fn measure(of: &Store, members: usize, stop: &CancellationToken) -> Result<Figures, StoreError> {
    let folder = tempfile::tempdir()?;
    // Dropped before the folder: nobody writes to it any more when it goes.
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(async {
        tokio::select! {
            done = play(of, members, folder.path()) => done,
            () = stop.cancelled() => Err(StoreError::Stopped),
        }
    })
}

async fn play(of: &Store, number: usize, folder: &Path) -> Result<Figures, StoreError> {
    let background = carried_over(BACKGROUND).await;
    let stop = CancellationToken::new();
    let _stop: DropGuard = stop.clone().drop_guard();
    let began = Instant::now();
    let members = voters(number, folder, &stop).await?;
    let started = began.elapsed();
    sleep(SETTLE).await;
    let mut figures = Figures::default();
    figures.put("start_s", started.as_secs_f64());
    figures.put("background_bytes_per_s", background.0);

    let time = own_time();
    let idle = carried_over(of.idle.duration()).await;
    put(
        &mut figures,
        "idle",
        number,
        idle,
        background,
        (own_time() - time) / of.idle.duration().as_secs_f64(),
    );

    let (time, before, began) = (own_time(), Carried::now(), Instant::now());
    let asked = ask_all(&members, of.asking.duration()).await;
    let seconds = began.elapsed().as_secs_f64();
    let asking = Carried::now().rates_since(before, seconds);
    put(&mut figures, "asking", number, asking, background, (own_time() - time) / seconds);
    figures.put("asks", asked.0 as f64);
    figures.put("asks_failed", asked.1 as f64);
    figures.put("asks_failed_share", asked.1 as f64 / asked.0.max(1) as f64);
    for member in &members {
        member.replica.stop().await;
    }
    Ok(figures)
}

/// What each member takes, of what was carried less what is carried without us.
fn put(
    figures: &mut Figures,
    when: &str,
    members: usize,
    carried: (f64, f64),
    without: (f64, f64),
    cores: f64,
) {
    let each = |now: f64, without: f64| (now - without).max(0.0) / members as f64;
    figures.put(&format!("{when}_each_bytes_per_s"), each(carried.0, without.0));
    figures.put(&format!("{when}_each_packets_per_s"), each(carried.1, without.1));
    figures.put(&format!("{when}_each_core_percent"), cores * 100.0 / members as f64);
}

/// What the loopback carries, in bytes and packets a second.
async fn carried_over(time: Duration) -> (f64, f64) {
    let (before, began) = (Carried::now(), Instant::now());
    sleep(time).await;
    Carried::now().rates_since(before, began.elapsed().as_secs_f64())
}

async fn voters(number: usize, folder: &Path, stop: &CancellationToken) -> Result<Vec<Member>, StoreError> {
    let mut members = vec![start(folder, 1, stop).await?];
    let first = members[0].replica.clone();
    first.bootstrap().await.map_err(StoreError::Leader)?;
    first.confirm(Instant::now() + IN_TIME).await.map_err(StoreError::Leader)?;
    for member in 2..=number as u64 {
        let new = start(folder, member, stop).await?;
        add(&first, member, &new.addr).await?;
        members.push(new);
    }
    Ok(members)
}

async fn start(folder: &Path, member: u64, stop: &CancellationToken) -> Result<Member, StoreError> {
    let disk = Disk::create(&folder.join(member.to_string()), Identity { cluster: CLUSTER, member })?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?.to_string();
    let tcp = TcpTransport::member(Keys::new(Key::new([7; 32]), None), CLUSTER, member, addr.clone());
    let replica = Replica::start(disk, ReplicaOptions::new(addr.clone()), tcp.clone()).await?;
    tokio::spawn(serve(listener, replica.clone(), tcp, stop.clone()));
    Ok(Member { replica, addr })
}

/// Adds a member, again while there is no quorum that could: it is busy with the one before.
async fn add(first: &Replica<TcpTransport>, member: u64, addr: &str) -> Result<(), StoreError> {
    let until = Instant::now() + IN_TIME;
    loop {
        match first.answer(Caller::Client, Request::AddMember { member, addr: addr.into() }).await {
            Response::MembersChanged(Ok(())) => return Ok(()),
            Response::MembersChanged(Err(why)) if Instant::now() > until => {
                return Err(StoreError::Add { member, why });
            }
            Response::MembersChanged(Err(_)) => sleep(ASK / 10).await,
            other => return Err(StoreError::Other(format!("{other:?}"))),
        }
    }
}

/// Each member asks once a second, all of them spread over it; tells how many asks there were and how many failed.
async fn ask_all(members: &[Member], time: Duration) -> (u64, u64) {
    let (start, mut asking) = (Instant::now(), JoinSet::new());
    for (n, member) in members.iter().enumerate() {
        let replica = member.replica.clone();
        let first = start + ASK.mul_f64(n as f64 / members.len() as f64);
        asking.spawn(async move {
            let mut due = interval_at(first, ASK);
            due.set_missed_tick_behavior(MissedTickBehavior::Skip);
            let (mut asked, mut failed) = (0, 0);
            while due.tick().await < first + time {
                asked += 1;
                failed += u64::from(replica.confirm(Instant::now() + ASK).await.is_err());
            }
            (asked, failed)
        });
    }
    let mut sum = (0, 0);
    while let Some(done) = asking.join_next().await {
        let (asked, failed) = done.unwrap_or((0, 0));
        sum = (sum.0 + asked, sum.1 + failed);
    }
    sum
}
