//! The processor time and the traffic of the control code of hollow nodes over loopback, and whether a node missed a
//! change.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use stonefold_emulator::discovery::CallCounts;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::task::yield_now;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::experiment::HollowPlan;
use crate::hollow::fleet::{Fleet, FleetError, FleetPlan};
use crate::hollow::real::RealNodes;
use crate::hollow::scenario::run_scenario;
use crate::machine::{LoopbackTraffic, threads_processor_s};
use crate::sample::Figures;

/// Name of the threads of nodes, by which their processor time is measured.
const NODE_THREADS: &str = "hollow";
/// Name of the threads of discovery, by which their processor time is measured.
const DISCOVERY_THREADS: &str = "discovery";
/// Number of worker threads of a runtime.
const WORKER_THREADS: usize = 2;
/// Header bytes of one message: the Ethernet, IP and TCP headers, with timestamps, of its own segment and of its
/// acknowledgement.
const HEADER_BYTES_PER_MESSAGE: f64 = 2.0 * 66.0;
/// Time within which all real nodes must have connected to discovery.
const REAL_START_TIMEOUT: Duration = Duration::from_secs(20);

/// Why hollow nodes could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    /// The fleet or a node could not be started.
    #[error("{0}")]
    Fleet(#[from] FleetError),
    /// A runtime, a thread or the process of a node could not be started.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// This number of real nodes did not connect to discovery in time.
    #[error("{0} of the real nodes have not called discovery")]
    RealNodesSilent(usize),
    /// The measurement was stopped.
    #[error("stopped before the end")]
    Stopped,
}

fn runtime(name: &str) -> std::io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(WORKER_THREADS).thread_name(name).enable_all().build()
}

/// The runtimes of hollow nodes, which end when this is dropped.
struct NodeRuntimes {
    handles: Vec<Handle>,
    _shared_runtime: Option<Runtime>,
    _stop_threads: Option<DropGuard>,
}

impl NodeRuntimes {
    /// All nodes share a few threads, which uses the least processor time.
    fn shared() -> std::io::Result<NodeRuntimes> {
        let runtime = runtime(NODE_THREADS)?;
        Ok(NodeRuntimes {
            handles: vec![runtime.handle().clone()],
            _shared_runtime: Some(runtime),
            _stop_threads: None,
        })
    }

    /// Each node has its own thread.
    fn thread_per_node(nodes: usize) -> std::io::Result<NodeRuntimes> {
        let stop = CancellationToken::new();
        let start = |_| {
            let runtime = Builder::new_current_thread().enable_all().build()?;
            let (handle, stop) = (runtime.handle().clone(), stop.clone());
            let run = move || runtime.block_on(stop.cancelled());
            thread::Builder::new().name(NODE_THREADS.into()).spawn(run)?;
            Ok(handle)
        };
        let handles = (0..nodes).map(start).collect::<std::io::Result<_>>();
        let _stop_threads = Some(stop.clone().drop_guard());
        Ok(NodeRuntimes { handles: handles?, _shared_runtime: None, _stop_threads })
    }
}

/// Runs a fleet through its scenario and measures its costs. `node_program` is the path of the node's program.
///
/// # Errors
/// If the fleet can't be started, or `stop` is cancelled. No process is left running then.
pub fn measure(
    plan: &HollowPlan,
    seed: u64,
    node_program: &Path,
    stop: &CancellationToken,
) -> Result<Figures, HollowError> {
    let runtimes = if plan.thread_per_node {
        NodeRuntimes::thread_per_node(plan.nodes.get())?
    } else {
        NodeRuntimes::shared()?
    };
    let discovery = runtime(DISCOVERY_THREADS)?;
    let handles = runtimes.handles.clone();
    discovery.block_on(async {
        let work = async {
            let fleet_plan = FleetPlan {
                nodes: plan.nodes.get(),
                others: plan.real_nodes.get(),
                servers: plan.servers.get(),
                discovery: plan.discovery.clone(),
                subscribe: plan.subscribe,
                seed,
            };
            let mut fleet = Fleet::start(fleet_plan, handles).await?;
            run_fleet(plan, &mut fleet, node_program).await
        };
        tokio::select! {
            done = work => done,
            () = stop.cancelled() => Err(HollowError::Stopped),
        }
    })
}

/// Processor times and traffic up to a moment.
struct UsageSnapshot {
    at: Instant,
    nodes_s: f64,
    discovery_s: f64,
    real_s: f64,
    hollow: CallCounts,
    real: CallCounts,
    loopback: LoopbackTraffic,
}

impl UsageSnapshot {
    fn read(fleet: &Fleet, real: &mut Option<RealNodes>) -> UsageSnapshot {
        let nodes = fleet.plan().nodes;
        UsageSnapshot {
            at: Instant::now(),
            nodes_s: threads_processor_s(NODE_THREADS),
            discovery_s: threads_processor_s(DISCOVERY_THREADS),
            real_s: real.as_mut().map_or(0.0, |real| real.processor_time().0),
            hollow: fleet.counts(0..nodes),
            real: fleet.counts(nodes..nodes + fleet.plan().others),
            loopback: LoopbackTraffic::now(),
        }
    }
}

/// Starts the nodes of a fleet, runs its scenario, and collects the figures and the violations.
async fn run_fleet(
    plan: &HollowPlan,
    fleet: &mut Fleet,
    node_program: &Path,
) -> Result<Figures, HollowError> {
    let mut figures = Figures::default();
    let started_at = Instant::now();
    for node in 0..fleet.plan().nodes {
        fleet.start_node(node)?;
        // Lets a stop take effect before all nodes have started.
        yield_now().await;
    }
    let all_started = fleet.wait_until_settled(plan.catch_up.duration()).await;
    figures.put("start_all_s", started_at.elapsed().as_secs_f64());
    if !all_started {
        report_lagging_nodes(fleet, "at the start", &mut figures);
    }
    let mut real = start_real_nodes(fleet, node_program).await?;
    let before = UsageSnapshot::read(fleet, &mut real);
    let lasts = plan.lasts.duration();
    let change_count = plan.changes_per_min.get() as f64 * lasts.as_secs_f64() / 60.0;
    run_scenario_with_fault(plan, fleet, change_count.round() as usize, lasts).await?;
    let after = UsageSnapshot::read(fleet, &mut real);
    let ended = Instant::now();
    if !fleet.wait_until_settled(plan.catch_up.duration()).await {
        report_lagging_nodes(fleet, "at the end", &mut figures);
    }
    figures.put("catch_up_s", ended.elapsed().as_secs_f64());
    put_costs(&before, &after, fleet, &mut figures);
    put_findings(fleet, &mut figures);
    if let Some(mut real) = real {
        if !real.processor_time().1 {
            figures.broken.push("a real node has exited".into());
        }
        real.end().await;
    }
    Ok(figures)
}

/// Runs the scenario of the plan. A fault is injected after the first half, once all nodes have applied its changes.
async fn run_scenario_with_fault(
    plan: &HollowPlan,
    fleet: &mut Fleet,
    changes: usize,
    lasts: Duration,
) -> Result<(), FleetError> {
    let Some(fault) = plan.injected_fault else {
        return run_scenario(fleet, plan.scenario, changes, lasts).await;
    };
    run_scenario(fleet, plan.scenario, changes / 2, lasts / 2).await?;
    fleet.wait_until_settled(plan.catch_up.duration()).await;
    fleet.inject_fault(fault);
    run_scenario(fleet, plan.scenario, changes / 2, lasts / 2).await
}

/// Starts the real nodes and waits until each has connected to discovery.
async fn start_real_nodes(fleet: &Fleet, program: &Path) -> Result<Option<RealNodes>, HollowError> {
    let (first, others) = (fleet.plan().nodes, fleet.plan().others);
    if others == 0 {
        return Ok(None);
    }
    let real = RealNodes::start(program, (first..first + others).map(|node| fleet.config(node)))?;
    let silent_count =
        || (first..first + others).filter(|&node| fleet.service().counts(node).connections == 0).count();
    let deadline = Instant::now() + REAL_START_TIMEOUT;
    while silent_count() > 0 {
        if Instant::now() > deadline {
            return Err(HollowError::RealNodesSilent(silent_count()));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(Some(real))
}

/// Adds a violation for the nodes that have not applied the latest list.
fn report_lagging_nodes(fleet: &Fleet, when: &str, figures: &mut Figures) {
    let lagging = fleet.lagging_nodes();
    let examples: Vec<_> = lagging.iter().take(5).collect();
    figures
        .broken
        .push(format!("{} nodes lack the latest list {when}: (node, version) {examples:?}", lagging.len()));
}

/// Adds the findings of the checker and the propagation times of changes.
fn put_findings(fleet: &Fleet, figures: &mut Figures) {
    let findings = fleet.findings();
    figures.put("skipped", findings.skipped as f64);
    figures.put("backwards", findings.backwards as f64);
    figures.broken.extend(findings.descriptions);
    let (node_times, last_node_times) = fleet.propagation_times();
    figures.put("changes", last_node_times.len() as f64);
    if last_node_times.is_empty() {
        return;
    }
    let ms = |times: &Histogram<u64>, quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
    figures.put("at_a_node_p99_ms", ms(&node_times, 0.99));
    figures.put("everywhere_p50_ms", ms(&last_node_times, 0.5));
    figures.put("everywhere_p99_ms", ms(&last_node_times, 0.99));
    figures.put("everywhere_worst_ms", last_node_times.max() as f64 / 1e3);
}

/// Adds processor times and traffic, per node and per second, of the time between two snapshots.
fn put_costs(before: &UsageSnapshot, after: &UsageSnapshot, fleet: &Fleet, figures: &mut Figures) {
    let (nodes, others) = (fleet.plan().nodes as f64, fleet.plan().others as f64);
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let core_percent = |after: f64, before: f64| (after - before) / seconds * 100.0;
    figures.put("discovery_core_percent", core_percent(after.discovery_s, before.discovery_s));
    figures.put("node_core_percent", core_percent(after.nodes_s, before.nodes_s) / nodes);
    put_traffic("node", &before.hollow, &after.hollow, seconds * nodes, figures);
    let (bytes, packets) = after.loopback.rates_since(before.loopback, seconds);
    figures.put("loopback_bytes_per_s", bytes);
    figures.put("loopback_packets_per_s", packets);
    if others > 0.0 {
        figures.put("real_core_percent", core_percent(after.real_s, before.real_s) / others);
        put_traffic("real", &before.real, &after.real, seconds * others, figures);
        for figure in ["core_percent", "wire_bytes_per_s", "calls_per_s"] {
            let value = |prefix: &str| figures.figures[&format!("{prefix}_{figure}")];
            let ratio = value("node") / value("real");
            figures.put(&format!("hollow_to_real_{figure}"), ratio);
        }
    }
}

/// Adds the traffic of one node with discovery, per second.
fn put_traffic(
    prefix: &str,
    before: &CallCounts,
    after: &CallCounts,
    node_seconds: f64,
    figures: &mut Figures,
) {
    let change = |count: fn(&CallCounts) -> u64| (count(after) - count(before)) as f64;
    let (answered, refused) = (change(|c| c.answered), change(|c| c.rejected));
    let (sent, received) = (change(|c| c.received_bytes), change(|c| c.sent_bytes));
    let messages = 2.0 * (answered + refused);
    let mut put = |name: &str, value: f64| figures.put(&format!("{prefix}_{name}"), value);
    put("calls_per_s", (answered + refused) / node_seconds);
    put("refused_share", refused / (answered + refused).max(1.0));
    put("sent_bytes_per_s", sent / node_seconds);
    put("received_bytes_per_s", received / node_seconds);
    put("wire_bytes_per_s", (sent + received + messages * HEADER_BYTES_PER_MESSAGE) / node_seconds);
    put("connects_per_s", change(|c| c.connections) / node_seconds);
}
