//! What it costs that every node is a voting member: all members in one process, over TCP on loopback.
//!
//!     cargo run --release -p stonefold-store --example quorum_cost -- [SECONDS] [MEMBERS ...]
//!
//! Of each number of members: bytes a second that a member sends (each byte sent is received once), idle and with each
//! asking the leader once a second; processor time; asks that failed. Headers are reckoned in: 20 bytes of our own
//! framing and 52 of IP and TCP a message. Connection set-up and acknowledgements that carry nothing are not.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::future::{BoxFuture, join_all};
use stonefold_store::codec::encode;
use stonefold_store::disk::{Disk, Identity};
use stonefold_store::engine::MemberId;
use stonefold_store::message::{Party, Request, Response, Unavailable};
use stonefold_store::replica::{Options, Replica, Transport};
use stonefold_store::wire::{Key, Keys, Tcp, serve};
use tokio::net::TcpListener;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

type Failure = Box<dyn std::error::Error + Send + Sync>;

const HEADERS: u64 = 20 + 52;
const ASKED_WITHIN: Duration = Duration::from_secs(1);

/// The way over TCP, which counts what it carries.
#[derive(Clone)]
struct Counted {
    tcp: Tcp,
    bytes: Arc<AtomicU64>,
}

fn size<T: serde::Serialize>(value: &T) -> u64 {
    encode("a message", value).map_or(0, |bytes| bytes.len() as u64) + HEADERS
}

impl Transport for Counted {
    fn ask(
        &self,
        member: MemberId,
        addr: &str,
        request: Request,
        wait: Duration,
    ) -> BoxFuture<'static, Result<Response, Unavailable>> {
        self.bytes.fetch_add(size(&request), Ordering::Relaxed);
        let (bytes, answer) = (self.bytes.clone(), self.tcp.ask(member, addr, request, wait));
        Box::pin(async move {
            let answer = answer.await?;
            bytes.fetch_add(size(&answer), Ordering::Relaxed);
            Ok(answer)
        })
    }
}

struct Member {
    replica: Replica<Counted>,
    addr: String,
    stop: CancellationToken,
}

async fn start(folder: &Path, member: u64, bytes: Arc<AtomicU64>) -> Result<Member, Failure> {
    let disk = Disk::create(&folder.join(format!("m{member}")), Identity { cluster: 1, member })?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?.to_string();
    let tcp = Tcp::member(Keys::new(Key::new([7; 32]), None), 1, member, addr.clone());
    let counted = Counted { tcp: tcp.clone(), bytes };
    let replica = Replica::start(disk, Options::at(addr.clone()), counted).await?;
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, replica.clone(), tcp, stop.clone()));
    Ok(Member { replica, addr, stop })
}

fn cpu_seconds() -> Result<f64, Failure> {
    let text = std::fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).ok_or("stat")?.parse::<u64>().map_err(Failure::from);
    Ok((ticks(11)? + ticks(12)?) as f64 / 100.0)
}

/// Each asks the leader once a second; how many asks were made and how many of them failed.
async fn ask(replica: Replica<Counted>, seconds: u64) -> (u64, u64) {
    sleep(Duration::from_millis(fastrand::u64(..1_000))).await;
    let mut ticks = interval(ASKED_WITHIN);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let (until, mut asked, mut failed) = (Instant::now() + Duration::from_secs(seconds), 0, 0);
    while Instant::now() < until {
        ticks.tick().await;
        asked += 1;
        failed += u64::from(replica.confirm(Instant::now() + ASKED_WITHIN).await.is_err());
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
        let add = Request::Add { member, addr: new.addr.clone() };
        match members[0].replica.answer(Party::Client, add).await {
            Response::Changed(done) => done.map_err(|error| format!("member {member}: {error}"))?,
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
    let asks =
        join_all(members.iter().map(|member| tokio::spawn(ask(member.replica.clone(), seconds)))).await;
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
    let numbers: Vec<u64> = std::env::args().skip(1).map(|word| word.parse()).collect::<Result<_, _>>()?;
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
