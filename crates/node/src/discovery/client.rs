//! The HTTP connection to discovery: one request, one endpoint list.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use stonefold_net::Socket;
use stonefold_proto::endpoints::EndpointList;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use super::poll_schedule::{BODY_TIMEOUT, CONNECT_TIMEOUT, PollOutcome};

/// The longest body of an answer that is read, in bytes.
const MAX_BODY_LEN: usize = 4 << 20;

/// What broke a connection or an answer.
type Cause = Box<dyn std::error::Error + Send + Sync>;

/// Why a poll returned no list.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollError {
    /// The connection or the answer was not complete in time.
    #[error("timed out {0}")]
    TimedOut(&'static str),
    /// Discovery answered with an error status.
    #[error("answered {0}")]
    Rejected(StatusCode),
    /// The list has entries, and none of them can be parsed.
    #[error("no entry of the list can be read")]
    Unreadable,
    /// The connection or the answer is broken.
    #[error(transparent)]
    Broken(#[from] Cause),
}

impl PollError {
    fn broken(cause: impl Into<Cause>) -> PollError {
        PollError::Broken(cause.into())
    }

    /// How the poll schedule classifies the error.
    pub(super) fn outcome(&self) -> PollOutcome {
        match self {
            PollError::TimedOut(_) => PollOutcome::TimedOut,
            PollError::Rejected(_) => PollOutcome::Rejected,
            PollError::Unreadable | PollError::Broken(_) => PollOutcome::Broken,
        }
    }
}

/// A connection to discovery, closed when it is dropped.
pub(super) struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    _task: AbortOnDropHandle<()>,
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Connection, Cause> {
        let stream = Socket::connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = tokio::spawn(async move {
            let _ = connection.await; // the request in flight reports an error
        });
        Ok(Connection { sender, _task: AbortOnDropHandle::new(task) })
    }
}

/// Requests a list, on the given connection if it is still open, or else on a new one. Returns the list and the
/// connection for the next request.
///
/// # Cancel safety
/// When it is cancelled, the connection is closed.
pub(super) async fn fetch(
    connection: Option<Connection>,
    address: SocketAddr,
    path: &str,
) -> Result<(EndpointList, Connection), PollError> {
    let mut connection = match connection.filter(|connection| !connection.sender.is_closed()) {
        Some(connection) => connection,
        None => {
            let connected = timeout(CONNECT_TIMEOUT, Connection::open(address)).await;
            connected.map_err(|_| PollError::TimedOut("while connecting"))?.map_err(PollError::broken)?
        }
    };
    connection.sender.ready().await.map_err(PollError::broken)?;
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::<Bytes>::new());
    let response = connection.sender.send_request(request.map_err(PollError::broken)?);
    let response = response.await.map_err(PollError::broken)?;
    let status = response.status();
    let body = timeout(BODY_TIMEOUT, Limited::new(response.into_body(), MAX_BODY_LEN).collect()).await;
    let body = body.map_err(|_| PollError::TimedOut("within an answer"))??.to_bytes();
    if status != StatusCode::OK {
        return Err(PollError::Rejected(status));
    }
    Ok((parse(&body)?, connection))
}

fn parse(body: &[u8]) -> Result<EndpointList, PollError> {
    let list: EndpointList = serde_json::from_slice(body).map_err(PollError::broken)?;
    if list.full && list.servers.is_empty() && list.skipped > 0 {
        return Err(PollError::Unreadable);
    }
    Ok(list)
}
