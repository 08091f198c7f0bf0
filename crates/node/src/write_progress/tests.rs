//! Writes to a socket that accepts nothing, in virtual time.

use std::cell::Cell;
use std::pin::Pin;
use std::task::{Context, Poll};

use super::*;

/// The send buffer of [`FullSocket`], in bytes.
const SENT_BYTES: usize = 4 << 20;

/// A socket whose send buffer is full, and whose peer takes bytes at a constant rate.
struct FullSocket {
    created_at: Instant,
    bytes_per_second: usize,
    probes: Cell<usize>,
}

impl FullSocket {
    fn new(bytes_per_second: usize) -> FullSocket {
        FullSocket { created_at: Instant::now(), bytes_per_second, probes: Cell::new(0) }
    }
}

impl AsyncWrite for FullSocket {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, _: &[u8]) -> Poll<io::Result<usize>> {
        Poll::Pending
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl SendingSide for FullSocket {
    fn unacknowledged_bytes(&self) -> usize {
        self.probes.set(self.probes.get() + 1);
        let taken = self.created_at.elapsed().as_secs_f64() * self.bytes_per_second as f64;
        SENT_BYTES.saturating_sub(taken as usize)
    }
}

impl SendingSide for tokio::io::DuplexStream {
    fn unacknowledged_bytes(&self) -> usize {
        0
    }
}

impl SendingSide for &mut Vec<u8> {
    fn unacknowledged_bytes(&self) -> usize {
        0
    }
}

/// How long a write goes on while the peer takes bytes at this rate, and how it ends; `None` if it goes on for an hour.
async fn given_up_after(bytes_per_second: usize) -> Option<(Duration, io::ErrorKind)> {
    let mut writer = ProgressWriter::new(FullSocket::new(bytes_per_second));
    let start = Instant::now();
    let result = timeout(Duration::from_secs(3_600), writer.write_all(b"more")).await;
    let error = result.ok()?.expect_err("the socket accepts nothing");
    assert!(writer.to.probes.get() > 1);
    Some((start.elapsed(), error.kind()))
}

/// Guards against a client that is cut off because the kernel reports its socket as full, although it reads steadily.
#[tokio::test(start_paused = true)]
async fn peer_that_takes_bytes_is_not_given_up_while_the_socket_accepts_none() {
    assert_eq!(given_up_after(1_000).await, None);
}

/// Guards against a stalled peer that holds its connection forever.
#[tokio::test(start_paused = true)]
async fn peer_that_takes_nothing_is_given_up_once() {
    let (after, error) = given_up_after(0).await.expect("it is given up");
    assert_eq!(error, io::ErrorKind::TimedOut);
    assert!(after >= STALL_TIMEOUT && after < STALL_TIMEOUT + 2 * PROBE_INTERVAL, "after {after:?}");
}
