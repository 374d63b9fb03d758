//! The protocol of backend servers and a connection to one of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::client::conn::http1::SendRequest;
use smol_str::SmolStr;
use tokio::net::TcpStream;

use super::fence::{Fence, FencedStream};
use super::http_client::{Body, connect_over, get_request, json_request, read_body};
use crate::clock::{Clock, Monotonic};
use crate::connection::query::Row;
use crate::derive::{data, key};
use crate::flaw::flawed;
use crate::ids::{AttemptId, IndexVersion, InstanceId, RequestId, ServiceId, ShardId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::version::config::Kind;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

data! {
    /// A request to a backend server.
    pub struct RunRequest {
        /// Identifies this attempt; replies and cancellations refer to it.
        pub attempt: AttemptId,
        /// The caller's id.
        pub request_id: RequestId,
        /// The service.
        pub service: ServiceId,
        /// The kind of request.
        pub kind: Kind,
        /// The shard to read.
        pub shard: ShardId,
        /// The index version to read it from.
        pub index_version: IndexVersion,
        /// The time that the server may take after it received the request.
        pub deadline_ms: u64,
        /// The search term.
        pub term: SmolStr,
        /// The key to fetch, or to place the order under.
        pub key: SmolStr,
        /// The maximum number of rows to return.
        pub limit: u32,
    }

    /// A backend server's reply to a completed request.
    pub struct RunReply {
        /// The attempt.
        pub attempt: AttemptId,
        /// The shard read.
        pub shard: ShardId,
        /// The index version read.
        pub index_version: IndexVersion,
        /// The rows in order.
        pub rows: Vec<Row>,
    }

    /// A backend server's reply to a request that it did not complete.
    pub struct Refusal {
        /// The attempt.
        pub attempt: AttemptId,
        /// The reason.
        pub reason: RefusalReason,
        /// The server guarantees that the request had no effect.
        pub not_run: bool,
    }

    /// Identifies a run of a backend server's process.
    pub struct Instance {
        /// A new value after every restart.
        pub instance: InstanceId,
    }

    /// Asks a backend server to stop an attempt.
    pub struct Cancel {
        /// The attempt.
        pub attempt: AttemptId,
    }
}

key! {
    /// Why a backend server did not complete a request.
    pub enum RefusalReason {
        /// The server is overloaded.
        Shed,
        /// The server is draining.
        Draining,
        /// The server doesn't have the index version.
        VersionGone,
        /// The deadline passed.
        Expired,
        /// The request was cancelled.
        Cancelled,
    }
}

impl From<RefusalReason> for NotRunReason {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::Shed => Self::Shed,
            RefusalReason::Draining => Self::Draining,
            RefusalReason::VersionGone => Self::VersionGone,
            RefusalReason::Expired => Self::DeadlineTooClose,
            RefusalReason::Cancelled => Self::Cancelled,
        }
    }
}

/// A connection that carries at most one request at a time.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    sender: SendRequest<Body>,
    fence: Arc<Fence>,
    instance: InstanceId,
}

/// The outcome of one exchange, and whether the connection may be used again.
#[derive(Debug)]
pub(crate) struct RunResult {
    pub(crate) outcome: Outcome<Vec<Row>>,
    pub(crate) reusable: bool,
}

impl BackendConnection {
    /// Connects and reads the server's instance id. No request has run if this fails.
    pub(crate) async fn open(addr: SocketAddr, clock: Clock) -> Option<Self> {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, Self::try_open(addr, clock)).await;
        opened.ok().flatten()
    }

    async fn try_open(addr: SocketAddr, clock: Clock) -> Option<Self> {
        let stream = TcpStream::connect(addr).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let fence = Arc::new(Fence::new(clock));
        let mut sender = connect_over(FencedStream::new(stream, fence.clone())).await.ok()?;
        let response = sender.send_request(get_request("/v1/instance")).await.ok()?;
        let bytes = read_body(response).await.ok()?;
        let Instance { instance } = serde_json::from_slice(&bytes).ok()?;
        Some(Self { sender, fence, instance })
    }

    pub(crate) const fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Returns whether the connection is known to be closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request, unless it can't be written before `valid_until`, and waits for the reply.
    pub(crate) async fn run(&mut self, request: &RunRequest, valid_until: Monotonic) -> RunResult {
        if self.sender.ready().await.is_err() {
            return RunResult {
                outcome: Outcome::NotRun(NotRunReason::Unreachable),
                reusable: false,
            };
        }
        self.fence.arm(valid_until);
        let sent = self.sender.send_request(json_request("/v1/run", request)).await;
        let response = match sent {
            Ok(response) => response,
            Err(_) if self.fence.was_written() => {
                return RunResult {
                    outcome: Outcome::Unknown(UnknownReason::ConnectionLost),
                    reusable: false,
                };
            }
            Err(_) => {
                let expired = self.fence.is_expired();
                let reason = if expired {
                    NotRunReason::DeadlineTooClose
                } else {
                    NotRunReason::Unreachable
                };
                return RunResult { outcome: Outcome::NotRun(reason), reusable: false };
            }
        };
        let status = response.status();
        match read_body(response).await {
            Ok(bytes) => RunResult { outcome: verify(request, status, &bytes), reusable: true },
            Err(_) => {
                RunResult { outcome: Outcome::Unknown(UnknownReason::BadReply), reusable: false }
            }
        }
    }

    /// Asks the server to cancel an attempt that runs on another connection.
    pub(crate) async fn cancel(&mut self, attempt: AttemptId) -> bool {
        if self.sender.ready().await.is_err() {
            return false;
        }
        self.fence.arm(Monotonic::MAX);
        let sent = self.sender.send_request(json_request("/v1/cancel", &Cancel { attempt })).await;
        match sent {
            Ok(response) => read_body(response).await.is_ok(),
            Err(_) => false,
        }
    }
}

/// Accepts a reply only if it is complete and belongs to this request.
pub(crate) fn verify(request: &RunRequest, status: StatusCode, bytes: &[u8]) -> Outcome<Vec<Row>> {
    let bad = Outcome::Unknown(UnknownReason::BadReply);
    if status != StatusCode::OK {
        return match serde_json::from_slice::<Refusal>(bytes) {
            Ok(refusal) if refusal.attempt != request.attempt => bad,
            Ok(refusal) if refusal.not_run => Outcome::NotRun(refusal.reason.into()),
            Ok(refusal) if refusal.reason == RefusalReason::Expired => {
                Outcome::Unknown(UnknownReason::TimedOut)
            }
            _ => bad,
        };
    }
    let Ok(reply) = serde_json::from_slice::<RunReply>(bytes) else {
        return bad;
    };
    let valid = reply.attempt == request.attempt
        && reply.shard == request.shard
        && (reply.index_version == request.index_version || flawed!(IndexVersionUnchecked))
        && reply.rows.len() <= request.limit as usize
        && reply.rows.iter().all(|row| row.shard == request.shard);
    if valid { Outcome::Answered(reply.rows) } else { bad }
}

#[cfg(test)]
mod tests;
