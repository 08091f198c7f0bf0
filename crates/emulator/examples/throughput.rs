//! Measures the throughput of the emulator with servers that take no time, and the cost of a node in front of it.
//!
//!     cargo run --release -p stonefold-emulator --example throughput
//!     cargo run --release -p stonefold-emulator --example throughput -- target/release/stonefold node
//!
//! With a program, that is started as a node and gets the requests instead of a cache. Prints requests a second; for a
//! node also its memory while idle and its CPU time per request.

use std::fs;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use redis_protocol::resp2::types::BytesFrame;
use stonefold_config::{Count, DurationMicros};
use stonefold_emulator::{Emulator, EmulatorOptions};
use stonefold_model::site::Site;
use stonefold_proto::resp::{append_command, decode_frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SITE: &str = include_str!("../../../deploy/sites/twelve.toml");
const CONNECTIONS: usize = 16;
/// Requests in flight on each connection.
const PIPELINE_DEPTH: usize = 16;
const DURATION: Duration = Duration::from_secs(5);
/// Number of keys that are requested, all of which every cache holds.
const KEY_COUNT: usize = 1000;
/// Ticks per second of the clock in which `/proc` reports CPU time.
const TICKS_PER_SECOND: f64 = 100.0;

type Failure = Box<dyn std::error::Error + Send + Sync>;

fn main() -> Result<(), Failure> {
    let program: Vec<String> = std::env::args().skip(1).collect();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(measure(&program))
}

/// Returns the site with servers that take no time and without network delays.
fn site() -> Result<Site, Failure> {
    let mut site: Site = toml::from_str(SITE)?;
    site.nodes = Count::new(1);
    site.network = Default::default();
    site.keys.prewarmed = stonefold_config::Fraction::new(0.05);
    for kind in &mut site.caches {
        (kind.pause_every, kind.handshake, kind.errors) =
            (DurationMicros::new(0), DurationMicros::new(0), Default::default());
        (kind.slots, kind.queue) = (Count::new(1000), Count::new(1000));
    }
    site.classes.iter_mut().for_each(|class| class.work = DurationMicros::new(0));
    Ok(site)
}

async fn measure(program: &[String]) -> Result<(), Failure> {
    let emulator =
        Emulator::start(site()?, EmulatorOptions { faults: false, ..EmulatorOptions::default() }).await?;
    let endpoints = emulator.endpoint_list(0);
    let cache: SocketAddr = endpoints["servers"][0]["addr"].as_str().ok_or("no cache")?.parse()?;
    let Some(node) = Node::start(&emulator, program).await? else {
        let rate = measure_rate(cache).await?;
        println!("emulator alone: {rate:.0} requests/s");
        return Ok(());
    };
    println!("idle memory: {} KiB", node.memory()?);
    measure_rate(node.addr).await?; // warms it up
    let before = node.cpu()?;
    let rate = measure_rate(node.addr).await?;
    let cpu = (node.cpu()? - before) / (rate * DURATION.as_secs_f64());
    println!(
        "through the node: {rate:.0} requests/s, {:.1} us of CPU each, {} KiB",
        cpu * 1e6,
        node.memory()?
    );
    Ok(())
}

/// Sends requests as fast as answers come; returns the answers per second.
async fn measure_rate(at: SocketAddr) -> Result<f64, Failure> {
    let start = Instant::now();
    let runs: Vec<_> = (0..CONNECTIONS).map(|n| tokio::spawn(connection(at, n, start + DURATION))).collect();
    let mut answers = 0;
    for run in runs {
        answers += run.await??;
    }
    Ok(answers as f64 / start.elapsed().as_secs_f64())
}

async fn connection(at: SocketAddr, number: usize, end: Instant) -> Result<u64, Failure> {
    let mut stream = TcpStream::connect(at).await?;
    stream.set_nodelay(true)?;
    let (mut buffer, mut out, mut sent, mut answers) = (BytesMut::new(), BytesMut::new(), 0u64, 0u64);
    while Instant::now() < end {
        out.clear();
        while sent < answers + PIPELINE_DEPTH as u64 {
            let key = format!("record:{}", (number * 7919 + sent as usize * 31) % KEY_COUNT);
            let words = ["CACHE.GET", &key, &format!("{number:04x}{sent:012x}"), "c=record-lookup,d=1000"];
            append_command(&mut out, &words.map(str::as_bytes));
            sent += 1;
        }
        stream.write_all(&out).await?;
        if stream.read_buf(&mut buffer).await? == 0 {
            return Err("the connection ended".into());
        }
        while let Some(frame) = decode_frame(&mut buffer, 1 << 20).map_err(|_| "no answer")? {
            answers += 1;
            if let BytesFrame::Error(text) = frame
                && !text.starts_with("BUSY")
            {
                return Err(text.to_string().into());
            }
        }
    }
    Ok(answers)
}

/// A measured node, which is killed when dropped.
struct Node {
    child: Child,
    addr: SocketAddr,
}

impl Node {
    async fn start(emulator: &Emulator, program: &[String]) -> Result<Option<Node>, Failure> {
        let Some((path, args)) = program.split_first() else { return Ok(None) };
        let addr = TcpListener::bind("127.0.0.1:0").await?.local_addr()?;
        let config = emulator.config(0, addr, None).ok_or("no node")?.to_platform(7);
        let folder = tempfile::tempdir()?.keep();
        let file = folder.join("config.json");
        fs::write(&file, config.to_string())?;
        let mut command = Command::new(path);
        command.args(args).env("EDGE_CONFIG", file).env("TMPDIR", folder).stderr(Stdio::null());
        let node = Node { child: command.spawn()?, addr };
        while TcpStream::connect(addr).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        tokio::time::sleep(Duration::from_secs(1)).await; // excludes the node's start from the measurement
        Ok(Some(node))
    }

    /// Resident memory, in KiB.
    fn memory(&self) -> Result<u64, Failure> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
        Ok(line.trim().trim_end_matches(" kB").parse()?)
    }

    /// CPU time so far, in seconds.
    fn cpu(&self) -> Result<f64, Failure> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields = stat.rsplit_once(") ").ok_or("no stat")?.1;
        let ticks: Vec<f64> =
            fields.split(' ').skip(11).take(2).filter_map(|field| field.parse().ok()).collect();
        Ok(ticks.iter().sum::<f64>() / TICKS_PER_SECOND)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
