//! A whole site in one process: the model's servers behind real sockets on loopback, faults on a schedule and on
//! demand, a load, and a judge of what the nodes do.
//!
//! Each node reaches every server at an address of its own, so that the emulator knows who asks, how far away it
//! stands, and what it was told. See `docs/design/emulator.md`.
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
mod load;
mod lock;
mod origin;
mod port;
mod request;
mod world;

pub use clock::Clock;
pub use error::EmulatorError;
pub use links::{DatagramLinks, LinkCounts, LinkRule};
pub use load::{Figures, Load, Summary};
pub use world::{Emulator, Options};
