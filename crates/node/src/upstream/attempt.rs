//! One attempt at a server: a connection, the request, the answer.

use std::time::Duration;

use stonefold_balancer::Outcome;
use stonefold_net::SocketErrorKind;
use tokio::time::{Instant, timeout};

use super::connection::Connection;
use super::directory::Target;
use super::reply::Reply;
use crate::metrics::Metrics;
use crate::relay::Pass;
use crate::request::ClientRequest;

#[cfg(test)]
mod tests;

/// Makes one attempt, which states the time left until its deadline. The connection comes back if another request
/// may use it.
pub async fn run(
    target: Target,
    pooled: Option<Connection>,
    command: &ClientRequest,
    deadline: Instant,
    connect_timeout: Duration,
    metrics: &Metrics,
    pass: Pass,
) -> (Reply, Option<Connection>) {
    let connection = match pooled {
        Some(connection) => connection,
        None => match timeout(connect_timeout, Connection::open(target.addr, target.origin)).await {
            Ok(Ok(connection)) => connection,
            // The machine is short of something: no fault of the server's.
            Ok(Err(error)) if SocketErrorKind::of(&error).is_local() => {
                return (Reply::of(Outcome::NotSent), None);
            }
            Ok(Err(_)) | Err(_) => return (Reply::of(Outcome::ConnectFailed), None),
        },
    };
    match connection {
        Connection::Cache(connection) => {
            let (reply, connection) = connection.ask(command, deadline, target.permit, metrics, pass).await;
            (reply, connection.map(Connection::Cache))
        }
        Connection::Origin(connection) => {
            let (reply, connection) =
                connection.ask(command, deadline, target.addr, target.permit, metrics, pass).await;
            (reply, connection.map(Connection::Origin))
        }
    }
}
