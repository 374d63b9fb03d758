//! Stops a request from being written once it may no longer be sent.
//!
//! The check stands directly before the write to the socket, so that a pause between the decision
//! to send and the write can't let stale work out.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::clock::{Clock, Monotonic, micros};

/// The condition under which the next request on a connection may be written.
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

    /// Arms the fence for one request.
    pub(crate) fn arm(&self, valid_until: Monotonic) {
        self.written.store(false, Ordering::SeqCst);
        self.valid_until_us.store(micros(valid_until), Ordering::SeqCst);
    }

    /// Tells whether any byte was handed to the socket since the fence was armed.
    pub(crate) fn was_written(&self) -> bool {
        self.written.load(Ordering::SeqCst)
    }

    /// Tells whether the time to write the request is over.
    pub(crate) fn is_over(&self) -> bool {
        micros(self.clock.now()) >= self.valid_until_us.load(Ordering::SeqCst)
    }

    /// Passes a write, or refuses the first one where its time is over.
    fn check(&self) -> io::Result<()> {
        if self.was_written() {
            return Ok(());
        }
        if self.is_over() {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "no longer valid, not sent"));
        }
        Ok(())
    }
}

/// A connection whose writes pass a [`Fence`].
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
