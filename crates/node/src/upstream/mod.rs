//! The servers: their connections, and attempts at them.

pub mod attempt;
mod caches;
pub mod connection;
pub mod directory;
mod last_write;
mod origin;
pub mod reply;
pub mod send_permit;
pub mod starts;
