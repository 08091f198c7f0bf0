//! Randomized faults on many real node processes in front of an emulated site, checked against the protocol's rules.
//!
//! A seed determines a [schedule] of faults that overlap in time. Node processes are paused, killed, and terminated and
//! reloaded by series of signals; their system calls fail and their wall clock jumps. Cache servers, the origin and
//! discovery fail too. The [`Report`] of a seed combines three sources: the emulator's verdict, which observes each
//! request from outside, the [invariant violations](violations) that the nodes count themselves, and how the processes
//! exited.

mod admin;
mod error;
mod fleet;
mod idle_clients;
mod injection;
mod log_tail;
mod options;
mod ports;
mod process;
mod report;
mod run;
pub mod schedule;
mod site;
pub mod violations;

pub use error::SoakError;
pub use options::SoakOptions;
pub use report::{ProcessFault, Report};
pub use run::run;
