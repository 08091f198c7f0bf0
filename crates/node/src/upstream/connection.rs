//! A connection to a cache server or to the origin.

use std::io;
use std::net::SocketAddr;

use stonefold_net::Socket;

use super::cache_connection::CacheConnection;
use super::origin_connection::OriginConnection;

/// A connection to a server, between requests.
pub(crate) enum ServerConnection {
    Cache(CacheConnection),
    Origin(OriginConnection),
}

impl ServerConnection {
    /// Connects to a cache server, or to the origin.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened.
    pub(crate) async fn open(addr: SocketAddr, origin: bool) -> io::Result<ServerConnection> {
        let socket = Socket::connect(addr).await?;
        if origin {
            Ok(ServerConnection::Origin(OriginConnection::new(socket).await?))
        } else {
            Ok(ServerConnection::Cache(CacheConnection::new(socket)))
        }
    }

    /// Whether the server has sent bytes that no request asked for. For the origin this is always false: its HTTP
    /// library closes a connection with such bytes.
    pub(crate) fn has_unsolicited_bytes(&self) -> bool {
        match self {
            ServerConnection::Cache(connection) => connection.has_unsolicited_bytes(),
            ServerConnection::Origin(_) => false,
        }
    }

    /// Whether the connection is open and the server has sent nothing unsolicited.
    pub(crate) fn is_reusable(&self) -> bool {
        match self {
            ServerConnection::Cache(connection) => connection.is_reusable(),
            ServerConnection::Origin(connection) => connection.is_reusable(),
        }
    }
}
