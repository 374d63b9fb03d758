//! Crowds of callers that take what they can of a `quetzald` and stay connected. See the tests of the
//! same name in `platform/`.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use common::Deployment;
use quetzalpoint::connection::caller::Caller;
use quetzalpoint::connection::query::QueryBody;

const MEMORY_MB: u64 = 64;
/// The longest body that the interface accepts.
const MAX_BODY_BYTES: usize = 64 << 10;
const TIMEOUT: Duration = Duration::from_secs(30);

struct Daemon(Child);

impl Daemon {
    fn start(deployment: &Deployment, max_descriptors: usize) -> Self {
        let settings = deployment.settings(0);
        let child = Command::new(env!("CARGO_BIN_EXE_quetzald"))
            .args(["--host", &settings.host, "--domain", &settings.domain])
            .args(["--caller-addr", &settings.caller_addr.to_string()])
            .args(["--peer-addr", &settings.peer_addr.to_string()])
            .args(["--platform", &deployment.platform_addr.to_string()])
            .env("QUETZAL_MEMORY_MB", MEMORY_MB.to_string())
            .env("QUETZAL_MAX_DESCRIPTORS", max_descriptors.to_string())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self(child)
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.0.id())).unwrap().count()
    }

    /// Returns the most memory that the process has had, in megabytes.
    fn peak_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() >> 10
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Sends an ordinary query, again if need be, until it is answered.
async fn assert_served(addr: SocketAddr, when: &str) {
    let query = QueryBody {
        request_id: "q".into(),
        deadline_ms: None,
        term: "".into(),
        key: "k".into(),
        limit: None,
        resend: false,
    };
    let until = Instant::now() + TIMEOUT;
    let mut last = None;
    while Instant::now() < until {
        let reply = Caller::new(vec![addr]).query("parts", &query, TIMEOUT).await;
        if reply.as_ref().is_ok_and(|reply| reply.outcome == "answered") {
            return;
        }
        last = Some(reply);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("an ordinary query {when} is not answered: {last:?}");
}

fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2)).ok()?;
    stream.set_write_timeout(Some(Duration::from_secs(1))).unwrap();
    Some(stream)
}

async fn play((count, max_descriptors): (usize, usize), begin: impl Fn(&mut TcpStream)) {
    let deployment = Deployment::start().await;
    let addr = deployment.settings(0).caller_addr;
    let mut daemon = Daemon::start(&deployment, max_descriptors);
    deployment.wait_until_ready(0).await;
    assert_served(addr, "before the crowd").await;
    let mut crowd: Vec<TcpStream> = Vec::new();
    for _ in 0..count {
        let Some(mut stream) = connect(addr) else { continue };
        begin(&mut stream);
        crowd.push(stream);
    }
    assert_served(addr, "beside the crowd").await;
    let (descriptors, peak_mb) = (daemon.descriptors(), daemon.peak_mb());
    drop(crowd);
    assert_served(addr, "after the crowd").await;
    assert!(daemon.0.try_wait().unwrap().is_none(), "the daemon has ended");
    assert!(descriptors < max_descriptors, "{descriptors} descriptors");
    assert!(peak_mb < MEMORY_MB, "{peak_mb} MB of {MEMORY_MB} MB");
}

#[tokio::test]
async fn daemon_stays_within_its_memory_beside_unfinished_bodies() {
    let start = format!(
        "POST /v1/query/parts HTTP/1.1\r\nhost: x\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    let mut request = start.into_bytes();
    request.resize(request.len() + MAX_BODY_BYTES - 1, b' ');
    // The daemon may refuse a client before it has sent everything.
    play((1_500, 4_096), |stream| drop(stream.write_all(&request))).await;
}

#[tokio::test]
async fn daemon_stays_within_its_descriptors_beside_idle_connections() {
    play((600, 400), |_| {}).await;
}

/// Guards against a refusal that is lost because the connection closes with unread bytes.
#[tokio::test]
async fn refusal_reaches_a_caller_that_is_still_sending() {
    let deployment = Deployment::start().await;
    let addr = deployment.settings(0).caller_addr;
    let _daemon = Daemon::start(&deployment, 4_096);
    deployment.wait_until_ready(0).await;
    let length = 8 * MAX_BODY_BYTES;
    let mut stream = connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let head =
        format!("POST /v1/query/parts HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    for _ in 0..32 {
        stream.write_all(&[b' '; 8 << 10]).unwrap();
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}
