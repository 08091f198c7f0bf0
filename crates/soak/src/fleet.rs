//! The node processes in front of the emulated site: how they start, are observed and shut down.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitStatus;
use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use stonefold_config::Count;
use stonefold_emulator::{Emulator, EmulatorOptions, Load};
use stonefold_faults::FaultPlan;
use tempfile::TempDir;
use tokio::sync::Mutex;

use crate::admin::fetch_metrics;
use crate::idle_clients::{DESCRIPTOR_LIMIT, IdleClients};
use crate::ports::PortAllocator;
use crate::process::{CONFIG_FILE, NodeSetup, Process};
use crate::schedule::has_idle_clients;
use crate::site::build_site;
use crate::violations::{ViolationCounts, add_violations};
use crate::{ProcessFault, SoakError, SoakOptions};

/// Time within which a process must be ready after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after SIGTERM at which the platform sends SIGKILL.
pub(crate) const TERMINATION_GRACE: Duration = Duration::from_millis(3_700);

/// The level of logs that are kept.
const TRACE_LEVEL: &str = "info,stonefold_node=trace";

/// A node and its current process, if it has one.
pub(crate) struct Node {
    pub(crate) number: usize,
    pub(crate) setup: NodeSetup,
    pub(crate) process: Mutex<Option<Process>>,
}

/// All nodes, the emulated site and the load on them.
pub(crate) struct Fleet {
    options: SoakOptions,
    pub(crate) emulator: Emulator,
    pub(crate) load: Arc<Load>,
    pub(crate) nodes: Vec<Node>,
    process_faults: Mutex<Vec<ProcessFault>>,
    /// Violations counted by processes, read from each before it is made to exit.
    violations: Mutex<ViolationCounts>,
    /// The idle clients, if the run has them.
    _idle_clients: Option<IdleClients>,
    /// Holds the nodes' directories; removed on drop.
    _directory: TempDir,
}

impl Fleet {
    /// Starts the site and all nodes, one after the other.
    ///
    /// # Errors
    /// If the site, a node's files or a node's process can't be created.
    pub(crate) async fn start(options: SoakOptions) -> Result<Fleet, SoakError> {
        let emulator = Emulator::start(build_site(&options)?, EmulatorOptions::default()).await?;
        let directory = tempfile::tempdir().map_err(SoakError::io("create a directory"))?;
        let ports = PortAllocator::shared();
        let mut addresses = Vec::new();
        let mut nodes = Vec::new();
        for number in 0..options.nodes as usize {
            let listen = ports.allocate();
            let admin = ports.allocate();
            let setup = prepare_node(&emulator, &options, number, listen, admin, directory.path())?;
            addresses.push(listen);
            nodes.push(Node { number, setup, process: Mutex::default() });
        }
        let idle_clients = has_idle_clients(options.seed).then(|| IdleClients::start(&addresses));
        let load = Load::new(&emulator, addresses);
        if idle_clients.is_some() {
            load.excuse_unread_closes();
        }
        let fleet = Fleet {
            options,
            emulator,
            load,
            nodes,
            process_faults: Mutex::default(),
            violations: Mutex::default(),
            _idle_clients: idle_clients,
            _directory: directory,
        };
        for node in &fleet.nodes {
            fleet.start_node(node, &mut *node.process.lock().await).await?;
        }
        Ok(fleet)
    }

    /// Starts a process for `node` and waits until it is ready. A process that does not become ready is recorded as a
    /// process fault, and gets load and faults like any other.
    ///
    /// # Errors
    /// If the process can't be created.
    pub(crate) async fn start_node(
        &self,
        node: &Node,
        process: &mut Option<Process>,
    ) -> Result<(), SoakError> {
        self.emulator.node_restarted(node.number);
        let mut started = Process::start(&node.setup, &self.options.program, &self.options.library)?;
        if !started.wait_ready(READY_TIMEOUT).await {
            match started.exit_status() {
                Some(status) => self.record_crash(node, &started, status).await,
                None => self.record(ProcessFault::NotReady { node: node.number }).await,
            }
        }
        self.load.open_node(node.number);
        *process = Some(started);
        Ok(())
    }

    /// Records a crash if the process has exited already, and adds up its violations. Called before a process is made
    /// to exit.
    pub(crate) async fn collect_findings(&self, node: &Node, process: &mut Process) {
        if let Some(status) = process.exit_status() {
            self.record_crash(node, process, status).await;
        }
        let metrics = fetch_metrics(node.setup.admin).await;
        add_violations(&metrics, &mut *self.violations.lock().await);
    }

    /// Records that a process exited when it should not have, or with a failure.
    pub(crate) async fn record_crash(&self, node: &Node, process: &Process, status: ExitStatus) {
        let status = status.to_string();
        let log = process.last_log_lines();
        self.record(ProcessFault::Crashed { node: node.number, status, log }).await;
    }

    async fn record(&self, fault: ProcessFault) {
        self.process_faults.lock().await.push(fault);
    }

    /// Collects the findings of all processes and makes them exit.
    pub(crate) async fn shutdown(&self) {
        for node in &self.nodes {
            let _ = node.setup.fault_plan.clear(); // the plan's file is in our own directory
            let mut process = node.process.lock().await;
            let Some(mut exiting) = process.take() else { continue };
            self.collect_findings(node, &mut exiting).await;
            exiting.signals().send(Signal::TERM);
            if exiting.wait_exit(TERMINATION_GRACE).await.is_none() {
                exiting.signals().send(Signal::KILL);
            }
        }
    }

    /// Returns the violations counted so far and resets the counts.
    pub(crate) async fn take_violations(&self) -> ViolationCounts {
        std::mem::take(&mut *self.violations.lock().await)
    }

    /// Returns the process faults recorded so far and forgets them.
    pub(crate) async fn take_process_faults(&self) -> Vec<ProcessFault> {
        std::mem::take(&mut *self.process_faults.lock().await)
    }
}

/// Writes a node's configuration and fault plan.
fn prepare_node(
    emulator: &Emulator,
    options: &SoakOptions,
    number: usize,
    listen: SocketAddr,
    admin: SocketAddr,
    parent: &Path,
) -> Result<NodeSetup, SoakError> {
    let directory = parent.join(format!("node-{number}"));
    let config = emulator.config(number, listen, Some(admin));
    let mut config = config.ok_or_else(|| SoakError::Configuration(format!("no node {number}")))?;
    if has_idle_clients(options.seed) {
        config.limits.sockets = Count::new(DESCRIPTOR_LIMIT);
    }
    if options.logs.is_some() {
        config.log.level = TRACE_LEVEL.into();
    }
    let log_file =
        options.logs.as_ref().map(|logs| logs.join(format!("seed-{}-n{number}.log", options.seed)));
    let config = toml::to_string(&config).map_err(SoakError::configuration)?;
    std::fs::create_dir(&directory).map_err(SoakError::io("create a directory"))?;
    std::fs::write(directory.join(CONFIG_FILE), config).map_err(SoakError::io("write a file"))?;
    let fault_plan = FaultPlan::new(options.seed ^ (number as u64) << 32);
    let fault_plan = fault_plan.map_err(SoakError::io("write a fault plan"))?;
    Ok(NodeSetup { admin, directory, fault_plan, log_file })
}
