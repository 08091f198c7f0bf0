//! What a balancer is configured with.

use stonefold_allotment::SlowStart;

use super::Micros;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated freely.
    Idempotent,
    /// Carries an idempotency key: the servers of one [`DeduplicationScope`] discard its repeats for a time.
    Keyed {
        /// Which servers discard repeats.
        scope: DeduplicationScope,
        /// For how long after the first send that may have run.
        window: Micros,
    },
    /// Must not run twice.
    NonIdempotent,
}

/// Which servers discard the repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those in the zone of the first.
    Zone,
    /// Those in the cell of the first ([`Endpoint::cell`](super::Endpoint::cell)).
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Responses within this time count in full.
    pub latency_objective: Micros,
    /// Priority of one response in comparison with those of other classes.
    pub priority_weight: f64,
    /// Whether a request of the class may run more than once.
    pub idempotency: Idempotency,
}

/// How a value that no cache holds is fetched from the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheMode {
    /// Cache-aside: a cache answers [`Outcome::CacheMiss`](super::Outcome::CacheMiss), and the node fetches it from the origin,
    /// which is an endpoint of the list.
    Aside,
    /// Read-through and write-through: the cache fetches by itself; writes go through any cache.
    Through,
}

/// The settings of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes, by the index that [`Request::class`](super::Request::class) uses.
    pub classes: Vec<RequestClass>,
    /// Each tenant's quota of the service, 0 to 1, by the index that [`Request::tenant`](super::Request::tenant) uses.
    pub tenant_quotas: Vec<f64>,
    /// Priority weight of a request beyond its tenant's quota, as a fraction of its class's.
    pub over_quota_weight: f64,
    /// How missing values are fetched.
    pub cache_mode: CacheMode,
    /// Whether the endpoint list must be watched.
    pub watch_required: bool,
    /// Without a watch, the endpoint list must be polled at least this often.
    pub max_poll_interval: Micros,
    /// Whether [`Endpoint::weight`](super::Endpoint::weight) is a steady size (if not, it is not used).
    pub static_weights: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// Most attempts per request.
    pub max_attempts: usize,
    /// Longest Retry-After that a client honours; 0 if none does.
    pub max_retry_after: Micros,
    /// A started server has warmed up after this time.
    pub slow_start_duration: Micros,
    /// A started server has at least this fraction of its capacity.
    pub initial_capacity: f64,
    /// A server that warms up is overloaded if sent this multiple of its capacity...
    pub overload_factor: f64,
    /// ...over a window of this length.
    pub overload_window: Micros,
    /// The least time between events; queued requests are answered this much before their deadline.
    pub timer_granularity: Micros,
    /// Nodes that send to these servers, this one included.
    pub node_count: usize,
    /// Which of them this one is, from 0. Without it, or out of range, the quotas that nodes take of servers in slow
    /// start add up on average only.
    pub node_index: Option<usize>,
    /// Servers close idle connections after this time.
    pub idle_timeout: Micros,
    /// The zone of this node, comparable with [`Endpoint::zone`](super::Endpoint::zone).
    pub zone: Option<u32>,
    /// What an attempt at another zone costs, as a fraction of the value of the service.
    pub cross_zone_cost: f64,
}

/// [`Settings::max_poll_interval`] where none is stated.
const DEFAULT_MAX_POLL_INTERVAL: Micros = 10_000_000;
/// [`Settings::max_attempts`] where none is stated.
const DEFAULT_MAX_ATTEMPTS: usize = 4;
/// [`Settings::overload_factor`] where none is stated.
const DEFAULT_OVERLOAD_FACTOR: f64 = 3.0;
/// [`Settings::overload_window`] of the default settings.
const DEFAULT_OVERLOAD_WINDOW: Micros = 1_000_000;
/// [`Settings::timer_granularity`] of the default settings.
const DEFAULT_TIMER_GRANULARITY: Micros = 1_000;
/// [`Settings::idle_timeout`] where none is stated.
const DEFAULT_IDLE_TIMEOUT: Micros = 60_000_000;

impl Default for Settings {
    /// No named classes, values fetched by the caches, no slow start.
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            tenant_quotas: Vec::new(),
            over_quota_weight: 1.0,
            cache_mode: CacheMode::Through,
            watch_required: false,
            max_poll_interval: DEFAULT_MAX_POLL_INTERVAL,
            static_weights: true,
            cancellation: true,
            hedging: true,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            max_retry_after: 0,
            slow_start_duration: 0,
            initial_capacity: 1.0,
            overload_factor: DEFAULT_OVERLOAD_FACTOR,
            overload_window: DEFAULT_OVERLOAD_WINDOW,
            timer_granularity: DEFAULT_TIMER_GRANULARITY,
            node_count: 1,
            node_index: None,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            zone: None,
            cross_zone_cost: 0.0,
        }
    }
}

impl Settings {
    /// How a started server warms up and how much load overloads it until then.
    pub fn slow_start(&self) -> SlowStart {
        SlowStart {
            duration: self.slow_start_duration,
            initial_capacity: self.initial_capacity,
            overload_factor: self.overload_factor,
            overload_window: self.overload_window,
        }
    }

    /// Whether a request may run more than once. A read of an unknown class changes nothing; a write might.
    pub fn idempotency(&self, class: Option<usize>, is_write: bool) -> Idempotency {
        let unclassified = if is_write { Idempotency::NonIdempotent } else { Idempotency::Idempotent };
        let class = class.and_then(|class| self.classes.get(class));
        class.map_or(unclassified, |class| class.idempotency)
    }
}
