//! What it costs that every node is a voting member: all members in one process, over TCP on loopback.
//!
//!     cargo run --release -p stonefold-store --example quorum_cost -- [SECONDS] [MEMBERS ...]
//!
//! Of each number of members: bytes a second that a member sends (each byte sent is received once), idle and with each
//! asking the leader once a second; processor time; asks that failed. Headers are reckoned in: 20 bytes of our own
//! framing and 52 of IP and TCP a message. Connection set-up and acknowledgements that carry nothing are not.

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
use stonefold_store::replica::{Options, Replica, Transport};
use stonefold_store::wire::{Key, Keys, TcpTransport, serve};
use support::{Failure, cpu_seconds};
use tokio::net::TcpListener;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

/// The overhead of a message in bytes: its length and MAC, IP and TCP headers.
const HEADER_BYTES: u64 = 20 + 52;
/// How often each member asks the leader, and how long it waits for the response.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// Requests over TCP, with a count of the bytes.
#[derive(Clone)]
struct CountingTransport {
    tcp: TcpTransport,
    bytes: Arc<AtomicU64>,
}

fn size<T: serde::Serialize>(value: &T) -> u64 {
    encode("a message", value).map_or(0, |bytes| bytes.len() as u64) + HEADER_BYTES
}

impl Transport for CountingTransport {
    fn request(
        &self,
        member: MemberId,
        addr: &str,
        request: Request,
        wait: Duration,
    ) -> BoxFuture<'static, Result<Response, RequestError>> {
        self.bytes.fetch_add(size(&request), Ordering::Relaxed);
        let (bytes, answer) = (self.bytes.clone(), self.tcp.request(member, addr, request, wait));
        Box::pin(async move {
            let answer = answer.await?;
            bytes.fetch_add(size(&answer), Ordering::Relaxed);
            Ok(answer)
        })
    }
}

struct Member {
    replica: Replica<CountingTransport>,
    addr: String,
    stop: CancellationToken,
}

async fn start(folder: &Path, member: u64, bytes: Arc<AtomicU64>) -> Result<Member, Failure> {
    let disk = Disk::create(&folder.join(format!("m{member}")), Identity { cluster: 1, member })?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?.to_string();
    let tcp = TcpTransport::member(Keys::new(Key::new([7; 32]), None), 1, member, addr.clone());
    let counted = CountingTransport { tcp: tcp.clone(), bytes };
    let replica = Replica::start(disk, Options::new(addr.clone()), counted).await?;
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, replica.clone(), tcp, stop.clone()));
    Ok(Member { replica, addr, stop })
}

/// Each asks the leader once a second; how many asks were made and how many of them failed.
async fn confirm_regularly(replica: Replica<CountingTransport>, seconds: u64) -> (u64, u64) {
    sleep(Duration::from_millis(fastrand::u64(..1_000))).await;
    let mut ticks = interval(CONFIRM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let (until, mut asked, mut failed) = (Instant::now() + Duration::from_secs(seconds), 0, 0);
    while Instant::now() < until {
        ticks.tick().await;
        asked += 1;
        failed += u64::from(replica.confirm(Instant::now() + CONFIRM_INTERVAL).await.is_err());
    }
    (asked, failed)
}

async fn play(folder: &Path, number: u64, seconds: u64) -> Result<(), Failure> {
    let bytes = Arc::<AtomicU64>::default();
    let mut members = vec![start(folder, 1, bytes.clone()).await?];
    members[0].replica.bootstrap().await?;
    members[0].replica.confirm(Instant::now() + Duration::from_secs(20)).await?;
    for member in 2..=number {
        let new = start(folder, member, bytes.clone()).await?;
        let add = Request::AddMember { member, addr: new.addr.clone() };
        match members[0].replica.answer(Caller::Client, add).await {
            Response::MembersChanged(done) => done.map_err(|error| format!("member {member}: {error}"))?,
            other => return Err(format!("{other:?}").into()),
        }
        members.push(new);
    }
    let (count, time) = (number as f64, seconds as f64);
    sleep(Duration::from_secs(1)).await;
    let (sent, used) = (bytes.load(Ordering::Relaxed), cpu_seconds()?);
    sleep(Duration::from_secs(seconds)).await;
    let idle = (bytes.load(Ordering::Relaxed) - sent) as f64 / time / count;
    let idle_cpu = (cpu_seconds()? - used) / time / count * 100.0;
    let (sent, used, begun) = (bytes.load(Ordering::Relaxed), cpu_seconds()?, Instant::now());
    let asks = join_all(
        members.iter().map(|member| tokio::spawn(confirm_regularly(member.replica.clone(), seconds))),
    )
    .await;
    let time = begun.elapsed().as_secs_f64();
    let asking = (bytes.load(Ordering::Relaxed) - sent) as f64 / time / count;
    let asking_cpu = (cpu_seconds()? - used) / time / count * 100.0;
    let asks: Vec<(u64, u64)> = asks.into_iter().collect::<Result<_, _>>()?;
    let (asked, failed) = asks.iter().fold((0, 0), |(a, f), (asked, failed)| (a + asked, f + failed));
    println!(
        "| {number} | {idle:.0} B/s, {idle_cpu:.2}% | {asking:.0} B/s, {asking_cpu:.2}% | {failed} of {asked} |"
    );
    for member in &members {
        member.stop.cancel();
        member.replica.stop().await;
    }
    Ok(())
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let numbers: Vec<u64> = support::number_args()?;
    let (seconds, sizes) = numbers.split_first().map_or((6, &[][..]), |(&seconds, sizes)| (seconds, sizes));
    let sizes = if sizes.is_empty() { &[3, 9, 27, 81][..] } else { sizes };
    println!(
        "| members | idle, each | each asking once a second | asks that failed |\n| --- | --- | --- | --- |"
    );
    for &number in sizes {
        let folder = tempfile::tempdir()?;
        if let Err(error) = play(folder.path(), number, seconds).await {
            println!("| {number} | not reached: {error} | | |");
        }
    }
    Ok(())
}
