//! `stonefold demo`: a site, nodes and a load, with a rolling restart of all cache servers halfway through.

mod node_process;
mod report;

use std::time::Duration;

use stonefold_config::{Count, DurationMicros, Fraction, Positive};
use stonefold_emulator::{Emulator, EmulatorOptions, Load};
use stonefold_model::site::{Fault, FaultKind, Site};
use tokio::time::{Instant, interval_at, sleep};

use crate::args::{DemoArgs, Format};
use crate::commands::emulate::{ANY_PORT, wait_for_end};
use crate::failure::Failure;
use node_process::NodeProcess;

/// The site of the demo: `deploy/sites/twelve.toml`.
const SITE: &str = include_str!("../../../../../deploy/sites/twelve.toml");
/// How often a row of the table is printed.
const ROW_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the demo until its end or a signal.
pub(crate) fn run(args: DemoArgs) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    // A signal drops the demo, and with it the node processes and their folder.
    runtime.block_on(async {
        tokio::select! {
            result = demo(args) => result,
            result = wait_for_end(None) => result,
        }
    })
}

async fn demo(args: DemoArgs) -> Result<(), Failure> {
    let site = site(&args)?;
    let rate = site.rate.get();
    let emulator = Emulator::start(site, EmulatorOptions::default()).await.map_err(Failure::failed)?;
    let folder = tempfile::tempdir()?;
    let mut nodes = Vec::new();
    for number in 0..usize::from(args.nodes) {
        let config = emulator.config(number, ANY_PORT, Some(ANY_PORT));
        let config = config.ok_or_else(|| Failure::failed(format!("the site has no node {number}")))?;
        nodes.push(NodeProcess::start(number, &config, folder.path()).await?);
    }
    let load = Load::new(&emulator, nodes.iter().map(|node| node.addresses.clients).collect());
    let running_load = tokio::spawn(load.clone().run(rate, args.duration));
    watch_load(&emulator, &load, &args).await?;
    running_load.await.map_err(Failure::failed)?;
    let verdict = emulator.verdict();
    report::print_summary(&emulator, &load, args.duration, args.format, verdict)?;
    if args.keep {
        report::print_addresses(&emulator, &nodes)?;
        std::future::pending::<()>().await;
    }
    match verdict.rules_broken() {
        0 => Ok(()),
        broken => Err(Failure::failed(format!("rules were broken {broken} times: {verdict:?}"))),
    }
}

/// The embedded site, with the seed, the sizes and the rate that the arguments state.
fn site(args: &DemoArgs) -> Result<Site, Failure> {
    let mut site: Site = toml::from_str(SITE).map_err(Failure::failed)?;
    site.seed = Count::new(args.seed.into());
    site.nodes = Count::new(args.nodes.into());
    let (kinds, caches) = (site.caches.len() as u64, u64::from(args.caches));
    for (index, kind) in site.caches.iter_mut().enumerate() {
        kind.count = Count::new((caches + kinds - 1 - index as u64) / kinds);
    }
    site.caches.truncate(args.caches.into());
    if let Some(rate) = args.rate {
        site.rate = Positive::new(rate);
    }
    Ok(site)
}

/// Prints a row every second until the load ends. Halfway through, starts a rolling restart of all cache servers.
async fn watch_load(emulator: &Emulator, load: &Load, args: &DemoArgs) -> Result<(), Failure> {
    let start = Instant::now();
    let end = start + args.duration;
    let mut ticks = interval_at(start + ROW_INTERVAL, ROW_INTERVAL);
    let (mut row, mut fetches_before, mut restarted) = (0, 0, false);
    while start.elapsed() < args.duration {
        tokio::select! {
            _ = ticks.tick() => {}
            () = sleep(end - Instant::now()) => {}
        }
        if !restarted && start.elapsed() * 2 >= args.duration {
            restarted = true;
            start_rolling_restart(emulator, args.duration / 2)?;
        }
        if args.format == Format::Json {
            continue;
        }
        let fetches = emulator.origin_fetches();
        report::print_row(emulator, load, row, start.elapsed(), fetches - fetches_before)?;
        (row, fetches_before) = (row + 1, fetches);
    }
    Ok(())
}

fn start_rolling_restart(emulator: &Emulator, duration: Duration) -> Result<(), Failure> {
    let fault = Fault {
        at: DurationMicros::new(0),
        kind: FaultKind::Roll,
        server: None,
        part: Some(Fraction::new(1.0)),
        zone: None,
        lasts: DurationMicros::new(duration.as_micros() as u64),
        factor: None,
    };
    emulator.fault(&fault).map_err(Failure::failed)
}
