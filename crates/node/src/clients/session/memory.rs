//! The memory for commands that do not fit in a session's small buffer: how a session waits for it, and what it does
//! with a command for which there is none in time.

use std::future::{Future, pending};
use std::io;
use std::pin::Pin;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use stonefold_net::Socket;
use tokio::time::{Instant, sleep};
use tracing::debug;

use super::{SMALL_BUFFER_BYTES, Session, sleep_until_if_some};
use crate::clients::command::{AnnouncedWrite, ClientCommandError};
use crate::memory_budget::{
    MAX_REPLY_BYTES, MAX_SMALL_COMMAND_BYTES, MemoryBudget, MemoryPermit, is_small_command,
};
use crate::relay::CHUNK_BYTES;
use crate::request::ClientRequest;

/// The size of the buffer for a large command whose length is not known from its header, in bytes.
pub(super) const UNANNOUNCED_BUFFER_BYTES: usize = MAX_SMALL_COMMAND_BYTES;
/// A command waits for memory for the time that its client states, divided by this, so that either what is left is
/// enough to execute it, or its rejection is in time.
const WAIT_DIVISOR: u32 = 2;
/// How long a command that cannot be executed anyway waits for memory.
const INVALID_COMMAND_WAIT: Duration = Duration::from_millis(250);
/// How often a session that waits for memory checks whether its client still sends.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The kernel accepts at least this many bytes that the node has not read. A client that has sent more may be blocked.
const MIN_RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// A wait for memory. It keeps its position in the queue until it ends.
pub(super) type Reservation = Pin<Box<dyn Future<Output = io::Result<MemoryPermit>> + Send + Sync>>;

/// A session's wait for the memory of a command. It keeps its position in the queue until it ends.
pub(super) struct MemoryWait {
    reservation: Reservation,
    /// When the command is discarded. `None` if its length is unknown; the client's timeout ends the wait then.
    discard_at: Option<Instant>,
    /// The number of unread bytes, up to [`MIN_RECEIVE_BUFFER_BYTES`], when the client's timeout last started.
    unread_at_progress: usize,
}

/// What happens in a session's wait for memory.
pub(super) enum MemoryWaitEvent {
    Reserved(MemoryPermit),
    /// The command has waited long enough.
    Expired,
    /// It is time to check whether the client still sends.
    ProbeDue,
}

impl MemoryWait {
    fn new(budget: MemoryBudget, bytes: usize, is_next: bool, discard_at: Option<Instant>) -> MemoryWait {
        let reservation = Box::pin(async move { budget.reserve_command(bytes, is_next).await });
        MemoryWait { reservation, discard_at, unread_at_progress: 0 }
    }

    /// Waits for the next event of a wait, forever if there is none.
    ///
    /// # Cancel safety
    ///
    /// Cancel safe: the reservation is kept.
    pub(super) async fn next_event(wait: &mut Option<MemoryWait>) -> MemoryWaitEvent {
        let Some(wait) = wait else { return pending().await };
        let discard_at = wait.discard_at;
        tokio::select! {
            biased;
            // Fails only if the budget is closed, which never happens.
            Ok(permit) = &mut wait.reservation => MemoryWaitEvent::Reserved(permit),
            () = sleep_until_if_some(discard_at) => MemoryWaitEvent::Expired,
            () = sleep(PROBE_INTERVAL) => MemoryWaitEvent::ProbeDue,
        }
    }
}

/// Waits for the end of a wait for memory, forever if there is none. `None` only if the budget is closed, which never
/// happens.
///
/// # Cancel safety
///
/// Cancel safe: the reservation is kept.
pub(super) async fn next_permit(wait: &mut Option<Reservation>) -> Option<MemoryPermit> {
    match wait {
        Some(reservation) => reservation.await.ok(),
        None => pending().await,
    }
}

/// A command that is read and dropped, because there was no memory for it in time. It is rejected at its end.
pub(super) struct DiscardedCommand {
    /// The number of bytes that have not been read yet.
    remaining: usize,
    /// The number of bytes that have to remain at most for the client's timeout to start again.
    remaining_at_progress: usize,
    /// The request without its value.
    request: Result<ClientRequest, ClientCommandError>,
}

impl Session {
    /// Whether there is memory to read into.
    pub(super) fn has_buffer(&self) -> bool {
        self.discarded.is_some() || self.buffer.len() < SMALL_BUFFER_BYTES || self.buffer_permit.is_some()
    }

    /// Starts or ends the wait for memory. While replies are pending no large command gets memory, since it would be
    /// held until they are written, which may depend on the memory of others.
    pub(super) fn update_memory_wait(&mut self, shutting_down: bool) {
        if self.has_buffer() || !self.reads(shutting_down) {
            self.memory_wait = None;
            return;
        }
        if self.memory_wait.is_some() {
            return;
        }
        let write = AnnouncedWrite::parse(&self.buffer);
        let bytes = write.as_ref().map_or(UNANNOUNCED_BUFFER_BYTES, |write| write.length);
        if !is_small_command(bytes) && !self.pending.is_empty() {
            return;
        }
        let now = Instant::now();
        let discard_at = write.map(|write| now + self.memory_wait_limit(&write));
        let is_next = self.pending.is_empty();
        self.memory_wait = Some(MemoryWait::new(self.context.budget.clone(), bytes, is_next, discard_at));
        self.timeout_started_at = now;
        self.progress_bytes = self.buffer.len();
    }

    /// Starts or ends the wait for the memory of a reply.
    pub(super) fn update_reply_wait(&mut self) {
        if !self.awaits_reply_memory || !self.may_start_command() {
            self.reply_wait = None;
        } else if self.reply_wait.is_none() {
            let budget = self.context.budget.clone();
            self.reply_wait = Some(Box::pin(async move { budget.reserve_reply(MAX_REPLY_BYTES).await }));
        }
    }

    /// How long the write at the start of the buffer waits for memory.
    fn memory_wait_limit(&self, write: &AnnouncedWrite) -> Duration {
        match write.request_without_value(&self.buffer) {
            Ok(request) => Duration::from_micros(request.timeout) / WAIT_DIVISOR,
            Err(_) => INVALID_COMMAND_WAIT,
        }
    }

    /// Handles an event of the wait for memory.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub(super) fn on_memory_wait_event(&mut self, socket: &Socket, event: MemoryWaitEvent) -> io::Result<()> {
        self.probe_progress(socket)?;
        match event {
            MemoryWaitEvent::Reserved(permit) => self.grow_buffer(permit),
            MemoryWaitEvent::Expired => self.discard_command(),
            MemoryWaitEvent::ProbeDue => {}
        }
        Ok(())
    }

    /// Restarts the client's timeout if the client has sent enough since it last started, or may be blocked.
    fn probe_progress(&mut self, socket: &Socket) -> io::Result<()> {
        let Some(wait) = &mut self.memory_wait else { return Ok(()) };
        let unread = socket.unread_bytes(MIN_RECEIVE_BUFFER_BYTES)?;
        if unread >= wait.unread_at_progress + CHUNK_BYTES || unread == MIN_RECEIVE_BUFFER_BYTES {
            wait.unread_at_progress = unread;
            self.timeout_started_at = Instant::now();
        }
        Ok(())
    }

    /// Ends the wait for memory. Returns the number of unread bytes that do not count as progress any more.
    fn end_memory_wait(&mut self) -> usize {
        self.memory_wait.take().map_or(0, |wait| wait.unread_at_progress)
    }

    /// Enlarges the buffer for a command that does not fit in a small one.
    fn grow_buffer(&mut self, permit: MemoryPermit) {
        self.progress_bytes = self.buffer.len() + self.end_memory_wait();
        self.buffer.reserve(permit.num_permits().saturating_sub(self.buffer.len()));
        self.buffer_permit = Some(permit);
    }

    /// Discards the command in the buffer. What is missing of it is read and dropped, and the command is rejected then,
    /// so that its client gets an answer in time, and the connection can be used for others.
    fn discard_command(&mut self) {
        let counted = self.buffer.len() + self.end_memory_wait();
        let Some(write) = AnnouncedWrite::parse(&self.buffer) else { return };
        self.context.metrics.discarded_commands.increment();
        debug!(
            event = "command_discarded",
            length = write.length,
            "there was no memory for a command in time"
        );
        self.discarded = Some(DiscardedCommand {
            remaining: write.length,
            remaining_at_progress: write.length.saturating_sub(counted + CHUNK_BYTES),
            request: write.request_without_value(&self.buffer),
        });
        self.discard_read_bytes();
    }

    /// Drops the bytes in the buffer that belong to the discarded command, and rejects it if they were its last ones.
    pub(super) fn discard_read_bytes(&mut self) {
        let Some(mut command) = self.discarded.take() else { return };
        let read = command.remaining.min(self.buffer.len());
        command.remaining -= read;
        self.buffer.advance(read);
        if command.remaining <= command.remaining_at_progress {
            command.remaining_at_progress = command.remaining.saturating_sub(CHUNK_BYTES);
            self.timeout_started_at = Instant::now();
        }
        if command.remaining > 0 {
            self.buffer = BytesMut::with_capacity(SMALL_BUFFER_BYTES);
            self.discarded = Some(command);
        } else {
            let reply = self.reject_discarded(command.request);
            self.pending.push(reply);
        }
    }
}
