//! What goes over the node's connections: bytes in, typed messages out. No sockets.
#![allow(unreachable_pub, clippy::pedantic, rustdoc::all)] // not yet at the workspace's standard

pub mod list;
pub mod resp;
