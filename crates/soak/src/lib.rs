//! Randomized faults on many real node processes before an emulated site, judged by the rules that every request keeps.
//!
//! A seed gives a [schedule] of faults that overlap in time: processes that stall, end, are killed, reload, whose system
//! calls fail and whose wall clock steps; servers, origin and discovery that fail. The [oracle] is the emulator's judge,
//! which sees each request from outside, the invariants that the nodes count themselves, and how processes end.
#![allow(unreachable_pub, clippy::pedantic, rustdoc::all)] // not yet at the workspace's standard

pub mod oracle;
mod player;
mod process;
pub mod schedule;

use std::path::PathBuf;
use std::time::Duration;

pub use oracle::Report;
pub use player::play;

/// What is played.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program that runs a node.
    pub program: PathBuf,
    /// The library that makes its system calls fail.
    pub library: PathBuf,
    /// All that is drawn follows from it.
    pub seed: u64,
    /// How many node processes.
    pub nodes: u32,
    /// How long the load lasts; faults begin in its first three quarters.
    pub lasts: Duration,
    /// Requests a second of all clients.
    pub rate: f64,
}

/// Why a soak could not be played.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The site does not start.
    #[error("the emulated site: {0}")]
    Site(#[from] stonefold_emulator::EmulatorError),
    /// The built-in site, or a node's configuration, is no good.
    #[error("configuration: {0}")]
    Configuration(String),
    /// A file, a process or a connection of the soak's own.
    #[error("{what}: {error}")]
    Io {
        /// What was to be done.
        what: &'static str,
        /// Why it could not.
        error: std::io::Error,
    },
}

impl SoakError {
    /// Names what was to be done when an error came.
    fn io(what: &'static str) -> impl FnOnce(std::io::Error) -> SoakError {
        move |error| SoakError::Io { what, error }
    }
}
