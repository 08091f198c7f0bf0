//! What the control of hollow nodes costs, over loopback; and whether a change was missed.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use stonefold_emulator::discovery::Counts;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::task::yield_now;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::experiment::HollowPlan;
use crate::hollow::fleet::{Fleet, FleetError, Plan};
use crate::hollow::real::Real;
use crate::hollow::scenario::run_scenario;
use crate::machine::{Carried, threads_on_processor};
use crate::sample::Figures;

/// Threads of nodes and of discovery, by whose names their processor time is told apart.
const NODES: &str = "hollow";
const DISCOVERY: &str = "discovery";
const THREADS: usize = 2;
/// What one message costs beside its bytes: its own segment's Ethernet, IP and TCP headers with timestamps, and those
/// of its acknowledgement.
const HEADERS: f64 = 2.0 * 66.0;
/// Real nodes that have not all called within this are not started.
const REAL_START: Duration = Duration::from_secs(20);

/// Why there is nothing measured.
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    /// The fleet can't be had.
    #[error("{0}")]
    Fleet(#[from] FleetError),
    /// A runtime, or a node's process.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// Nodes as processes that don't call.
    #[error("{0} of the real nodes have not called discovery")]
    Real(usize),
    /// Somebody wanted it to end.
    #[error("told to stop")]
    Stopped,
}

fn runtime(name: &str) -> std::io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(THREADS).thread_name(name).enable_all().build()
}

/// Where hollow nodes run; ended as it is dropped.
struct Nodes {
    handles: Vec<Handle>,
    _together: Option<Runtime>,
    _apart: Option<DropGuard>,
}

impl Nodes {
    /// On a few threads, as is cheapest.
    fn together() -> std::io::Result<Nodes> {
        let runtime = runtime(NODES)?;
        Ok(Nodes { handles: vec![runtime.handle().clone()], _together: Some(runtime), _apart: None })
    }

    /// Each on a thread of its own.
    fn apart(nodes: usize) -> std::io::Result<Nodes> {
        let stop = CancellationToken::new();
        let start = |_| {
            let runtime = Builder::new_current_thread().enable_all().build()?;
            let (handle, stop) = (runtime.handle().clone(), stop.clone());
            let run = move || runtime.block_on(stop.cancelled());
            thread::Builder::new().name(NODES.into()).spawn(run)?;
            Ok(handle)
        };
        let handles = (0..nodes).map(start).collect::<std::io::Result<_>>();
        let _apart = Some(stop.clone().drop_guard());
        Ok(Nodes { handles: handles?, _together: None, _apart })
    }
}

/// Plays a fleet, and tells what it cost. `node` is the node's program.
///
/// # Errors
/// If it can't be started, or is told to stop. No process is left then.
pub fn measure(
    of: &HollowPlan,
    seed: u64,
    node: &Path,
    stop: &CancellationToken,
) -> Result<Figures, HollowError> {
    let nodes = if of.thread_per_node { Nodes::apart(of.nodes.get())? } else { Nodes::together()? };
    let discovery = runtime(DISCOVERY)?;
    let running = nodes.handles.clone();
    discovery.block_on(async {
        let work = async {
            let plan = Plan {
                nodes: of.nodes.get(),
                others: of.real_nodes.get(),
                servers: of.servers.get(),
                discovery: of.discovery.clone(),
                subscribe: of.subscribe,
                seed,
            };
            let mut fleet = Fleet::start(plan, running).await?;
            watch(of, &mut fleet, node).await
        };
        tokio::select! {
            done = work => done,
            () = stop.cancelled() => Err(HollowError::Stopped),
        }
    })
}

/// What was used and said by a moment.
struct Meter {
    at: Instant,
    nodes_s: f64,
    discovery_s: f64,
    real_s: f64,
    hollow: Counts,
    real: Counts,
    carried: Carried,
}

impl Meter {
    fn read(fleet: &Fleet, real: &mut Option<Real>) -> Meter {
        let nodes = fleet.plan().nodes;
        Meter {
            at: Instant::now(),
            nodes_s: threads_on_processor(NODES),
            discovery_s: threads_on_processor(DISCOVERY),
            real_s: real.as_mut().map_or(0.0, |real| real.used().0),
            hollow: fleet.counts(0..nodes),
            real: fleet.counts(nodes..nodes + fleet.plan().others),
            carried: Carried::now(),
        }
    }
}

async fn watch(of: &HollowPlan, fleet: &mut Fleet, node: &Path) -> Result<Figures, HollowError> {
    let mut figures = Figures::default();
    let began = Instant::now();
    for node in 0..fleet.plan().nodes {
        fleet.start_node(node)?;
        // Guards against: being told to stop, and not hearing it until all have started.
        yield_now().await;
    }
    let started = fleet.settled(of.catch_up.duration()).await;
    figures.put("start_all_s", began.elapsed().as_secs_f64());
    if !started {
        behind(fleet, "at the start", &mut figures);
    }
    let mut real = start_real(fleet, node).await?;
    let before = Meter::read(fleet, &mut real);
    let lasts = of.lasts.duration();
    let changes = of.changes_per_min.get() as f64 * lasts.as_secs_f64() / 60.0;
    befall(of, fleet, changes.round() as usize, lasts).await?;
    let after = Meter::read(fleet, &mut real);
    let ended = Instant::now();
    if !fleet.settled(of.catch_up.duration()).await {
        behind(fleet, "at the end", &mut figures);
    }
    figures.put("catch_up_s", ended.elapsed().as_secs_f64());
    costs(&before, &after, fleet, &mut figures);
    missed(fleet, &mut figures);
    if let Some(mut real) = real {
        if !real.used().1 {
            figures.broken.push("a real node has ended".into());
        }
        real.end().await;
    }
    Ok(figures)
}

/// Plays what is stated; where something wrong is planted, once all nodes have come through the first half.
async fn befall(
    of: &HollowPlan,
    fleet: &mut Fleet,
    changes: usize,
    lasts: Duration,
) -> Result<(), FleetError> {
    let Some(fault) = of.injected_fault else {
        return run_scenario(fleet, of.scenario, changes, lasts).await;
    };
    run_scenario(fleet, of.scenario, changes / 2, lasts / 2).await?;
    fleet.settled(of.catch_up.duration()).await;
    fleet.inject_fault(fault);
    run_scenario(fleet, of.scenario, changes / 2, lasts / 2).await
}

/// Nodes as processes, each of which has called discovery.
async fn start_real(fleet: &Fleet, program: &Path) -> Result<Option<Real>, HollowError> {
    let (first, others) = (fleet.plan().nodes, fleet.plan().others);
    if others == 0 {
        return Ok(None);
    }
    let real = Real::start(program, (first..first + others).map(|node| fleet.config(node)))?;
    let silent =
        || (first..first + others).filter(|&node| fleet.service().counts(node).connections == 0).count();
    let until = Instant::now() + REAL_START;
    while silent() > 0 {
        if Instant::now() > until {
            return Err(HollowError::Real(silent()));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(Some(real))
}

fn behind(fleet: &Fleet, when: &str, figures: &mut Figures) {
    let behind = fleet.behind();
    let some: Vec<_> = behind.iter().take(5).collect();
    figures
        .broken
        .push(format!("{} nodes lack the latest list {when}: (node, version) {some:?}", behind.len()));
}

/// What was missed, and how long changes took.
fn missed(fleet: &Fleet, figures: &mut Figures) {
    let found = fleet.found();
    figures.put("skipped", found.skipped as f64);
    figures.put("backwards", found.backwards as f64);
    figures.broken.extend(found.words);
    let (took, everywhere) = fleet.took();
    figures.put("changes", everywhere.len() as f64);
    if everywhere.is_empty() {
        return;
    }
    let ms = |of: &Histogram<u64>, part: f64| of.value_at_quantile(part) as f64 / 1e3;
    figures.put("at_a_node_p99_ms", ms(&took, 0.99));
    figures.put("everywhere_p50_ms", ms(&everywhere, 0.5));
    figures.put("everywhere_p99_ms", ms(&everywhere, 0.99));
    figures.put("everywhere_worst_ms", everywhere.max() as f64 / 1e3);
}

fn costs(before: &Meter, after: &Meter, fleet: &Fleet, figures: &mut Figures) {
    let (nodes, others) = (fleet.plan().nodes as f64, fleet.plan().others as f64);
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let core = |after: f64, before: f64| (after - before) / seconds * 100.0;
    figures.put("discovery_core_percent", core(after.discovery_s, before.discovery_s));
    figures.put("node_core_percent", core(after.nodes_s, before.nodes_s) / nodes);
    said("node", &before.hollow, &after.hollow, seconds * nodes, figures);
    let (bytes, packets) = after.carried.rates_since(before.carried, seconds);
    figures.put("loopback_bytes_per_s", bytes);
    figures.put("loopback_packets_per_s", packets);
    if others > 0.0 {
        figures.put("real_core_percent", core(after.real_s, before.real_s) / others);
        said("real", &before.real, &after.real, seconds * others, figures);
        for figure in ["core_percent", "wire_bytes_per_s", "calls_per_s"] {
            let of = |who: &str| figures.figures[&format!("{who}_{figure}")];
            let ratio = of("node") / of("real");
            figures.put(&format!("hollow_to_real_{figure}"), ratio);
        }
    }
}

/// What one node said to discovery and heard from it, a second.
fn said(who: &str, before: &Counts, after: &Counts, node_seconds: f64, figures: &mut Figures) {
    let of = |of: fn(&Counts) -> u64| (of(after) - of(before)) as f64;
    let (answered, refused) = (of(|c| c.answered), of(|c| c.refused));
    let (sent, received) = (of(|c| c.received_bytes), of(|c| c.sent_bytes));
    let messages = 2.0 * (answered + refused);
    let mut put = |name: &str, value: f64| figures.put(&format!("{who}_{name}"), value);
    put("calls_per_s", (answered + refused) / node_seconds);
    put("refused_share", refused / (answered + refused).max(1.0));
    put("sent_bytes_per_s", sent / node_seconds);
    put("received_bytes_per_s", received / node_seconds);
    put("wire_bytes_per_s", (sent + received + messages * HEADERS) / node_seconds);
    put("connects_per_s", of(|c| c.connections) / node_seconds);
}
