//! Clients that hold connections open and never complete, or never read, what they began.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use quetzal_platform_standin::settings::{
    CALLER_PORT, CONTROL_PORT, DIRECTORY_PORT, HOST_NAME, MAX_BODY_BYTES, MEMORY_MB, PEER_PORT,
    READY_PORT,
};
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::invariants::Violation;
use crate::world::World;

/// The pause before a client connects again.
const PAUSE: Duration = Duration::from_millis(200);
/// How long a client waits until its bytes are accepted.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// What a client sends before it only waits.
#[derive(Debug, Clone, Copy)]
enum Conduct {
    /// Nothing.
    Idle,
    /// A part of a head.
    Head,
    /// A body that stops just short of its stated length, in pieces of this size.
    Body(usize),
    /// A body that lacks its last chunk, in chunks of this size.
    Chunks(usize),
    /// A request, and more bytes than the host may take.
    Flood,
    /// Many requests, whose answers it does not read.
    Requests,
    /// A part of a long frame.
    Frame,
}

const CONDUCTS: [(u16, Conduct); 13] = [
    (CALLER_PORT, Conduct::Idle),
    (CALLER_PORT, Conduct::Head),
    (CALLER_PORT, Conduct::Body(MAX_BODY_BYTES)),
    (CALLER_PORT, Conduct::Body(1_000)),
    (CALLER_PORT, Conduct::Chunks(8_192)),
    (CALLER_PORT, Conduct::Chunks(16)),
    (CALLER_PORT, Conduct::Flood),
    (CALLER_PORT, Conduct::Requests),
    (DIRECTORY_PORT, Conduct::Idle),
    (READY_PORT, Conduct::Head),
    (CONTROL_PORT, Conduct::Idle),
    (PEER_PORT, Conduct::Idle),
    (PEER_PORT, Conduct::Frame),
];

impl Conduct {
    /// Returns what is sent, in the pieces in which it is written.
    fn pieces(self, id: &str) -> Vec<Vec<u8>> {
        let head = |method: &str, framing: &str| {
            format!(
                "{method} /one/{id} HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: \
                 {id}\r\nDeadline-Ms: 600000\r\n{framing}\r\n"
            )
            .into_bytes()
        };
        match self {
            Self::Idle => Vec::new(),
            Self::Head => vec![format!("GET /one/{id} HTTP/1.1\r\nHost: h").into_bytes()],
            Self::Body(piece) => {
                let mut pieces =
                    vec![head("POST", &format!("Content-Length: {MAX_BODY_BYTES}\r\n"))];
                let body = vec![b'x'; MAX_BODY_BYTES - 1];
                pieces.extend(body.chunks(piece).map(<[u8]>::to_vec));
                pieces
            }
            Self::Chunks(length) => {
                let chunk = format!("{length:x}\r\n{}\r\n", "x".repeat(length)).into_bytes();
                let mut pieces = vec![head("POST", "Transfer-Encoding: chunked\r\n")];
                pieces.extend((0..MAX_BODY_BYTES / length / 2).map(|_| chunk.clone()));
                pieces
            }
            Self::Flood => vec![head("GET", ""), vec![b'x'; 4 * MAX_BODY_BYTES]],
            Self::Requests => (0..200).map(|n| head("GET", &format!("X-Field: {n}\r\n"))).collect(),
            Self::Frame => vec![[&[0x3f, 0xff, 0xff], [0; 100_000].as_slice()].concat()],
        }
    }
}

/// Behaves badly towards a host until a moment: each connection is kept until the host closes it or
/// its process is gone.
pub async fn run(ip: Ipv4Addr, n: usize, mut rng: SmallRng, stop_at: Instant) {
    for connection in 0.. {
        if Instant::now() >= stop_at {
            return;
        }
        let (port, conduct) = *CONDUCTS.choose(&mut rng).expect("there is a conduct");
        let id = format!("m-{ip}-{n}-{connection}-{}", rng.random::<u32>());
        let hold = hold((ip, port).into(), conduct, &id);
        // The time is up if this fails.
        let _ = timeout(stop_at.saturating_duration_since(Instant::now()), hold).await;
        tokio::time::sleep(PAUSE).await;
    }
}

async fn hold(addr: SocketAddr, conduct: Conduct, id: &str) {
    // The host may be down.
    let Ok(mut stream) = TcpStream::connect(addr).await else { return };
    for piece in conduct.pieces(id) {
        match timeout(SEND_TIMEOUT, stream.write_all(&piece)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) => break,
        }
    }
    if matches!(conduct, Conduct::Requests) {
        std::future::pending::<()>().await;
    }
    let mut answer = [0; 1_024];
    while stream.read(&mut answer).await.is_ok_and(|length| length > 0) {}
}

/// Checks at the end of a run that the processes live and have stayed within their memory.
pub fn check(world: &Arc<World>) -> Vec<Violation> {
    let check = |host: &crate::world::Host| {
        let peak_kb = host.process_id().and_then(peak_resident_kb);
        let reason = match peak_kb {
            None => "a process has ended by itself",
            Some(peak) if peak >= MEMORY_MB << 10 => "a process took more than its memory",
            Some(_) => return None,
        };
        Some(Violation { reason, detail: format!("{}: {peak_kb:?} kB", host.ip) })
    };
    world.hosts.iter().filter_map(check).collect()
}

/// Returns the most memory that a process has had, or `None` if it no longer runs.
fn peak_resident_kb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}
