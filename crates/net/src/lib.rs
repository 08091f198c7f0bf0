//! The TCP socket type that all connections of the workspace use, and a classification of socket errors.
//!
//! An edge-triggered event loop that treats a short read as "no more data" or a short write as "buffer full" can wait
//! for a readiness event that never arrives, and an interrupted system call must not end a connection. A [`Socket`]
//! therefore reads and writes until a call would block, and repeats interrupted calls.

mod descriptors;
mod error_kind;
mod listener;
mod socket;

pub use descriptors::descriptor_available;
pub use error_kind::SocketErrorKind;
pub use listener::Listener;
pub use socket::Socket;
