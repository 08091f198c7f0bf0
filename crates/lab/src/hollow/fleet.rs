//! Hollow nodes before hollow servers: each has a connection to discovery, which is the emulator's over the model.
//!
//! The servers are entries of the list with an address that nobody calls: a node's control makes no connection to them.

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
use stonefold_emulator::discovery::{Counts, Registry, Service, document};
use stonefold_model::site::{DiscoveryKind, Site};
use stonefold_model::{Listed, Listing, Micros, State};
use stonefold_node::config::{Config, ConfigError, Document, DocumentError, Source};
use stonefold_node::hollow::{self, AppliedList};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::AbortOnDropHandle;

use super::list_checker::{Found, Standing, Truth};

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Zones of the size that the plan is made for.
pub const ZONES: usize = 30;
/// Servers that share their keys.
const CELL: usize = 4;
/// Longer times count as this, in microseconds.
const LONGEST: u64 = 3_600_000_000;

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Hollow nodes, and others that the lists are for beside them.
    pub nodes: usize,
    /// See `nodes`.
    pub others: usize,
    /// Servers.
    pub servers: usize,
    /// Discovery.
    pub discovery: DiscoveryKind,
    /// Whether the list must be subscribed to, and discovery bears that it is asked.
    pub subscribe: bool,
    /// Seeds every random choice.
    pub seed: u64,
}

/// Something wrong that discovery does to one node, once: for tests of what finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// It leaves a change out.
    Skip,
    /// It tells a list that is older than one that it told before.
    StepBack,
}

/// Why there is no fleet.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A listener.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A node's configuration.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// More servers than a list can name.
    #[error("{0} servers: at most 65000")]
    Servers(usize),
}

fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The servers as they are told, and what comes of it.
struct Hollows {
    clock: Clock,
    truth: Mutex<Truth>,
    /// How long changes took to single nodes, in microseconds.
    took: Mutex<Histogram<u64>>,
    injected_fault: Mutex<Option<InjectedFault>>,
}

fn zone(server: usize) -> String {
    format!("z{}", server % ZONES)
}

impl Registry for Hollows {
    fn entry(&self, _node: usize, listed: &Listed) -> Option<Value> {
        let state = match listed.state {
            State::Serving => "SERVING",
            State::Draining => "DRAINING",
            State::Deleted => "DELETED",
        };
        let port = 1 + u16::try_from(listed.server).ok()?;
        Some(
            json!({"id": Site::id(listed.server), "addr": SocketAddr::new(ANY.ip(), port), "zone": zone(listed.server),
            "kind": "box", "cell": listed.server / CELL, "state": state, "weight": 1.0,
            "started_ms": self.unix_ms(listed.started)}),
        )
    }

    fn telling(&self, _node: usize, listing: &mut Listing) {
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

    fn learned(&self, _version: u64, changes: &[Listed]) {
        let told = |listed: &Listed| Listed { started: self.unix_ms(listed.started), ..*listed };
        let told: Vec<Listed> = changes.iter().map(told).collect();
        locked(&self.truth).learned(self.clock.now(), &told);
    }
}

impl Hollows {
    /// 0 is long ago, here and there.
    fn unix_ms(&self, started: Micros) -> u64 {
        if started == 0 { 0 } else { self.clock.unix_ms(started) }
    }

    fn acted(&self, node: usize, acted: &AppliedList<'_>) {
        let now = self.clock.now();
        let has = |server: usize| -> Standing {
            let (state, started_ms) = acted.listed(&Site::id(server))?;
            let state = match state {
                EndpointState::Up => State::Serving,
                EndpointState::Draining => State::Draining,
                EndpointState::Removed => State::Deleted,
            };
            Some((state, started_ms as Micros))
        };
        let mut truth = locked(&self.truth);
        let took = truth.acted(node, now, acted.version, acted.servers(), has);
        drop(truth);
        let mut all = locked(&self.took);
        took.into_iter().for_each(|took| all.saturating_record(took));
    }
}

/// A configuration as the platform would state it.
struct Stated(Value);

impl Document for Stated {
    fn read(&self) -> Result<Value, DocumentError> {
        Ok(self.0.clone())
    }
}

/// A fleet at work. Dropped, it ends, and nothing of it is left.
pub struct Fleet {
    plan: Plan,
    hollows: Arc<Hollows>,
    service: Arc<Service>,
    clock: Clock,
    /// Where discovery answers each node.
    discovery: Vec<SocketAddr>,
    /// What each node is started with.
    known: Value,
    nodes: Vec<Option<AbortOnDropHandle<()>>>,
    /// Where nodes run, dealt over them in turn.
    runtimes: Vec<Handle>,
    _stop: DropGuard,
}

impl Fleet {
    /// Starts discovery in the current runtime; no node yet. They will be dealt over these runtimes.
    ///
    /// # Errors
    /// If a listener can't be had, or there are more servers than addresses.
    pub async fn start(plan: Plan, runtimes: Vec<Handle>) -> Result<Fleet, FleetError> {
        if plan.servers > 65_000 {
            return Err(FleetError::Servers(plan.servers));
        }
        let stop = CancellationToken::new();
        let clock = Clock::start();
        let nodes = plan.nodes + plan.others;
        let service = Service::new(&plan.discovery, plan.seed, 0..plan.servers, nodes, clock, stop.clone());
        let first = service.listing();
        let longest = Histogram::new_with_max(LONGEST, 3).expect("bounds that a histogram can hold");
        let hollows = Arc::new(Hollows {
            clock,
            truth: Mutex::new(Truth::new(first.version, first.servers.iter().copied(), plan.nodes)),
            took: Mutex::new(longest),
            injected_fault: Mutex::default(),
        });
        let known = document(&*hollows, 0, &first);
        let service = Arc::new(service);
        let mut listeners = Vec::with_capacity(nodes);
        for _ in 0..nodes {
            listeners.push(TcpListener::bind(ANY).await?);
        }
        let discovery = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        service.serve(listeners, hollows.clone());
        let nodes = (0..plan.nodes).map(|_| None).collect();
        let _stop = stop.drop_guard();
        Ok(Fleet { plan, hollows, service, clock, discovery, known, nodes, runtimes, _stop })
    }

    /// The configuration of a node, as the platform would state it.
    pub fn config(&self, node: usize) -> Value {
        let config = tree::Config {
            node: tree::Node {
                name: format!("n{node}"),
                listen: Some(ANY),
                discovery: Some(self.discovery[node]),
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
        let mut stated = config.to_platform(self.plan.seed << 16 | node as u64);
        stated["known"] = self.known.clone();
        stated
    }

    /// Starts a node, or starts it anew: it knows what it was configured with.
    ///
    /// # Errors
    /// If its configuration can't be used.
    pub fn start_node(&mut self, node: usize) -> Result<(), FleetError> {
        self.nodes[node] = None;
        let config = Config::from_source(Source::Document(Box::new(Stated(self.config(node)))))?;
        locked(&self.hollows.truth).started(node, self.clock.now());
        let hollows = self.hollows.clone();
        let running = hollow::run(config, move |acted| hollows.acted(node, &acted));
        let runtime = &self.runtimes[node % self.runtimes.len()];
        self.nodes[node] = Some(AbortOnDropHandle::new(runtime.spawn(running)));
        Ok(())
    }

    /// Ends a node.
    pub fn stop_node(&mut self, node: usize) {
        self.nodes[node] = None;
    }

    /// The clock of all.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Discovery answers nobody for so long.
    pub fn away(&self, lasts: Duration) {
        let now = self.clock.now();
        let until = now + lasts.as_micros() as Micros;
        locked(&self.hollows.truth).away(now..until);
        self.service.away(until);
    }

    /// Discovery.
    pub fn service(&self) -> &Service {
        &self.service
    }

    /// What it is made of.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Something wrong is told to whoever calls next.
    pub fn inject_fault(&self, fault: InjectedFault) {
        *locked(&self.hollows.injected_fault) = Some(fault);
    }

    /// What the calls of some nodes came to, together.
    pub fn counts(&self, nodes: std::ops::Range<usize>) -> Counts {
        nodes.map(|node| self.service.counts(node)).fold(Counts::default(), |sum, one| Counts {
            answered: sum.answered + one.answered,
            refused: sum.refused + one.refused,
            connections: sum.connections + one.connections,
            received_bytes: sum.received_bytes + one.received_bytes,
            sent_bytes: sum.sent_bytes + one.sent_bytes,
        })
    }

    /// Nodes that have not acted on the latest list.
    pub fn behind(&self) -> Vec<(usize, Option<u64>)> {
        locked(&self.hollows.truth).behind().collect()
    }

    /// Waits until every node has acted on the latest list, and discovery has nothing more to learn; false if that
    /// takes too long.
    pub async fn settled(&self, within: Duration) -> bool {
        let look = async {
            while self.service.is_learning() || !self.behind().is_empty() {
                tokio::time::sleep(LOOK).await;
            }
        };
        tokio::time::timeout(within, look).await.is_ok()
    }

    /// What was found so far.
    pub fn found(&self) -> Found {
        locked(&self.hollows.truth).found().clone()
    }

    /// How long changes took to single nodes, and how long until each was everywhere; in microseconds.
    pub fn took(&self) -> (Histogram<u64>, Histogram<u64>) {
        let took = locked(&self.hollows.took).clone();
        let mut everywhere = Histogram::new_from(&took);
        locked(&self.hollows.truth).everywhere().for_each(|took| everywhere.saturating_record(took));
        (took, everywhere)
    }
}

/// How often it is looked whether all is settled.
const LOOK: Duration = Duration::from_millis(10);
