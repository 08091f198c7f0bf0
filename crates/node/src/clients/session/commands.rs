//! How a session starts the commands that it has read.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::types::BytesFrame;
use stonefold_balancer::RequestId;
use stonefold_proto::resp::{MalformedFrame, decode_frame, has_complete_frame};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::trace;

use super::memory::UNANNOUNCED_BUFFER_BYTES;
use super::{SMALL_BUFFER_BYTES, Session};
use crate::clients::command::{ClientCommandError, into_arguments, parse_command};
use crate::clients::pending_replies::{
    OpenRequestId, PendingReply, ReplyDeadline, RequestMemory, UnansweredRequest,
};
use crate::invariants::Invariant;
use crate::memory_budget::{MAX_REPLY_BYTES, ReplyReservation};
use crate::message::{ExcessRequest, IncomingRequest, Message};
use crate::metrics::InFlightGuard;
use crate::relay::MAX_FRAME_BYTES;
use crate::reply_turn::ReplyTurn;
use crate::request::ClientRequest;

/// The number of requests that one connection may have open. Requests beyond it are rejected.
const MAX_OPEN_REQUESTS: usize = 64;
/// The number of requests that one connection may have open before requests of others are admitted first.
const SHARED_OPEN_REQUESTS: usize = 8;
/// The number of replies, including errors, that one connection may have pending. Nothing more is read from it until
/// some are written.
const MAX_PENDING_REPLIES: usize = 1024;
/// The number of commands that a session starts before it lets other tasks run.
const MAX_COMMANDS_PER_TURN: usize = 32;
/// The memory that is accounted for an open request in addition to its command and to what has a permit, in bytes: its
/// state, a short reply, and the read buffer of a connection to the origin.
const REQUEST_OVERHEAD_BYTES: usize = 12 << 10;
/// The memory that is accounted for a pending reply that is not to an open request, in bytes.
const PENDING_REPLY_BYTES: usize = 512;
/// While the open requests occupy at least the clients' memory divided by this, each connection may have one at a time.
const REQUEST_MEMORY_DIVISOR: usize = 2;

impl Session {
    /// The largest command that is decoded, in bytes. With a permit for a larger buffer it is what the permit covers.
    fn frame_limit(&self) -> usize {
        match &self.buffer_permit {
            Some(permit) => permit.num_permits().max(UNANNOUNCED_BUFFER_BYTES),
            None => MAX_FRAME_BYTES,
        }
    }

    /// Whether another command may be started. While the open requests of all connections occupy too much memory, a
    /// connection may have one pending reply at a time. A connection with many commands that no server answered waits for
    /// its turn.
    pub(super) fn may_start_command(&self) -> bool {
        let has_memory = || {
            let used = self.context.request_memory.load(Ordering::Relaxed);
            used < self.context.limits.memory_bytes / REQUEST_MEMORY_DIVISOR
        };
        self.malformed_at.is_none()
            && self.turns.may_start()
            && self.pending.len() < MAX_PENDING_REPLIES
            && (self.pending.is_empty() || has_memory())
    }

    /// Starts the complete commands in the buffer, up to [`MAX_COMMANDS_PER_TURN`].
    pub(super) fn start_commands(&mut self) {
        if self.discarded.is_some() {
            return;
        }
        let before = self.buffer.len();
        self.awaits_reply_memory = false;
        self.may_have_more = self.start_some_commands();
        self.reply_permit = None; // no command was there for it
        if !self.awaits_reply_memory {
            self.reply_wait = None;
        }
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new(); // frees the memory of a buffer that has grown
        }
        if self.buffer.len() < before {
            self.timeout_started_at = Instant::now();
            self.buffer_permit = None; // the command that it was for has been taken
        }
    }

    /// Reserves the memory for the reply of another command, and returns whether there is any. The next reply of a
    /// connection needs none: where there is no memory to buffer it, it is relayed.
    fn has_reply_memory(&mut self) -> bool {
        if !self.pending.is_empty() && self.reply_permit.is_none() {
            self.reply_permit = self.context.budget.try_reserve_reply(MAX_REPLY_BYTES);
        }
        self.pending.is_empty() || self.reply_permit.is_some()
    }

    /// Starts up to [`MAX_COMMANDS_PER_TURN`] commands. Returns whether the buffer may hold more complete ones.
    fn start_some_commands(&mut self) -> bool {
        for _ in 0..MAX_COMMANDS_PER_TURN {
            if !self.may_start_command() {
                return false;
            }
            let before = self.buffer.len();
            let limit = self.frame_limit();
            if !self.has_reply_memory() {
                // What is malformed is rejected without a reply from a server, but like other errors it waits.
                self.awaits_reply_memory = has_complete_frame(&self.buffer, limit).unwrap_or(true);
                return false;
            }
            let reply = match decode_frame(&mut self.buffer, limit).map(|frame| frame.map(into_arguments)) {
                Ok(None) => return false,
                Ok(Some(Ok(arguments))) => self.start_command(&arguments, before - self.buffer.len()),
                Ok(Some(Err(MalformedFrame))) | Err(MalformedFrame) => self.reject_malformed(),
            };
            self.pending.push(reply);
        }
        true
    }

    /// Replies with an error to a malformed command, and discards what else was read.
    fn reject_malformed(&mut self) -> PendingReply {
        self.malformed_at = Some(Instant::now());
        self.buffer.clear();
        self.ready(BytesFrame::Error("ERR malformed command".into()))
    }

    /// A reply that does not come from the driver.
    fn ready(&mut self, frame: BytesFrame) -> PendingReply {
        self.turns.charge(1);
        PendingReply::Ready(frame, self.pending_reply_memory())
    }

    fn pending_reply_memory(&self) -> Arc<RequestMemory> {
        RequestMemory::add(PENDING_REPLY_BYTES, &self.context.request_memory)
    }

    /// Starts a command that had `length` bytes in the buffer.
    fn start_command(&mut self, arguments: &[Bytes], length: usize) -> PendingReply {
        let reply = match arguments {
            [name] if name.eq_ignore_ascii_case(b"PING") => {
                Ok(self.ready(BytesFrame::SimpleString("PONG".into())))
            }
            _ => parse_command(arguments).and_then(|request| self.start_request(request, length)),
        };
        self.has_sent_command |= reply.is_ok();
        reply.unwrap_or_else(|error| self.error_reply(&error))
    }

    /// Sends a request, whose command had `length` bytes, to the driver.
    fn start_request(
        &mut self,
        mut request: ClientRequest,
        length: usize,
    ) -> Result<PendingReply, ClientCommandError> {
        self.check_class(&request)?;
        if self.pending.open_requests() >= MAX_OPEN_REQUESTS {
            return Ok(self.reject_excess(&request));
        }
        // Servers treat requests with the same id as one request, so two clients would get the same answer.
        let claimed_id = OpenRequestId::claim(&request.id, &self.context.open_request_ids)
            .ok_or(ClientCommandError::IdInUse)?;
        request.value_permit = if length >= SMALL_BUFFER_BYTES { self.buffer_permit.take() } else { None };
        let in_flight = InFlightGuard::new(&self.context.metrics);
        let memory = RequestMemory::add(REQUEST_OVERHEAD_BYTES + length, &self.context.request_memory);
        let id = RequestId(self.context.next_request_id.fetch_add(1, Ordering::Relaxed));
        self.record_arrival(&request);
        let (sender, response) = oneshot::channel();
        let deadline = ReplyDeadline {
            at: self.received_at + Duration::from_micros(request.timeout),
            request: request.id.clone(),
        };
        let turn = ReplyTurn::default();
        let incoming = IncomingRequest {
            id,
            request,
            received_at: self.received_at,
            is_crowded: self.pending.open_requests() >= SHARED_OPEN_REQUESTS,
            response: sender,
            client: self.status.clone(),
            reservation: ReplyReservation::new(self.reply_permit.take()),
            turn: turn.clone(),
            memory: memory.clone(),
        };
        // If the driver has ended, the sender is dropped and the request fails.
        let _ = self.context.driver.send(Message::RequestReceived(incoming));
        self.has_sent_request = true;
        Ok(PendingReply::Request(UnansweredRequest {
            id,
            deadline,
            response,
            _claimed_id: claimed_id,
            memory,
            turn,
            _in_flight: in_flight,
        }))
    }

    /// Rejects a class that is not in the settings, as servers would. A request that names no class is served.
    fn check_class(&self, request: &ClientRequest) -> Result<(), ClientCommandError> {
        let is_unknown = |class: &str| !self.context.settings.borrow().class_names.contains(class);
        if request.class_name().is_some_and(is_unknown) {
            return Err(ClientCommandError::UnknownClass);
        }
        Ok(())
    }

    /// The reply to a write that was discarded for want of memory.
    pub(super) fn reject_discarded(
        &mut self,
        request: Result<ClientRequest, ClientCommandError>,
    ) -> PendingReply {
        let reply = request.and_then(|request| {
            self.check_class(&request)?;
            Ok(self.reject_excess(&request))
        });
        self.has_sent_command |= reply.is_ok();
        reply.unwrap_or_else(|error| self.error_reply(&error))
    }

    /// The reply to a command that cannot be executed.
    fn error_reply(&mut self, error: &ClientCommandError) -> PendingReply {
        self.ready(BytesFrame::Error(format!("ERR {error}").into()))
    }

    /// Counts and logs the arrival of a request.
    fn record_arrival(&self, request: &ClientRequest) {
        let metrics = &self.context.metrics;
        if self.context.stalls.earliest_arrival(self.read_at) < self.read_at {
            metrics.read_after_stall.increment();
        }
        trace!(event = "request_received", request = %request.id_text(),
            timeout_us = request.timeout, received_us_ago = self.received_at.elapsed().as_micros() as u64,
            "a request has arrived");
        if self.context.closing.unused.is_cancelled() {
            metrics.violations.record(Invariant::NoLateRequest, &request.id);
        }
    }

    /// Rejects a request that the connection has no room for: it already has [`MAX_OPEN_REQUESTS`] open, or there was no
    /// memory for its command. The request is not opened, so its client may retry it safely. The driver decides how long
    /// the client should wait.
    fn reject_excess(&mut self, request: &ClientRequest) -> PendingReply {
        let (sender, response) = oneshot::channel();
        let class = request.class_name().map(str::to_owned);
        self.turns.charge(1);
        // If the driver has ended, the sender is dropped and the request fails.
        let _ = self.context.driver.send(Message::ExcessRequest(ExcessRequest { class, response: sender }));
        self.has_sent_request = true;
        PendingReply::Rejection(response, self.pending_reply_memory())
    }
}
