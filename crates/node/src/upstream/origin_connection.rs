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
use crate::memory_budget::{BufferedValue, MIN_CHUNK_BYTES, MemoryPermit};
use crate::metrics::Metrics;
use crate::relay::{
    Chunk, MAX_BUFFERED_BYTES, MAX_VALUE_BYTES, PROGRESS_TIMEOUT, ReceiverDropped, RelayContext, ValueStream,
    value_channel,
};
use crate::request::ClientRequest;

/// The header with the id of the request, as its client gave it.
const REQUEST_ID_HEADER: &str = "X-Correlation-Id";
/// The header with the metadata of the request.
const METADATA_HEADER: &str = "X-Facts";
/// The response header that is `1` if the request was not executed.
const UNPROCESSED_HEADER: &str = "X-Unprocessed";

/// The read buffer of a connection, in bytes: the least that the HTTP library allows.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// The longest value that is buffered without a permit, in bytes. The memory accounted for each open request covers it.
const MAX_COVERED_VALUE_BYTES: usize = MIN_CHUNK_BYTES;

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
            .max_buf_size(READ_BUFFER_BYTES)
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
    let body = response.into_body();
    if status == StatusCode::OK {
        return read_value(body, relay).await;
    }
    discard_body(body).await?;
    Ok(match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_executed => {
            AttemptResult::of(Outcome::Rejected)
        }
        _ => AttemptResult::of(Outcome::ServerError),
    })
}

/// Reads the body of a response without a value to its end.
async fn discard_body(mut body: Incoming) -> Result<(), Outcome> {
    let mut length = 0;
    while let Some(bytes) = next_bytes(&mut body).await? {
        length += bytes.len();
        if length > MAX_BUFFERED_BYTES {
            return Err(Outcome::ServerError);
        }
    }
    Ok(())
}

/// Reads a body that is a value. It is buffered if it is short and there is memory, or if its length is not known, since
/// RESP2 states the length before the value. Otherwise it is relayed.
async fn read_value(body: Incoming, relay: RelayContext) -> Result<AttemptResult, Outcome> {
    let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let permit = match length {
        Some(length) if length > MAX_VALUE_BYTES => return Err(Outcome::ServerError),
        Some(length) if length > MAX_BUFFERED_BYTES => return relay_value(body, length, relay).await,
        Some(length) if length > MAX_COVERED_VALUE_BYTES => match relay.try_reserve_reply(length) {
            Some(permit) => Some(permit),
            None => return relay_value(body, length, relay).await,
        },
        Some(_) | None => None,
    };
    collect_value(body, permit, relay).await
}

/// Reads a value completely. `permit` covers it if its length is known and is more than [`MAX_COVERED_VALUE_BYTES`].
async fn collect_value(
    mut body: Incoming,
    mut permit: Option<MemoryPermit>,
    relay: RelayContext,
) -> Result<AttemptResult, Outcome> {
    let mut buffer = BytesMut::with_capacity(permit.as_ref().map_or(0, MemoryPermit::num_permits));
    while let Some(bytes) = next_bytes(&mut body).await? {
        let length = buffer.len() + bytes.len();
        if length > MAX_VALUE_BYTES {
            return Err(Outcome::ServerError);
        }
        let covered = permit.as_ref().map_or(MAX_COVERED_VALUE_BYTES, MemoryPermit::num_permits);
        if length > covered {
            let larger = reserve_for_unknown_length(length, &relay).await?;
            buffer.reserve(larger.num_permits() - buffer.len());
            permit = Some(larger);
        }
        buffer.extend_from_slice(&bytes);
    }
    let value = buffer.freeze();
    if value.len() <= MAX_BUFFERED_BYTES {
        let value = BufferedValue { bytes: value, permit };
        return Ok(AttemptResult { value, ..AttemptResult::of(Outcome::Success) });
    }
    (relay.on_start)(ValueStream::complete(Chunk::new(value, permit)));
    Ok(AttemptResult::of(Outcome::Success))
}

/// Reserves memory for a value of unknown length of which `length` bytes have arrived: for a short one if that is enough
/// and free, or else for the largest one.
async fn reserve_for_unknown_length(length: usize, relay: &RelayContext) -> Result<MemoryPermit, Outcome> {
    let short = if length <= MAX_BUFFERED_BYTES { relay.try_reserve_reply(MAX_BUFFERED_BYTES) } else { None };
    match short {
        Some(permit) => Ok(permit),
        None => relay.reserve_largest_value().await.map_err(|_| Outcome::ConnectionReset),
    }
}

/// Reads the next part of a body; `None` at its end.
async fn next_bytes(body: &mut Incoming) -> Result<Option<Bytes>, Outcome> {
    loop {
        let frame = timeout(PROGRESS_TIMEOUT, body.frame()).await.map_err(|_| Outcome::ConnectionReset)?;
        let Some(frame) = frame else { return Ok(None) };
        if let Ok(bytes) = frame.map_err(|_| Outcome::ConnectionReset)?.into_data() {
            return Ok(Some(bytes));
        }
    }
}

/// Relays a large value of known length as it arrives.
async fn relay_value(
    mut body: Incoming,
    length: usize,
    relay: RelayContext,
) -> Result<AttemptResult, Outcome> {
    let RelayContext { budget, on_start, .. } = relay;
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
