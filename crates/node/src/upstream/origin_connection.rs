//! A connection to the origin: HTTP/1.1, one request at a time.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use percent_encoding::{AsciiSet, CONTROLS, percent_encode};
use stonefold_balancer::Outcome;
use stonefold_net::Socket;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use super::attempt::AttemptResult;
use super::directory::Target;
use super::last_write::{LastWrite, TimedSocket};
use crate::metrics::Metrics;
use crate::relay::{
    CHUNK_BYTES, MAX_BUFFERED_BYTES, MAX_VALUE_BYTES, PROGRESS_TIMEOUT, ReceiverDropped, RelayContext,
    ValueStream, value_channel,
};
use crate::request::ClientRequest;

/// The header with the id of the request, as its client gave it.
const REQUEST_ID_HEADER: &str = "X-Correlation-Id";
/// The header with the metadata of the request.
const METADATA_HEADER: &str = "X-Facts";
/// The response header that is `1` if the request was not executed.
const UNPROCESSED_HEADER: &str = "X-Unprocessed";

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
            .max_buf_size(CHUNK_BYTES)
            .handshake(TokioIo::new(timed_socket))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            let _ = connection.await; // a broken connection fails the request in flight
        });
        Ok(OriginConnection { sender, socket, task, last_write })
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

    /// Acknowledges what was received at once, see [`Socket::acknowledge_now`].
    pub(crate) fn acknowledge_now(&self) {
        self.socket.acknowledge_now();
    }

    /// Sends one request, which states the time left until `deadline`, and waits for the response. Also returns the
    /// connection if another request may use it.
    pub(crate) async fn request(
        mut self,
        request: &ClientRequest,
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
        match read_response(response, relay).await {
            Ok(result) => (result, Some(self)),
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

/// Reads a response. An error is the outcome of the attempt; the connection cannot be used after it.
async fn read_response(response: Response<Incoming>, relay: RelayContext) -> Result<AttemptResult, Outcome> {
    let status = response.status();
    let not_executed = response.headers().get(UNPROCESSED_HEADER).is_some_and(|value| value == "1");
    let is_value = status == StatusCode::OK;
    let length = response.body().size_hint().exact().and_then(|length| usize::try_from(length).ok());
    if is_value
        && let Some(length) = length
        && (MAX_BUFFERED_BYTES + 1..=MAX_VALUE_BYTES).contains(&length)
    {
        return relay_value(response.into_body(), length, relay).await;
    }
    let body = match collect_body(response.into_body(), is_value, relay).await? {
        CollectedBody::Small(body) => body,
        CollectedBody::Relayed => return Ok(AttemptResult::of(Outcome::Success)),
    };
    Ok(match status {
        StatusCode::OK => AttemptResult { value: body, ..AttemptResult::of(Outcome::Success) },
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_executed => {
            AttemptResult::of(Outcome::Rejected)
        }
        _ => AttemptResult::of(Outcome::ServerError),
    })
}

/// A body that has been read to its end.
enum CollectedBody {
    /// No longer than [`MAX_BUFFERED_BYTES`].
    Small(Bytes),
    /// A longer value, which has been passed on as a [`ValueStream`].
    Relayed,
}

/// Reads a body whose length is small or unknown. A large value of unknown length is buffered completely, since RESP2
/// states the length before the value. The memory for the largest value is reserved for it, in one step.
async fn collect_body(
    mut body: Incoming,
    is_value: bool,
    relay: RelayContext,
) -> Result<CollectedBody, Outcome> {
    let mut buffer = BytesMut::new();
    let mut permit = None;
    while let Some(frame) =
        timeout(PROGRESS_TIMEOUT, body.frame()).await.map_err(|_| Outcome::ConnectionReset)?
    {
        let Ok(bytes) = frame.map_err(|_| Outcome::ConnectionReset)?.into_data() else { continue };
        let length = buffer.len() + bytes.len();
        if length > MAX_VALUE_BYTES || length > MAX_BUFFERED_BYTES && !is_value {
            return Err(Outcome::ServerError);
        }
        if length > MAX_BUFFERED_BYTES && permit.is_none() {
            let reserved = relay.budget.reserve_largest_value().await;
            permit = Some(reserved.map_err(|_| Outcome::ConnectionReset)?);
            buffer.reserve(MAX_VALUE_BYTES - buffer.len());
        }
        buffer.extend_from_slice(&bytes);
    }
    let body = buffer.freeze();
    Ok(match permit {
        Some(permit) => {
            (relay.on_start)(ValueStream::buffered(body, permit));
            CollectedBody::Relayed
        }
        None => CollectedBody::Small(body),
    })
}

/// Relays a large value of known length as it arrives.
async fn relay_value(
    mut body: Incoming,
    length: usize,
    relay: RelayContext,
) -> Result<AttemptResult, Outcome> {
    let RelayContext { budget, on_start } = relay;
    let (sink, stream) = value_channel(length);
    let mut start = Some((on_start, stream));
    let mut remaining = length;
    while remaining > 0 {
        let frame = tokio::select! {
            frame = timeout(PROGRESS_TIMEOUT, body.frame()) => frame,
            () = sink.closed() => return Err(Outcome::Canceled),
        };
        let frame = frame.ok().flatten().and_then(Result::ok).ok_or(Outcome::ConnectionReset)?;
        let Ok(mut bytes) = frame.into_data() else { continue };
        remaining = remaining.checked_sub(bytes.len()).ok_or(Outcome::ServerError)?;
        while !bytes.is_empty() {
            let slot = sink.slot().await.map_err(|ReceiverDropped| Outcome::Canceled)?;
            let chunk = budget.next_chunk(&mut bytes);
            if let Some((on_start, stream)) = start.take() {
                on_start(stream);
            }
            slot.send(chunk);
        }
    }
    Ok(AttemptResult::of(Outcome::Success))
}
