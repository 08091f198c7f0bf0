//! A node on real sockets: carries out the decisions of the balancer, and reports to it what happens.
//!
//! `run` starts the parts of the node and shuts them down. A session of `clients` reads a command and sends it as a
//! `message` to the `driver`, the task that owns the balancer. The driver starts attempts at servers (`upstream`), and
//! large values pass from there to the session through `relay`. `discovery` follows the endpoint list, `overrides`
//! follows which servers operators have disabled, and `reload` follows the configuration. `operator` answers operators
//! on a thread of its own.

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
mod memory_budget;
mod message;
mod metrics;
mod operator;
pub mod overrides;
mod relay;
mod reload;
mod reply_turn;
mod request;
mod run;
pub mod shared;
mod shutdown;
mod stall;
mod transient;
mod upstream;
mod write_ids;
mod write_progress;

pub use run::run;
