//! A node on real sockets: carries out what the balancer decides, and reports to it what happens.

mod bind;
mod client_limits;
mod client_status;
mod clients;
pub mod config;
mod counter;
mod discovery;
mod driver;
mod handover;
pub mod hollow;
mod invariants;
pub mod membership;
mod message;
mod metrics;
mod operator;
pub mod overrides;
mod relay;
mod reload;
mod request;
mod run;
pub mod shared;
mod shutdown;
mod stall;
mod transient;
mod upstream;

pub use run::run;
