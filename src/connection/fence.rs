//! Prevents a request from being written after it may no longer be sent.
//!
//! The check happens directly before the write to the socket, so that a process that was paused
//! between the decision to send and the write can't send a stale request.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::clock::{Clock, Monotonic, micros};

/// The deadline for writing the next request on a connection.
#[derive(Debug)]
pub(crate) struct Fence {
    clock: Clock,
    valid_until_us: AtomicU64,
    written: AtomicBool,
}

impl Fence {
    pub(crate) const fn new(clock: Clock) -> Self {
        Self { clock, valid_until_us: AtomicU64::new(u64::MAX), written: AtomicBool::new(false) }
    }

    /// Sets the deadline for writing one request.
    pub(crate) fn arm(&self, valid_until: Monotonic) {
        self.written.store(false, Ordering::SeqCst);
        self.valid_until_us.store(micros(valid_until), Ordering::SeqCst);
    }

    /// Returns whether any byte was written to the socket since the fence was armed.
    pub(crate) fn was_written(&self) -> bool {
        self.written.load(Ordering::SeqCst)
    }

    /// Returns whether the deadline for writing the request has passed.
    pub(crate) fn is_expired(&self) -> bool {
        micros(self.clock.now()) >= self.valid_until_us.load(Ordering::SeqCst)
    }

    /// Allows a write, unless it is the first one of a request and the deadline has passed.
    fn check(&self) -> io::Result<()> {
        if self.was_written() {
            return Ok(());
        }
        if self.is_expired() {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "request not sent: its write deadline has passed",
            ));
        }
        Ok(())
    }
}

/// A TCP stream that checks a [`Fence`] before every write.
#[derive(Debug)]
pub(crate) struct FencedStream {
    inner: TcpStream,
    fence: Arc<Fence>,
}

impl FencedStream {
    pub(crate) const fn new(inner: TcpStream, fence: Arc<Fence>) -> Self {
        Self { inner, fence }
    }
}

impl AsyncRead for FencedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for FencedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.fence.check()?;
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        if matches!(polled, Poll::Ready(Ok(n)) if n > 0) {
            self.fence.written.store(true, Ordering::SeqCst);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
