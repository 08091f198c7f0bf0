//! Decisions for a proxy that spreads keys over cache servers before a slow origin.
//!
//! A [`Balancer`] takes [`Event`]s and answers with [`Action`]s. It does no I/O, reads no clock
//! and starts no thread: the embedder carries out the actions and passes in the time.
//!
//! ```
//! use stonefold_balancer::{Action, Balancer, Event, EndpointUpdate, Endpoint, Request, RequestId, ServerId, Settings};
//!
//! let mut balancer = Balancer::new(Settings::default(), 7, 0);
//! let mut actions = Vec::new();
//!
//! // The balancer first needs the endpoint list.
//! let endpoints = (1..=4).map(|id| Endpoint::up(ServerId(id))).collect();
//! balancer.on_event(0, Event::Endpoints { update: EndpointUpdate::Full, endpoints }, &mut actions);
//!
//! // A read of one key with a timeout of one second is sent to one cache of the key's candidate set.
//! let read = Request { key: Some("calendar:12".into()), timeout: 1_000_000, ..Request::new(RequestId(1)) };
//! balancer.on_event(10, Event::Request(read), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: RequestId(1), .. })));
//! ```

mod admission_queue;
mod api;
mod attempt_time;
mod balancer;
mod candidate_set;
mod concurrency_limit;
mod congestion;
mod endpoint_updates;
mod hedging;
mod idle_connections;
mod in_flight;
mod latency;
mod load_estimate;
mod machine_types;
mod outlier_detection;
mod overrides;
mod priority;
mod relative_latency;
mod request;
mod retry_after;
mod retry_budget;
mod send_guard;
mod server;
mod server_list;
mod server_selection;
pub mod settings_document;
mod shutdown;
mod single_flight;
mod slow_start;
mod tier;
mod timers;
mod zone_health;

pub use api::{
    Action, AttemptEnd, AttemptId, CacheMode, DeduplicationScope, Endpoint, EndpointState, EndpointUpdate,
    Event, Idempotency, Micros, Outcome, Request, RequestClass, RequestId, ServerId, Settings, TimerToken,
};
pub use balancer::Balancer;
pub use server_list::CacheCounts;
pub use slow_start::WarmUpStatus;

/// The README's example, compiled and run as a test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
