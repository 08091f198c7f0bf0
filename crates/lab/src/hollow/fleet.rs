//! A fleet of hollow nodes, each with a connection to the emulator's discovery, which is driven by the model.
//!
//! The servers are only entries of the list, with addresses at which nothing listens: a node's control code does not
//! connect to them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use stonefold_balancer::EndpointState;
use stonefold_config as tree;
use stonefold_config::{Count, DurationMillis, Positive};
use stonefold_emulator::Clock;
use stonefold_emulator::discovery::{CallCounts, DiscoveryService, Registry, list_document};
use stonefold_model::site::{DiscoveryKind, Site};
use stonefold_model::{Listed, Listing, Micros, State};
use stonefold_node::config::{ConfigError, DocumentError, DocumentSource, NodeConfig, Source};
use stonefold_node::hollow::{self, AppliedList};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::AbortOnDropHandle;

use super::list_checker::{Findings, ListChecker, ServerStatus};

/// Loopback address with a port that the system selects.
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Number of zones, as in a site of the intended size.
pub const ZONES: usize = 30;
/// Servers of a cell, which share their keys.
const SERVERS_PER_CELL: usize = 4;
/// Longest time that is recorded, in microseconds; longer ones count as this.
const MAX_RECORDED_US: u64 = 3_600_000_000;

/// The size and the settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Number of hollow nodes.
    pub nodes: usize,
    /// Number of additional nodes that discovery serves.
    pub others: usize,
    /// Number of listed servers.
    pub servers: usize,
    /// Delays and limits of discovery.
    pub discovery: DiscoveryKind,
    /// Whether nodes must get the list by a watch, which discovery must be able to serve; otherwise they choose how to
    /// get it.
    pub subscribe: bool,
    /// Seed of every random choice.
    pub seed: u64,
}

/// A fault in one answer of discovery to one node, to test that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// The answer leaves a change out.
    Skip,
    /// The answer has a version older than an earlier answer.
    StepBack,
}

/// Why a fleet or a node could not be started.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A listener could not be created.
    #[error("cannot listen: {0}")]
    Io(#[from] std::io::Error),
    /// The configuration of a node is invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// There are more servers than ports for their addresses.
    #[error("{0} servers: at most 65000")]
    TooManyServers(usize),
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Lists the servers for discovery and checks the lists that nodes apply.
struct FleetRegistry {
    clock: Clock,
    checker: Mutex<ListChecker>,
    /// Time that each change took to reach each node, in microseconds.
    node_times: Mutex<Histogram<u64>>,
    /// The fault that the next suitable answer of discovery gets.
    injected_fault: Mutex<Option<InjectedFault>>,
}

fn zone(server: usize) -> String {
    format!("z{}", server % ZONES)
}

impl Registry for FleetRegistry {
    fn entry(&self, _node: usize, listed: &Listed) -> Option<Value> {
        let state = match listed.state {
            State::Serving => "SERVING",
            State::Draining => "DRAINING",
            State::Deleted => "DELETED",
        };
        let port = 1 + u16::try_from(listed.server).ok()?;
        Some(
            json!({"id": Site::id(listed.server), "addr": SocketAddr::new(LOOPBACK.ip(), port), "zone": zone(listed.server),
            "kind": "box", "cell": listed.server / SERVERS_PER_CELL, "state": state, "weight": 1.0,
            "started_ms": self.unix_ms(listed.started)}),
        )
    }

    fn before_reply(&self, _node: usize, listing: &mut Listing) {
        let mut fault = locked(&self.injected_fault);
        match *fault {
            Some(InjectedFault::Skip) if !listing.full && !listing.servers.is_empty() => {
                listing.servers.pop();
            }
            Some(InjectedFault::StepBack) => listing.version = 1,
            _ => return,
        }
        *fault = None;
    }

    fn changes_learned(&self, _version: u64, changes: &[Listed]) {
        let with_unix_time = |listed: &Listed| Listed { started: self.unix_ms(listed.started), ..*listed };
        let changes: Vec<Listed> = changes.iter().map(with_unix_time).collect();
        locked(&self.checker).changes_published(self.clock.now(), &changes);
    }
}

impl FleetRegistry {
    /// Converts a start time to milliseconds of Unix time. 0, which means before the simulation, stays 0.
    fn unix_ms(&self, started: Micros) -> u64 {
        if started == 0 { 0 } else { self.clock.unix_ms(started) }
    }

    fn list_applied(&self, node: usize, list: &AppliedList<'_>) {
        let now = self.clock.now();
        let status_of = |server: usize| -> ServerStatus {
            let (state, started_ms) = list.listed(&Site::id(server))?;
            let state = match state {
                EndpointState::Up => State::Serving,
                EndpointState::Draining => State::Draining,
                EndpointState::Removed => State::Deleted,
            };
            Some((state, started_ms as Micros))
        };
        let mut checker = locked(&self.checker);
        let times = checker.list_applied(node, now, list.version, list.servers(), status_of);
        drop(checker);
        let mut node_times = locked(&self.node_times);
        times.into_iter().for_each(|time| node_times.saturating_record(time));
    }
}

/// The configuration of a node as the platform's document.
struct ConfigDocument(Value);

impl DocumentSource for ConfigDocument {
    fn read(&self) -> Result<Value, DocumentError> {
        Ok(self.0.clone())
    }
}

/// A running fleet. When it is dropped, all its nodes, listeners and tasks end.
pub struct Fleet {
    plan: FleetPlan,
    registry: Arc<FleetRegistry>,
    service: Arc<DiscoveryService>,
    clock: Clock,
    /// The address of discovery for each node.
    discovery_addrs: Vec<SocketAddr>,
    /// The list that each node is started with.
    initial_list: Value,
    nodes: Vec<Option<AbortOnDropHandle<()>>>,
    /// The runtimes of the nodes, which are assigned to them round-robin.
    runtimes: Vec<Handle>,
    _stop: DropGuard,
}

impl Fleet {
    /// Starts discovery in the current runtime, but no node yet. `runtimes` are those of the nodes, which are assigned
    /// to them round-robin.
    ///
    /// # Errors
    /// If a listener can't be created, or there are more servers than addresses.
    pub async fn start(plan: FleetPlan, runtimes: Vec<Handle>) -> Result<Fleet, FleetError> {
        if plan.servers > 65_000 {
            return Err(FleetError::TooManyServers(plan.servers));
        }
        let stop = CancellationToken::new();
        let clock = Clock::start();
        let nodes = plan.nodes + plan.others;
        let service =
            DiscoveryService::new(&plan.discovery, plan.seed, 0..plan.servers, nodes, clock, stop.clone());
        let first = service.full_listing();
        let node_times =
            Histogram::new_with_max(MAX_RECORDED_US, 3).expect("bounds that a histogram can hold");
        let registry = Arc::new(FleetRegistry {
            clock,
            checker: Mutex::new(ListChecker::new(first.version, first.servers.iter().copied(), plan.nodes)),
            node_times: Mutex::new(node_times),
            injected_fault: Mutex::default(),
        });
        let initial_list = list_document(&*registry, 0, &first);
        let service = Arc::new(service);
        let mut listeners = Vec::with_capacity(nodes);
        for _ in 0..nodes {
            listeners.push(TcpListener::bind(LOOPBACK).await?);
        }
        let discovery_addrs = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        service.serve(listeners, registry.clone());
        let nodes = (0..plan.nodes).map(|_| None).collect();
        let _stop = stop.drop_guard();
        Ok(Fleet { plan, registry, service, clock, discovery_addrs, initial_list, nodes, runtimes, _stop })
    }

    /// The configuration of a node, in the form of the platform's document.
    pub fn config(&self, node: usize) -> Value {
        let config = tree::Config {
            node: tree::Node {
                name: format!("n{node}"),
                listen: Some(LOOPBACK),
                discovery: Some(self.discovery_addrs[node]),
                zone: Some(zone(node)),
                node_count: Count::new((self.plan.nodes + self.plan.others) as u64),
                node_index: Some(Count::new(node as u64)),
                ..tree::Node::default()
            },
            fleet: tree::Fleet {
                cache_mode: tree::CacheMode::Through,
                zones: (0..ZONES).map(zone).collect(),
                watch_required: self.plan.subscribe,
                ..tree::Fleet::default()
            },
            classes: vec![tree::RequestClass {
                name: "read".into(),
                latency_objective: DurationMillis::new(600),
                deadline: DurationMillis::new(1_200),
                idempotency: tree::Idempotency::Idempotent,
                deduplication_scope: tree::DeduplicationScope::All,
                deduplication_window: DurationMillis::new(5_000),
                priority_weight: Positive::new(1.0),
            }],
            ..tree::Config::default()
        };
        let mut document = config.to_platform(self.plan.seed << 16 | node as u64);
        document["known"] = self.initial_list.clone();
        document
    }

    /// Starts or restarts a node with its configuration, which contains the initial list.
    ///
    /// # Errors
    /// If its configuration is invalid.
    pub fn start_node(&mut self, node: usize) -> Result<(), FleetError> {
        self.nodes[node] = None;
        let config = NodeConfig::from_source(Source::Document(Box::new(ConfigDocument(self.config(node)))))?;
        locked(&self.registry.checker).node_started(node, self.clock.now());
        let registry = self.registry.clone();
        let running = hollow::run(config, move |list| registry.list_applied(node, &list));
        let runtime = &self.runtimes[node % self.runtimes.len()];
        self.nodes[node] = Some(AbortOnDropHandle::new(runtime.spawn(running)));
        Ok(())
    }

    /// Stops a node.
    pub fn stop_node(&mut self, node: usize) {
        self.nodes[node] = None;
    }

    /// The clock of the fleet.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Makes discovery unavailable for a duration.
    pub fn make_discovery_unavailable(&self, duration: Duration) {
        let now = self.clock.now();
        let until = now + duration.as_micros() as Micros;
        locked(&self.registry.checker).discovery_unavailable(now..until);
        self.service.set_unavailable_until(until);
    }

    /// The discovery service.
    pub fn service(&self) -> &DiscoveryService {
        &self.service
    }

    /// The size and the settings of the fleet.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Injects a fault into the answer to the next suitable call.
    pub fn inject_fault(&self, fault: InjectedFault) {
        *locked(&self.registry.injected_fault) = Some(fault);
    }

    /// The calls and the traffic of these nodes to discovery, summed.
    pub fn counts(&self, nodes: std::ops::Range<usize>) -> CallCounts {
        nodes.map(|node| self.service.counts(node)).fold(CallCounts::default(), |sum, one| CallCounts {
            answered: sum.answered + one.answered,
            rejected: sum.rejected + one.rejected,
            connections: sum.connections + one.connections,
            received_bytes: sum.received_bytes + one.received_bytes,
            sent_bytes: sum.sent_bytes + one.sent_bytes,
        })
    }

    /// Nodes that have not applied the latest list, each with the version that it last applied.
    pub fn lagging_nodes(&self) -> Vec<(usize, Option<u64>)> {
        locked(&self.registry.checker).lagging_nodes().collect()
    }

    /// Waits until discovery has published all changes and every node has applied the latest list. Returns false after
    /// `timeout`.
    pub async fn wait_until_settled(&self, timeout: Duration) -> bool {
        let settled = async {
            while self.service.has_pending_changes() || !self.lagging_nodes().is_empty() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(timeout, settled).await.is_ok()
    }

    /// The findings so far.
    pub fn findings(&self) -> Findings {
        locked(&self.registry.checker).findings().clone()
    }

    /// Two histograms in microseconds: the time that each change took to reach each node, and the time that each change
    /// took to reach the last node.
    pub fn propagation_times(&self) -> (Histogram<u64>, Histogram<u64>) {
        let node_times = locked(&self.registry.node_times).clone();
        let mut last_node_times = Histogram::new_from(&node_times);
        locked(&self.registry.checker)
            .propagation_times()
            .for_each(|time| last_node_times.saturating_record(time));
        (node_times, last_node_times)
    }
}

/// Interval at which [`Fleet::wait_until_settled`] checks the nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
