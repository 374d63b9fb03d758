//! Callers that keep connections open until the host closes them, and what they saw.

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
use quetzal_platform_standin::settings::{DIRECTORY_PORT, HOST_NAME};
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use tokio::net::TcpStream;

use crate::world::{DOMAINS, World};

/// The time that callers leave for an answer; less than the routes' time-out.
pub const PATIENCE: Duration = Duration::from_millis(1_500);
/// A caller that has no answer by then gives up.
pub const GIVE_UP: Duration = Duration::from_millis(4_000);
/// How long a caller keeps a directory answer; three times its lifetime.
const KEEP_ADDRESSES: Duration = Duration::from_secs(3);
/// A host on the same machine that does not accept by then stands still.
const CONNECT_WITHIN: Duration = Duration::from_millis(1_000);
/// The pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(25);
/// One request in this many may run at most once.
const ONCE_EVERY: u32 = 4;
/// One caller in this many starts each request on a connection of its own.
const FRESH_EVERY: usize = 3;

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    /// The signatures of the parts, or the one of the server that ran a plain request.
    pub signatures: Vec<String>,
    pub missing: usize,
    pub body: Bytes,
}

/// How a request ended for its caller.
#[derive(Debug, Clone)]
pub enum End {
    Answered(Answer),
    /// The connection ended without a whole answer.
    Closed,
    /// Nothing came until the caller gave up.
    Silent,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    /// It may run at most once.
    pub once: bool,
    pub host: SocketAddr,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub end: End,
}

/// What all callers saw.
pub type Seen = Arc<Mutex<Vec<Sent>>>;

struct Link {
    host: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
}

/// Sends requests one after another until `until`.
pub async fn run(world: Arc<World>, n: usize, mut rng: SmallRng, seen: Seen, until: Instant) {
    let mut addrs: (Instant, Vec<SocketAddr>) = (Instant::now(), Vec::new());
    let mut link: Option<Link> = None;
    let mut count = 0_u32;
    while Instant::now() < until {
        tokio::time::sleep(PAUSE.mul_f64(rng.random_range(0.5..1.5))).await;
        if addrs.1.is_empty() || addrs.0.elapsed() > KEEP_ADDRESSES {
            let host = world.hosts.choose(&mut rng).expect("there are hosts");
            let named = ask_directory((host.ip, DIRECTORY_PORT).into(), n).await;
            if named.is_empty() {
                continue;
            }
            addrs = (Instant::now(), named);
        }
        let kept = link.take().filter(|link| {
            !n.is_multiple_of(FRESH_EVERY)
                && addrs.1.contains(&link.host)
                && !link.sender.is_closed()
        });
        let mut open = match kept {
            Some(link) => link,
            None => {
                let host = *addrs.1.choose(&mut rng).expect("it names hosts");
                let Some(sender) = connect(host).await else {
                    addrs.1.retain(|addr| *addr != host);
                    continue;
                };
                Link { host, sender }
            }
        };
        count += 1;
        let once = count.is_multiple_of(ONCE_EVERY);
        let id = format!("c{n}-{count}");
        let sent_at = Instant::now();
        let (end, keep) = send(&mut open.sender, &id, once).await;
        let (host, ended_at) = (open.host, Instant::now());
        if keep {
            link = Some(open);
        }
        let sent = Sent { id, once, host, sent_at, ended_at, end };
        seen.lock().expect("no holder of the lock panics").push(sent);
    }
}

async fn connect(host: SocketAddr) -> Option<SendRequest<Empty<Bytes>>> {
    let stream = tokio::time::timeout(CONNECT_WITHIN, TcpStream::connect(host)).await.ok()?.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // How it ends shows in the request's result.
    tokio::spawn(async move { drop(connection.await) });
    Some(sender)
}

async fn ask_directory(host: SocketAddr, n: usize) -> Vec<SocketAddr> {
    let ask = async {
        let mut sender = connect(host).await?;
        let path = directory_path(DOMAINS[n % DOMAINS.len()]);
        let request = Request::get(path).header("host", HOST_NAME).body(Empty::new()).ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        Some(directory_addrs(&body))
    };
    let asked = tokio::time::timeout(CONNECT_WITHIN, ask).await;
    asked.ok().flatten().unwrap_or_default()
}

/// Sends a request; returns how it ended and whether the connection may be used again.
async fn send(sender: &mut SendRequest<Empty<Bytes>>, id: &str, once: bool) -> (End, bool) {
    let path = if once { "/one/x" } else { "/all/x" };
    let request = Request::get(path)
        .header("host", HOST_NAME)
        .header(REQUEST_ID, id)
        .header(DEADLINE_MS, PATIENCE.as_millis().to_string())
        .body(Empty::new())
        .expect("the request is well formed");
    let exchange = async {
        let answer = sender.send_request(request).await.ok()?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let field = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
        let signatures = field(if once { RESPONSE_STAMP } else { PART_STAMPS });
        let signatures = signatures.unwrap_or_default();
        let signatures = signatures.split(", ").filter(|s| !s.is_empty());
        let closes = field("connection") == Some("close");
        let answer = Answer {
            status: head.status.as_u16(),
            signatures: signatures.map(Into::into).collect(),
            missing: field(MISSING_PARTS).and_then(|text| text.parse().ok()).unwrap_or(0),
            body,
        };
        Some((answer, !closes))
    };
    match tokio::time::timeout(GIVE_UP, exchange).await {
        Ok(Some((answer, keep))) => (End::Answered(answer), keep),
        Ok(None) => (End::Closed, false),
        Err(_) => (End::Silent, false),
    }
}
