//! A session serves one client connection: it reads the commands and writes the replies.

mod commands;
mod held_value;
mod memory;
mod replies;

use std::future::{pending, ready};
use std::io;
use std::time::Duration;

use bytes::BytesMut;
use stonefold_net::{Socket, SocketErrorKind};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use tracing::{debug, trace};

use super::SessionContext;
use super::disconnect::{UnreadTracker, disconnected, linger};
use super::idle::{IdleSlot, IdleState};
use super::pending_replies::{PendingReplies, PendingReply};
use super::turns::TurnAccount;
use crate::client_status::ClientStatus;
use crate::invariants::Invariant;
use crate::memory_budget::MemoryPermit;
use crate::message::Message;
use crate::relay::CHUNK_BYTES;
use memory::{DiscardedCommand, MemoryWait, Reservation, next_permit};

/// The size up to which every connection may have a read buffer, in bytes. A larger buffer needs a permit of the memory
/// budget.
const SMALL_BUFFER_BYTES: usize = 8 << 10;
/// A connection that does not send a valid command for this long is closed.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The bytes that a session reads before it lets other tasks run.
const READ_BYTES_PER_TURN: usize = 32 << 10;
/// How long pending replies may delay the close of the connection after a malformed command.
const MALFORMED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A client that does not send valid commands gets an error, or its connection is closed, within this time.
const PROTOCOL_ERROR_LIMIT: Duration = Duration::from_millis(3_000);
const _: () = assert!(CLIENT_TIMEOUT.as_millis() < PROTOCOL_ERROR_LIMIT.as_millis());
const _: () = assert!(MALFORMED_TIMEOUT.as_millis() < PROTOCOL_ERROR_LIMIT.as_millis());

/// Why a connection was closed, other than by an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    /// The client closed it, or its sending direction.
    ClosedByClient,
    /// The node shuts down, and there is no pending reply.
    ShuttingDown,
    /// The client sent a malformed command.
    Malformed,
    /// The client sent no valid command for too long.
    TimedOut,
    /// It was evicted, because too many connections were open or idle.
    Evicted,
}

/// Which branches of the session's `select!` are enabled in one iteration of its loop, and their parameters.
struct SelectGuards {
    has_pending_replies: bool,
    shutting_down: bool,
    /// Whether commands are read.
    reads: bool,
    /// Whether there is memory to read into; if not, a permit is needed first.
    has_buffer: bool,
    /// Whether the socket is watched for a disconnect, which is needed while nothing is read from it.
    watches_disconnect: bool,
    may_time_out: bool,
    times_out_at: Instant,
    /// When the turn is due without which the connection starts no command.
    turn_at: Option<Instant>,
}

/// The state of one client connection.
pub(crate) struct Session {
    context: SessionContext,
    status: ClientStatus,
    buffer: BytesMut,
    /// The permit for a buffer larger than [`SMALL_BUFFER_BYTES`].
    buffer_permit: Option<MemoryPermit>,
    /// The wait for that permit, while there is one.
    memory_wait: Option<MemoryWait>,
    /// The permit for the reply of the next command, if the command is complete and replies are pending before it.
    reply_permit: Option<MemoryPermit>,
    /// Whether the buffer has a complete command that waits for the memory of its reply.
    awaits_reply_memory: bool,
    /// The wait for that memory.
    reply_wait: Option<Reservation>,
    /// The command that is being discarded, because there was no memory for it.
    discarded: Option<DiscardedCommand>,
    /// For a large buffer: the number of bytes in it when the client's timeout last started.
    progress_bytes: usize,
    /// The earliest time at which the bytes of the last read may have arrived.
    received_at: Instant,
    /// The time of the last read.
    read_at: Instant,
    /// The number of bytes read since the session last let other tasks run.
    read_bytes: usize,
    unread: UnreadTracker,
    pending: PendingReplies,
    /// What the connection has had of commands that no server answers.
    turns: TurnAccount,
    /// Whether the client has ever sent a valid command.
    has_sent_command: bool,
    /// Whether the client has ever sent a request, rather than only a `PING`.
    has_sent_request: bool,
    /// When the client's timeout last started: with the connection, after a reply, at the first byte of a command, when
    /// a command was taken from the buffer, when a large value made progress, when a wait for a large buffer began, or
    /// when the client sent more during that wait.
    timeout_started_at: Instant,
    /// Whether the buffer may hold another complete command, which the next iteration starts.
    may_have_more: bool,
    /// When a malformed command was read. Nothing more is read after it.
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
            memory_wait: None,
            reply_permit: None,
            awaits_reply_memory: false,
            reply_wait: None,
            discarded: None,
            progress_bytes: 0,
            received_at: now,
            read_at: now,
            read_bytes: 0,
            unread: UnreadTracker::new(context.stalls.clone()),
            pending: PendingReplies::default(),
            turns: TurnAccount::default(),
            has_sent_command: false,
            has_sent_request: false,
            timeout_started_at: now,
            may_have_more: false,
            malformed_at: None,
            context,
        }
    }

    /// Serves the client until its connection ends.
    pub(crate) async fn run(mut self, socket: Socket) {
        let ended = self.serve(&socket).await;
        self.status.mark_disconnected();
        let should_linger = self.pending.is_empty() && ended.is_ok();
        self.log_end(&ended);
        while let Some(reply) = self.pending.pop() {
            if let PendingReply::Request(request) = reply {
                let _ = self.context.driver.send(Message::ClientDisconnected(request.id)); // fails if the driver has ended
            }
        }
        if should_linger {
            linger(&socket, &mut self.unread).await;
        }
        drop(socket);
        self.context.session_ended.notify_waiters();
    }

    /// Logs the end of the connection, and counts it in the metrics if replies are pending.
    fn log_end(&self, ended: &io::Result<CloseReason>) {
        let unread = self.buffer.len();
        if self.pending.is_empty() {
            trace!(event = "client_disconnected", unread, ?ended, "a client's connection is closed");
            return;
        }
        let unanswered_closes = &self.context.metrics.unanswered_closes;
        if is_ended_by_client(ended) {
            unanswered_closes.by_client.increment();
        } else {
            unanswered_closes.by_node.increment();
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

    /// Reads commands and writes replies until the connection is to be closed.
    async fn serve(&mut self, socket: &Socket) -> io::Result<CloseReason> {
        let closing = self.context.closing.clone();
        let mut slot = None;
        loop {
            if self.may_have_more || self.read_bytes >= READ_BYTES_PER_TURN {
                self.read_bytes = 0;
                yield_now().await; // a client that always has more to read must not keep others waiting
            }
            let shutting_down = closing.used.is_cancelled();
            if let Some(close_reason) = self.close_reason(shutting_down) {
                socket.shutdown_write()?;
                return Ok(close_reason);
            }
            self.update_idle_slot(&mut slot);
            if self.turns.update(&self.context.turns) {
                self.context.metrics.turn_waits.increment();
            }
            self.update_memory_wait(shutting_down);
            self.update_reply_wait();
            self.pending.begin_turn();
            let guards = self.select_guards(shutting_down);
            tokio::select! {
                biased;
                // First, so that nothing more is read and sent on for a client that has left.
                () = socket.peer_closed() => return Ok(CloseReason::ClosedByClient),
                read = socket.read_buf(&mut self.buffer), if guards.reads && guards.has_buffer => {
                    let read = read?;
                    if read == 0 {
                        return Ok(CloseReason::ClosedByClient);
                    }
                    self.on_read(socket, read);
                }
                () = disconnected(socket, &mut self.unread), if guards.watches_disconnect => {
                    return Ok(CloseReason::ClosedByClient);
                }
                event = MemoryWait::next_event(&mut self.memory_wait), if self.memory_wait.is_some() => {
                    self.on_memory_wait_event(socket, event)?;
                }
                permit = next_permit(&mut self.reply_wait), if self.reply_wait.is_some() => {
                    self.reply_wait = None;
                    self.reply_permit = permit;
                }
                reply = self.pending.next(), if guards.has_pending_replies => {
                    self.write_reply(socket, reply).await?;
                }
                () = ready(()), if self.may_have_more => {}
                () = sleep_until_if_some(guards.turn_at) => {}
                () = closing.used.cancelled(), if !guards.shutting_down => {}
                () = closing.unused.cancelled(), if !closing.unused.is_cancelled() => {}
                () = closing.all.cancelled(), if !closing.all.is_cancelled() => {}
                () = sleep_until(guards.times_out_at), if guards.may_time_out => {
                    return replies::time_out(socket).await;
                }
                () = IdleSlot::evicted(&mut slot) => {
                    slot = None;
                    if self.close_evicted(socket, &guards).await? {
                        return Ok(CloseReason::Evicted);
                    }
                }
            }
            self.start_commands();
        }
    }

    /// Closes the sending direction of an evicted connection, unless a command has arrived that the close would
    /// discard. Returns whether it was closed.
    async fn close_evicted(&self, socket: &Socket, guards: &SelectGuards) -> io::Result<bool> {
        let unread = socket.has_unread_bytes();
        debug!(
            event = "client_evicted",
            unread,
            has_sent_request = self.has_sent_request,
            "an idle client connection is chosen for eviction"
        );
        if unread && guards.reads && guards.has_buffer {
            yield_now().await; // lets the runtime notice the bytes
            return Ok(false);
        }
        socket.shutdown_write()?;
        Ok(true)
    }

    /// Returns why the connection has to be closed now, or `None` if it stays open.
    fn close_reason(&self, shutting_down: bool) -> Option<CloseReason> {
        if !self.pending.is_empty() {
            return None;
        }
        if self.malformed_at.is_some() {
            return Some(CloseReason::Malformed);
        }
        let closing = &self.context.closing;
        let closes = shutting_down && self.has_sent_request || closing.unused.is_cancelled();
        let closes_now = closes && !self.has_partial_command() || closing.all.is_cancelled();
        closes_now.then_some(CloseReason::ShuttingDown)
    }

    /// Registers the connection for eviction with its current state, or removes the registration if a reply is pending.
    fn update_idle_slot(&self, slot: &mut Option<IdleSlot>) {
        let state = self.pending.is_empty().then(|| self.idle_state());
        if state != slot.as_ref().map(IdleSlot::state) {
            *slot = state.map(|state| self.context.idle.register(state, self.timeout_started_at));
        }
    }

    fn idle_state(&self) -> IdleState {
        match (self.has_partial_command(), self.has_sent_request) {
            (true, _) => IdleState::Sending,
            (false, true) => IdleState::BetweenRequests,
            (false, false) => IdleState::Unused,
        }
    }

    /// Determines what the next iteration waits for.
    fn select_guards(&self, shutting_down: bool) -> SelectGuards {
        let all_replied = self.pending.is_empty();
        let has_buffer = self.has_buffer();
        let reads = self.reads(shutting_down);
        SelectGuards {
            has_pending_replies: !all_replied,
            shutting_down,
            reads,
            has_buffer,
            watches_disconnect: !(self.may_have_more || reads && has_buffer),
            may_time_out: self.may_time_out(),
            times_out_at: self.times_out_at(),
            turn_at: self.turns.turn_at(),
        }
    }

    /// Whether the session reads from its connection.
    ///
    /// During a shutdown no command is read while replies are pending, since a client that always has a request open
    /// would keep the node running until it is killed. The client repeats what was not read on another connection.
    fn reads(&self, shutting_down: bool) -> bool {
        let may_read = self.discarded.is_some() || self.may_start_command();
        may_read
            && !self.may_have_more
            && !self.awaits_reply_memory
            && (!shutting_down || self.pending.is_empty())
    }

    /// Whether the client has sent a part of a command.
    fn has_partial_command(&self) -> bool {
        !self.buffer.is_empty() || self.discarded.is_some()
    }

    /// Whether the timeout of the client is running: after a malformed command; and, while no reply is pending, before
    /// the first valid command and while a command is incomplete.
    fn may_time_out(&self) -> bool {
        let sends_nothing = self.pending.is_empty() && (!self.has_sent_command || self.has_partial_command());
        self.malformed_at.is_some() || sends_nothing && self.turns.may_start()
    }

    fn times_out_at(&self) -> Instant {
        self.malformed_at.map_or(self.timeout_started_at + CLIENT_TIMEOUT, |at| at + MALFORMED_TIMEOUT)
    }

    /// Updates the times of arrival and the client's timeout after `read` bytes were added to the buffer.
    fn on_read(&mut self, socket: &Socket, read: usize) {
        let now = Instant::now();
        self.received_at = self.unread.earliest_arrival(socket);
        self.read_at = now;
        self.read_bytes += read;
        if self.discarded.is_some() {
            self.discard_read_bytes();
            return;
        }
        if self.has_sent_command && read == self.buffer.len() {
            self.timeout_started_at = now; // the first bytes of a command
        }
        // A large value may take longer than the timeout as long as it makes progress.
        if self.buffer_permit.is_some() && self.buffer.len() >= self.progress_bytes + CHUNK_BYTES {
            self.timeout_started_at = now;
            self.progress_bytes = self.buffer.len();
        }
    }
}

/// Waits until a time, forever if there is none.
async fn sleep_until_if_some(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}

/// Whether the client, rather than the node, ended a connection.
fn is_ended_by_client(ended: &io::Result<CloseReason>) -> bool {
    match ended {
        Ok(_) => true,
        Err(error) => {
            matches!(SocketErrorKind::of(error), SocketErrorKind::PeerClosed | SocketErrorKind::Unreachable)
        }
    }
}

#[cfg(test)]
mod tests;
