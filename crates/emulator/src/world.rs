//! What all parts of the emulator share, and how it starts.

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

use crate::cache::CachePort;
use crate::clock::Clock;
use crate::discovery::{Registry, Service, document};
use crate::error::EmulatorError;
use crate::lock::locked;
use crate::origin::OriginPort;
use crate::port::{addr_of, listen};
use crate::request::{self, Misses};
use crate::{control, faults};

/// Timers wake up to a millisecond late: what is due within it is done now, so that times are right on the whole.
pub(crate) const GRAIN: Micros = 1_000;

/// How a site is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where everything listens: a loopback address.
    pub ip: IpAddr,
    /// Where the control answers; port 0 for any.
    pub control: SocketAddr,
    /// Whether the site's faults are played.
    pub faults: bool,
}

impl Default for Options {
    fn default() -> Options {
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        Options { ip, control: SocketAddr::new(ip, 0), faults: true }
    }
}

/// One cache server, under its id for good: a successor is another.
pub(crate) struct Server {
    pub number: usize,
    /// Its zone, by number, and which group of the site it is of.
    pub zone: usize,
    pub group: usize,
    pub port: CachePort,
}

/// All that the parts share.
pub(crate) struct World {
    pub site: Site,
    pub ip: IpAddr,
    pub clock: Clock,
    pub judge: Mutex<RuleChecker>,
    pub network: Mutex<Network>,
    /// Servers by their numbers; those that have gone stay in their place.
    pub servers: RwLock<Vec<Arc<Server>>>,
    pub origin: OriginPort,
    pub discovery: Arc<Service>,
    pub misses: Misses,
    /// Zones cut off from the others now.
    pub cut_off: Mutex<BTreeMap<usize, Micros>>,
    pub stop: CancellationToken,
    /// Whether latencies between zones are played.
    distant: bool,
    pub open_connections: AtomicUsize,
    any_cut: AtomicBool,
}

impl World {
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        self.clock.instant(at)
    }

    /// Unix time of a moment, in ms.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        self.clock.unix_ms(at)
    }

    pub fn judge(&self) -> MutexGuard<'_, RuleChecker> {
        locked(&self.judge)
    }

    pub fn server(&self, number: usize) -> Option<Arc<Server>> {
        self.servers.read().unwrap_or_else(PoisonError::into_inner).get(number).cloned()
    }

    pub fn all_servers(&self) -> Vec<Arc<Server>> {
        self.servers.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The zone in which a node stands.
    pub fn node_zone(&self, node: usize) -> usize {
        node % self.site.network.zones.len().max(1)
    }

    /// Waits as long as a message from a node to a zone is on its way.
    pub async fn travel(&self, node: usize, zone: usize) {
        if self.distant {
            let way = locked(&self.network).one_way(self.node_zone(node), zone);
            tokio::time::sleep(Duration::from_micros(way)).await;
        }
    }

    /// Whether nothing passes between a node and a zone now.
    pub fn is_cut(&self, node: usize, zone: usize) -> bool {
        if !self.any_cut.load(Ordering::Relaxed) {
            return false;
        }
        let (from, now) = (self.node_zone(node), self.now());
        let cut = locked(&self.cut_off);
        let cut = |zone: usize| cut.get(&zone).is_some_and(|&until| now < until);
        from != zone && (cut(from) || cut(zone))
    }

    pub fn cut(&self, zone: usize, until: Micros) {
        let mut cut = locked(&self.cut_off);
        let of = cut.entry(zone).or_default();
        *of = until.max(*of);
        drop(cut);
        self.any_cut.store(true, Ordering::Relaxed);
    }

    /// Discovery will come to know how a server stands.
    pub fn note(&self, server: usize, state: State, started: Micros) {
        self.discovery.note(Listed { server, state, started });
    }

    /// Servers that run at the start hold what they were asked for before, the most popular longest used.
    fn hold_popular(&self) {
        let keys = &self.site.keys;
        let held = (keys.count.get() as f64 * keys.prewarmed.get()) as u64;
        let now = self.now();
        for rank in (1..=held).rev() {
            let key = request::key(rank % keys.count.get() as u64);
            let size = request::size(&self.site, &key);
            self.all_servers()
                .iter()
                .for_each(|server| server.port.with(|model, _| model.prewarm(now, &key, size)));
        }
    }

    /// Starts a server that nobody has known before; `cold` if it is a successor.
    pub async fn add_server(
        self: &Arc<Self>,
        group: usize,
        zone: usize,
        cold: bool,
    ) -> Result<Arc<Server>, EmulatorError> {
        let number = self.all_servers().len();
        let now = self.now();
        let mut model = Cache::new(
            &self.site.caches[group],
            &self.site.rules,
            self.site.seed.get() as u64,
            number as u64,
            now,
        );
        if cold {
            model.start(now);
        }
        let port = CachePort::open(self.ip, self.site.nodes.get(), model).await?;
        let server = Arc::new(Server { number, zone, group, port });
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
        let started = if listed.started == 0 { 0 } else { self.unix_ms(listed.started) };
        Some(
            json!({"id": server.id(), "addr": server.port.addr(node)?, "zone": self.site.network.zones.get(server.zone)?,
            "kind": self.site.caches[server.group].kind, "cell": server.number / 4, "state": state, "weight": 1.0,
            "started_ms": started}),
        )
    }

    fn standing(&self, node: usize) -> Vec<Value> {
        vec![json!({"id": "origin", "addr": self.origin.addr(node), "zone": "", "kind": "origin", "cell": 0,
            "state": "SERVING", "weight": 1.0, "started_ms": 0})]
    }

    /// The judge takes note.
    fn telling(&self, node: usize, listing: &mut Listing) {
        let now = self.now();
        let mut judge = self.judge();
        let serving = |l: &&Listed| l.state == State::Serving;
        if listing.full {
            let up: Vec<usize> = listing.servers.iter().filter(serving).map(|l| l.server).collect();
            judge.server_list_notified(now, node, &up, self.all_servers().len());
        } else {
            listing
                .servers
                .iter()
                .for_each(|l| judge.server_notified(now, node, l.server, l.state == State::Serving));
        }
    }
}

/// A site at play. Dropped, it ends, and nothing of it is left.
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
    /// If an address can't be listened at; nothing is left of what had started.
    pub async fn start(site: Site, options: Options) -> Result<Emulator, EmulatorError> {
        if let Some(ip) = [options.ip, options.control.ip()].into_iter().find(|ip| !ip.is_loopback()) {
            return Err(EmulatorError::NotLoopback(ip));
        }
        let stop = CancellationToken::new();
        let guard = stop.clone().drop_guard();
        let (seed, nodes) = (site.seed.get() as u64, site.nodes.get());
        let control = listen(options.control).await?;
        let origin = OriginPort::open(options.ip, nodes, &site).await?;
        let mut discoveries = Vec::with_capacity(nodes);
        for _ in 0..nodes {
            discoveries.push(listen(SocketAddr::new(options.ip, 0)).await?);
        }
        let network = &site.network;
        let clock = Clock::start();
        let known = 0..site.cache_count();
        let service = Service::new(&site.discovery, seed, known, nodes, clock, stop.clone());
        let distant = network.same_zone.us() > 0 || network.cross_zone[1].us() > 0;
        let world = Arc::new(World {
            ip: options.ip,
            clock,
            judge: Mutex::new(RuleChecker::new(&site.rules)),
            network: Mutex::new(Network::new(&site.network, seed)),
            servers: RwLock::default(),
            origin,
            discovery: Arc::new(service),
            misses: Misses::default(),
            cut_off: Mutex::default(),
            stop,
            distant,
            open_connections: AtomicUsize::new(0),
            any_cut: AtomicBool::new(false),
            site,
        });
        let mut number = 0;
        for (group, kind) in world.site.caches.iter().enumerate() {
            for _ in 0..kind.count.get() {
                world.add_server(group, number % world.site.network.zones.len().max(1), false).await?;
                number += 1;
            }
        }
        world.hold_popular();
        world.origin.serve(&world);
        let discovery = discoveries.iter().map(addr_of).collect();
        world.discovery.serve(discoveries, world.clone());
        let control_addr = addr_of(&control);
        control::serve(&world, control);
        if options.faults {
            faults::play(&world);
        }
        Ok(Emulator { world, control: control_addr, discovery, _stop: guard })
    }

    /// Where the control answers.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Where discovery answers a node.
    pub fn discovery(&self, node: usize) -> Option<SocketAddr> {
        self.discovery.get(node).copied()
    }

    /// The site that is played.
    pub fn site(&self) -> &Site {
        &self.world.site
    }

    /// The list as a node would be told it now: what it starts with.
    pub fn known(&self, node: usize) -> serde_json::Value {
        document(&*self.world, node, &self.world.discovery.listing())
    }

    /// The zone in which a node stands, by name.
    pub fn zone_of(&self, node: usize) -> &str {
        let zone = self.world.node_zone(node);
        self.world.site.network.zones.get(zone).map_or("", |name| name)
    }

    /// A node has started anew, and knows nothing of what it was told before.
    pub fn node_restarted(&self, node: usize) {
        self.world.judge().node_restarted(node);
    }

    /// Makes something go wrong now.
    ///
    /// # Errors
    /// The field that can't be used, and why.
    pub fn fault(&self, fault: &Fault) -> Result<(), CheckError> {
        faults::begin(&self.world, fault)
    }

    /// What the judge has found so far.
    pub fn verdict(&self) -> Verdict {
        self.world.judge().verdict()
    }

    /// The first requests that nodes sent to a server after its grace period.
    pub fn late_sends(&self) -> Vec<LateSend> {
        self.world.judge().late_sends().to_vec()
    }

    /// Microseconds since the start.
    pub fn now(&self) -> Micros {
        self.world.now()
    }

    /// Fetches that the origin has in hand.
    pub fn origin_in_hand(&self) -> usize {
        self.world.origin.in_hand()
    }

    /// Fetches sent to the origin so far.
    pub fn origin_fetches(&self) -> u64 {
        self.world.origin.fetches()
    }

    /// Reads that caches answered so far: with the value, and that they lack it.
    pub fn hits_and_misses(&self) -> (u64, u64) {
        self.world.all_servers().iter().fold((0, 0), |(hits, misses), server| {
            let (h, m) = server.port.hits_and_misses();
            (hits + h, misses + m)
        })
    }
}
