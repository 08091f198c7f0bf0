//! A connection to a cache server: RESP2, one request at a time.

use std::io;

use bytes::{Bytes, BytesMut};
use stonefold_balancer::Outcome;
use stonefold_net::Socket;
use stonefold_proto::resp::decode_frame;
use tokio::time::{Instant, timeout};
use tracing::trace;

use super::attempt::AttemptResult;
use super::cache_protocol::{command_header, parse_reply};
use super::reply_buffer::{NextStep, ReplyBuffer};
use super::reply_identity::{CopyDetector, LastExchange, ReplyIdentity, RequestIdentity, ServerReply};
use super::send_permit::{SendPermit, StatedTime};
use crate::memory_budget::{MAX_ENVELOPE_BYTES, MemoryBudget};
use crate::metrics::Metrics;
use crate::relay::{Chunk, ReceiverDropped, RelayContext, SERVER_SILENCE_TIMEOUT, ValueSink, value_channel};
use crate::request::ClientRequest;

/// The start of a reply with an empty value. With this in front, the end of a relayed reply can be parsed as a complete
/// reply.
const EMPTY_VALUE_REPLY: &[u8] = b"*3\r\n$0\r\n";

/// A connection to a cache server, between requests.
pub(crate) struct CacheConnection {
    socket: Socket,
    last_exchange: Option<LastExchange>,
}

impl CacheConnection {
    /// Wraps a connected socket.
    pub(crate) fn new(socket: Socket) -> Self {
        CacheConnection { socket, last_exchange: None }
    }

    /// Whether the connection is open and the server has sent nothing unsolicited. Checks the state of the socket in
    /// the kernel, since the runtime may not have noticed a close yet.
    pub(crate) fn is_reusable(&self) -> bool {
        self.socket.is_idle()
    }

    /// Whether the server has sent bytes that no request asked for, such as a second copy of its reply.
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

    /// Sends one request, which states the time left until `deadline`, and waits for the reply. Also returns the
    /// connection if another request may use it.
    pub(crate) async fn request(
        mut self,
        request: &ClientRequest,
        identity: RequestIdentity,
        deadline: Instant,
        permit: SendPermit,
        metrics: &Metrics,
        relay: RelayContext,
    ) -> (AttemptResult, Option<Self>) {
        permit.wait_until_stall_over().await;
        let Some(stated) = permit.start(deadline) else {
            return (AttemptResult::of(Outcome::NotSent), None);
        };
        // A request whose last byte was not written has not been executed. After that byte it may have been.
        if let Err(error) = self.write_request(request, stated).await {
            trace!(event = "request_cut_off", request = %request.id_text(), %error,
                "the connection to a cache server broke before the request was written");
            return (AttemptResult::of(Outcome::ConnectFailed), None);
        }
        trace!(event = "request_written", request = %request.id_text(),
            value_bytes = request.value.as_ref().map_or(0, Bytes::len), "the request was written to a cache server");
        metrics.attempts_written.increment();
        metrics.deadline_excess.record(stated.excess(Instant::now()));
        let copies = CopyDetector { last: self.last_exchange, metrics };
        match self.read_reply(&copies, relay).await {
            Ok(ServerReply { result, identity: reply, reusable }) => {
                self.last_exchange = Some(LastExchange { request: identity, reply });
                (result, reusable.then_some(self))
            }
            Err(outcome) => (AttemptResult::of(outcome), None),
        }
    }

    /// Writes the request with the stated time.
    async fn write_request(&self, request: &ClientRequest, stated: StatedTime) -> io::Result<()> {
        self.socket.write_all(&command_header(request, stated.remaining())).await?;
        if let Some(value) = &request.value {
            self.socket.write_all(value).await?;
            self.socket.write_all(b"\r\n").await?;
        }
        Ok(())
    }

    /// Reads a reply. An error is the outcome of the attempt; the connection cannot be used after it.
    async fn read_reply(
        &mut self,
        copies: &CopyDetector<'_>,
        relay: RelayContext,
    ) -> Result<ServerReply, Outcome> {
        let mut buffer = ReplyBuffer::new();
        loop {
            match buffer.next_step(&relay)? {
                NextStep::Read => buffer.read(&self.socket).await?,
                NextStep::Complete(reply) => return Ok(copies.checked(reply)),
                NextStep::Relay { length, first } => {
                    if copies.is_relayed_copy(length) {
                        return Err(Outcome::ServerError);
                    }
                    let identity = ReplyIdentity::relayed(length);
                    let result = self.relay_value(length, first, relay).await?;
                    return Ok(ServerReply { result, identity, reusable: true });
                }
            }
        }
    }

    /// Relays a value, of which `first` has been read. An error is the outcome of the attempt; the connection
    /// cannot be used after it.
    async fn relay_value(
        &mut self,
        length: usize,
        first: Bytes,
        relay: RelayContext,
    ) -> Result<AttemptResult, Outcome> {
        let RelayContext { budget, on_start, .. } = relay;
        let (sink, stream) = value_channel(length);
        let mut start = Some((on_start, stream));
        // `first` is shorter than the value, so it has no bytes of the reply's end.
        let mut first = first;
        let mut remaining = length;
        loop {
            let slot = sink.slot().await.map_err(|ReceiverDropped| Outcome::Canceled)?;
            let chunk = if first.is_empty() {
                self.read_chunk(&budget, &sink, remaining).await?
            } else {
                budget.next_chunk(&mut first)
            };
            remaining -= chunk.bytes.len();
            if let Some((on_start, stream)) = start.take() {
                on_start(stream);
            }
            if remaining > 0 {
                slot.send(chunk);
                continue;
            }
            // The last chunk is passed on only after the end of the reply has been checked, since the client could not
            // detect a malformed end by itself.
            let result = self.read_envelope_end().await?;
            slot.send(chunk);
            return Ok(result);
        }
    }

    /// Reads the next chunk, of a value of which `remaining` bytes are missing.
    async fn read_chunk(
        &mut self,
        budget: &MemoryBudget,
        sink: &ValueSink,
        remaining: usize,
    ) -> Result<Chunk, Outcome> {
        tokio::select! {
            chunk = budget.read_chunk(&mut self.socket, remaining) => chunk.ok().flatten().ok_or(Outcome::ConnectionReset),
            () = sink.closed() => Err(Outcome::Canceled),
        }
    }

    /// Reads the part of a reply after a large value: the end of its bulk string, the cache status and the load report.
    async fn read_envelope_end(&mut self) -> Result<AttemptResult, Outcome> {
        let mut buffer = BytesMut::from(EMPTY_VALUE_REPLY);
        loop {
            match decode_frame(&mut buffer, MAX_ENVELOPE_BYTES).map_err(|_| Outcome::ServerError)? {
                Some(frame) if buffer.is_empty() => {
                    return parse_reply(frame).map_err(|_| Outcome::ServerError);
                }
                Some(_) => return Err(Outcome::ServerError),
                None => {}
            }
            match timeout(SERVER_SILENCE_TIMEOUT, self.socket.read_buf(&mut buffer)).await {
                Ok(Ok(read)) if read > 0 => {}
                _ => return Err(Outcome::ConnectionReset),
            }
        }
    }
}
