//! The configuration: one typed tree, checked whole before anything acts on it.
//!
//! Layers, the later ones over the earlier: defaults, a TOML file, the environment (`STONEFOLD_NODE__LISTEN` is
//! `node.listen`), flags (`--set node.listen=…`). Every refusal names the place, the key, what would be allowed
//! and the nearest known name. The platform's JSON is another source of the same settings and is read by the node.
#![allow(unreachable_pub, clippy::pedantic, rustdoc::all)] // not yet at the workspace's standard

mod check;
mod error;
mod layers;
mod load;
mod platform;
mod tree;
mod units;

pub use check::{Check, Wrong};
pub use error::{ConfigError, Fault, Place};
pub use layers::{Layers, Origin};
pub use load::{Explained, Loaded, load, schema};
pub use tree::*;
pub use units::{Count, Fine, Millis, Part, Positive, Size};
