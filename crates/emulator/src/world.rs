//! The state that all parts of the emulator share, and its start.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use serde_json::{Value, json};
use stonefold_config::CheckError;
use stonefold_model::site::{Fault, Site};
use stonefold_model::{Cache, LateSend, Listed, Listing, Micros, Network, RuleChecker, State, Verdict};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::cache::CacheEndpoint;
use crate::clock::Clock;
use crate::discovery::{DiscoveryService, Registry, list_document};
use crate::error::EmulatorError;
use crate::listeners::{listen, local_addr};
use crate::lock::lock;
use crate::origin::OriginEndpoint;
use crate::request::{self, RequestMisses};
use crate::{control, faults};

/// The runtime's timers fire up to a millisecond late. Events that are due within this time are processed now, so that
/// times are right on average.
pub(crate) const TIMER_GRANULARITY: Micros = 1_000;

/// Where an emulator listens, and whether it injects faults.
#[derive(Clone, Debug)]
pub struct EmulatorOptions {
    /// The loopback address at which everything but the control interface listens.
    pub ip: IpAddr,
    /// Address of the control interface; port 0 for any free port.
    pub control: SocketAddr,
    /// Whether the faults of the site's schedule are injected.
    pub faults: bool,
}

impl Default for EmulatorOptions {
    fn default() -> EmulatorOptions {
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        EmulatorOptions { ip, control: SocketAddr::new(ip, 0), faults: true }
    }
}

/// A cache server. Its id is never reused: a replacement is another server.
pub(crate) struct CacheServer {
    pub number: usize,
    /// Indexes of its zone and of its group of caches in the site.
    pub zone: usize,
    pub group: usize,
    pub endpoint: CacheEndpoint,
}

/// The state of an emulated site.
pub(crate) struct World {
    pub site: Site,
    pub ip: IpAddr,
    pub clock: Clock,
    pub rule_checker: Mutex<RuleChecker>,
    pub network: Mutex<Network>,
    /// Servers by their numbers; those that were replaced stay in the list.
    pub servers: RwLock<Vec<Arc<CacheServer>>>,
    pub origin: OriginEndpoint,
    pub discovery: Arc<DiscoveryService>,
    pub misses: RequestMisses,
    /// When the partition of each zone from the others ends, or ended.
    pub partitions: Mutex<BTreeMap<usize, Micros>>,
    pub stop: CancellationToken,
    /// Whether messages between nodes and servers take time.
    has_network_delay: bool,
    pub open_connections: AtomicUsize,
    has_partitions: AtomicBool,
}

impl World {
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        self.clock.instant(at)
    }

    /// Converts a time of the emulator to Unix time, in milliseconds.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        self.clock.unix_ms(at)
    }

    pub fn rule_checker(&self) -> MutexGuard<'_, RuleChecker> {
        lock(&self.rule_checker)
    }

    pub fn server(&self, number: usize) -> Option<Arc<CacheServer>> {
        self.servers.read().unwrap_or_else(PoisonError::into_inner).get(number).cloned()
    }

    pub fn all_servers(&self) -> Vec<Arc<CacheServer>> {
        self.servers.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The index of a node's zone.
    pub fn node_zone(&self, node: usize) -> usize {
        node % self.site.network.zones.len().max(1)
    }

    /// Waits for the one-way network delay between a node and a zone.
    pub async fn delay_one_way(&self, node: usize, zone: usize) {
        if self.has_network_delay {
            let delay = lock(&self.network).one_way(self.node_zone(node), zone);
            tokio::time::sleep(Duration::from_micros(delay)).await;
        }
    }

    /// Whether a partition separates a node and a zone now.
    pub fn is_partitioned(&self, node: usize, zone: usize) -> bool {
        if !self.has_partitions.load(Ordering::Relaxed) {
            return false;
        }
        let (from, now) = (self.node_zone(node), self.now());
        let partitions = lock(&self.partitions);
        let is_isolated = |zone: usize| partitions.get(&zone).is_some_and(|&until| now < until);
        from != zone && (is_isolated(from) || is_isolated(zone))
    }

    pub fn partition(&self, zone: usize, until: Micros) {
        let mut partitions = lock(&self.partitions);
        let partitioned_until = partitions.entry(zone).or_default();
        *partitioned_until = until.max(*partitioned_until);
        drop(partitions);
        self.has_partitions.store(true, Ordering::Relaxed);
    }

    /// Reports a server's state to discovery, which learns it after a delay.
    pub fn record_change(&self, server: usize, state: State, started: Micros) {
        self.discovery.record_change(Listed { server, state, started });
    }

    /// Fills the initial servers with the most popular keys, the most popular one last, so that it is the most recently
    /// used.
    fn prewarm_caches(&self) {
        let keys = &self.site.keys;
        let prewarmed_keys = (keys.count.get() as f64 * keys.prewarmed.get()) as u64;
        let now = self.now();
        for rank in (1..=prewarmed_keys).rev() {
            let key = request::key_name(rank % keys.count.get() as u64);
            let size = request::value_size(&self.site, &key);
            self.all_servers()
                .iter()
                .for_each(|server| server.endpoint.with_model(|model, _| model.prewarm(now, &key, size)));
        }
    }

    /// Starts a new server; a replacement of another one warms up first.
    pub async fn add_server(
        self: &Arc<Self>,
        group: usize,
        zone: usize,
        warming_up: bool,
    ) -> Result<Arc<CacheServer>, EmulatorError> {
        let number = self.all_servers().len();
        let now = self.now();
        let mut model = Cache::new(
            &self.site.caches[group],
            &self.site.rules,
            self.site.seed.get() as u64,
            number as u64,
            now,
        );
        if warming_up {
            model.start(now);
        }
        let endpoint = CacheEndpoint::open(self.ip, self.site.nodes.get(), model).await?;
        let server = Arc::new(CacheServer { number, zone, group, endpoint });
        self.servers.write().unwrap_or_else(PoisonError::into_inner).push(server.clone());
        server.clone().serve(self.clone());
        Ok(server)
    }
}

impl Registry for World {
    fn entry(&self, node: usize, listed: &Listed) -> Option<Value> {
        let server = self.server(listed.server)?;
        let state = match listed.state {
            State::Serving => "SERVING",
            State::Draining => "DRAINING",
            State::Deleted => "DELETED",
        };
        let started_ms = if listed.started == 0 { 0 } else { self.unix_ms(listed.started) };
        Some(
            json!({"id": server.id(), "addr": server.endpoint.addr(node)?, "zone": self.site.network.zones.get(server.zone)?,
            "kind": self.site.caches[server.group].kind, "cell": server.number / 4, "state": state, "weight": 1.0,
            "started_ms": started_ms}),
        )
    }

    fn fixed_entries(&self, node: usize) -> Vec<Value> {
        vec![json!({"id": "origin", "addr": self.origin.addr(node), "zone": "", "kind": "origin", "cell": 0,
            "state": "SERVING", "weight": 1.0, "started_ms": 0})]
    }

    /// Records for the rule checks what the node is notified of, as grace periods start then.
    fn before_reply(&self, node: usize, listing: &mut Listing) {
        let now = self.now();
        let mut checker = self.rule_checker();
        let serving = |l: &&Listed| l.state == State::Serving;
        if listing.full {
            let up: Vec<usize> = listing.servers.iter().filter(serving).map(|l| l.server).collect();
            checker.server_list_notified(now, node, &up, self.all_servers().len());
        } else {
            listing
                .servers
                .iter()
                .for_each(|l| checker.server_notified(now, node, l.server, l.state == State::Serving));
        }
    }
}

/// A running site. Dropping it stops all its servers and closes their sockets.
pub struct Emulator {
    pub(crate) world: Arc<World>,
    control: SocketAddr,
    discovery: Vec<SocketAddr>,
    _stop: DropGuard,
}

impl Emulator {
    /// Starts all servers of a site.
    ///
    /// # Errors
    /// If it can't listen at an address, or an address is not on loopback; everything that was started is stopped.
    pub async fn start(site: Site, options: EmulatorOptions) -> Result<Emulator, EmulatorError> {
        if let Some(ip) = [options.ip, options.control.ip()].into_iter().find(|ip| !ip.is_loopback()) {
            return Err(EmulatorError::NotLoopback(ip));
        }
        let stop = CancellationToken::new();
        let guard = stop.clone().drop_guard();
        let (seed, nodes) = (site.seed.get() as u64, site.nodes.get());
        let control_listener = listen(options.control).await?;
        let origin = OriginEndpoint::open(options.ip, nodes, &site).await?;
        let mut discoveries = Vec::with_capacity(nodes);
        for _ in 0..nodes {
            discoveries.push(listen(SocketAddr::new(options.ip, 0)).await?);
        }
        let network = &site.network;
        let clock = Clock::start();
        let servers = 0..site.cache_count();
        let service = DiscoveryService::new(&site.discovery, seed, servers, nodes, clock, stop.clone());
        let has_network_delay = network.same_zone.us() > 0 || network.cross_zone[1].us() > 0;
        let world = Arc::new(World {
            ip: options.ip,
            clock,
            rule_checker: Mutex::new(RuleChecker::new(&site.rules)),
            network: Mutex::new(Network::new(&site.network, seed)),
            servers: RwLock::default(),
            origin,
            discovery: Arc::new(service),
            misses: RequestMisses::default(),
            partitions: Mutex::default(),
            stop,
            has_network_delay,
            open_connections: AtomicUsize::new(0),
            has_partitions: AtomicBool::new(false),
            site,
        });
        let mut number = 0;
        for (group, kind) in world.site.caches.iter().enumerate() {
            for _ in 0..kind.count.get() {
                world.add_server(group, number % world.site.network.zones.len().max(1), false).await?;
                number += 1;
            }
        }
        world.prewarm_caches();
        world.origin.serve(&world);
        let discovery = discoveries.iter().map(local_addr).collect();
        world.discovery.serve(discoveries, world.clone());
        let control_addr = local_addr(&control_listener);
        control::serve(&world, control_listener);
        if options.faults {
            faults::schedule_site_faults(&world);
        }
        Ok(Emulator { world, control: control_addr, discovery, _stop: guard })
    }

    /// The address of the control interface.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// The address at which discovery answers a node.
    pub fn discovery(&self, node: usize) -> Option<SocketAddr> {
        self.discovery.get(node).copied()
    }

    /// The emulated site.
    pub fn site(&self) -> &Site {
        &self.world.site
    }

    /// The endpoint list that discovery would send to a node now; a node starts with it.
    pub fn endpoint_list(&self, node: usize) -> serde_json::Value {
        list_document(&*self.world, node, &self.world.discovery.full_listing())
    }

    /// The name of a node's zone.
    pub fn zone_of(&self, node: usize) -> &str {
        let zone = self.world.node_zone(node);
        self.world.site.network.zones.get(zone).map_or("", |name| name)
    }

    /// Records that a node was restarted and has lost what it was notified of before.
    pub fn node_restarted(&self, node: usize) {
        self.world.rule_checker().node_restarted(node);
    }

    /// Injects a fault now.
    ///
    /// # Errors
    /// Names the invalid field and the reason.
    pub fn fault(&self, fault: &Fault) -> Result<(), CheckError> {
        faults::inject(&self.world, fault)
    }

    /// Answers and rule violations counted so far.
    pub fn verdict(&self) -> Verdict {
        self.world.rule_checker().verdict()
    }

    /// The first requests that nodes sent to a server after its grace period had ended.
    pub fn late_sends(&self) -> Vec<LateSend> {
        self.world.rule_checker().late_sends().to_vec()
    }

    /// Microseconds since the start.
    pub fn now(&self) -> Micros {
        self.world.now()
    }

    /// Fetches in progress at the origin.
    pub fn origin_in_flight(&self) -> usize {
        self.world.origin.in_flight()
    }

    /// Fetches sent to the origin so far.
    pub fn origin_fetches(&self) -> u64 {
        self.world.origin.fetches()
    }

    /// Reads that caches answered so far: hits, and misses.
    pub fn hits_and_misses(&self) -> (u64, u64) {
        self.world.all_servers().iter().fold((0, 0), |(hits, misses), server| {
            let (h, m) = server.endpoint.hits_and_misses();
            (hits + h, misses + m)
        })
    }
}
