//! A connection that counts the bytes that it transfers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Numbers of connections and of the bytes that they transferred.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounters {
    pub connections: AtomicU64,
    pub received_bytes: AtomicU64,
    pub sent_bytes: AtomicU64,
}

/// A connection and the counters that it updates.
pub(crate) struct CountedStream {
    stream: TcpStream,
    traffic: Arc<TrafficCounters>,
}

impl CountedStream {
    pub fn new(stream: TcpStream, traffic: Arc<TrafficCounters>) -> CountedStream {
        traffic.connections.fetch_add(1, Ordering::Relaxed);
        CountedStream { stream, traffic }
    }
}

impl From<CountedStream> for TcpStream {
    fn from(counted: CountedStream) -> TcpStream {
        counted.stream
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.traffic.received_bytes.fetch_add((buffer.filled().len() - before) as u64, Ordering::Relaxed);
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(written_bytes)) = &written {
            self.traffic.sent_bytes.fetch_add(*written_bytes as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
