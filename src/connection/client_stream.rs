//! A stream that records what its client does.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::process::clients::ClientConnection;

/// The stream of a client's connection.
#[derive(Debug)]
pub struct ClientStream<S> {
    stream: S,
    connection: Arc<ClientConnection>,
    has_ended: bool,
}

impl<S> ClientStream<S> {
    /// Wraps the stream of a registered connection.
    pub const fn new(stream: S, connection: Arc<ClientConnection>) -> Self {
        Self { stream, connection, has_ended: false }
    }

    /// Returns whether the client will send no more, or can't be reached.
    pub const fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Returns the wrapped stream.
    pub fn into_inner(self) -> S {
        self.stream
    }

    fn on_written(&self, polled: &Poll<io::Result<usize>>) {
        self.connection.on_write(polled.is_pending());
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ClientStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        match &polled {
            Poll::Ready(Ok(())) if buffer.filled().len() > before => self.connection.on_bytes(),
            Poll::Ready(_) => self.has_ended = true,
            Poll::Pending => {}
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ClientStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.on_written(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        self.on_written(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The connections of the HTTP library flush once everything was written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(context);
        if let Poll::Ready(Ok(())) = &polled {
            self.connection.on_flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
