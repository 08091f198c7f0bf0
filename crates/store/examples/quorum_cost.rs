//! Measures what it costs if every node is a voting member. All members run in one process and connect over TCP on
//! loopback.
//!
//!     cargo run --release -p stonefold-store --example quorum_cost -- [SECONDS] [MEMBERS ...]
//!
//! For each cluster size it prints the bytes per second that a member sends (each byte sent is received once) and its
//! processor time, first idle and then while every member asks the leader once a second to confirm the committed index,
//! and the number of confirmations that failed. Headers are counted: 20 bytes of the store's framing and 52 bytes of IP
//! and TCP per message. Connection set-up and TCP acknowledgements without data are not counted.

mod support;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::future::{BoxFuture, join_all};
use stonefold_store::codec::encode;
use stonefold_store::disk::{Disk, Identity};
use stonefold_store::message::{Caller, Request, RequestError, Response};
use stonefold_store::raft::MemberId;
use stonefold_store::replica::{Replica, ReplicaOptions, Transport};
use stonefold_store::wire::{Key, Keys, TcpTransport, serve};
use support::{ExampleError, cpu_seconds};
use tokio::net::TcpListener;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

/// The overhead of a message, in bytes: its length and MAC, and the IP and TCP headers.
const HEADER_BYTES: u64 = 20 + 52;
/// The interval at which each member asks the leader, and how long it waits for the response.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// A transport over TCP that counts the bytes of requests and responses.
#[derive(Clone)]
struct CountingTransport {
    tcp: TcpTransport,
    bytes: Arc<AtomicU64>,
}

/// The size of a message with its headers, in bytes.
fn message_bytes<T: serde::Serialize>(value: &T) -> u64 {
    encode("a message", value).map_or(0, |bytes| bytes.len() as u64) + HEADER_BYTES
}

impl Transport for CountingTransport {
    fn request(
        &self,
        member: MemberId,
        addr: &str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'static, Result<Response, RequestError>> {
        self.bytes.fetch_add(message_bytes(&request), Ordering::Relaxed);
        let (bytes, response) = (self.bytes.clone(), self.tcp.request(member, addr, request, timeout));
        Box::pin(async move {
            let response = response.await?;
            bytes.fetch_add(message_bytes(&response), Ordering::Relaxed);
            Ok(response)
        })
    }
}

struct Member {
    replica: Replica<CountingTransport>,
    addr: String,
    stop: CancellationToken,
}

async fn start_member(folder: &Path, member: u64, bytes: Arc<AtomicU64>) -> Result<Member, ExampleError> {
    let disk = Disk::create(&folder.join(format!("m{member}")), Identity { cluster: 1, member })?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?.to_string();
    let tcp = TcpTransport::member(Keys::new(Key::new([7; 32]), None), 1, member, addr.clone());
    let counting = CountingTransport { tcp: tcp.clone(), bytes };
    let replica = Replica::start(disk, ReplicaOptions::new(addr.clone()), counting).await?;
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, replica.clone(), tcp, stop.clone()));
    Ok(Member { replica, addr, stop })
}

/// Asks the leader once a second to confirm the committed index. Returns how many confirmations were attempted and how
/// many of them failed.
async fn confirm_regularly(replica: Replica<CountingTransport>, seconds: u64) -> (u64, u64) {
    sleep(Duration::from_millis(fastrand::u64(..1_000))).await;
    let mut ticks = interval(CONFIRM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let (end, mut attempted, mut failed) = (Instant::now() + Duration::from_secs(seconds), 0, 0);
    while Instant::now() < end {
        ticks.tick().await;
        attempted += 1;
        failed += u64::from(replica.confirm(Instant::now() + CONFIRM_INTERVAL).await.is_err());
    }
    (attempted, failed)
}

/// Measures a cluster of this many members, and prints a row of the table.
async fn measure_cluster(folder: &Path, member_count: u64, seconds: u64) -> Result<(), ExampleError> {
    let bytes = Arc::<AtomicU64>::default();
    let mut members = vec![start_member(folder, 1, bytes.clone()).await?];
    members[0].replica.bootstrap().await?;
    members[0].replica.confirm(Instant::now() + Duration::from_secs(20)).await?;
    for member in 2..=member_count {
        let new = start_member(folder, member, bytes.clone()).await?;
        let add = Request::AddMember { member, addr: new.addr.clone() };
        match members[0].replica.answer(Caller::Client, add).await {
            Response::MembersChanged(done) => done.map_err(|error| format!("member {member}: {error}"))?,
            other => return Err(format!("{other:?}").into()),
        }
        members.push(new);
    }
    let (members_f64, time) = (member_count as f64, seconds as f64);
    sleep(Duration::from_secs(1)).await;
    let (sent_before, cpu_before) = (bytes.load(Ordering::Relaxed), cpu_seconds()?);
    sleep(Duration::from_secs(seconds)).await;
    let idle_bandwidth = (bytes.load(Ordering::Relaxed) - sent_before) as f64 / time / members_f64;
    let idle_cpu = (cpu_seconds()? - cpu_before) / time / members_f64 * 100.0;
    let (sent_before, cpu_before, started_at) =
        (bytes.load(Ordering::Relaxed), cpu_seconds()?, Instant::now());
    let results = join_all(
        members.iter().map(|member| tokio::spawn(confirm_regularly(member.replica.clone(), seconds))),
    )
    .await;
    let time = started_at.elapsed().as_secs_f64();
    let confirming_bandwidth = (bytes.load(Ordering::Relaxed) - sent_before) as f64 / time / members_f64;
    let confirming_cpu = (cpu_seconds()? - cpu_before) / time / members_f64 * 100.0;
    let counts: Vec<(u64, u64)> = results.into_iter().collect::<Result<_, _>>()?;
    let (attempted, failed) =
        counts.iter().fold((0, 0), |(a, f), (attempted, failed)| (a + attempted, f + failed));
    println!(
        "| {member_count} | {idle_bandwidth:.0} B/s, {idle_cpu:.2}% | {confirming_bandwidth:.0} B/s, {confirming_cpu:.2}% | {failed} of {attempted} |"
    );
    for member in &members {
        member.stop.cancel();
        member.replica.stop().await;
    }
    Ok(())
}

#[tokio::main]
async fn main() -> Result<(), ExampleError> {
    let numbers: Vec<u64> = support::number_args()?;
    let (seconds, sizes) = numbers.split_first().map_or((6, &[][..]), |(&seconds, sizes)| (seconds, sizes));
    let sizes = if sizes.is_empty() { &[3, 9, 27, 81][..] } else { sizes };
    println!(
        "| members | idle, per member | confirming once a second, per member | failed confirmations |\n| --- | --- | --- | --- |"
    );
    for &member_count in sizes {
        let folder = tempfile::tempdir()?;
        if let Err(error) = measure_cluster(folder.path(), member_count, seconds).await {
            println!("| {member_count} | not measured: {error} | | |");
        }
    }
    Ok(())
}
