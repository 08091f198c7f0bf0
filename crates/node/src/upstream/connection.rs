//! A connection to a server, whatever it speaks.

use std::io;
use std::net::SocketAddr;

use stonefold_net::Socket;

use super::{caches, origin};

/// A connection to a server, between requests.
pub enum Connection {
    Cache(caches::Connection),
    Origin(origin::Connection),
}

impl Connection {
    /// Connects to a cache, or to the origin.
    pub async fn open(addr: SocketAddr, origin: bool) -> io::Result<Connection> {
        let stream = Socket::connect(addr).await?;
        Ok(match origin {
            false => Connection::Cache(caches::Connection::new(stream)),
            true => Connection::Origin(origin::Connection::new(stream).await?),
        })
    }

    /// Whether the server has said something unasked, as far as that can be told: of the origin it shows as a close.
    pub fn has_unasked(&self) -> bool {
        match self {
            Connection::Cache(connection) => connection.has_unasked(),
            Connection::Origin(_) => false,
        }
    }

    /// Whether the server has left it open and said nothing unasked.
    pub fn is_live(&self) -> bool {
        match self {
            Connection::Cache(connection) => connection.is_live(),
            Connection::Origin(connection) => connection.is_live(),
        }
    }
}
