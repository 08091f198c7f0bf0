//! Connections to servers, and the attempts made on them.

pub(crate) mod attempt;
mod cache_connection;
mod cache_protocol;
pub(crate) mod connection;
pub(crate) mod directory;
mod last_write;
mod origin_connection;
mod origin_response;
mod reply_buffer;
mod reply_history;
pub(crate) mod reply_identity;
pub(crate) mod send_permit;
pub(crate) mod start_times;
