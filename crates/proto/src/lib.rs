//! The formats of the node's connections: bytes in, typed messages out, without sockets.

pub mod endpoints;
pub mod metadata;
pub mod resp;
