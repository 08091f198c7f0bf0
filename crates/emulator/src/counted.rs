//! A connection that counts what passes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What has passed over some connections.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    pub connections: AtomicU64,
    pub received: AtomicU64,
    pub sent: AtomicU64,
}

/// A connection, and where it counts.
pub(crate) struct Counted {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl Counted {
    pub fn new(stream: TcpStream, traffic: Arc<Traffic>) -> Counted {
        traffic.connections.fetch_add(1, Ordering::Relaxed);
        Counted { stream, traffic }
    }
}

impl From<Counted> for TcpStream {
    fn from(counted: Counted) -> TcpStream {
        counted.stream
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, into);
        self.traffic.received.fetch_add((into.filled().len() - before) as u64, Ordering::Relaxed);
        read
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, from);
        if let Poll::Ready(Ok(bytes)) = &written {
            self.traffic.sent.fetch_add(*bytes as u64, Ordering::Relaxed);
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
