//! The errors of starting an emulator.

use std::io;
use std::net::{IpAddr, SocketAddr};

/// Why an emulator did not start.
#[derive(Debug, thiserror::Error)]
pub enum EmulatorError {
    /// The emulator can't listen at an address, for example because the address is in use.
    #[error("cannot listen at {at}: {source}")]
    Listen {
        /// The address.
        at: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// An address is not a loopback address.
    #[error("{0} is not a loopback address: the emulator listens on loopback only")]
    NotLoopback(IpAddr),
}
