//! Measures what a change of the state costs. All replicas run in one process on this machine, connect over TCP and
//! write to disk.
//!
//!     cargo run --release -p stonefold-store --example commits -- [FOLDER]

mod support;

use std::path::{Path, PathBuf};
use std::time::Duration;

use hdrhistogram::Histogram;
use stonefold_store::disk::{Disk, Identity};
use stonefold_store::message::{Caller, Request, Response};
use stonefold_store::replica::{Replica, ReplicaOptions};
use stonefold_store::state::{Change, Proposal};
use stonefold_store::wire::{Key, Keys, TcpTransport, serve};
use support::{ExampleError, cpu_seconds, resident_kib};
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

async fn start_member(folder: &Path, member: u64) -> Result<Member, ExampleError> {
    let dir = folder.join(format!("m{member}"));
    let disk = Disk::create(&dir, Identity { cluster: 1, member })?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?.to_string();
    let tcp = TcpTransport::member(Keys::new(Key::new([7; 32]), None), 1, member, addr.clone());
    let replica = Replica::start(disk, ReplicaOptions::new(addr.clone()), tcp.clone()).await?;
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, replica.clone(), tcp, stop.clone()));
    Ok(Member { replica, addr, stop, dir })
}

async fn add_member(leader: &Replica<TcpTransport>, member: u64, addr: &str) -> Result<(), ExampleError> {
    match leader.answer(Caller::Client, Request::AddMember { member, addr: addr.into() }).await {
        Response::MembersChanged(result) => Ok(result?),
        other => Err(format!("{other:?}").into()),
    }
}

/// Changes one of 100 documents. `n` chooses the document, and is the id of a client that proposes only this change.
async fn propose_document(replica: &Replica<TcpTransport>, n: u64, bytes: usize) -> Result<(), ExampleError> {
    let (name, text) = (format!("d{}", n % 100), "x".repeat(bytes));
    let change = Change::Document { name, text, author: "me".into(), at_ms: 0, after: None };
    let proposal = Proposal { client: n, sequence: 1, change };
    replica.propose(proposal, Instant::now() + TIMEOUT).await?;
    Ok(())
}

/// Proposes changes from several clients at a time. Returns the changes per second, and how long each took in
/// microseconds.
async fn commit_concurrently(
    replica: &Replica<TcpTransport>,
    clients: u64,
    changes_per_client: u64,
) -> Result<(f64, Histogram<u64>), ExampleError> {
    let start = Instant::now();
    let runs = (0..clients).map(|client| {
        let replica = replica.clone();
        tokio::spawn(async move {
            let mut latencies = Histogram::<u64>::new(3)?;
            for n in 0..changes_per_client {
                let started_at = Instant::now();
                propose_document(&replica, (client << 32) + n + 1, 200).await?;
                latencies.record(started_at.elapsed().as_micros() as u64)?;
            }
            Ok::<_, ExampleError>(latencies)
        })
    });
    let mut all_latencies = Histogram::new(3)?;
    for run in runs.collect::<Vec<_>>() {
        all_latencies.add(run.await??)?;
    }
    Ok(((clients * changes_per_client) as f64 / start.elapsed().as_secs_f64(), all_latencies))
}

/// Measures changes by one client, and by 16 clients at a time.
async fn measure_commits(replica: &Replica<TcpTransport>, member_count: u64) -> Result<(), ExampleError> {
    for clients in [1, 16] {
        let (rate, latencies) = commit_concurrently(replica, clients, 1_000 / clients).await?;
        let ms = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{member_count} members, {clients} clients: {rate:.0} changes/s, p50 {:.2} ms, p99 {:.2} ms",
            ms(0.5),
            ms(0.99)
        );
    }
    Ok(())
}

/// Measures the processor time of idle members.
async fn measure_idle(member_count: u64) -> Result<(), ExampleError> {
    let (cpu_before, idle_since) = (cpu_seconds()?, Instant::now());
    sleep(Duration::from_secs(5)).await;
    let cores = (cpu_seconds()? - cpu_before) / idle_since.elapsed().as_secs_f64() / member_count as f64;
    println!("{member_count} members: idle, each uses {:.2}% of a core", cores * 100.0);
    Ok(())
}

/// Commits 10,000 more changes and then adds a member, which catches up by a snapshot and the rest of the log. Returns
/// the new member.
async fn measure_catch_up(folder: &Path, first: &Member, member_count: u64) -> Result<Member, ExampleError> {
    let started_at = Instant::now();
    for chunk in 0..100u64 {
        let changes = (0..100).map(|n| propose_document(&first.replica, (1 << 50) + chunk * 100 + n, 200));
        for result in futures_util::future::join_all(changes.collect::<Vec<_>>()).await {
            result?;
        }
    }
    println!("{member_count} members: 10,000 changes in {:.1} s", started_at.elapsed().as_secs_f64());
    let size = std::fs::metadata(first.dir.join("store.redb"))?.len();
    let status = first.replica.status();
    println!(
        "{member_count} members: {} KiB on disk at entry {}, snapshot up to {}",
        size >> 10,
        status.last_index,
        status.snapshot_index
    );
    let new_member = start_member(folder, member_count + 1).await?;
    let started_at = Instant::now();
    add_member(&first.replica, member_count + 1, &new_member.addr).await?;
    println!(
        "{member_count} members: a new member has caught up and become a voter after {:.0} ms",
        started_at.elapsed().as_secs_f64() * 1e3
    );
    Ok(new_member)
}

/// Measures how long the first change takes after the leader has stopped.
async fn measure_failover(
    leader: Member,
    other: &Replica<TcpTransport>,
    member_count: u64,
) -> Result<(), ExampleError> {
    leader.stop.cancel();
    leader.replica.stop().await;
    let started_at = Instant::now();
    propose_document(other, 1 << 60, 200).await?;
    println!(
        "{member_count} members: the first change after the leader stopped took {:.0} ms",
        started_at.elapsed().as_secs_f64() * 1e3
    );
    Ok(())
}

/// Measures a cluster of this many members.
async fn measure_cluster(folder: &Path, member_count: u64) -> Result<(), ExampleError> {
    let mut members = Vec::new();
    for member in 1..=member_count {
        members.push(start_member(folder, member).await?);
    }
    members[0].replica.bootstrap().await?;
    members[0].replica.confirm(Instant::now() + TIMEOUT).await?;
    for member in 2..=member_count {
        add_member(&members[0].replica, member, &members[member as usize - 1].addr).await?;
    }
    measure_commits(&members[0].replica, member_count).await?;
    measure_idle(member_count).await?;
    let new_member = measure_catch_up(folder, &members[0], member_count).await?;
    let leader = members.remove(0);
    measure_failover(leader, &members[0].replica, member_count).await?;
    for member in members.iter().chain([&new_member]) {
        member.stop.cancel();
        member.replica.stop().await;
    }
    Ok(())
}

/// Measures the memory that 10,000 servers and 1,000 documents take at one member.
async fn measure_memory(folder: &Path) -> Result<(), ExampleError> {
    let member = start_member(folder, 1).await?;
    member.replica.bootstrap().await?;
    member.replica.confirm(Instant::now() + TIMEOUT).await?;
    let kib_before = resident_kib()?;
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
        resident_kib()?.saturating_sub(kib_before)
    );
    member.stop.cancel();
    member.replica.stop().await;
    Ok(())
}

#[tokio::main]
async fn main() -> Result<(), ExampleError> {
    let folder = std::env::args().nth(1).map_or_else(std::env::temp_dir, PathBuf::from);
    let dir = tempfile::tempdir_in(folder)?;
    measure_memory(&dir.path().join("memory")).await?;
    for member_count in [3, 5] {
        let folder = dir.path().join(member_count.to_string());
        std::fs::create_dir(&folder)?;
        measure_cluster(&folder, member_count).await?;
    }
    Ok(())
}
