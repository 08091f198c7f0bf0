//! A connection to a cache server or to the origin.

use std::io;
use std::net::SocketAddr;

use stonefold_net::Socket;

use super::cache_connection::CacheConnection;
use super::origin_connection::OriginConnection;
use super::reply_identity::LastExchange;

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

    /// Whether the server has sent bytes that no request asked for. Mostly false for the origin, since its HTTP library
    /// reads such bytes at once and closes the connection.
    pub(crate) fn has_unsolicited_bytes(&self) -> bool {
        match self {
            ServerConnection::Cache(connection) => connection.has_unsolicited_bytes(),
            ServerConnection::Origin(connection) => connection.has_unsolicited_bytes(),
        }
    }

    /// Whether the connection is open and the server has sent nothing unsolicited.
    pub(crate) fn is_reusable(&self) -> bool {
        match self {
            ServerConnection::Cache(connection) => connection.is_reusable(),
            ServerConnection::Origin(connection) => connection.is_reusable(),
        }
    }

    /// The last request on the connection and its reply, unless no copy of the reply can arrive any more.
    pub(crate) fn last_exchange(&self) -> Option<&LastExchange> {
        match self {
            ServerConnection::Cache(connection) => connection.last_exchange(),
            ServerConnection::Origin(connection) => connection.last_exchange(),
        }
    }

    /// Forgets the last exchange, once no copy of its reply can arrive any more.
    pub(crate) fn forget_last_exchange(&mut self) {
        match self {
            ServerConnection::Cache(connection) => connection.forget_last_exchange(),
            ServerConnection::Origin(connection) => connection.forget_last_exchange(),
        }
    }

    /// Acknowledges what was received at once. A server without `TCP_NODELAY` holds a second copy of a reply back until
    /// the reply is acknowledged, which would be after the time for which the connection stays idle.
    pub(crate) fn acknowledge_now(&self) {
        match self {
            ServerConnection::Cache(connection) => connection.acknowledge_now(),
            ServerConnection::Origin(connection) => connection.acknowledge_now(),
        }
    }
}
