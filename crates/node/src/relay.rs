//! Relays large values from a server to a client in chunks, within the memory budget.

use std::io;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::memory_budget::{MIN_CHUNK_BYTES, MemoryBudget, MemoryPermit, ReplyReservation};
use crate::reply_turn::ReplyTurn;
use crate::write_progress::{ProgressWriter, SendingSide};

/// The largest value that is accepted, in bytes.
pub(crate) const MAX_VALUE_BYTES: usize = 4 << 20;
/// The largest value that is read completely and checked before it is passed on, in bytes.
pub(crate) const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// The largest chunk in which longer values are relayed, in bytes.
pub(crate) const CHUNK_BYTES: usize = 16 << 10;
/// A value is abandoned if its server sends no byte of it for this long. After a partition of 6 s, TCP may take as long
/// again until it repeats what was lost.
pub(crate) const SERVER_SILENCE_TIMEOUT: Duration = Duration::from_secs(15);
/// The largest command or reply, in bytes: a value and up to 4 KiB around it.
pub(crate) const MAX_FRAME_BYTES: usize = MAX_VALUE_BYTES + (4 << 10);

impl MemoryBudget {
    /// Makes chunks of bytes that have been read already. They are larger than [`MIN_CHUNK_BYTES`] only if there is
    /// memory for them.
    pub(crate) fn next_chunk(&self, bytes: &mut Bytes) -> Chunk {
        let (size, permit) = self.chunk_size(bytes.len());
        Chunk { bytes: bytes.split_to(size), _permit: permit }
    }

    /// Reads the next chunk of a value of which `remaining` bytes are missing, without waiting for memory. Returns
    /// `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream breaks or stays silent for [`SERVER_SILENCE_TIMEOUT`].
    pub(crate) async fn read_chunk(
        &self,
        from: &mut (impl AsyncRead + Unpin),
        remaining: usize,
    ) -> io::Result<Option<Chunk>> {
        let (size, permit) = self.chunk_size(remaining);
        let mut buffer = BytesMut::with_capacity(size);
        let read = timeout(SERVER_SILENCE_TIMEOUT, from.read_buf(&mut (&mut buffer).limit(size))).await??;
        Ok((read > 0).then(|| Chunk { bytes: buffer.freeze(), _permit: permit }))
    }

    /// The size of the next chunk of `remaining` bytes, and the permit for it if it is more than [`MIN_CHUNK_BYTES`].
    fn chunk_size(&self, remaining: usize) -> (usize, Option<MemoryPermit>) {
        let size = remaining.min(CHUNK_BYTES);
        if size <= MIN_CHUNK_BYTES {
            return (size, None);
        }
        match self.try_reserve_chunk(size) {
            Some(permit) => (size, Some(permit)),
            None => (MIN_CHUNK_BYTES, None),
        }
    }
}

/// A part of a value, counted in the budget until it is dropped.
pub(crate) struct Chunk {
    pub(crate) bytes: Bytes,
    /// `None` for a chunk of at most [`MIN_CHUNK_BYTES`].
    _permit: Option<MemoryPermit>,
}

impl Chunk {
    /// Wraps bytes that occupy the memory of `permit`.
    pub(crate) fn new(bytes: Bytes, permit: Option<MemoryPermit>) -> Chunk {
        Chunk { bytes, _permit: permit }
    }
}

/// The receiving end of a value in transit.
pub(crate) struct ValueStream {
    /// The length of the whole value, in bytes.
    pub(crate) length: usize,
    chunks: mpsc::Receiver<Chunk>,
}

/// The sending end of a value in transit. If it is dropped before the last chunk, the value is incomplete.
pub(crate) struct ValueSink(mpsc::Sender<Chunk>);

/// Room for one chunk in the channel of a value in transit.
pub(crate) struct ChunkSlot<'a>(mpsc::Permit<'a, Chunk>);

impl ChunkSlot<'_> {
    /// Sends a chunk.
    pub(crate) fn send(self, chunk: Chunk) {
        self.0.send(chunk);
    }
}

/// The error that the receiver of a value has dropped its stream.
#[derive(Debug)]
pub(crate) struct ReceiverDropped;

/// Creates a channel for a value of `length` bytes. It buffers one chunk.
pub(crate) fn value_channel(length: usize) -> (ValueSink, ValueStream) {
    let (sender, chunks) = mpsc::channel(1);
    (ValueSink(sender), ValueStream { length, chunks })
}

impl ValueSink {
    /// Waits while a chunk is buffered. A chunk is read only once there is a slot for it, so that a value whose
    /// receiver does not take it has one chunk in memory, besides the one that is being written.
    ///
    /// # Errors
    ///
    /// Fails if the receiver has dropped its stream.
    pub(crate) async fn slot(&self) -> Result<ChunkSlot<'_>, ReceiverDropped> {
        self.0.reserve().await.map(ChunkSlot).map_err(|_| ReceiverDropped)
    }

    /// Waits until the receiver has dropped its stream.
    pub(crate) async fn closed(&self) {
        self.0.closed().await;
    }
}

impl ValueStream {
    /// Creates the stream of a value that has been read completely.
    pub(crate) fn complete(value: Chunk) -> ValueStream {
        let (sender, chunks) = mpsc::channel(1);
        let length = value.bytes.len();
        let _ = sender.try_send(value); // succeeds, since the channel is empty and has room for one chunk
        ValueStream { length, chunks }
    }

    /// Returns the next chunk, or `None` after the last one and if the sender was dropped before it.
    pub(crate) async fn next_chunk(&mut self) -> Option<Chunk> {
        self.chunks.recv().await
    }

    /// Writes the value as a RESP2 bulk string.
    ///
    /// # Errors
    ///
    /// Fails if the value is incomplete or the client takes nothing for too long, see [`ProgressWriter`]. The connection
    /// has to be closed then, so that the client notices that the value is incomplete.
    pub(crate) async fn write_to(mut self, to: &mut ProgressWriter<impl SendingSide>) -> io::Result<()> {
        let header = format!("${}\r\n", self.length);
        to.write_all(header.as_bytes()).await?;
        let mut remaining = self.length;
        while remaining > 0 {
            let chunk = self.next_chunk().await.ok_or(io::ErrorKind::UnexpectedEof)?;
            remaining = remaining.checked_sub(chunk.bytes.len()).ok_or(io::ErrorKind::InvalidData)?;
            to.write_all(&chunk.bytes).await?;
        }
        to.write_all(b"\r\n").await
    }
}

/// What an attempt needs to buffer or to relay a value.
pub(crate) struct RelayContext {
    /// The budget that chunks and replies are reserved from.
    pub(crate) budget: MemoryBudget,
    /// What was reserved for the request's reply before.
    pub(crate) reservation: ReplyReservation,
    /// Whether the reply to the request is the next one of its connection.
    pub(crate) turn: ReplyTurn,
    /// Called with the value's stream once its first bytes have been read.
    pub(crate) on_start: Box<dyn FnOnce(ValueStream) + Send + Sync>,
}

impl RelayContext {
    /// Reserves the memory to buffer a reply of `bytes`, without waiting. `None` if there is none. `bytes` is at most
    /// [`MAX_REPLY_BYTES`](crate::memory_budget::MAX_REPLY_BYTES).
    pub(crate) fn try_reserve_reply(&self, bytes: usize) -> Option<MemoryPermit> {
        self.reservation.take(bytes, &self.budget)
    }

    /// Waits until there is memory for the largest value, and reserves it. A reply that has to wait for others of its
    /// connection gets none before: these may depend on the memory of other connections.
    ///
    /// # Errors
    ///
    /// Fails only if the budget is closed, which never happens.
    pub(crate) async fn reserve_largest_value(&self) -> io::Result<MemoryPermit> {
        self.turn.wait().await;
        self.budget.reserve_large(MAX_VALUE_BYTES).await
    }
}

#[cfg(test)]
mod tests;
