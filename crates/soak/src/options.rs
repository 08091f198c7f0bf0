//! The parameters of a run.

use std::path::PathBuf;
use std::time::Duration;

/// Parameters of one run.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// The program that runs a node.
    pub program: PathBuf,
    /// The preloaded library that injects faults into the program's system calls.
    pub library: PathBuf,
    /// Seed of the fault schedule, the emulated site and the system call faults.
    pub seed: u64,
    /// Number of node processes.
    pub nodes: u32,
    /// How long load is generated; faults begin in the first three quarters of this time.
    pub duration: Duration,
    /// Requests per second over all clients.
    pub rate: f64,
    /// Directory for the nodes' logs, written at level trace; none are kept without it.
    pub logs: Option<PathBuf>,
}
