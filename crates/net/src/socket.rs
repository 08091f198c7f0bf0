//! A TCP connection whose reads and writes go on until they would block.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// A connection. Small writes go out at once (`TCP_NODELAY`).
///
/// Its methods take `&self`, so that one task may read, write and look in turn without splitting it. At most one task
/// at a time may wait to read, and one to write.
#[derive(Debug)]
pub struct Socket(TcpStream);

/// What a non-blocking call brought, where an interrupted call counts as one that is yet to be made.
fn once<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

fn would_block<T>(result: &io::Result<T>) -> bool {
    result.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

impl Socket {
    /// Connects. Cancelled, it leaves no connection.
    ///
    /// # Errors
    /// As the system's; [`meaning`](crate::meaning) tells what they mean.
    pub async fn connect(to: SocketAddr) -> io::Result<Socket> {
        Socket::new(TcpStream::connect(to).await?)
    }

    /// Takes over a connection.
    ///
    /// # Errors
    /// If the system refuses its option.
    pub fn new(stream: TcpStream) -> io::Result<Socket> {
        stream.set_nodelay(true)?;
        Ok(Socket(stream))
    }

    /// Reads what has come, at least a byte, into the buffer's end; 0 at the peer's close. Cancelled, it has read nothing.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        loop {
            self.0.readable().await?;
            let read = once(|| self.0.try_read_buf(buffer));
            if !would_block(&read) {
                return read;
            }
        }
    }

    /// Writes all bytes. Cancelled, it may have written a part of them.
    ///
    /// # Errors
    /// If the connection is broken; a part may have been written.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.0.writable().await?;
            match once(|| self.0.try_write(bytes)) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => bytes = &bytes[written..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Ends our sending side. What was written still goes out.
    ///
    /// # Errors
    /// If the connection is broken.
    pub fn shutdown_write(&self) -> io::Result<()> {
        SockRef::from(&self.0).shutdown(Shutdown::Write)
    }

    /// Waits until something has come or the peer has closed, and takes nothing; tells whether there are bytes. Cancelled,
    /// it has changed nothing.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn has_bytes(&self) -> io::Result<bool> {
        loop {
            self.0.readable().await?;
            // Through the runtime, which waits for the next event after a look that would block.
            let looked = once(|| self.0.try_io(Interest::READABLE, || self.peek()));
            if !would_block(&looked) {
                return looked.map(|bytes| bytes > 0);
            }
        }
    }

    /// Waits until the peer has closed its sending side, or the connection is broken, also behind bytes that are not read.
    pub async fn peer_closed(&self) {
        // A socket is not registered for data of priority, so that this waits for its reading side's end alone.
        let _ = self.0.ready(Interest::PRIORITY).await; // an error is an end
    }

    fn peek(&self) -> io::Result<usize> {
        SockRef::from(&self.0).peek(&mut [MaybeUninit::uninit()])
    }

    /// A look that asks the kernel in any case, and tells the runtime if nothing is there, so that a read after it waits
    /// for the next event at once.
    fn look(&self) -> io::Result<usize> {
        let mut asked = false;
        let looked = once(|| {
            self.0.try_io(Interest::READABLE, || {
                asked = true;
                self.peek()
            })
        });
        if asked { looked } else { once(|| self.peek()) }
    }

    /// Whether the peer has neither sent anything nor closed, as the kernel has it now.
    pub fn nothing_has_come(&self) -> bool {
        would_block(&self.look())
    }

    /// Whether the peer has sent something that is not read, as the kernel has it now.
    pub fn something_has_come(&self) -> bool {
        self.look().is_ok_and(|bytes| bytes > 0)
    }

    fn poll_read_some(&self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            let read = once(|| self.0.try_read(buffer.initialize_unfilled()));
            if would_block(&read) {
                continue;
            }
            return Poll::Ready(read.map(|bytes| buffer.advance(bytes)));
        }
    }

    fn poll_write_some(
        &self,
        context: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            let written = once(|| write(&self.0));
            if !would_block(&written) {
                return Poll::Ready(written);
            }
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_read_some(context, buffer)
    }
}

impl AsyncRead for &Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_read_some(context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_some(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_some(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(())) // nothing is held back here
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }
}

impl AsyncWrite for &Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_some(context, |stream| stream.try_write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }
}
