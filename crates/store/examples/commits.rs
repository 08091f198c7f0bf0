//! What a change costs: replicas over TCP and on disks, all on this machine and in one process.
//!
//!     cargo run --release -p stonefold-store --example commits -- [FOLDER]

mod support;

use std::path::{Path, PathBuf};
use std::time::Duration;

use hdrhistogram::Histogram;
use stonefold_store::disk::{Disk, Identity};
use stonefold_store::message::{Caller, Request, Response};
use stonefold_store::replica::{Options, Replica};
use stonefold_store::state::{Change, Proposal};
use stonefold_store::wire::{Key, Keys, TcpTransport, serve};
use support::{Failure, cpu_seconds, resident_kib};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// How long a change, or the election of the first leader, may take.
const TIMEOUT: Duration = Duration::from_secs(60);

struct Member {
    replica: Replica<TcpTransport>,
    addr: String,
    stop: CancellationToken,
    dir: PathBuf,
}

async fn start(folder: &Path, member: u64) -> Result<Member, Failure> {
    let dir = folder.join(format!("m{member}"));
    let disk = Disk::create(&dir, Identity { cluster: 1, member })?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?.to_string();
    let tcp = TcpTransport::member(Keys::new(Key::new([7; 32]), None), 1, member, addr.clone());
    let replica = Replica::start(disk, Options::new(addr.clone()), tcp.clone()).await?;
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, replica.clone(), tcp, stop.clone()));
    Ok(Member { replica, addr, stop, dir })
}

async fn add(first: &Replica<TcpTransport>, member: u64, addr: &str) -> Result<(), Failure> {
    match first.answer(Caller::Client, Request::AddMember { member, addr: addr.into() }).await {
        Response::MembersChanged(done) => Ok(done?),
        other => Err(format!("{other:?}").into()),
    }
}

async fn change(replica: &Replica<TcpTransport>, n: u64, bytes: usize) -> Result<(), Failure> {
    let (name, text) = (format!("d{}", n % 100), "x".repeat(bytes));
    let change = Change::Document { name, text, author: "me".into(), at_ms: 0, after: None };
    let proposal = Proposal { client: n, sequence: 1, change };
    replica.propose(proposal, Instant::now() + TIMEOUT).await?;
    Ok(())
}

/// Changes from so many clients at a time: how many a second, and how long each took.
async fn commits(
    replica: &Replica<TcpTransport>,
    clients: u64,
    each: u64,
) -> Result<(f64, Histogram<u64>), Failure> {
    let start = Instant::now();
    let runs = (0..clients).map(|client| {
        let replica = replica.clone();
        tokio::spawn(async move {
            let mut took = Histogram::<u64>::new(3)?;
            for n in 0..each {
                let begun = Instant::now();
                change(&replica, (client << 32) + n + 1, 200).await?;
                took.record(begun.elapsed().as_micros() as u64)?;
            }
            Ok::<_, Failure>(took)
        })
    });
    let mut all = Histogram::new(3)?;
    for run in runs.collect::<Vec<_>>() {
        all.add(run.await??)?;
    }
    Ok(((clients * each) as f64 / start.elapsed().as_secs_f64(), all))
}

/// Changes by one client, and by several.
async fn measure_commits(replica: &Replica<TcpTransport>, number: u64) -> Result<(), Failure> {
    for clients in [1, 16] {
        let (rate, took) = commits(replica, clients, 1_000 / clients).await?;
        let ms = |quantile: f64| took.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{number} members, {clients} clients: {rate:.0} changes/s, p50 {:.2} ms, p99 {:.2} ms",
            ms(0.5),
            ms(0.99)
        );
    }
    Ok(())
}

/// The processor time of idle members.
async fn measure_idle(number: u64) -> Result<(), Failure> {
    let (before, start_idle) = (cpu_seconds()?, Instant::now());
    sleep(Duration::from_secs(5)).await;
    let idle = (cpu_seconds()? - before) / start_idle.elapsed().as_secs_f64() / number as f64;
    println!("{number} members: idle, each takes {:.2}% of a core", idle * 100.0);
    Ok(())
}

/// Many more entries, then a new member: it catches up by a snapshot and the rest of the log.
async fn measure_catch_up(folder: &Path, first: &Member, number: u64) -> Result<Member, Failure> {
    let begun = Instant::now();
    for chunk in 0..100u64 {
        let changes = (0..100).map(|n| change(&first.replica, (1 << 50) + chunk * 100 + n, 200));
        for done in futures_util::future::join_all(changes.collect::<Vec<_>>()).await {
            done?;
        }
    }
    println!("{number} members: 10,000 changes in {:.1} s", begun.elapsed().as_secs_f64());
    let size = std::fs::metadata(first.dir.join("store.redb"))?.len();
    let status = first.replica.status();
    println!(
        "{number} members: {} KiB on disk at entry {}, snapshot up to {}",
        size >> 10,
        status.last_index,
        status.snapshot_index
    );
    let late = start(folder, number + 1).await?;
    let begun = Instant::now();
    add(&first.replica, number + 1, &late.addr).await?;
    println!(
        "{number} members: one more has caught up and votes after {:.0} ms",
        begun.elapsed().as_secs_f64() * 1e3
    );
    Ok(late)
}

/// The first change after the leader has stopped.
async fn measure_failover(leader: Member, next: &Replica<TcpTransport>, number: u64) -> Result<(), Failure> {
    leader.stop.cancel();
    leader.replica.stop().await;
    let begun = Instant::now();
    change(next, 1 << 60, 200).await?;
    println!(
        "{number} members: the first change after the leader's end took {:.0} ms",
        begun.elapsed().as_secs_f64() * 1e3
    );
    Ok(())
}

async fn play(folder: &Path, number: u64) -> Result<(), Failure> {
    let mut members = Vec::new();
    for member in 1..=number {
        members.push(start(folder, member).await?);
    }
    members[0].replica.bootstrap().await?;
    members[0].replica.confirm(Instant::now() + TIMEOUT).await?;
    for member in 2..=number {
        add(&members[0].replica, member, &members[member as usize - 1].addr).await?;
    }
    measure_commits(&members[0].replica, number).await?;
    measure_idle(number).await?;
    let late = measure_catch_up(folder, &members[0], number).await?;
    let leader = members.remove(0);
    measure_failover(leader, &members[0].replica, number).await?;
    for member in members.iter().chain([&late]) {
        member.stop.cancel();
        member.replica.stop().await;
    }
    Ok(())
}

/// What 10,000 servers and 1,000 documents take of memory at one member.
async fn memory(folder: &Path) -> Result<(), Failure> {
    let member = start(folder, 1).await?;
    member.replica.bootstrap().await?;
    member.replica.confirm(Instant::now() + TIMEOUT).await?;
    let before = resident_kib()?;
    let server = |n: u64| {
        format!(
            r#"{{"id":"s-{n:08x}","addr":"127.0.0.1:{}","zone":"north","kind":"fast","cell":{},"state":"SERVING","weight":1.0,"started_ms":1790000000000}}"#,
            n % 60_000,
            n % 16
        )
    };
    let servers: Vec<String> = (0..10_000).map(server).collect();
    let text = format!(r#"{{"version":1,"full":true,"servers":[{}]}}"#, servers.join(","));
    let started = (0..10_000).map(|n| (format!("s-{n:08x}"), 1_790_000_000_000)).collect();
    drop(servers);
    let list = Change::List { version: 1, text, learned_by: 1, started };
    let proposal = Proposal { client: 1, sequence: 1, change: list };
    member.replica.propose(proposal, Instant::now() + TIMEOUT).await?;
    for n in 0..1_000u64 {
        let (name, text) = (format!("document-{n}"), "x".repeat(1_000));
        let change = Change::Document { name, text, author: "me".into(), at_ms: 0, after: None };
        let proposal = Proposal { client: 2, sequence: n + 1, change };
        member.replica.propose(proposal, Instant::now() + TIMEOUT).await?;
    }
    println!(
        "10,000 servers and 1,000 documents: {} KiB more in memory",
        resident_kib()?.saturating_sub(before)
    );
    member.stop.cancel();
    member.replica.stop().await;
    Ok(())
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let folder = std::env::args().nth(1).map_or_else(std::env::temp_dir, PathBuf::from);
    let dir = tempfile::tempdir_in(folder)?;
    memory(&dir.path().join("memory")).await?;
    for number in [3, 5] {
        let folder = dir.path().join(number.to_string());
        std::fs::create_dir(&folder)?;
        play(&folder, number).await?;
    }
    Ok(())
}
