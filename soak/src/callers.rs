//! Callers that reuse connections until the host closes them, and the requests that they sent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use quetzal_platform_standin::message::{
    DEADLINE_MS, MISSING_PARTS, PART_STAMPS, REQUEST_ID, RESPONSE_STAMP, directory_addrs,
    directory_path,
};
use quetzal_platform_standin::server::CRASHING_PATH;
use quetzal_platform_standin::settings::{ADDED_ROUTES, CALLER_PORT, DIRECTORY_PORT, HOST_NAME};
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use tokio::net::TcpStream;

use crate::world::World;

/// The deadline that callers send with each request; shorter than the routes' timeout.
pub const DEADLINE: Duration = Duration::from_millis(1_500);
/// How long a caller waits for a complete answer before it gives up.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(4_000);
/// How long a caller reuses the addresses of a lookup; three times the lifetime in the answer.
const ADDRESS_REUSE_TIME: Duration = Duration::from_secs(3);
/// Hosts run on the same machine, so one that accepts no connection within this time is stopped.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The mean pause between two requests of a caller.
const MEAN_PAUSE: Duration = Duration::from_millis(25);
/// The mean pause between two requests that crash servers.
const CRASHING_PAUSE: Duration = Duration::from_millis(300);
/// The pause of a caller that insists on one host.
const INSISTING_PAUSE: Duration = Duration::from_millis(20);
/// The mean pause between two probes of a host.
const PROBE_PAUSE: Duration = Duration::from_millis(150);
/// The mean pause between two probes of all hosts together; few hosts get fewer.
const TOTAL_PROBE_PAUSE: Duration = Duration::from_millis(4);
/// One request in this many may run at most once; the others are idempotent.
const NON_IDEMPOTENT_EVERY: u32 = 4;
/// One caller in this many opens a new connection for each request.
const NEW_CONNECTION_EVERY: usize = 3;

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    /// The signatures of the parts, or of the one server that ran a request to a single service.
    pub signatures: Vec<String>,
    /// The number of shards that are missing from the answer.
    pub missing: usize,
    pub body: Bytes,
}

/// How a request ended for its caller.
#[derive(Debug, Clone)]
pub enum Outcome {
    Answered(Answer),
    /// The connection was closed before the answer was complete.
    Closed,
    /// The caller gave up before the answer was complete.
    Silent,
}

/// The route of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// A query over all shards.
    All,
    /// A request to one service that may run at most once.
    One,
    /// A request that crashes the server which runs it; it may run at most once.
    Crashing,
    /// A request to one service on a route that only some plans name.
    Added(u64),
}

impl Route {
    fn path(self) -> String {
        match self {
            Self::All => "/all/x".to_owned(),
            Self::One => "/one/x".to_owned(),
            Self::Crashing => format!("/one{CRASHING_PATH}"),
            Self::Added(n) => format!("/added-{n}/x"),
        }
    }
}

/// One request and its outcome, as its caller observed it.
#[derive(Debug, Clone)]
pub struct SentRequest {
    pub id: String,
    pub route: Route,
    pub host: SocketAddr,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub outcome: Outcome,
}

/// The requests of all callers, in the order in which they ended.
pub type SentRequests = Arc<Mutex<Vec<SentRequest>>>;

struct CallerConnection {
    host: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
}

/// Sends requests one after another until `stop_at`; `n` is the number of the caller.
pub async fn run(
    world: Arc<World>,
    n: usize,
    mut rng: SmallRng,
    sent_requests: SentRequests,
    stop_at: Instant,
) {
    let mut addrs: (Instant, Vec<SocketAddr>) = (Instant::now(), Vec::new());
    let mut idle_connection: Option<CallerConnection> = None;
    let mut count = 0_u32;
    while Instant::now() < stop_at {
        tokio::time::sleep(MEAN_PAUSE.mul_f64(rng.random_range(0.5..1.5))).await;
        if addrs.1.is_empty() || addrs.0.elapsed() > ADDRESS_REUSE_TIME {
            let host = world.hosts.choose(&mut rng).expect("there are hosts");
            let domain = world.domains[n % world.domains.len()];
            let found = look_up_hosts((host.ip, DIRECTORY_PORT).into(), domain).await;
            if found.is_empty() {
                continue;
            }
            addrs = (Instant::now(), found);
        }
        let reusable = idle_connection.take().filter(|connection| {
            !n.is_multiple_of(NEW_CONNECTION_EVERY)
                && addrs.1.contains(&connection.host)
                && !connection.sender.is_closed()
        });
        let mut connection = match reusable {
            Some(connection) => connection,
            None => {
                let host = *addrs.1.choose(&mut rng).expect("there are addresses");
                let Some(sender) = connect(host).await else {
                    addrs.1.retain(|addr| *addr != host);
                    continue;
                };
                CallerConnection { host, sender }
            }
        };
        count += 1;
        let route =
            if count.is_multiple_of(NON_IDEMPOTENT_EVERY) { Route::One } else { Route::All };
        let (request, may_reuse) = send(&mut connection, format!("c{n}-{count}"), route).await;
        if may_reuse {
            idle_connection = Some(connection);
        }
        sent_requests.lock().expect("no holder of the lock panics").push(request);
    }
}

/// Sends the same request, which crashes servers, to one host after another until `stop_at`.
pub async fn send_crashing(
    world: Arc<World>,
    n: usize,
    mut rng: SmallRng,
    sent_requests: SentRequests,
    stop_at: Instant,
) {
    let mut count = 0_u32;
    while Instant::now() < stop_at {
        tokio::time::sleep(CRASHING_PAUSE.mul_f64(rng.random_range(0.5..1.5))).await;
        let host = world.hosts.choose(&mut rng).expect("there are hosts");
        let host = (host.ip, CALLER_PORT).into();
        let Some(sender) = connect(host).await else { continue };
        count += 1;
        let id = format!("k{n}-{count}");
        let (request, _) = send(&mut CallerConnection { host, sender }, id, Route::Crashing).await;
        sent_requests.lock().expect("no holder of the lock panics").push(request);
    }
}

/// Asks one host until `stop_at` for routes that were added or dropped lately, or never existed.
pub async fn probe(
    world: Arc<World>,
    host: SocketAddr,
    mut rng: SmallRng,
    sent_requests: SentRequests,
    stop_at: Instant,
) {
    let mut count = 0_u32;
    let pause = PROBE_PAUSE.max(TOTAL_PROBE_PAUSE * u32::try_from(world.hosts.len()).unwrap_or(1));
    while Instant::now() < stop_at {
        tokio::time::sleep(pause.mul_f64(rng.random_range(0.5..1.5))).await;
        let newest = world.writers.newest_plan();
        let n = rng.random_range(newest.saturating_sub(ADDED_ROUTES).max(1)..=newest + 2);
        let Some(sender) = connect(host).await else { continue };
        count += 1;
        let id = format!("p{}-{count}", host.ip());
        let (request, _) = send(&mut CallerConnection { host, sender }, id, Route::Added(n)).await;
        sent_requests.lock().expect("no holder of the lock panics").push(request);
    }
}

/// Sends requests to one host, also when it has just started, until `stop_at`; `n` is the number of
/// the caller at the host.
pub async fn insist(
    world: Arc<World>,
    host: SocketAddr,
    n: usize,
    sent_requests: SentRequests,
    stop_at: Instant,
) {
    let mut count = 0_u32;
    let mut connection: Option<CallerConnection> = None;
    while Instant::now() < stop_at {
        tokio::time::sleep(INSISTING_PAUSE).await;
        let mut open = match connection.take().filter(|c| !c.sender.is_closed()) {
            Some(open) => open,
            None => match connect(host).await {
                Some(sender) => CallerConnection { host, sender },
                None => continue,
            },
        };
        count += 1;
        // A route that the newest plan names, and the one before it.
        let route = Route::Added(world.writers.newest_plan().saturating_sub(1).max(1));
        let id = format!("i{}-{n}-{count}", host.ip());
        let (request, may_reuse) = send(&mut open, id, route).await;
        connection = may_reuse.then_some(open);
        sent_requests.lock().expect("no holder of the lock panics").push(request);
    }
}

async fn connect(host: SocketAddr) -> Option<SendRequest<Empty<Bytes>>> {
    let stream =
        tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(host)).await.ok()?.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // An error of the connection also ends the request with an error, which is recorded there.
    tokio::spawn(async move { drop(connection.await) });
    Some(sender)
}

async fn look_up_hosts(host: SocketAddr, domain: &str) -> Vec<SocketAddr> {
    let lookup = async {
        let mut sender = connect(host).await?;
        let path = directory_path(domain);
        let request = Request::get(path).header("host", HOST_NAME).body(Empty::new()).ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        Some(directory_addrs(&body))
    };
    let result = tokio::time::timeout(CONNECT_TIMEOUT, lookup).await;
    result.ok().flatten().unwrap_or_default()
}

/// Sends a request; returns it with its outcome, and whether the connection may be reused.
async fn send(connection: &mut CallerConnection, id: String, route: Route) -> (SentRequest, bool) {
    let sent_at = Instant::now();
    let request = Request::get(route.path())
        .header("host", HOST_NAME)
        .header(REQUEST_ID, &id)
        .header(DEADLINE_MS, DEADLINE.as_millis().to_string())
        .body(Empty::new())
        .expect("the request is well formed");
    let exchange = async {
        let answer = connection.sender.send_request(request).await.ok()?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let header = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
        let signatures = header(if route == Route::All { PART_STAMPS } else { RESPONSE_STAMP });
        let signatures = signatures.unwrap_or_default();
        let signatures = signatures.split(", ").filter(|s| !s.is_empty());
        let closes = header("connection") == Some("close");
        let answer = Answer {
            status: head.status.as_u16(),
            signatures: signatures.map(Into::into).collect(),
            missing: header(MISSING_PARTS).and_then(|text| text.parse().ok()).unwrap_or(0),
            body,
        };
        Some((answer, !closes))
    };
    let (outcome, may_reuse) = match tokio::time::timeout(REPLY_TIMEOUT, exchange).await {
        Ok(Some((answer, may_reuse))) => (Outcome::Answered(answer), may_reuse),
        Ok(None) => (Outcome::Closed, false),
        Err(_) => (Outcome::Silent, false),
    };
    let (host, ended_at) = (connection.host, Instant::now());
    (SentRequest { id, route, host, sent_at, ended_at, outcome }, may_reuse)
}
