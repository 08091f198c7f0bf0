//! Models of the environment of a node: cache servers, the origin, discovery, the network, clients, and a checker
//! of the rules that a node must keep.
//!
//! All are state machines in virtual time: each call carries the current time, no model reads a clock, and every
//! random choice comes from a seed. The emulator drives the models behind real sockets.
//!
//! `next_event` returns the time of a model's next event, and `advance` processes all events up to a time.

mod cache;
mod clients;
mod discovery;
mod network;
mod origin;
mod random;
mod retry;
mod rule_checker;
pub mod site;
mod store;
mod window;

pub use cache::{Cache, Completion, Job, JobId, LoadReport, Outcome, Rejection, Work};
pub use clients::{ClientRequest, Clients};
pub use discovery::{Discovery, Listed, Listing, State};
pub use network::Network;
pub use origin::{Fetch, FetchCompletion, Origin, Outage};
pub use random::Random;
pub use retry::Retries;
pub use rule_checker::{Answer, LateSend, RuleChecker, Verdict};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
