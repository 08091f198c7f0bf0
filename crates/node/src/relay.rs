//! Values on their way through the node, in chunks of bounded size and under one budget of memory.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::timeout;

/// The longest value.
pub const VALUE_LIMIT: usize = 4 << 20;
/// A value of up to this length is passed on whole, once it has been checked.
pub const WHOLE: usize = 64 << 10;
/// Longer ones pass in pieces of up to this size.
pub const CHUNK: usize = 16 << 10;
/// A side that neither gives nor takes a byte for so long is given up.
pub const STUCK: Duration = Duration::from_secs(5);

/// The longest command or answer, with what stands round the value.
pub const LARGEST: usize = VALUE_LIMIT + (4 << 10);

/// A part of the budget, given back when it is dropped.
pub type Room = OwnedSemaphorePermit;

/// The memory that values under way may take, in both directions together.
#[derive(Clone)]
pub struct Budget(Arc<Semaphore>);

impl Budget {
    /// A budget of so many bytes; at least what the longest value takes.
    pub fn new(bytes: usize) -> Budget {
        Budget(Arc::new(Semaphore::new(bytes.max(LARGEST))))
    }

    /// Waits until so much is free, for what has to be held whole. Who comes later waits behind.
    pub async fn room(&self, bytes: usize) -> io::Result<Room> {
        self.0.clone().acquire_many_owned(bytes as u32).await.map_err(io::Error::other)
    }

    /// Waits until a chunk of this size has room. Whoever holds one passes it on or gives up in bounded time,
    /// and nobody waits for a second one while holding the first.
    async fn reserve(&self, size: usize) -> io::Result<Room> {
        self.0.clone().acquire_many_owned(size.min(CHUNK) as u32).await.map_err(io::Error::other)
    }

    /// A piece of a value, counted until it is dropped.
    pub async fn hold(&self, bytes: Bytes) -> io::Result<Chunk> {
        let held = self.reserve(bytes.len()).await?;
        Ok(Chunk { bytes, _held: held })
    }

    /// Reads the next piece of a value of which so much is left; nothing at the end of the stream.
    pub async fn read(&self, from: &mut (impl AsyncRead + Unpin), left: usize) -> io::Result<Option<Chunk>> {
        let size = left.min(CHUNK);
        let held = self.reserve(size).await?;
        let mut buffer = BytesMut::with_capacity(size);
        let read = timeout(STUCK, from.read_buf(&mut (&mut buffer).limit(size))).await??;
        Ok((read > 0).then(|| Chunk { bytes: buffer.freeze(), _held: held }))
    }
}

/// A piece of a value, counted in the budget while it lives.
pub struct Chunk {
    pub bytes: Bytes,
    _held: Room,
}

/// A value on its way: its length, and its pieces as they come.
pub struct Stream {
    pub length: usize,
    chunks: mpsc::Receiver<Chunk>,
}

/// Where the pieces of a value go in. Dropped before all have gone in, it leaves the value spoilt.
pub struct Sink(mpsc::Sender<Chunk>);

/// The receiver of a value has left.
#[derive(Debug)]
pub struct Left;

/// A way for a value of this length. It holds one piece; whoever gives another waits.
pub fn way(length: usize) -> (Sink, Stream) {
    let (sender, chunks) = mpsc::channel(1);
    (Sink(sender), Stream { length, chunks })
}

impl Sink {
    pub async fn give(&self, chunk: Chunk) -> Result<(), Left> {
        self.0.send(chunk).await.map_err(|_| Left)
    }
    /// Waits until nobody wants the rest.
    pub async fn left(&self) {
        self.0.closed().await;
    }
}

/// A value that is at hand whole, with the room that it takes.
pub fn whole(bytes: Bytes, room: Room) -> Stream {
    let (sender, chunks) = mpsc::channel(1);
    let length = bytes.len();
    let _ = sender.try_send(Chunk { bytes, _held: room }); // it is empty, and holds one
    Stream { length, chunks }
}

impl Stream {
    /// The next piece; nothing after the last, or where the rest is lost.
    pub async fn next(&mut self) -> Option<Chunk> {
        self.chunks.recv().await
    }

    /// Writes the value as RESP2 has it. An error if it did not come whole, or the client takes no more: the
    /// connection then has to close, so that the client can tell.
    pub async fn write_to(mut self, to: &mut (impl AsyncWrite + Unpin)) -> io::Result<()> {
        let head = format!("${}\r\n", self.length);
        timeout(STUCK, to.write_all(head.as_bytes())).await??;
        let mut left = self.length;
        while left > 0 {
            let chunk = self.next().await.ok_or(io::ErrorKind::UnexpectedEof)?;
            left = left.checked_sub(chunk.bytes.len()).ok_or(io::ErrorKind::InvalidData)?;
            for part in chunk.bytes.chunks(CHUNK) {
                timeout(STUCK, to.write_all(part)).await??;
            }
        }
        timeout(STUCK, to.write_all(b"\r\n")).await?
    }
}

/// How an attempt tells that its value has begun to come, and from which budget it reads.
pub struct Pass {
    pub budget: Budget,
    pub begin: Box<dyn FnOnce(Stream) + Send>,
}

#[cfg(test)]
mod tests;
