//! Plays a schedule on real processes before an emulated site.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use stonefold_config::{Count, DurationMicros, Positive};
use stonefold_emulator::{Emulator, Load, Options as EmulatorOptions};
use stonefold_faults::{Fault as CallFault, FaultPlan};
use stonefold_model::site::Site;
use tempfile::TempDir;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::oracle::{ProcessFault, READY_WITHIN, Report, add_violations};
use crate::process::{Place, Process, figures};
use crate::schedule::{Action, Event, LONGEST_STALL, schedule};
use crate::{Options, SoakError};

/// The site that is played.
const SITE: &str = include_str!("../../../deploy/sites/twelve.toml");
/// An answer may come so much after its client's time: the rules' slack.
const ANSWER_SLACK: Duration = Duration::from_millis(70);
/// Clients of reads wait so long: short enough that many requests end by their time.
const READ_DEADLINE: Duration = Duration::from_millis(300);
/// The part of the load's time in which faults begin.
const FAULTY: f64 = 0.75;
/// After SIGTERM the front deals out connections for so long.
const STILL_DEALT: Duration = Duration::from_millis(300);
/// The platform kills a process so long after SIGTERM.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);
/// A process that was killed starts again after this time.
const RESTARTS_AFTER: Duration = Duration::from_millis(200);
/// Nodes' addresses are below those that the kernel gives to anyone who asks for any.
const FIRST_PORT: u16 = 28_000;
/// So many ports are tried.
const PORTS: u16 = 4_000;

/// One node, and its process if it has one now.
struct Node {
    number: usize,
    place: Place,
    process: Mutex<Option<Process>>,
}

/// All that events act on.
struct Fleet {
    options: Options,
    emulator: Emulator,
    load: Arc<Load>,
    nodes: Vec<Node>,
    faults: Mutex<Vec<ProcessFault>>,
    /// Counts of broken rules of processes that were told to end.
    violations: Mutex<BTreeMap<String, u64>>,
    /// Removed with all that is in it when this is dropped.
    _folder: TempDir,
}

/// Plays one seed.
///
/// # Errors
/// If the soak itself can't run; what it finds is in the report.
pub async fn play(options: Options) -> Result<Report, SoakError> {
    let fleet = Arc::new(Fleet::start(options).await?);
    let Options { seed, nodes, lasts, rate, .. } = fleet.options.clone();
    let events = schedule(seed, nodes as usize, lasts.mul_f64(FAULTY));
    let played = events.len();
    let load = tokio::spawn(fleet.load.clone().run(rate, lasts));
    fleet.clone().play(events).await;
    let _ = load.await; // a load that panicked shows as requests that nobody answered
    fleet.end().await;
    let (summary, verdict) = (fleet.load.figures().0.summary(), fleet.emulator.verdict());
    let violations = std::mem::take(&mut *fleet.violations.lock().await);
    let processes = std::mem::take(&mut *fleet.faults.lock().await);
    Ok(Report { seed, events: played, verdict, summary, violations, processes })
}

/// The built-in site, for this many nodes.
fn site(options: &Options) -> Result<Site, SoakError> {
    let mut site: Site = toml::from_str(SITE).map_err(|error| SoakError::Configuration(error.to_string()))?;
    site.seed = Count::new((options.seed & 0xffff_ffff) as _);
    site.nodes = Count::new(options.nodes as _);
    site.rate = Positive::new(options.rate);
    let reads = site.classes.iter_mut().filter(|class| !class.write);
    for class in reads {
        let deadline = READ_DEADLINE.as_micros() as u64;
        (class.latency_objective, class.deadline) =
            (DurationMicros::new(deadline), DurationMicros::new(deadline));
    }
    site.rules.answer_slack = DurationMicros::new((ANSWER_SLACK + LONGEST_STALL).as_micros() as u64);
    Ok(site)
}

/// An address that is free now and that the kernel gives to nobody else.
fn free_address(tried: &mut u16) -> SocketAddr {
    let first = (std::process::id() % u32::from(PORTS)) as u16;
    loop {
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + (first + *tried) % PORTS));
        *tried += 1;
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Fleet {
    async fn start(options: Options) -> Result<Fleet, SoakError> {
        let emulator = Emulator::start(site(&options)?, EmulatorOptions::default()).await?;
        let folder = tempfile::tempdir().map_err(SoakError::io("make a folder"))?;
        let (mut addresses, mut nodes, mut tried) = (Vec::new(), Vec::new(), 0);
        for number in 0..options.nodes as usize {
            let (listen, operators) = (free_address(&mut tried), free_address(&mut tried));
            let own = folder.path().join(format!("node-{number}"));
            let config = emulator.config(number, listen, Some(operators));
            let config = config.ok_or_else(|| SoakError::Configuration(format!("no node {number}")))?;
            let config =
                toml::to_string(&config).map_err(|error| SoakError::Configuration(error.to_string()))?;
            std::fs::create_dir(&own).map_err(SoakError::io("make a folder"))?;
            std::fs::write(own.join("node.toml"), config).map_err(SoakError::io("write a file"))?;
            let plan = FaultPlan::new(options.seed ^ (number as u64) << 32);
            let plan = plan.map_err(SoakError::io("write a plan"))?;
            addresses.push(listen);
            let place = Place { operators, folder: own, plan };
            nodes.push(Node { number, place, process: Mutex::default() });
        }
        let load = Load::new(&emulator, addresses);
        let (faults, violations) = Default::default();
        let fleet = Fleet { options, emulator, load, nodes, faults, violations, _folder: folder };
        for node in &fleet.nodes {
            fleet.start_node(node, &mut *node.process.lock().await).await?;
        }
        Ok(fleet)
    }

    /// Starts a node's process and waits until it serves.
    async fn start_node(&self, node: &Node, process: &mut Option<Process>) -> Result<(), SoakError> {
        self.emulator.node_restarted(node.number);
        let mut started = Process::start(&node.place, &self.options.program, &self.options.library)?;
        if !started.serves_within(READY_WITHIN).await {
            self.note(match started.ended() {
                Some(status) => crashed(node, &started, status),
                None => ProcessFault::NotReady { node: node.number },
            })
            .await;
        }
        self.load.open_node(node.number);
        *process = Some(started);
        Ok(())
    }

    async fn note(&self, fault: ProcessFault) {
        self.faults.lock().await.push(fault);
    }

    /// Plays the events, each in its time, and waits until all that they began is over.
    async fn play(self: Arc<Self>, events: Vec<Event>) {
        let start = Instant::now();
        let mut running = JoinSet::new();
        for event in events {
            sleep_until(start + event.at).await;
            let fleet = self.clone();
            running.spawn(async move { fleet.act(&fleet.nodes[event.node], event.action).await });
        }
        while running.join_next().await.is_some() {}
    }

    async fn act(&self, node: &Node, action: Action) {
        match action {
            Action::Stall(lasts) => self.stall(node, lasts).await,
            Action::Terminate => self.terminate(node).await,
            Action::Kill => self.kill(node).await,
            Action::Reload => self.reload(node).await,
            Action::Calls { fault, rate, lasts } => self.fail_calls(node, fault, rate, lasts).await,
            Action::ClockStep(ms) => _ = node.place.plan.step_clock(ms),
            // Which servers it befalls is drawn by the emulator; a fault that finds none is none.
            Action::Site(fault) => _ = self.emulator.fault(&fault),
        }
    }

    async fn reload(&self, node: &Node) {
        if let Some(process) = &*node.process.lock().await {
            process.signals().send(Signal::HUP);
        }
    }

    /// Word to end may come in a stall: the process is not held while it lasts.
    async fn stall(&self, node: &Node, lasts: Duration) {
        let Some(signals) = node.process.lock().await.as_ref().map(Process::signals) else { return };
        signals.send(Signal::STOP);
        sleep(lasts).await;
        signals.send(Signal::CONT);
    }

    async fn fail_calls(&self, node: &Node, fault: CallFault, rate: f64, lasts: Duration) {
        let _ = node.place.plan.set(fault, rate); // the file is our own
        sleep(lasts).await;
        let _ = node.place.plan.set(fault, 0.0);
    }

    /// As the platform restarts a node: the front deals it no new connections a moment later, and it is killed only
    /// when the time of all that it took is over.
    async fn terminate(&self, node: &Node) {
        let mut process = node.process.lock().await;
        let Some(mut ending) = process.take() else { return };
        self.check_alive(node, &mut ending).await;
        self.count_violations(node).await;
        ending.signals().send(Signal::TERM);
        sleep(STILL_DEALT).await;
        self.load.close_node(node.number);
        match ending.ends_within(KILLED_AFTER - STILL_DEALT).await {
            Some(status) if status.success() => {}
            Some(status) => self.note(crashed(node, &ending, status)).await,
            None => self.end_by_kill(node, &mut ending).await,
        }
        let _ = self.start_node(node, &mut process).await; // a process that can't be made shows at the end
    }

    async fn kill(&self, node: &Node) {
        let mut process = node.process.lock().await;
        let Some(mut killed) = process.take() else { return };
        self.check_alive(node, &mut killed).await;
        self.count_violations(node).await;
        self.end_by_kill(node, &mut killed).await;
        sleep(RESTARTS_AFTER).await;
        let _ = self.start_node(node, &mut process).await;
    }

    async fn end_by_kill(&self, node: &Node, process: &mut Process) {
        self.load.node_killed(node.number);
        process.signals().send(Signal::KILL);
        let _ = process.ends_within(READY_WITHIN).await;
    }

    async fn check_alive(&self, node: &Node, process: &mut Process) {
        if let Some(status) = process.ended() {
            self.note(crashed(node, process, status)).await;
        }
    }

    async fn count_violations(&self, node: &Node) {
        let text = figures(node.place.operators).await;
        add_violations(&text, &mut *self.violations.lock().await);
    }

    /// Takes the last counts, and ends all processes.
    async fn end(&self) {
        for node in &self.nodes {
            let _ = node.place.plan.clear();
            let mut process = node.process.lock().await;
            let Some(mut ending) = process.take() else { continue };
            self.check_alive(node, &mut ending).await;
            self.count_violations(node).await;
            ending.signals().send(Signal::TERM);
            if ending.ends_within(KILLED_AFTER).await.is_none() {
                ending.signals().send(Signal::KILL);
            }
        }
    }
}

fn crashed(node: &Node, process: &Process, status: std::process::ExitStatus) -> ProcessFault {
    ProcessFault::Crashed { node: node.number, status: status.to_string(), log: process.last_lines() }
}
