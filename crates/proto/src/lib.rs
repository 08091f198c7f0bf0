//! What goes over the node's connections: bytes in, typed messages out. No sockets.
#![warn(missing_docs)]

pub mod list;
pub mod resp;
