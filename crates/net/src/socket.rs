//! A TCP connection whose reads and writes continue until they would block.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// A TCP connection with `TCP_NODELAY` set.
///
/// The methods take `&self`, so that one task can read, write and peek without splitting the socket. At most one task
/// may wait to read at a time, and at most one to write.
#[derive(Debug)]
pub struct Socket(TcpStream);

impl Socket {
    /// Connects to `addr`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call; [`SocketErrorKind`](crate::SocketErrorKind) classifies it.
    ///
    /// # Cancel safety
    ///
    /// Cancel safe: no connection remains open.
    pub async fn connect(addr: SocketAddr) -> io::Result<Socket> {
        Socket::new(TcpStream::connect(addr).await?)
    }

    /// Wraps a connected stream and sets `TCP_NODELAY`.
    ///
    /// # Errors
    ///
    /// Fails if the option cannot be set.
    pub fn new(stream: TcpStream) -> io::Result<Socket> {
        stream.set_nodelay(true)?;
        Ok(Socket(stream))
    }

    /// Appends available bytes to `buffer`, waiting for the first one. Returns 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    ///
    /// # Cancel safety
    ///
    /// Cancel safe: nothing has been read.
    pub async fn read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        loop {
            self.0.readable().await?;
            let read = retry_interrupted(|| self.0.try_read_buf(buffer));
            if !would_block(&read) {
                return read;
            }
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken; some of the bytes may have been written.
    ///
    /// # Cancel safety
    ///
    /// Not cancel safe: some of the bytes may have been written.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.0.writable().await?;
            match retry_interrupted(|| self.0.try_write(bytes)) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => bytes = &bytes[written..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Closes the sending direction. Bytes already written are still delivered.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub fn shutdown_write(&self) -> io::Result<()> {
        SockRef::from(&self.0).shutdown(Shutdown::Write)
    }

    /// Acknowledges what was received at once, rather than after the system's delay of some 40 ms. A peer without
    /// `TCP_NODELAY` sends no further small segment before.
    pub fn acknowledge_now(&self) {
        // Without effect where the system does not support it or the connection is broken.
        let _ = SockRef::from(&self.0).set_tcp_quickack(true);
    }

    /// Waits until the peer has sent something or closed its sending direction, without reading anything. Returns
    /// whether there are bytes to read.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    ///
    /// # Cancel safety
    ///
    /// Cancel safe: the socket is unchanged.
    pub async fn wait_for_input(&self) -> io::Result<bool> {
        loop {
            self.0.readable().await?;
            // The peek runs inside `try_io`: if it would block, the runtime clears the socket's readiness, so that the
            // next iteration of this loop waits for a new event.
            let peeked = retry_interrupted(|| self.0.try_io(Interest::READABLE, || self.peek()));
            if !would_block(&peeked) {
                return peeked.map(|bytes| bytes > 0);
            }
        }
    }

    /// Waits until the peer has closed its sending direction or the connection is broken, even if unread bytes precede
    /// the end.
    ///
    /// # Cancel safety
    ///
    /// Cancel safe: the socket is unchanged.
    pub async fn peer_closed(&self) {
        // The socket is not registered for priority data, so this waits only for the end of the read side. An error
        // also means that the connection has ended.
        let _ = self.0.ready(Interest::PRIORITY).await;
    }

    /// Whether the connection is open with nothing to read, as the kernel sees it now.
    pub fn is_idle(&self) -> bool {
        would_block(&self.peek_now())
    }

    /// Whether there are bytes to read, as the kernel sees it now.
    pub fn has_unread_bytes(&self) -> bool {
        self.peek_now().is_ok_and(|bytes| bytes > 0)
    }

    /// How many bytes there are to read, as the kernel sees it now, but at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub fn unread_bytes(&self, limit: usize) -> io::Result<usize> {
        let mut scratch = vec![MaybeUninit::uninit(); limit];
        let peeked = retry_interrupted(|| SockRef::from(&self.0).peek(&mut scratch));
        if would_block(&peeked) { Ok(0) } else { peeked }
    }

    /// The number of bytes written that the peer's machine has not acknowledged. It falls while a write has to wait if the
    /// peer takes what was sent before, long before the kernel reports the socket as writable again.
    ///
    /// # Errors
    ///
    /// Fails if the system does not tell, or if the connection is broken.
    #[allow(unsafe_code)]
    pub fn unacknowledged_bytes(&self) -> io::Result<usize> {
        let mut bytes: libc::c_int = 0;
        // SAFETY: the descriptor is open while `self` exists, and the call writes one `c_int`, which `bytes` is.
        let result = unsafe { libc::ioctl(self.0.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
        if result < 0 {
            return Err(io::Error::last_os_error());
        }
        usize::try_from(bytes).map_err(io::Error::other)
    }

    fn peek(&self) -> io::Result<usize> {
        SockRef::from(&self.0).peek(&mut [MaybeUninit::uninit()])
    }

    /// Peeks with a system call even if the runtime has no readiness event recorded. If it has one and the peek would
    /// block, the event is cleared, so that the next read waits for a new event at once.
    fn peek_now(&self) -> io::Result<usize> {
        let mut called = false;
        let peeked = retry_interrupted(|| {
            self.0.try_io(Interest::READABLE, || {
                called = true;
                self.peek()
            })
        });
        if called { peeked } else { retry_interrupted(|| self.peek()) }
    }

    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            let written = retry_interrupted(|| write(&self.0));
            if !would_block(&written) {
                return Poll::Ready(written);
            }
        }
    }
}

impl AsyncRead for &Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            let read = retry_interrupted(|| self.0.try_read(buffer.initialize_unfilled()));
            if would_block(&read) {
                continue;
            }
            return Poll::Ready(read.map(|bytes| buffer.advance(bytes)));
        }
    }
}

impl AsyncWrite for &Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(())) // nothing is buffered here
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self).poll_read(context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self).poll_shutdown(context)
    }
}

/// Makes a non-blocking call, and repeats it while it is interrupted by a signal.
fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

fn would_block<T>(result: &io::Result<T>) -> bool {
    result.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}
