//! The HTTP and JSON interface for callers.
//!
//! `docs/ARCHITECTURE.md`, section "Callers", describes every route.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode, header};
use rand::RngExt;
use serde::Serialize;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use tokio::net::TcpListener;
use tokio::time::Instant;

use super::coordinator::Coordinator;
use crate::clock::{Monotonic, millis};
use crate::connection::caller_api::{EntryHost, EntryHosts, ErrorReply, Reply, Status};
use crate::connection::client_body::{self, BodyError};
use crate::connection::client_server::{self, ConnectionLimits, WaitLimits, accept_client};
use crate::connection::query::{Answer, Query, QueryBody};
use crate::ids::{HostId, RequestId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::clients::{Cause, ClientConnection, ClientKind, Clients};
use crate::process::context::Context;
use crate::process::membership::seats::LeaseView;
use crate::version::config::{Config, Kind, stable_hash};

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits {
    max_head_bytes: MAX_HEAD_BYTES,
    waits: WaitLimits { head_timeout: HEAD_TIMEOUT, idle_timeout: HEAD_TIMEOUT },
};
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of concurrent requests from callers.
const MAX_RUNNING: u32 = 2_048;
const MAX_REQUEST_ID_BYTES: usize = 128;
const MAX_TEXT_BYTES: usize = 4 << 10;
const MAX_DEADLINE_MS: u64 = 600_000;
/// Time after which a refused caller may retry.
const RETRY_AFTER_MS: u64 = 250;
const ADDRESS_SEED: u64 = 0x6164_6472_6573_0001;

type HttpReply = Response<Full<Bytes>>;

/// Why a malformed request is rejected.
struct Rejected {
    status: StatusCode,
    why: String,
}

impl Rejected {
    fn new(status: StatusCode, why: impl Into<String>) -> Self {
        Self { status, why: why.into() }
    }

    fn overloaded() -> Self {
        let why = "there is no memory for the request; come back later";
        Self::new(StatusCode::SERVICE_UNAVAILABLE, why)
    }

    fn bad(why: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, why)
    }

    fn reply(&self) -> HttpReply {
        let mut reply = fault(self.status, &self.why);
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            reply.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
        }
        reply
    }
}

/// The HTTP server for callers.
#[derive(Debug, Clone)]
pub(crate) struct CallerServer {
    context: Arc<Context>,
    coordinator: Arc<Coordinator>,
    clients: Arc<Clients>,
}

impl CallerServer {
    pub(crate) const fn new(
        context: Arc<Context>,
        coordinator: Arc<Coordinator>,
        clients: Arc<Clients>,
    ) -> Self {
        Self { context, coordinator, clients }
    }

    /// Handles a request if there is memory for it. The connection closes if a part of the body may
    /// be unread.
    async fn handle_within_limits(
        &self,
        caller: SocketAddr,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> HttpReply {
        let has_body = !request.body().is_end_stream();
        let (mut response, is_body_read) = match self.clients.reserve_request().await {
            Some(_memory) => self.handle(caller, request, connection).await,
            None => {
                self.clients.on_turned_away(ClientKind::Caller, Cause::Memory);
                (Rejected::overloaded().reply(), false)
            }
        };
        if has_body && !is_body_read {
            connection.on_refusal();
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Returns the answer, and whether the body was read.
    async fn handle(
        &self,
        caller: SocketAddr,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> (HttpReply, bool) {
        if request.method() == Method::POST
            && let Some(service) = request.uri().path().strip_prefix("/v1/query/")
        {
            let (service, arrived) = (service.to_owned(), self.context.clock.now());
            return match self.read_body(request, connection).await {
                Ok(body) => (self.query(&service, arrived, &body).await, true),
                Err(rejected) => (rejected.reply(), false),
            };
        }
        (self.describe(caller, &request), false)
    }

    fn describe(&self, caller: SocketAddr, request: &Request<Incoming>) -> HttpReply {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/entry-hosts") => json(StatusCode::OK, &self.entry_hosts(caller)),
            (&Method::GET, "/v1/health") => text(StatusCode::OK, "alive\n".to_owned()),
            (&Method::GET, "/v1/ready") if self.context.is_ready() => {
                text(StatusCode::OK, "ready\n".to_owned())
            }
            (&Method::GET, "/v1/ready") => {
                text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
            }
            (&Method::GET, "/v1/status") => json(StatusCode::OK, &self.status()),
            (&Method::GET, "/metrics") => text(StatusCode::OK, self.context.metrics.text()),
            (&Method::POST, _) => {
                fault(StatusCode::NOT_FOUND, "no such path; post to /v1/query/{service}")
            }
            (&Method::GET, _) => {
                let known = "/v1/entry-hosts, /v1/health, /v1/ready, /v1/status, /metrics";
                fault(StatusCode::NOT_FOUND, &format!("no such path; known: {known}"))
            }
            _ => fault(StatusCode::METHOD_NOT_ALLOWED, "use GET, or POST for queries"),
        }
    }

    async fn read_body(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Result<Bytes, Rejected> {
        let deadline = Instant::now() + BODY_TIMEOUT;
        let body = request.into_body();
        let received =
            client_body::receive(body, MAX_BODY_BYTES, deadline, &self.clients, connection).await;
        received.map_err(|error| {
            if let Some(cause) = error.cause() {
                self.clients.on_turned_away(ClientKind::Caller, cause);
            }
            match error {
                BodyError::TooLong => Rejected::new(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    format!("the body is larger than {MAX_BODY_BYTES} bytes; send a shorter one"),
                ),
                BodyError::Broken => Rejected::bad("the body was cut off; send it again"),
                BodyError::TimedOut => Rejected::new(
                    StatusCode::REQUEST_TIMEOUT,
                    format!(
                        "the body took longer than {} s; send it at once",
                        BODY_TIMEOUT.as_secs()
                    ),
                ),
                BodyError::NoMemory => Rejected::overloaded(),
            }
        })
    }

    async fn query(&self, service: &str, arrived: Monotonic, body: &[u8]) -> HttpReply {
        let config = self.context.operational.load().config.clone();
        let (query, deadline_ms) = match parse(&config, service, body) {
            Ok(parsed) => parsed,
            Err(rejected) => return rejected.reply(),
        };
        let Some(_running) = RunningGuard::begin(&self.context) else {
            return reply(&query.request_id, Outcome::NotRun(NotRunReason::Overloaded), true);
        };
        let idempotent = config.service(service).is_some_and(|s| s.kind.is_idempotent());
        let id = query.request_id.clone();
        let deadline = arrived + Duration::from_millis(deadline_ms);
        let outcome = self.coordinator.run(query, deadline).await;
        self.record_outcome(
            service,
            &id,
            &outcome,
            self.context.clock.now().saturating_sub(arrived),
        );
        reply(&id, outcome, idempotent)
    }

    fn record_outcome(&self, service: &str, id: &str, outcome: &Outcome<Answer>, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let name = match outcome {
            Outcome::Answered(answer) => {
                let coverage = &answer.coverage;
                let missing = coverage.shards - coverage.answered;
                if missing > 0 {
                    self.context.metrics.missing(service, u64::from(missing));
                }
                tracing::info!(
                    request = id,
                    service,
                    took_ms,
                    shards = coverage.shards,
                    answered = coverage.answered,
                    rows = answer.rows.len(),
                    "query answered"
                );
                "answered"
            }
            Outcome::NotRun(reason) => {
                tracing::info!(request = id, service, took_ms, %reason, "query not run");
                "not_run"
            }
            Outcome::Unknown(reason) => {
                tracing::warn!(request = id, service, took_ms, %reason, "query outcome unknown");
                "unknown"
            }
        };
        self.context.metrics.request(service, name, took_ms);
    }

    /// Returns the hosts that accept callers, ordered to spread callers by load.
    fn entry_hosts(&self, caller: SocketAddr) -> EntryHosts {
        let operational = self.context.operational.load();
        let leases = self.context.leases.load();
        let own_load = self.context.running.load(Ordering::Relaxed);
        let mut hosts: Vec<(f64, EntryHost)> = operational
            .config
            .fleet
            .hosts
            .iter()
            .filter_map(|host| {
                let load = self.load_of(&leases, &host.id, own_load)?;
                let entry = EntryHost { host: host.id.clone(), addr: host.caller_addr };
                Some((load_weighted_score(caller, &host.id, load), entry))
            })
            .collect();
        hosts.sort_by(|a, b| a.0.total_cmp(&b.0));
        EntryHosts {
            lifetime_ms: operational.config.fleet.timing.address_lifetime_ms,
            hosts: hosts.into_iter().map(|(_, entry)| entry).collect(),
        }
    }

    fn load_of(&self, leases: &LeaseView, host: &HostId, own_load: u32) -> Option<u32> {
        if *host == self.context.me {
            self.context.is_ready().then_some(own_load)
        } else {
            leases.live.get(host).copied()
        }
    }

    fn status(&self) -> Status {
        let operational = self.context.operational.load();
        let leases = self.context.leases.load();
        let now = self.context.clock.now();
        let held = leases.held.iter().filter(|(_, held)| now < held.until);
        let mut seats: Vec<HostId> = held.map(|(seat, _)| seat.clone()).collect();
        seats.sort();
        let mut live_hosts: Vec<HostId> = leases.live.keys().cloned().collect();
        live_hosts.sort();
        let domains = operational.config.fleet.domains.iter();
        Status {
            host: self.context.me.clone(),
            deployment: operational.config.fleet.deployment.clone(),
            config_version: operational.config.version,
            ready: self.context.is_ready(),
            leaving: self.context.leaving.is_cancelled(),
            running: self.context.running.load(Ordering::Relaxed),
            seats,
            live_hosts,
            domains_out: domains.filter(|d| d.out).map(|d| d.id.clone()).collect(),
        }
    }
}

/// Counts a running request until it is dropped.
struct RunningGuard(Arc<Context>);

impl RunningGuard {
    fn begin(context: &Arc<Context>) -> Option<Self> {
        let before = context.running.fetch_add(1, Ordering::SeqCst);
        let running = Self(context.clone());
        (before < MAX_RUNNING).then_some(running)
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Accepts connections from callers until this host stops.
pub(crate) async fn serve_callers(listener: TcpListener, server: CallerServer) {
    let stopped = server.context.stopped.clone();
    while let Some((stream, registered)) =
        accept_client(&listener, &server.clients, ClientKind::Caller, &stopped).await
    {
        let (server, stopped) = (server.clone(), stopped.clone());
        tokio::spawn(async move {
            // The address is unknown if the caller has left already.
            let Ok(caller) = stream.peer_addr() else { return };
            let handle = |request: Request<Incoming>, connection: Arc<ClientConnection>| {
                let server = server.clone();
                async move { server.handle_within_limits(caller, request, &connection).await }
            };
            client_server::serve(stream, registered, CONNECTION_LIMITS, &stopped, handle).await;
        });
    }
}

/// Validates a request body. Returns the query and its deadline in milliseconds.
fn parse(config: &Config, service: &str, body: &[u8]) -> Result<(Query, u64), Rejected> {
    let Some(service) = config.service(service) else {
        let known: Vec<&str> = config.services.iter().map(|s| s.id.as_str()).collect();
        let why = format!("there is no service named {service}; known: {}", known.join(", "));
        return Err(Rejected::new(StatusCode::NOT_FOUND, why));
    };
    if std::str::from_utf8(body).is_err() {
        return Err(Rejected::bad("the body is not UTF-8; send JSON in UTF-8"));
    }
    let body: QueryBody = serde_json::from_slice(body).map_err(|error| {
        Rejected::bad(format!("the body can't be read: {error}; send a JSON object"))
    })?;
    let deadline_ms = body.deadline_ms.unwrap_or(service.deadline_ms);
    if !(1..=MAX_DEADLINE_MS).contains(&deadline_ms) {
        let why =
            format!("deadline_ms is {deadline_ms}; give a number from 1 to {MAX_DEADLINE_MS}");
        return Err(Rejected::bad(why));
    }
    if body.request_id.len() > MAX_REQUEST_ID_BYTES {
        let why = format!("request_id is longer than {MAX_REQUEST_ID_BYTES} bytes; shorten it");
        return Err(Rejected::bad(why));
    }
    if body.term.len().max(body.key.len()) > MAX_TEXT_BYTES {
        let why = format!("term or key is longer than {MAX_TEXT_BYTES} bytes; shorten it");
        return Err(Rejected::bad(why));
    }
    let limit = body.limit.unwrap_or(service.row_limit);
    if !(1..=service.row_limit).contains(&limit) {
        let why = format!("limit is {limit}; give a number from 1 to {}", service.row_limit);
        return Err(Rejected::bad(why));
    }
    if matches!(service.kind, Kind::Fetch | Kind::Submit) && body.key.is_empty() {
        return Err(Rejected::bad("key is missing; this service needs one"));
    }
    if service.kind == Kind::Submit && body.request_id.is_empty() {
        let why = "request_id is missing; an order needs one, the same whenever it is sent again";
        return Err(Rejected::bad(why));
    }
    let request_id = if body.request_id.is_empty() {
        format_smolstr!("{:032x}", rand::rng().random::<u128>())
    } else {
        body.request_id
    };
    let query = Query {
        request_id,
        service: service.id.clone(),
        term: body.term,
        key: body.key,
        limit,
        resend: body.resend,
    };
    Ok((query, deadline_ms))
}

fn reply(id: &RequestId, outcome: Outcome<Answer>, idempotent: bool) -> HttpReply {
    let mut body = Reply {
        request_id: id.clone(),
        outcome: SmolStr::default(),
        reason: None,
        safe_to_resend: true,
        retry_after_ms: None,
        index_version: None,
        coverage: None,
        rows: Vec::new(),
    };
    let status = match outcome {
        Outcome::Answered(answer) => {
            body.outcome = SmolStr::new_static("answered");
            body.safe_to_resend = idempotent;
            body.index_version = Some(answer.index_version);
            body.coverage = Some(answer.coverage);
            body.rows = answer.rows;
            StatusCode::OK
        }
        Outcome::NotRun(reason) => {
            body.outcome = SmolStr::new_static("not_run");
            body.reason = Some(reason.to_smolstr());
            body.retry_after_ms = Some(RETRY_AFTER_MS);
            StatusCode::SERVICE_UNAVAILABLE
        }
        Outcome::Unknown(reason) => {
            body.outcome = SmolStr::new_static("unknown");
            body.reason = Some(reason.to_smolstr());
            body.safe_to_resend = idempotent;
            let later = idempotent || reason == UnknownReason::StillRunning;
            body.retry_after_ms = later.then_some(RETRY_AFTER_MS);
            StatusCode::GATEWAY_TIMEOUT
        }
    };
    let mut response = json(status, &body);
    if let Some(after_ms) = body.retry_after_ms {
        let after_s = millis(Duration::from_millis(after_ms)).div_ceil(1_000);
        response.headers_mut().insert(header::RETRY_AFTER, after_s.into());
    }
    response
}

/// Returns a random score that is lower on average for less loaded hosts, and the same for one
/// caller while the loads do not change. Hosts are listed from the lowest score up.
fn load_weighted_score(caller: SocketAddr, host: &HostId, load: u32) -> f64 {
    let hash = stable_hash(ADDRESS_SEED, format!("{caller}{host}").as_bytes());
    #[expect(clippy::cast_precision_loss)]
    let uniform = ((hash >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
    -uniform.ln() * (1.0 + f64::from(load))
}

fn json<T: Serialize>(status: StatusCode, body: &T) -> HttpReply {
    let bytes = serde_json::to_vec(body).expect("plain data always serializes");
    respond(status, "application/json", Bytes::from(bytes))
}

fn text(status: StatusCode, body: String) -> HttpReply {
    respond(status, "text/plain; charset=utf-8", Bytes::from(body))
}

fn fault(status: StatusCode, error: &str) -> HttpReply {
    let outcome = SmolStr::new_static("not_run");
    json(status, &ErrorReply { error: error.to_owned(), outcome })
}

fn respond(status: StatusCode, content_type: &'static str, body: Bytes) -> HttpReply {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .body(Full::new(body))
        .expect("the status and headers are valid")
}
