//! The seam between the request path and what backend servers speak.
//!
//! The request path decides where and when to send; an implementation of [`BackendProtocol`]
//! writes and reads the bytes and says truly what may have run.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::{HeaderMap, Method};
use smol_str::SmolStr;

use crate::ids::{RequestId, ServerId};
use crate::outcome::UnknownReason;

/// Proves to callers that a backend server made a reply.
pub type Signature = SmolStr;

/// A caller's request as it is passed on.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method, unchanged.
    pub method: Method,
    /// The path and query, unchanged.
    pub path: SmolStr,
    /// The host name that the caller asked for.
    pub host: SmolStr,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The body, unchanged.
    pub body: Bytes,
    /// The caller's name for this attempt of its own.
    pub request_id: RequestId,
}

/// A whole reply of a backend server.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The headers that are passed back.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The server's signature, if it gave one.
    pub signature: Option<Signature>,
}

impl Reply {
    /// Tells whether the server did what was asked.
    pub const fn is_success(&self) -> bool {
        matches!(self.status, 200..300)
    }
}

/// How an exchange ended.
#[derive(Debug, Clone)]
pub enum Exchanged {
    /// A whole reply to this very request.
    Reply(Reply),
    /// The server says that it did not and will not run the request, for want of room or time.
    Shed,
    /// Another server has the address now; it did not run the request.
    WrongServer,
    /// No byte was handed to the server.
    Unsent,
    /// The request may have run.
    Lost(UnknownReason),
}

/// One connection to a backend server, which carries one request at a time.
pub trait Exchange: Send + 'static {
    /// Sends a request for a named server and reads the reply. Dropping the future closes the
    /// connection, by which servers know that the request is not wanted any more.
    fn exchange(
        &mut self,
        call: &Call,
        server: &ServerId,
        left: Duration,
    ) -> impl Future<Output = Exchanged> + Send;

    /// Tells how long the connection may be idle and still be used, or `None` where its state is
    /// not provably clean.
    fn may_idle(&self) -> Option<Duration>;
}

/// What backend servers speak.
pub trait BackendProtocol: Send + Sync + 'static {
    /// A connection.
    type Link: Exchange;

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns what the operating system said.
    fn connect(&self, addr: SocketAddr) -> impl Future<Output = io::Result<Self::Link>> + Send;
}
