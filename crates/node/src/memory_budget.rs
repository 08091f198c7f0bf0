//! The memory that large commands, buffered replies and values in transit may occupy, divided by what waits for it.
//!
//! Invariants, which exclude deadlock and starvation:
//!
//! - A value on its way to a client never waits for memory. While the chunks' part is used up it proceeds in chunks of
//!   [`MIN_CHUNK_BYTES`], which the memory accounted for each open request covers.
//! - Whoever waits for a command's memory holds none for that command. What its connection holds for earlier ones is
//!   released without it.
//! - The part of the large buffers is held only by a command or reply that is the next one of its connection. So whoever
//!   holds it waits for servers and for its own client, and for nobody else's memory.
//! - Small commands have a part that large ones cannot use up.
//! - A reply never waits for memory to be buffered. If its part of the budget is used up, it is relayed like a long
//!   value. Only a command that would be started behind another one waits for the memory of its reply, and no reply waits
//!   for that command.
//!
//! The waits themselves are bounded by the callers, since clients decide how long a command's memory is held.

use std::io;
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::relay::{CHUNK_BYTES, MAX_BUFFERED_BYTES, MAX_FRAME_BYTES};

mod replies;

pub(crate) use replies::{BufferedValue, MAX_ENVELOPE_BYTES, MAX_REPLY_BYTES, ReplyReservation};

/// The size of a chunk that is read without a permit, in bytes. A value in transit has two chunks at most.
pub(crate) const MIN_CHUNK_BYTES: usize = 2 << 10;
/// The longest value that is buffered without a permit, in bytes. The memory accounted for each open request covers it.
pub(crate) const MAX_COVERED_VALUE_BYTES: usize = MIN_CHUNK_BYTES;
/// The largest command that counts as small, in bytes: what is needed for any value that is not relayed.
pub(crate) const MAX_SMALL_COMMAND_BYTES: usize = 2 * MAX_BUFFERED_BYTES;
/// The chunks of values in transit may occupy this fraction of what large buffers may.
const CHUNKS_DIVISOR: usize = 8;
/// Small commands have this fraction of what large buffers may occupy in addition.
const SMALL_COMMANDS_DIVISOR: usize = 8;
/// Buffered replies have this fraction of what large buffers may occupy in addition.
const REPLIES_DIVISOR: usize = 2;

/// A reserved part of the memory budget, returned to it on drop.
pub(crate) type MemoryPermit = OwnedSemaphorePermit;

/// The memory of commands that do not fit in a connection's small buffer, of buffered replies and of values in transit.
/// Clones share one budget.
#[derive(Clone)]
pub(crate) struct MemoryBudget {
    chunks: Arc<Semaphore>,
    small_commands: Arc<Semaphore>,
    replies: Arc<Semaphore>,
    large_buffers: Arc<Semaphore>,
}

impl MemoryBudget {
    /// Creates a budget with `bytes` for large buffers, or [`MAX_FRAME_BYTES`] if that is more. Chunks and small
    /// commands have an eighth of it each in addition, and buffered replies a half.
    pub(crate) fn new(bytes: usize) -> MemoryBudget {
        MemoryBudget {
            chunks: Arc::new(Semaphore::new(bytes / CHUNKS_DIVISOR)),
            small_commands: Arc::new(Semaphore::new(
                (bytes / SMALL_COMMANDS_DIVISOR).max(MAX_SMALL_COMMAND_BYTES),
            )),
            replies: Arc::new(Semaphore::new((bytes / REPLIES_DIVISOR).max(MAX_REPLY_BYTES))),
            large_buffers: Arc::new(Semaphore::new(bytes.max(MAX_FRAME_BYTES))),
        }
    }

    /// Waits until `bytes` are free and reserves them for a command that is buffered completely. Commands of the same
    /// kind, small or large, are served in the order of the calls. A small one may have memory from the part of the large
    /// ones if it is the next command that its connection replies to.
    ///
    /// # Errors
    ///
    /// Fails only if the budget is closed, which never happens.
    pub(crate) async fn reserve_command(&self, bytes: usize, is_next: bool) -> io::Result<MemoryPermit> {
        if !is_small_command(bytes) {
            return reserve(&self.large_buffers, bytes).await;
        }
        // Does not overtake a large command that waits: the memory that is free then has been assigned to it.
        let large = || if is_next { try_reserve(&self.large_buffers, bytes) } else { None };
        let free = try_reserve(&self.small_commands, bytes).or_else(large);
        match free {
            Some(permit) => Ok(permit),
            None => reserve(&self.small_commands, bytes).await,
        }
    }

    /// Waits until `bytes` are free for a reply that is the next one of its connection, and reserves them. `bytes` is at
    /// most [`MAX_FRAME_BYTES`].
    ///
    /// # Errors
    ///
    /// Fails only if the budget is closed, which never happens.
    pub(crate) async fn reserve_large(&self, bytes: usize) -> io::Result<MemoryPermit> {
        reserve(&self.large_buffers, bytes).await
    }

    /// Waits until `bytes` are free for a reply, and reserves them. `bytes` is at most [`MAX_REPLY_BYTES`].
    ///
    /// # Errors
    ///
    /// Fails only if the budget is closed, which never happens.
    pub(crate) async fn reserve_reply(&self, bytes: usize) -> io::Result<MemoryPermit> {
        debug_assert!(bytes <= MAX_REPLY_BYTES, "a reply of {bytes} bytes");
        reserve(&self.replies, bytes).await
    }

    /// Reserves memory for a reply, if it is free.
    pub(crate) fn try_reserve_reply(&self, bytes: usize) -> Option<MemoryPermit> {
        try_reserve(&self.replies, bytes)
    }

    /// Reserves the memory of one chunk of a value in transit, if it is free. `bytes` is at most [`CHUNK_BYTES`].
    pub(crate) fn try_reserve_chunk(&self, bytes: usize) -> Option<MemoryPermit> {
        debug_assert!(bytes <= CHUNK_BYTES, "a chunk of {bytes} bytes");
        try_reserve(&self.chunks, bytes)
    }
}

/// Whether a command of this length has its memory from the part of the small commands.
pub(crate) fn is_small_command(bytes: usize) -> bool {
    bytes <= MAX_SMALL_COMMAND_BYTES
}

async fn reserve(part: &Arc<Semaphore>, bytes: usize) -> io::Result<MemoryPermit> {
    part.clone().acquire_many_owned(bytes as u32).await.map_err(io::Error::other)
}

fn try_reserve(part: &Arc<Semaphore>, bytes: usize) -> Option<MemoryPermit> {
    part.clone().try_acquire_many_owned(bytes as u32).ok()
}

#[cfg(test)]
mod tests;
