//! The settings of a balancer.

use stonefold_allotment::SlowStart;

use super::Micros;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It has an idempotency key, by which the servers within a [`DeduplicationScope`] discard its repeats for a time.
    Keyed {
        /// Which servers discard repeats.
        scope: DeduplicationScope,
        /// For how long they do, from the first attempt that may have run.
        window: Micros,
    },
    /// It must not run twice.
    NonIdempotent,
}

/// Which servers discard the repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// Those in the same zone as the server of the first attempt.
    Zone,
    /// Those in the same cell as the server of the first attempt ([`Endpoint::cell`](super::Endpoint::cell)).
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The response time within which a response has its full value.
    pub latency_objective: Micros,
    /// Priority of a request in comparison with those of other classes.
    pub priority_weight: f64,
    /// Whether a request of the class may run more than once.
    pub idempotency: Idempotency,
}

/// How a value that a cache doesn't have is fetched from the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheMode {
    /// Cache-aside: a cache answers [`Outcome::CacheMiss`](super::Outcome::CacheMiss), and the node fetches it from the
    /// origin, which is an endpoint of the list.
    Aside,
    /// Read-through and write-through: the cache fetches the value by itself; writes may go to any cache.
    Through,
}

/// The settings of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes, by the index that [`Request::class`](super::Request::class) uses.
    pub classes: Vec<RequestClass>,
    /// Each tenant's quota of the service, 0 to 1, by the index that [`Request::tenant`](super::Request::tenant) uses.
    pub tenant_quotas: Vec<f64>,
    /// Factor on the priority weight of a request whose tenant exceeds its quota.
    pub over_quota_weight: f64,
    /// How values that a cache doesn't have are fetched.
    pub cache_mode: CacheMode,
    /// Whether the endpoint list must be watched rather than polled.
    pub watch_required: bool,
    /// Without a watch, the endpoint list must be polled at least this often.
    pub max_poll_interval: Micros,
    /// Whether the weights in the endpoint list ([`Endpoint::weight`](super::Endpoint::weight)) are the lasting sizes
    /// of the servers. If not, the balancer ignores them.
    pub static_weights: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// The largest number of attempts per request.
    pub max_attempts: usize,
    /// The longest Retry-After that clients honour; 0 if they honour none.
    pub max_retry_after: Micros,
    /// The duration of slow start: a server is warm when it has run for this time.
    pub slow_start_duration: Micros,
    /// The smallest fraction of its capacity that a server has after a start, 0 to 1.
    pub initial_capacity: f64,
    /// A server in slow start is overloaded when it is sent this multiple of its present capacity within
    /// [`overload_window`](Self::overload_window).
    pub overload_factor: f64,
    /// The length of the window in which a server in slow start can be overloaded.
    pub overload_window: Micros,
    /// The least time between two events. Requests that wait are answered this long before their deadline.
    pub timer_granularity: Micros,
    /// Number of nodes that send to these servers, including this one.
    pub node_count: usize,
    /// The index of this node among them, from 0. Where it is `None` or out of range, the quotas of a server in slow
    /// start add up to its budget only on average.
    pub node_index: Option<usize>,
    /// Servers close idle connections after this time.
    pub idle_timeout: Micros,
    /// The zone of this node, comparable with [`Endpoint::zone`](super::Endpoint::zone).
    pub zone: Option<u32>,
    /// What an attempt at another zone costs, as a fraction of the value of the service.
    pub cross_zone_cost: f64,
}

/// [`Settings::max_poll_interval`] of the default settings.
const DEFAULT_MAX_POLL_INTERVAL: Micros = 10_000_000;
/// [`Settings::max_attempts`] of the default settings.
const DEFAULT_MAX_ATTEMPTS: usize = 4;
/// [`Settings::overload_factor`] of the default settings.
const DEFAULT_OVERLOAD_FACTOR: f64 = 3.0;
/// [`Settings::overload_window`] of the default settings.
const DEFAULT_OVERLOAD_WINDOW: Micros = 1_000_000;
/// [`Settings::timer_granularity`] of the default settings.
const DEFAULT_TIMER_GRANULARITY: Micros = 1_000;
/// [`Settings::idle_timeout`] of the default settings.
const DEFAULT_IDLE_TIMEOUT: Micros = 60_000_000;

impl Default for Settings {
    /// Settings without classes, tenants and slow start, where the caches fetch values by themselves.
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
    /// The parameters of slow start.
    pub fn slow_start(&self) -> SlowStart {
        SlowStart {
            duration: self.slow_start_duration,
            initial_capacity: self.initial_capacity,
            overload_factor: self.overload_factor,
            overload_window: self.overload_window,
        }
    }

    /// Whether a request may run more than once. Without a known class, a read is idempotent and a write is not.
    pub fn idempotency(&self, class: Option<usize>, is_write: bool) -> Idempotency {
        let unclassified = if is_write { Idempotency::NonIdempotent } else { Idempotency::Idempotent };
        let class = class.and_then(|class| self.classes.get(class));
        class.map_or(unclassified, |class| class.idempotency)
    }
}
