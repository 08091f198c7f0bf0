//! What all parts of the emulator share, and how it starts.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use stonefold_config::Wrong;
use stonefold_model::site::{Fault, Site};
use stonefold_model::{Cache, Discovery, Judge, Micros, Network, State, Verdict};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::cache::CachePort;
use crate::origin::OriginPort;
use crate::request::{self, Misses};
use crate::{control, discovery, faults};

/// Guards a lock's data even after a panic elsewhere: what is in it is still true.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

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

/// Why a site can't be played.
#[derive(Debug, thiserror::Error)]
pub enum EmulatorError {
    /// An address is taken, or can't be listened at.
    #[error("cannot listen at {at}: {source}")]
    Listen {
        /// The address.
        at: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// Something else than loopback.
    #[error("{0} is no loopback address: the emulator listens on loopback alone")]
    NotLoopback(IpAddr),
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
    start: Instant,
    /// Unix time at the start.
    epoch: Duration,
    pub judge: Mutex<Judge>,
    pub network: Mutex<Network>,
    /// Servers by their numbers; those that have gone stay in their place.
    pub servers: RwLock<Vec<Arc<Server>>>,
    pub origin: OriginPort,
    pub discovery: Mutex<Discovery>,
    /// The version of the list that discovery knows.
    pub version: watch::Sender<u64>,
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
        self.start.elapsed().as_micros() as Micros
    }

    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + Duration::from_micros(at))
    }

    /// Unix time of a moment, in ms.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        (self.epoch + Duration::from_micros(at)).as_millis() as u64
    }

    pub fn judge(&self) -> MutexGuard<'_, Judge> {
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
        locked(&self.discovery).note(self.now(), stonefold_model::Listed { server, state, started });
        self.version.send_modify(|_| {}); // wakes the one who waits for discovery's next event
    }

    /// Servers that run at the start hold what they were asked for before, the most popular longest used.
    fn hold_popular(&self) {
        let keys = &self.site.keys;
        let held = (keys.count.get() as f64 * keys.held.get()) as u64;
        let now = self.now();
        for rank in (1..=held).rev() {
            let key = request::key(rank % keys.count.get() as u64);
            let size = request::size(&self.site, &key);
            self.all_servers()
                .iter()
                .for_each(|server| server.port.with(|model, _| model.hold(now, &key, size)));
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
        let distant = network.same_zone.us() > 0 || network.cross_zone[1].us() > 0;
        let world = Arc::new(World {
            ip: options.ip,
            start: Instant::now(),
            epoch: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            judge: Mutex::new(Judge::new(&site.rules)),
            network: Mutex::new(Network::new(&site.network, seed)),
            servers: RwLock::default(),
            origin,
            discovery: Mutex::new(Discovery::new(&site.discovery, seed, 0..site.cache_count())),
            version: watch::channel(1).0,
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
        discovery::serve(&world, discoveries);
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
        discovery::known(&self.world, node)
    }

    /// The zone in which a node stands, by name.
    pub fn zone_of(&self, node: usize) -> &str {
        let zone = self.world.node_zone(node);
        self.world.site.network.zones.get(zone).map_or("", |name| name)
    }

    /// A node has started anew, and knows nothing of what it was told before.
    pub fn node_restarted(&self, node: usize) {
        self.world.judge().restarted(node);
    }

    /// Makes something go wrong now.
    ///
    /// # Errors
    /// The field that can't be used, and why.
    pub fn fault(&self, fault: &Fault) -> Result<(), Wrong> {
        faults::begin(&self.world, fault)
    }

    /// What the judge has found so far.
    pub fn verdict(&self) -> Verdict {
        self.world.judge().verdict()
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

/// Listens at an address.
pub(crate) async fn listen(at: SocketAddr) -> Result<TcpListener, EmulatorError> {
    TcpListener::bind(at).await.map_err(|source| EmulatorError::Listen { at, source })
}

pub(crate) fn addr_of(listener: &TcpListener) -> SocketAddr {
    // A bound listener has an address; were it gone, nothing could be told apart from this.
    listener.local_addr().unwrap_or_else(|_| SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0))
}
