//! The HTTP and JSON interface for callers.
//!
//! `docs/ARCHITECTURE.md`, section "Callers", describes every route.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::RngExt;
use serde::Serialize;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::coordinator::Coordinator;
use crate::clock::millis;
use crate::connection::caller_api::{EntryHost, EntryHosts, ErrorReply, Reply, Status};
use crate::connection::query::{Answer, Query, QueryBody};
use crate::ids::{HostId, RequestId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::context::Context;
use crate::process::membership::seats::LeaseView;
use crate::version::config::{Config, Kind, stable_hash};

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
const MAX_HEADERS: usize = 64;
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of connections from callers.
const MAX_CONNECTIONS: usize = 4_096;
/// The maximum number of concurrent requests from callers.
const MAX_RUNNING: u32 = 2_048;
const MAX_REQUEST_ID_BYTES: usize = 128;
const MAX_TEXT_BYTES: usize = 4 << 10;
const MAX_DEADLINE_MS: u64 = 600_000;
/// Time after which a refused caller may retry.
const RETRY_AFTER_MS: u64 = 250;
/// The reply to a connection beyond the limit.
const TOO_MANY_CONNECTIONS: &str = "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    content-type: application/json\r\ncontent-length: 75\r\nconnection: close\r\n\r\n\
    {\"error\":\"too many connections; come back in a second\",\"outcome\":\"not_run\"}";
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
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

    fn bad(why: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, why)
    }

    fn reply(&self) -> HttpReply {
        fault(self.status, &self.why)
    }
}

/// The HTTP server for callers.
#[derive(Debug, Clone)]
pub(crate) struct CallerServer {
    context: Arc<Context>,
    coordinator: Arc<Coordinator>,
    connections: Arc<Semaphore>,
}

impl CallerServer {
    pub(crate) fn new(context: Arc<Context>, coordinator: Arc<Coordinator>) -> Self {
        Self { context, coordinator, connections: Arc::new(Semaphore::new(MAX_CONNECTIONS)) }
    }

    async fn handle(&self, caller: SocketAddr, request: Request<Incoming>) -> HttpReply {
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
            (&Method::POST, _) => match path.strip_prefix("/v1/query/") {
                Some(service) => self.query(service, request).await,
                None => fault(StatusCode::NOT_FOUND, "no such path; post to /v1/query/{service}"),
            },
            (&Method::GET, _) => {
                let known = "/v1/entry-hosts, /v1/health, /v1/ready, /v1/status, /metrics";
                fault(StatusCode::NOT_FOUND, &format!("no such path; known: {known}"))
            }
            _ => fault(StatusCode::METHOD_NOT_ALLOWED, "use GET, or POST for queries"),
        }
    }

    async fn query(&self, service: &str, request: Request<Incoming>) -> HttpReply {
        let arrived = self.context.clock.now();
        let body = match read_body(request).await {
            Ok(body) => body,
            Err(rejected) => return rejected.reply(),
        };
        let config = self.context.operational.load().config.clone();
        let (query, deadline_ms) = match parse(&config, service, &body) {
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
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped.cancelled() => return,
        };
        match accepted {
            Ok((stream, caller)) => {
                tokio::spawn(serve_caller(stream, caller, server.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a caller's connection");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn serve_caller(mut stream: TcpStream, caller: SocketAddr, server: CallerServer) {
    let Ok(_permit) = server.connections.clone().try_acquire_owned() else {
        tracing::warn!(%caller, "connection refused: connection limit reached");
        let _ = stream.write_all(TOO_MANY_CONNECTIONS.as_bytes()).await;
        return;
    };
    let _ = stream.set_nodelay(true);
    let stopped = server.context.stopped.clone();
    let service = service_fn(move |request| {
        let server = server.clone();
        async move { Ok::<_, Infallible>(server.handle(caller, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stopped.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn read_body(request: Request<Incoming>) -> Result<Bytes, Rejected> {
    let limited = Limited::new(request.into_body(), MAX_BODY_BYTES);
    match tokio::time::timeout(BODY_TIMEOUT, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Rejected::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("the body is larger than {MAX_BODY_BYTES} bytes; send a shorter one"),
        )),
        Ok(Err(_)) => Err(Rejected::bad("the body was cut off; send it again")),
        Err(_) => Err(Rejected::new(
            StatusCode::REQUEST_TIMEOUT,
            format!("the body took longer than {} s; send it at once", BODY_TIMEOUT.as_secs()),
        )),
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
