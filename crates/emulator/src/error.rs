//! Why a site can't be played.

use std::io;
use std::net::{IpAddr, SocketAddr};

/// Why a site can't be played.
#[derive(Debug, thiserror::Error)]
pub enum EmulatorError {
    /// An address is taken, or can't be listened at.
    #[error("cannot listen at {at}: {source}")]
    Listen {
        /// The address.
        at: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// Something else than loopback.
    #[error("{0} is no loopback address: the emulator listens on loopback alone")]
    NotLoopback(IpAddr),
}
