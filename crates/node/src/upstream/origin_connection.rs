//! A connection to the origin: HTTP/1.1, one request at a time.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use percent_encoding::{AsciiSet, CONTROLS, percent_encode};
use stonefold_balancer::Outcome;
use stonefold_net::Socket;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::attempt::AttemptResult;
use super::directory::Target;
use super::last_write::{LastWrite, TimedSocket};
use super::origin_response::read_response;
use super::reply_identity::{CopyDetector, LastExchange, RequestIdentity, ServerReply};
use crate::metrics::Metrics;
use crate::relay::RelayContext;
use crate::request::ClientRequest;

/// The header with the id of the request, as its client gave it.
const REQUEST_ID_HEADER: &str = "X-Correlation-Id";
/// The header with the metadata of the request.
const METADATA_HEADER: &str = "X-Facts";

/// The read buffer of a connection, in bytes: the least that the HTTP library allows.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// The characters of a key that are percent-encoded in a path.
const PATH_ESCAPED: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'%')
    .add(b'<')
    .add(b'>')
    .add(b'?')
    .add(b'`')
    .add(b'{')
    .add(b'}');

/// A connection to the origin, between requests.
pub(crate) struct OriginConnection {
    sender: SendRequest<Full<Bytes>>,
    /// The socket, to look at its state. The task reads and writes it.
    socket: Arc<Socket>,
    task: JoinHandle<()>,
    last_write: LastWrite,
    last_exchange: Option<LastExchange>,
}

impl Drop for OriginConnection {
    /// Closes the socket at once, even while a request is in flight.
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl OriginConnection {
    /// Starts HTTP/1.1 on a connected socket.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP library cannot use the connection.
    pub(crate) async fn new(socket: Socket) -> io::Result<Self> {
        let last_write = LastWrite::default();
        let socket = Arc::new(socket);
        let timed_socket = TimedSocket::new(socket.clone(), last_write.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(timed_socket))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            let _ = connection.await; // a broken connection fails the request in flight
        });
        Ok(OriginConnection { sender, socket, task, last_write, last_exchange: None })
    }

    /// Whether the connection is open and the origin has sent nothing unsolicited. The task ends when it reads such
    /// bytes; what it has not noticed yet shows in the state of the socket in the kernel.
    pub(crate) fn is_reusable(&self) -> bool {
        !self.sender.is_closed() && self.socket.is_idle()
    }

    /// Whether the origin has sent bytes that no request asked for and the task has not read yet.
    pub(crate) fn has_unsolicited_bytes(&self) -> bool {
        self.socket.has_unread_bytes()
    }

    /// The last request on the connection and its reply, unless no copy of the reply can arrive any more.
    pub(crate) fn last_exchange(&self) -> Option<&LastExchange> {
        self.last_exchange.as_ref()
    }

    /// Forgets the last exchange, once no copy of its reply can arrive any more.
    pub(crate) fn forget_last_exchange(&mut self) {
        self.last_exchange = None;
    }

    /// Acknowledges what was received at once, see [`Socket::acknowledge_now`].
    pub(crate) fn acknowledge_now(&self) {
        self.socket.acknowledge_now();
    }

    /// Sends one request, which states the time left until `deadline`, and waits for the response. Also returns the
    /// connection if another request may use it.
    pub(crate) async fn request(
        mut self,
        request: &ClientRequest,
        identity: RequestIdentity,
        deadline: Instant,
        target: Target,
        metrics: &Metrics,
        relay: RelayContext,
    ) -> (AttemptResult, Option<Self>) {
        if self.sender.ready().await.is_err() {
            return (AttemptResult::of(Outcome::ConnectFailed), None);
        }
        target.permit.wait_until_stall_over().await;
        let Some(stated) = target.permit.start(deadline) else {
            return (AttemptResult::of(Outcome::NotSent), None);
        };
        let Some(http_request) = http_request(request, stated.remaining(), target.addr) else {
            return (AttemptResult::of(Outcome::NotSent), Some(self));
        };
        // Counted before the write: the request is complete, and the connection's task writes it as soon as it runs.
        metrics.attempts_written.increment();
        let response = match self.sender.try_send_request(http_request).await {
            Ok(response) => response,
            // The library returns the request if it has not begun to write it.
            Err(mut error) => match error.take_message() {
                Some(_) => return (AttemptResult::of(Outcome::ConnectFailed), None),
                None => return (AttemptResult::of(Outcome::ConnectionReset), None),
            },
        };
        if let Some(last_byte) = self.last_write.at() {
            metrics.deadline_excess.record(stated.excess(last_byte));
        }
        let copies = CopyDetector { last: self.last_exchange, metrics };
        match read_response(response, &copies, relay).await {
            Ok(ServerReply { result, identity: reply, reusable }) => {
                self.last_exchange = Some(LastExchange { request: identity, reply });
                (result, reusable.then_some(self))
            }
            // The connection is closed, since the rest of this response must not be read as the next one.
            Err(outcome) => (AttemptResult::of(outcome), None),
        }
    }
}

/// Builds the HTTP request. Returns `None` if it is invalid.
fn http_request(
    request: &ClientRequest,
    remaining: Duration,
    addr: SocketAddr,
) -> Option<Request<Full<Bytes>>> {
    let method = if request.value.is_some() { Method::PUT } else { Method::GET };
    Request::builder()
        .method(method)
        .uri(format!("/{}", percent_encode(request.key.as_bytes(), PATH_ESCAPED)))
        .header(HOST, addr.to_string())
        .header(REQUEST_ID_HEADER, &request.id[..])
        .header(METADATA_HEADER, request.metadata_with_time_left(remaining))
        .body(Full::new(request.value.clone().unwrap_or_default()))
        .ok()
}
