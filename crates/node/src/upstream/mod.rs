//! The servers: their connections, and attempts at them.

pub mod attempt;
mod caches;
pub mod connection;
pub mod directory;
pub mod leave;
mod origin;
pub mod reply;
