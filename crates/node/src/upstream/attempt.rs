//! A single attempt at a server: connects if necessary, sends the request and reads the reply.

use std::sync::Arc;
use std::time::Duration;

use stonefold_balancer::Outcome;
use stonefold_net::SocketErrorKind;
use tokio::time::{Instant, timeout};

use super::connection::ServerConnection;
use super::directory::Target;
use super::reply_identity::RequestIdentity;
use crate::memory_budget::BufferedValue;
use crate::metrics::Metrics;
use crate::relay::RelayContext;
use crate::request::ClientRequest;

#[cfg(test)]
mod tests;

/// How an attempt ended.
pub(crate) struct AttemptResult {
    /// The outcome that is reported to the balancer.
    pub(crate) outcome: Outcome,
    /// The value to serve after `Outcome::Success`, unless it was relayed as a stream.
    pub(crate) value: BufferedValue,
    /// Whether the cache had the value, if the reply says so.
    pub(crate) cache_hit: Option<bool>,
}

impl AttemptResult {
    /// A result without a value.
    pub(crate) fn of(outcome: Outcome) -> Self {
        AttemptResult { outcome, value: BufferedValue::default(), cache_hit: None }
    }
}

/// An attempt that is to be made.
pub(crate) struct Attempt {
    /// The server, and the permit to send to it.
    pub(crate) target: Target,
    /// An idle connection to the server, if there is one.
    pub(crate) pooled: Option<ServerConnection>,
    /// The request.
    pub(crate) request: Arc<ClientRequest>,
    pub(crate) identity: RequestIdentity,
    /// When the attempt's time is over. The request states the time left until then to the server.
    pub(crate) deadline: Instant,
    /// How long to wait for a new connection.
    pub(crate) connect_timeout: Duration,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) relay: RelayContext,
}

impl Attempt {
    /// Makes the attempt. Also returns the connection if another request may use it.
    ///
    /// # Cancel safety
    ///
    /// Cancelling closes the connection. The server may have received the request.
    pub(crate) async fn run(self) -> (AttemptResult, Option<ServerConnection>) {
        let Attempt { target, pooled, request, identity, deadline, connect_timeout, metrics, relay } = self;
        let connection = match pooled {
            Some(connection) => connection,
            None => match connect(&target, connect_timeout).await {
                Ok(connection) => {
                    metrics.opened_connections.increment();
                    connection
                }
                Err(outcome) => return (AttemptResult::of(outcome), None),
            },
        };
        match connection {
            ServerConnection::Cache(connection) => {
                let (result, connection) =
                    connection.request(&request, identity, deadline, target.permit, &metrics, relay).await;
                (result, connection.map(ServerConnection::Cache))
            }
            ServerConnection::Origin(connection) => {
                let (result, connection) =
                    connection.request(&request, identity, deadline, target, &metrics, relay).await;
                (result, connection.map(ServerConnection::Origin))
            }
        }
    }
}

/// Opens a connection. An error is the outcome of the attempt.
async fn connect(target: &Target, connect_timeout: Duration) -> Result<ServerConnection, Outcome> {
    match timeout(connect_timeout, ServerConnection::open(target.addr, target.origin)).await {
        Ok(Ok(connection)) => Ok(connection),
        // This machine lacks a resource; the server is not at fault.
        Ok(Err(error)) if SocketErrorKind::of(&error).is_local() => Err(Outcome::NotSent),
        Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
    }
}
