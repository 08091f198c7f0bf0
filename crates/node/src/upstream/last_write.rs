//! A socket that records the time of its last write, for requests that the HTTP library writes in a task of its own.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use stonefold_net::Socket;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// The time when a socket last passed bytes to the kernel. Clones share one value.
#[derive(Clone, Default)]
pub(crate) struct LastWrite(Arc<Mutex<Option<Instant>>>);

impl LastWrite {
    /// The time of the last write, or `None` before the first one.
    pub(crate) fn at(&self) -> Option<Instant> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }
}

/// A socket that records its writes in a [`LastWrite`]. Others that share the socket only look at its state.
pub(crate) struct TimedSocket {
    socket: Arc<Socket>,
    last_write: LastWrite,
}

impl TimedSocket {
    /// Wraps a socket.
    pub(crate) fn new(socket: Arc<Socket>, last_write: LastWrite) -> TimedSocket {
        TimedSocket { socket, last_write }
    }

    /// Records a write that passed at least one byte to the kernel, and returns its result.
    fn recorded(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(bytes)) if bytes > 0) {
            self.last_write.record();
        }
        written
    }
}

impl AsyncRead for TimedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for TimedSocket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut &*self.socket).poll_write(context, bytes);
        self.recorded(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut &*self.socket).poll_write_vectored(context, slices);
        self.recorded(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.as_ref().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.socket).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.socket).poll_shutdown(context)
    }
}
