//! Serves the HTTP connections of clients that may not behave.
//!
//! Every wait for a client has an end: a connection may be idle for a while, a head and the reading
//! of an answer take a limited time, and a body ends with its request's deadline (see
//! [`client_body`](super::client_body)). Any of these waits ends early if its room is needed.

use std::borrow::Cow;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Body, Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use super::accept::accept;
use super::client_stream::ClientStream;
use crate::process::clients::{
    Cause, ClientConnection, ClientKind, Clients, Phase, RECEIVE_BUFFER_BYTES, RegisteredConnection,
};

/// The number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The smallest buffer for a request head that hyper accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;
/// Added to the time in which an answer must be read, for each byte of it: 16 KiB per second.
const READ_TIME_PER_BYTE: Duration = Duration::from_nanos(61_035);
/// How long a connection is kept after a refusal, and how much is read and discarded meanwhile, so
/// that the refusal arrives: a close with unread bytes resets the connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_DISCARDED_BYTES: usize = 512 << 10;
const DISCARD_BUFFER_BYTES: usize = 2 << 10;

/// When a client may come back for which there was no room. The times are spread, so that a crowd
/// does not return at once.
const RETRY_AFTER_MS: std::ops::Range<u64> = 150..450;
const REQUEST_TIMEOUT: &str =
    "HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// The times that a host waits for a client.
#[derive(Debug, Clone, Copy)]
pub struct WaitLimits {
    /// The maximum time for a request head, or for a frame.
    pub head_timeout: Duration,
    /// The maximum time without a request. The time to read an answer is longer by what its length
    /// needs.
    pub idle_timeout: Duration,
}

/// The limits of one HTTP connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// The maximum size of a request head.
    pub max_head_bytes: usize,
    /// The times that this host waits for the client.
    pub waits: WaitLimits,
}

/// Listens on an address with a limited buffer for what clients send while nobody reads it.
///
/// # Errors
///
/// Returns the error of the operating system if the address can't be bound.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Returns the next connection for which there is room, or `None` once `until` is cancelled.
pub async fn accept_client(
    listener: &TcpListener,
    clients: &Arc<Clients>,
    kind: ClientKind,
    until: &CancellationToken,
) -> Option<(TcpStream, RegisteredConnection)> {
    while let Some(stream) = accept(listener, until, kind.name()).await {
        if let Some(registered) = clients.register(kind) {
            return Some((stream, registered));
        }
        clients.on_turned_away(kind, Cause::Connections);
        // Other hosts don't speak HTTP.
        if kind != ClientKind::Host {
            refuse(clients, stream, unavailable());
        }
    }
    None
}

/// Returns the refusal of a connection, or of a request whose head has not arrived.
fn unavailable() -> Cow<'static, str> {
    let retry_after_s = rand::rng().random_range(RETRY_AFTER_MS) as f64 / 1e3;
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: {retry_after_s:.3}\r\ncontent-length: \
         0\r\nconnection: close\r\n\r\n"
    )
    .into()
}

/// Why a connection ends.
#[derive(Debug)]
pub(crate) enum End {
    Finished(Result<(), hyper::Error>),
    Idle,
    TimedOut(Cause),
    Displaced,
}

/// Serves the requests of one connection until it ends. No further request is accepted once
/// `closing` is cancelled.
pub async fn serve<F>(
    stream: TcpStream,
    registered: RegisteredConnection,
    limits: ConnectionLimits,
    closing: &CancellationToken,
    handle: impl Fn(Request<Incoming>, Arc<ClientConnection>) -> F,
) where
    F: Future<Output = Response<Full<Bytes>>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "TCP_NODELAY not set on a client's connection");
    }
    let connection = registered.connection().clone();
    let service = service_fn(|request| {
        connection.set_phase(Phase::Serving);
        let answer = handle(request, connection.clone());
        let connection = &connection;
        Box::pin(async move {
            let response = answer.await;
            let length = response.body().size_hint().lower();
            let read_time =
                READ_TIME_PER_BYTE.saturating_mul(length.try_into().unwrap_or(u32::MAX));
            connection.on_answer(limits.waits.idle_timeout + read_time);
            Ok::<_, Infallible>(response)
        })
    });
    let stream = ClientStream::new(stream, connection.clone());
    let mut http = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let end = {
        let mut waits = pin!(Waits::new(&connection, limits.waits));
        let mut closed = pin!(closing.cancelled());
        let mut is_closing = false;
        std::future::poll_fn(|context| {
            if !is_closing && closed.as_mut().poll(context).is_ready() {
                is_closing = true;
                // hyper would wait for the first request.
                if connection.is_idle() {
                    return Poll::Ready(End::Idle);
                }
                Pin::new(&mut http).graceful_shutdown();
            }
            // Writes all of the last answer before it returns.
            if let Poll::Ready(result) = Pin::new(&mut http).poll(context) {
                return Poll::Ready(End::Finished(result));
            }
            waits.as_mut().poll(context)
        })
        .await
    };
    let stream = http.into_parts().io.into_inner();
    end_connection(stream, &registered, &connection, end).await;
}

async fn end_connection(
    stream: ClientStream<TcpStream>,
    registered: &RegisteredConnection,
    connection: &ClientConnection,
    end: End,
) {
    let has_ended = stream.has_ended();
    let can_write = !connection.is_write_blocked();
    let mut stream = stream.into_inner();
    // The text of a refusal that is still to be written; it is empty if the answer refused the client.
    let refusal = match end {
        End::Finished(Ok(())) if connection.was_refused() => Some(Cow::Borrowed("")),
        End::Finished(Err(error)) if error.is_parse() => Some(Cow::Borrowed("")),
        End::Finished(result) => {
            if let Err(error) = result {
                tracing::debug!(%error, "a client's connection failed");
            }
            None
        }
        End::Idle => None,
        End::TimedOut(cause) => {
            registered.on_turned_away(cause);
            (cause == Cause::HeadTimeout).then_some(Cow::Borrowed(REQUEST_TIMEOUT))
        }
        End::Displaced => {
            registered.on_turned_away(Cause::Displaced);
            matches!(connection.phase(), Phase::Head(_)).then(unavailable)
        }
    };
    match refusal {
        Some(refusal) if can_write && !has_ended => refuse(registered.clients(), stream, refusal),
        _ => {
            // The client has left, or doesn't read.
            let _ = stream.shutdown().await;
        }
    }
}

/// Sends a refusal and keeps the connection until it has arrived, apart from the connections that
/// count as the clients'.
fn refuse(clients: &Arc<Clients>, mut stream: TcpStream, refusal: Cow<'static, str>) {
    let Some(refused) = clients.refuse() else { return };
    tokio::spawn(async move {
        let discard = async {
            stream.write_all(refusal.as_bytes()).await?;
            stream.shutdown().await?;
            let mut buffer = [0; DISCARD_BUFFER_BYTES];
            let mut discarded = 0;
            while discarded < MAX_DISCARDED_BYTES {
                match stream.read(&mut buffer).await? {
                    0 => break,
                    length => discarded += length,
                }
            }
            io::Result::Ok(())
        };
        // The refusal can't be delivered if this fails.
        let _ = timeout(REFUSAL_TIMEOUT, discard).await;
        drop(refused);
    });
}

/// Ends the waits of a connection for its client.
#[derive(Debug)]
pub(crate) struct Waits<'a> {
    connection: &'a ClientConnection,
    limits: WaitLimits,
    timer: Pin<Box<tokio::time::Sleep>>,
}

impl<'a> Waits<'a> {
    pub(crate) fn new(connection: &'a ClientConnection, limits: WaitLimits) -> Self {
        let timer = Box::pin(sleep_until(Instant::now() + limits.idle_timeout));
        Self { connection, limits, timer }
    }

    /// Returns when the present wait ends, and why.
    fn deadline(&self) -> Option<(Instant, End)> {
        if let Some(at) = self.connection.answer_deadline() {
            return Some((at, End::TimedOut(Cause::UnreadAnswer)));
        }
        match self.connection.phase() {
            Phase::Idle(since) => Some((since + self.limits.idle_timeout, End::Idle)),
            Phase::Head(since) => {
                Some((since + self.limits.head_timeout, End::TimedOut(Cause::HeadTimeout)))
            }
            // The request ends at its deadline.
            Phase::Body(_) | Phase::Serving => None,
        }
    }
}

impl Future for Waits<'_> {
    type Output = End;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<End> {
        let must_leave = self.connection.poll_must_leave(context.waker());
        // A request whose body is being read is refused by its handler.
        if must_leave && !matches!(self.connection.phase(), Phase::Body(_) | Phase::Serving) {
            return Poll::Ready(End::Displaced);
        }
        let Some((at, end)) = self.deadline() else { return Poll::Pending };
        if self.timer.deadline() != at {
            // A later deadline is set when the timer fires, so that it isn't reset with each
            // request.
            if at < self.timer.deadline() || self.timer.is_elapsed() {
                self.timer.as_mut().reset(at);
            }
        }
        while self.timer.as_mut().poll(context).is_ready() {
            if self.timer.deadline() >= at {
                return Poll::Ready(end);
            }
            self.timer.as_mut().reset(at);
        }
        Poll::Pending
    }
}

#[cfg(test)]
mod tests;
