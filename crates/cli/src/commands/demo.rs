//! One command that shows the program at work: a site, nodes, a load, a rolling restart half way.

use std::io::{self, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use serde_json::{Value, json};
use stonefold_config::{Config, Count, DurationMicros, Fraction};
use stonefold_emulator::{Emulator, Load, Options};
use stonefold_model::Verdict;
use stonefold_model::site::{Fault, FaultKind, Site};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::{Instant, interval_at, sleep, timeout};

use crate::args::{DemoArgs, Format};
use crate::commands::emulate::{ANY, ended};
use crate::failure::Failure;

/// The site that is played; `deploy/sites/twelve.toml`.
const SITE: &str = include_str!("../../../../deploy/sites/twelve.toml");
/// A node says within this time where it listens.
const STARTS_WITHIN: Duration = Duration::from_secs(10);
/// Rows after which the table's head is said again.
const HEAD_EVERY: u64 = 20;

/// Runs the demo.
pub fn run(args: DemoArgs) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    // Told to end at any moment, it drops its nodes and their folder, which ends them.
    runtime.block_on(async {
        tokio::select! {
            played = play(args) => played,
            told = ended(None) => told,
        }
    })
}

/// The embedded site, of the size that was asked for.
fn site(args: &DemoArgs) -> Result<Site, Failure> {
    let mut site: Site = toml::from_str(SITE).map_err(Failure::failed)?;
    site.seed = Count::new(args.seed.into());
    site.nodes = Count::new(args.nodes.into());
    let (kinds, caches) = (site.caches.len() as u64, u64::from(args.caches));
    for (n, kind) in site.caches.iter_mut().enumerate() {
        kind.count = Count::new((caches + kinds - 1 - n as u64) / kinds);
    }
    site.caches.truncate(args.caches.into());
    if let Some(rate) = args.rate {
        site.rate = stonefold_config::Positive::new(rate);
    }
    Ok(site)
}

/// A node of our own, killed when it is dropped.
struct Node {
    _child: Child,
    addr: SocketAddr,
    operator: SocketAddr,
}

async fn play(args: DemoArgs) -> Result<(), Failure> {
    let site = site(&args)?;
    let rate = site.rate.get();
    let emulator = Emulator::start(site, Options::default()).await.map_err(Failure::failed)?;
    let folder = tempfile::tempdir()?;
    let mut nodes = Vec::new();
    for node in 0..usize::from(args.nodes) {
        let config = emulator.config(node, ANY, Some(ANY)).ok_or_else(|| Failure::failed("no such node"))?;
        nodes.push(start(node, &config, folder.path()).await?);
    }
    let load = Load::new(&emulator, nodes.iter().map(|node| node.addr).collect());
    let running = tokio::spawn(load.clone().run(rate, args.duration));
    table(&emulator, &load, &args).await?;
    running.await.map_err(Failure::failed)?;
    let verdict = emulator.verdict();
    told_end(&emulator, &load, &args, verdict)?;
    if args.keep {
        told_addresses(&emulator, &nodes)?;
        std::future::pending::<()>().await;
    }
    match verdict.rules_broken() {
        0 => Ok(()),
        broken => Err(Failure::failed(format!("{broken} times a rule was broken: {verdict:?}"))),
    }
}

async fn start(number: usize, config: &Config, folder: &Path) -> Result<Node, Failure> {
    let own = folder.join(format!("node-{number}"));
    std::fs::create_dir(&own)?;
    let file = own.join("node.toml");
    std::fs::write(&file, toml::to_string(config).map_err(Failure::failed)?)?;
    let mut child = Command::new(std::env::current_exe()?)
        .arg("node")
        .arg("--config")
        .arg(&file)
        .args(["--log-format", "json", "--log", "info"])
        .env("TMPDIR", &own)
        .stdin(Stdio::null())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()?;
    let log = child.stderr.take().ok_or_else(|| Failure::failed("a node without a log"))?;
    let mut log = BufReader::new(log).lines();
    let told = timeout(STARTS_WITHIN, addresses(&mut log)).await;
    let (addr, operator) = told.map_err(|_| Failure::failed(format!("node {number} does not listen")))??;
    // What it says from now on is read and thrown away.
    tokio::spawn(async move { while let Ok(Some(_)) = log.next_line().await {} });
    Ok(Node { _child: child, addr, operator })
}

/// Where a node listens for clients and for operators, by its log.
async fn addresses(
    log: &mut tokio::io::Lines<BufReader<ChildStderr>>,
) -> Result<(SocketAddr, SocketAddr), Failure> {
    let (mut clients, mut operators, mut last) = (None, None, String::new());
    while let Some(line) = log.next_line().await? {
        let event: Value = serde_json::from_str(&line).unwrap_or_default();
        let at = || event["at"].as_str().and_then(|at| at.parse::<SocketAddr>().ok());
        match event["event"].as_str() {
            Some("listening") => clients = at(),
            Some("operator_listening") => operators = at(),
            _ => last = line,
        }
        if let (Some(clients), Some(operators)) = (clients, operators) {
            return Ok((clients, operators));
        }
    }
    Err(Failure::failed(format!("a node ended at its start: {last}")))
}

/// A row each second until the load ends; half way, all caches are replaced one by one.
async fn table(emulator: &Emulator, load: &Load, args: &DemoArgs) -> Result<(), Failure> {
    let start = Instant::now();
    let mut ticks = interval_at(start + Duration::from_secs(1), Duration::from_secs(1));
    let (mut row, mut fetches, mut rolled) = (0, 0, false);
    while start.elapsed() < args.duration {
        let end = start + args.duration;
        tokio::select! {
            _ = ticks.tick() => {}
            () = sleep(end - Instant::now()) => {}
        }
        if !rolled && start.elapsed() * 2 >= args.duration {
            rolled = true;
            roll(emulator, args.duration)?;
        }
        if args.format == Format::Json {
            continue;
        }
        let now = emulator.origin_fetches();
        told_row(emulator, load, row, start.elapsed(), now - fetches)?;
        (row, fetches) = (row + 1, now);
    }
    Ok(())
}

fn roll(emulator: &Emulator, lasts: Duration) -> Result<(), Failure> {
    let lasts = DurationMicros::new((lasts / 2).as_micros() as u64);
    let part = Some(Fraction::new(1.0));
    let fault = Fault {
        at: DurationMicros::new(0),
        kind: FaultKind::Roll,
        server: None,
        part,
        zone: None,
        lasts,
        factor: None,
    };
    emulator.fault(&fault).map_err(Failure::failed)
}

fn told_row(emulator: &Emulator, load: &Load, row: u64, at: Duration, fetches: u64) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    if row == 0 || row.is_multiple_of(HEAD_EVERY) && out.is_terminal() {
        writeln!(
            out,
            "{:>6} {:>8} {:>8} {:>7} {:>6} {:>9} {:>9} {:>9} {:>7}",
            "time", "served", "refused", "failed", "hits", "p50", "p99", "origin/s", "broken"
        )?;
    }
    let latest = load.figures().1.summary();
    let (hits, misses) = emulator.hits_and_misses();
    let share = 100.0 * hits as f64 / (hits + misses).max(1) as f64;
    writeln!(
        out,
        "{:>5}s {:>8} {:>8} {:>7} {:>5.1}% {:>7.1}ms {:>7.1}ms {:>9} {:>7}",
        at.as_secs(),
        latest.served,
        latest.refused,
        latest.failed,
        share,
        latest.p50_ms,
        latest.p99_ms,
        fetches,
        emulator.verdict().rules_broken()
    )?;
    Ok(out.flush()?)
}

fn told_end(emulator: &Emulator, load: &Load, args: &DemoArgs, verdict: Verdict) -> Result<(), Failure> {
    let all = load.figures().0.summary();
    let origin = emulator.origin_fetches() as f64 / args.duration.as_secs_f64().max(1e-3);
    let mut out = io::stdout().lock();
    if args.format == Format::Json {
        let end = json!({"requests": all.requests, "served": all.served, "refused": all.refused, "failed": all.failed,
            "p50_ms": all.p50_ms, "p99_ms": all.p99_ms, "origin_rps": origin,
            "not_sent": all.not_sent, "rules_broken": verdict.rules_broken()});
        writeln!(out, "{end}")?;
    } else {
        writeln!(
            out,
            "{} requests: {} served, {} refused, {} failed; p50 {:.1} ms, p99 {:.1} ms; {origin:.1} fetches a second; \
            {} times a rule was broken",
            all.requests,
            all.served,
            all.refused,
            all.failed,
            all.p50_ms,
            all.p99_ms,
            verdict.rules_broken()
        )?;
    }
    if all.not_sent > 0 {
        writeln!(
            out,
            "{} requests were not sent, since too many were out: the load was the bottleneck",
            all.not_sent
        )?;
    }
    Ok(out.flush()?)
}

fn told_addresses(emulator: &Emulator, nodes: &[Node]) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    for (number, node) in nodes.iter().enumerate() {
        writeln!(out, "node {number}: clients at {}, operators at {}", node.addr, node.operator)?;
    }
    let (ip, port) = nodes.first().map_or((ANY.ip(), 0), |node| (node.addr.ip(), node.addr.port()));
    writeln!(
        out,
        "try: redis-cli -h {ip} -p {port} CACHE.GET record:1 0123456789abcdef c=record-lookup,d=1000"
    )?;
    writeln!(out, "     stonefold get record:1 --node {ip}:{port} --class record-lookup")?;
    writeln!(out, "     curl http://{}/verdict", emulator.control())?;
    writeln!(out, "Ctrl-C ends all of it.")?;
    Ok(out.flush()?)
}
