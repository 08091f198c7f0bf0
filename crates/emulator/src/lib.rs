//! Emulates a whole site in one process: the model's servers on real loopback sockets, faults on a schedule and on
//! demand, a load generator, and checks of the rules that nodes must keep.
//!
//! Each node reaches every server at an address of its own, so that the emulator knows which node sends a request, the
//! network delay to it, and what discovery has notified it of. See `docs/design/emulator.md`.
#![allow(unreachable_pub, clippy::pedantic, rustdoc::all)] // not yet at the workspace's standard

mod cache;
mod clock;
mod config;
mod control;
mod counted;
pub mod discovery;
mod error;
mod faults;
mod http;
mod links;
mod listeners;
mod load;
mod lock;
mod origin;
mod request;
mod world;

pub use clock::Clock;
pub use error::EmulatorError;
pub use links::{DatagramLinks, LinkCounts, LinkRule};
pub use load::{Load, LoadFigures, LoadSummary};
pub use world::{Emulator, EmulatorOptions};
