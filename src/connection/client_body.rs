//! Receives the bodies of clients' requests within the memory that all of them may hold.

use std::fmt::Display;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::task::Poll;

use hyper::body::{Body, Bytes};
use tokio::time::{Instant, timeout_at};

use crate::process::budgets::memory_budget::BodyBuffer;
use crate::process::clients::{Cause, ClientConnection, Clients, Phase};

/// Why a body was not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// It is malformed, or the client closed the connection.
    #[error("the body is broken off")]
    Broken,
    /// It was not complete in time.
    #[error("the body was not complete in time")]
    TimedOut,
    /// There is no memory for it.
    #[error("there is no memory for the body")]
    NoMemory,
}

impl BodyError {
    /// Returns why the client is turned away, unless the fault is in the request itself.
    pub const fn cause(self) -> Option<Cause> {
        match self {
            Self::TooLong | Self::Broken => None,
            Self::TimedOut => Some(Cause::BodyTimeout),
            Self::NoMemory => Some(Cause::Memory),
        }
    }
}

/// Receives a body of at most `max_bytes`, which must be complete by `deadline`.
///
/// # Errors
///
/// Returns why the body was not received. A part of it may be unread.
pub async fn receive<B>(
    body: B,
    max_bytes: usize,
    deadline: Instant,
    clients: &Clients,
    connection: &ClientConnection,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Display,
{
    let length = body.size_hint();
    if length.lower() > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    if length.exact() == Some(0) {
        return Ok(Bytes::new());
    }
    connection.set_phase(Phase::Body(Instant::now()));
    let received = timeout_at(deadline, collect(pin!(body), max_bytes, clients, connection)).await;
    connection.set_phase(Phase::Serving);
    received.unwrap_or(Err(BodyError::TimedOut))
}

async fn collect<B>(
    mut body: Pin<&mut B>,
    max_bytes: usize,
    clients: &Clients,
    connection: &ClientConnection,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Display,
{
    let mut buffer = BodyBuffer::new(&clients.requests);
    loop {
        // This task is woken if the connection must leave.
        let frame = poll_fn(|context| {
            if connection.must_leave() {
                return Poll::Ready(Err(BodyError::NoMemory));
            }
            body.as_mut().poll_frame(context).map(Ok)
        });
        let frame = match frame.await? {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => {
                tracing::debug!(%error, "the body of a request is broken off");
                return Err(BodyError::Broken);
            }
            None => return Ok(buffer.into_bytes()),
        };
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len() + data.len() > max_bytes {
            return Err(BodyError::TooLong);
        }
        if !clients.make_room(|| buffer.try_grow(data.len(), max_bytes)).await {
            return Err(BodyError::NoMemory);
        }
        buffer.push(&data);
    }
}

#[cfg(test)]
mod tests;
