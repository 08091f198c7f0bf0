//! Models of what stands round a node: cache servers, the origin, discovery, the network, clients, and a judge of
//! what a node may not do.
//!
//! All are state machines in virtual time: a call carries the time, nothing reads a clock, every random choice
//! comes from a seed. The emulator drives them behind real sockets, the laboratory in virtual time.
//!
//! What a server does next is asked for with `next_event` and done by `advance`.
#![allow(unreachable_pub, clippy::pedantic, rustdoc::all)] // not yet at the workspace's standard

mod cache;
mod clients;
mod discovery;
mod judge;
mod network;
mod origin;
mod random;
mod retry;
pub mod site;
mod store;
mod window;

pub use cache::{Cache, Done, End, Job, JobId, Refusal, Report, Work};
pub use clients::{Ask, Clients};
pub use discovery::{Discovery, Listed, Listing, State};
pub use judge::{Answer, Judge, Verdict};
pub use network::Network;
pub use origin::{Fetch, Fetched, Origin, Spell};
pub use random::Random;
pub use retry::Retries;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
