//! The formats of the data on the node's connections. This crate turns bytes into typed messages and uses no sockets.

pub mod endpoints;
pub mod metadata;
pub mod resp;
