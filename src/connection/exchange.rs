//! The interface between the request path and the protocol of backend servers.
//!
//! The request path decides where and when to send. An implementation of [`BackendProtocol`] writes
//! and reads the bytes and reports whether a request may have run.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::{HeaderMap, Method};
use smol_str::SmolStr;

use crate::ids::{RequestId, ServerId};
use crate::outcome::UnknownReason;
use crate::process::quarantine::Fingerprint;
use crate::version::config::stable_hash;

/// Proves to callers that a reply comes from a backend server.
pub type Signature = SmolStr;

/// A caller's request as it is forwarded to servers.
#[derive(Debug, Clone)]
pub struct Call {
    /// The unchanged method.
    pub method: Method,
    /// The unchanged path and query.
    pub path: SmolStr,
    /// The host name of the caller's request.
    pub host: SmolStr,
    /// The forwarded headers.
    pub headers: HeaderMap,
    /// The unchanged body.
    pub body: Bytes,
    /// The identifier that the caller gave to this attempt.
    pub request_id: RequestId,
}

/// The seed of the fingerprint's hash; all hosts must use the same one.
const FINGERPRINT_SEED: u64 = 0x7175_6574_7a61_6c05;

impl Call {
    /// Returns a hash of what a server is given to process. It is the same whenever a caller sends
    /// the request again.
    pub fn fingerprint(&self) -> Fingerprint {
        let caller = self.headers.get(AUTHORIZATION).map_or(&[][..], HeaderValue::as_bytes);
        let parts: [&[u8]; 5] = [
            self.method.as_str().as_bytes(),
            self.host.as_bytes(),
            self.path.as_bytes(),
            caller,
            &self.body,
        ];
        // Each part is hashed with the hash of those before it, so that their bounds count.
        parts.iter().fold(FINGERPRINT_SEED, |seed, part| stable_hash(seed, part))
    }
}

/// A complete reply of a backend server.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The headers that are returned to the caller.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The server's signature, if it sent one.
    pub signature: Option<Signature>,
}

impl Reply {
    /// Returns whether the status code is a success.
    pub const fn is_success(&self) -> bool {
        matches!(self.status, 200..300)
    }
}

/// The result of an exchange.
#[derive(Debug, Clone)]
pub enum ExchangeResult {
    /// The complete reply to this request.
    Reply(Reply),
    /// The server reports that it did not and will not run the request, for lack of capacity or time.
    Shed,
    /// Another server now has this address; it did not run the request.
    WrongServer,
    /// No byte of the request was sent.
    Unsent,
    /// The request may have run.
    Lost(UnknownReason),
}

/// What a reply says about the rate limit of its server, which holds for all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateStatement {
    /// It states none.
    Unlimited,
    /// It states this many requests per second, a finite number that is not negative.
    PerSecond(f64),
    /// It states something that is not a rate.
    Invalid,
}

/// One connection to a backend server, which carries one request at a time.
pub trait Exchange: Send + 'static {
    /// Sends a request for `server` and reads the reply; `time_left` is the time until the
    /// deadline. Dropping the future closes the connection, which tells the server to cancel the
    /// request.
    fn exchange(
        &mut self,
        call: &Call,
        server: &ServerId,
        time_left: Duration,
    ) -> impl Future<Output = ExchangeResult> + Send;

    /// Returns how long the connection may be idle and still be reused, or `None` if it must not be
    /// reused because its state may not be clean.
    fn keep_alive_time(&self) -> Option<Duration>;

    /// Returns what the reply to the last request says about the server's rate limit, or `None` if
    /// the server sent no reply.
    fn rate_statement(&self) -> Option<RateStatement>;
}

/// The protocol of backend servers.
pub trait BackendProtocol: Send + Sync + 'static {
    /// A connection to a backend server.
    type Link: Exchange;

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn connect(&self, addr: SocketAddr) -> impl Future<Output = io::Result<Self::Link>> + Send;
}
