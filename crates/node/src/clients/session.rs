//! The connection of one client: reads its commands and writes the replies.

mod commands;
mod replies;

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use stonefold_net::{Socket, SocketErrorKind};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use tracing::{debug, trace};

use super::SessionContext;
use super::command::announced_length;
use super::disconnect::{UnreadSince, disconnected, linger};
use super::idle::{IdleSlot, IdleState};
use super::pending_replies::{PendingReplies, PendingReply};
use crate::client_status::ClientStatus;
use crate::invariants::Invariant;
use crate::message::Message;
use crate::relay::{CHUNK_BYTES, MAX_BUFFERED_BYTES, MemoryPermit};

/// A read buffer of up to this size is available to every connection, in bytes. Larger ones need a permit.
const SMALL_BUFFER_BYTES: usize = 8 << 10;
/// The buffer for a large command that does not announce its length, in bytes.
const UNANNOUNCED_BUFFER_BYTES: usize = 2 * MAX_BUFFERED_BYTES;
/// A connection that does not send a valid command for this long is closed.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long pending replies may delay the close after a malformed command.
const MALFORMED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A client that cannot be understood gets an error or a close within this time.
const PROTOCOL_ERROR_LIMIT: Duration = Duration::from_millis(3_000);
const _: () = assert!(CLIENT_TIMEOUT.as_millis() < PROTOCOL_ERROR_LIMIT.as_millis());
const _: () = assert!(MALFORMED_TIMEOUT.as_millis() < PROTOCOL_ERROR_LIMIT.as_millis());

/// Why a connection ended without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// The client closed it, or its sending direction.
    ClosedByClient,
    /// The node shuts down, and there is no pending reply.
    ShuttingDown,
    /// The client sent a malformed command.
    Malformed,
    /// The client sent no valid command for too long.
    TimedOut,
    /// It was closed in favour of another connection.
    Evicted,
}

/// What a session waits for in one turn.
struct Turn {
    has_pending_replies: bool,
    shutting_down: bool,
    /// Whether commands are read.
    reads: bool,
    /// Whether there is memory to read into; otherwise a permit is needed first.
    has_buffer: bool,
    /// The size of the buffer to get a permit for, in bytes.
    wanted_bytes: usize,
    /// Whether the socket is watched for a disconnect, since nothing is read from it.
    watches_disconnect: bool,
    may_time_out: bool,
    times_out_at: Instant,
}

/// The connection of one client.
pub(crate) struct Session {
    context: SessionContext,
    status: ClientStatus,
    buffer: BytesMut,
    /// The permit for a buffer that is not small.
    buffer_permit: Option<MemoryPermit>,
    /// The length of the buffer when the client's timeout last started, for a buffer that is not small.
    progress_bytes: usize,
    /// The earliest time at which the bytes that were read last may have arrived.
    received_at: Instant,
    /// When they were read.
    read_at: Instant,
    unread: UnreadSince,
    pending: PendingReplies,
    /// Whether the client has ever sent a valid command.
    has_sent_command: bool,
    /// Whether it has ever sent a request, rather than only a `PING`.
    has_sent_request: bool,
    /// When the client's timeout started: with the connection, the last reply or the first byte of a command.
    waiting_since: Instant,
    /// Whether the buffer may hold another complete command.
    may_have_more: bool,
    /// When a malformed command was read, after which nothing more is read.
    malformed_at: Option<Instant>,
}

impl Session {
    /// Prepares a session for a new connection.
    pub(crate) fn new(context: SessionContext) -> Self {
        let now = Instant::now();
        Session {
            status: ClientStatus::default(),
            buffer: BytesMut::new(),
            buffer_permit: None,
            progress_bytes: 0,
            received_at: now,
            read_at: now,
            unread: UnreadSince::new(context.stalls.clone()),
            pending: PendingReplies::default(),
            has_sent_command: false,
            has_sent_request: false,
            waiting_since: now,
            may_have_more: false,
            malformed_at: None,
            context,
        }
    }

    /// Serves the client until its connection ends.
    pub(crate) async fn run(mut self, socket: Socket) {
        let ended = self.serve(&socket).await;
        self.status.mark_disconnected();
        let lingers = self.pending.is_empty() && ended.is_ok();
        self.log_end(&ended);
        while let Some(reply) = self.pending.pop() {
            if let PendingReply::Request(request) = reply {
                let _ = self.context.driver.send(Message::ClientDisconnected(request.id)); // fails if the driver has ended
            }
        }
        if lingers {
            linger(&socket, &mut self.unread).await;
        }
        drop(socket);
        self.context.session_ended.notify_waiters();
    }

    /// Logs the end of the connection, and counts it if replies are pending.
    fn log_end(&self, ended: &io::Result<Ending>) {
        let unread = self.buffer.len();
        if self.pending.is_empty() {
            trace!(event = "client_disconnected", unread, ?ended, "a client's connection is closed");
            return;
        }
        let closed = &self.context.metrics.unanswered_closes;
        if is_ended_by_client(ended) {
            closed.by_client.increment();
        } else {
            closed.by_node.increment();
            self.context.metrics.violations.record(Invariant::NoUnansweredClose, &[]);
        }
        debug!(
            event = "client_disconnected_early",
            pending_replies = self.pending.len(),
            unread,
            ?ended,
            shutting_down = self.context.closing.used.is_cancelled(),
            "a client's connection is closed with pending replies"
        );
    }

    async fn serve(&mut self, socket: &Socket) -> io::Result<Ending> {
        let closing = self.context.closing.clone();
        let budget = self.context.budget.clone();
        let mut slot = None;
        loop {
            let shutting_down = closing.used.is_cancelled();
            if let Some(ending) = self.ending(shutting_down) {
                socket.shutdown_write()?;
                return Ok(ending);
            }
            self.update_idle_slot(&mut slot);
            let turn = self.next_turn(shutting_down);
            tokio::select! {
                biased;
                read = socket.read_buf(&mut self.buffer), if turn.reads && turn.has_buffer => {
                    let read = read?;
                    if read == 0 {
                        return Ok(Ending::ClosedByClient);
                    }
                    self.on_read(socket, read);
                }
                () = disconnected(socket, &mut self.unread), if turn.watches_disconnect => {
                    return Ok(Ending::ClosedByClient);
                }
                Ok(permit) = budget.reserve(turn.wanted_bytes), if turn.reads && !turn.has_buffer => {
                    self.grow_buffer(turn.wanted_bytes, permit);
                }
                reply = self.pending.next(), if turn.has_pending_replies => {
                    self.write_reply(socket, reply).await?;
                }
                () = yield_now(), if self.may_have_more => {}
                () = closing.used.cancelled(), if !turn.shutting_down => {}
                () = closing.unused.cancelled(), if !closing.unused.is_cancelled() => {}
                () = sleep_until(turn.times_out_at), if turn.may_time_out => {
                    return replies::time_out(socket).await;
                }
                () = IdleSlot::evicted(&mut slot) => {
                    slot = None;
                    if self.gives_way(socket, &turn).await? {
                        return Ok(Ending::Evicted);
                    }
                }
            }
            self.start_commands();
        }
    }

    /// Closes an evicted connection, unless something has arrived that the close would discard. Returns whether it has.
    async fn gives_way(&self, socket: &Socket, turn: &Turn) -> io::Result<bool> {
        let unread = socket.has_unread_bytes();
        debug!(
            event = "client_evicted",
            unread,
            has_sent_request = self.has_sent_request,
            "a resting connection gives way to another"
        );
        if unread && turn.reads && turn.has_buffer {
            yield_now().await; // lets the runtime notice the bytes
            return Ok(false);
        }
        socket.shutdown_write()?;
        Ok(true)
    }

    /// Why the connection is to be closed now, if it is.
    fn ending(&self, shutting_down: bool) -> Option<Ending> {
        if !self.pending.is_empty() {
            return None;
        }
        if self.malformed_at.is_some() {
            return Some(Ending::Malformed);
        }
        let closes = shutting_down && self.has_sent_request || self.context.closing.unused.is_cancelled();
        (closes && self.buffer.is_empty()).then_some(Ending::ShuttingDown)
    }

    /// Enters the connection among those that can be evicted while it has no pending reply, under its current state.
    fn update_idle_slot(&self, slot: &mut Option<IdleSlot>) {
        let state = self.pending.is_empty().then(|| self.idle_state());
        if state != slot.as_ref().map(IdleSlot::state) {
            *slot = state.map(|state| self.context.idle.enter(state, self.waiting_since));
        }
    }

    fn idle_state(&self) -> IdleState {
        match (self.buffer.is_empty(), self.has_sent_request) {
            (false, _) => IdleState::Sending,
            (true, true) => IdleState::BetweenRequests,
            (true, false) => IdleState::Unused,
        }
    }

    fn next_turn(&self, shutting_down: bool) -> Turn {
        let all_replied = self.pending.is_empty();
        // During a shutdown nothing is read behind pending replies, since a client that always has a request open would
        // keep the node running until it is killed. The client repeats on another connection what was not read.
        let reads = self.may_start_command() && !self.may_have_more && (!shutting_down || all_replied);
        let has_buffer = self.buffer.len() < SMALL_BUFFER_BYTES || self.buffer_permit.is_some();
        let wanted_bytes =
            if has_buffer { 0 } else { announced_length(&self.buffer).unwrap_or(UNANNOUNCED_BUFFER_BYTES) };
        Turn {
            has_pending_replies: !all_replied,
            shutting_down,
            reads,
            has_buffer,
            wanted_bytes,
            watches_disconnect: !(self.may_have_more || reads && has_buffer),
            may_time_out: self.may_time_out(),
            times_out_at: self.times_out_at(),
        }
    }

    /// Whether the timeout of the client runs: after a malformed command, before the first valid one and within one,
    /// unless the node makes the client wait for a buffer.
    fn may_time_out(&self) -> bool {
        let waits_for_buffer = self.buffer.len() >= SMALL_BUFFER_BYTES && self.buffer_permit.is_none();
        let sends_nothing = self.pending.is_empty() && (!self.has_sent_command || !self.buffer.is_empty());
        self.malformed_at.is_some() || sends_nothing && !waits_for_buffer
    }

    fn times_out_at(&self) -> Instant {
        self.malformed_at.map_or(self.waiting_since + CLIENT_TIMEOUT, |at| at + MALFORMED_TIMEOUT)
    }

    /// Records the arrival of bytes in the buffer.
    fn on_read(&mut self, socket: &Socket, read: usize) {
        let now = Instant::now();
        self.received_at = self.unread.earliest_arrival(socket);
        self.read_at = now;
        if self.has_sent_command && read == self.buffer.len() {
            self.waiting_since = now; // the first bytes of a command
        }
        // A large value may take its time as long as it makes progress.
        if self.buffer_permit.is_some() && self.buffer.len() >= self.progress_bytes + CHUNK_BYTES {
            self.waiting_since = now;
            self.progress_bytes = self.buffer.len();
        }
    }

    /// Makes room for a command that does not fit in a small buffer.
    fn grow_buffer(&mut self, wanted_bytes: usize, permit: MemoryPermit) {
        self.buffer.reserve(wanted_bytes.saturating_sub(self.buffer.len()));
        self.buffer_permit = Some(permit);
        self.progress_bytes = self.buffer.len();
        self.waiting_since = Instant::now(); // it was the node that made the client wait
    }
}

/// Whether a connection ended because of the client rather than of the node.
fn is_ended_by_client(ended: &io::Result<Ending>) -> bool {
    match ended {
        Ok(_) => true,
        Err(error) => {
            matches!(SocketErrorKind::of(error), SocketErrorKind::PeerClosed | SocketErrorKind::Unreachable)
        }
    }
}

#[cfg(test)]
mod tests;
