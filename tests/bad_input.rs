//! Invalid input: an invalid request gets a specific error, and an invalid reply of a backend server
//! counts as a missing shard.

mod common;

use common::Deployment;
use quetzalpoint::Host;
use quetzalpoint::connection::caller::Caller;
use quetzalpoint::connection::caller_api::{ErrorReply, Reply};
use quetzalpoint::connection::query::QueryBody;
use quetzalpoint::standin::backend::Fault;
use quetzalpoint::standin::data::version_of;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const KIB: usize = 1024;

/// Posts raw bytes and returns the status code and the body of the reply.
async fn post(addr: std::net::SocketAddr, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    // The host may reply and close the connection before it has read a body that is too large.
    let _ = stream.write_all(body).await;
    let mut reply = Vec::new();
    let _ = stream.read_to_end(&mut reply).await;
    let text = String::from_utf8_lossy(&reply).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").expect("the reply is complete");
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    (status, body.as_bytes().to_vec())
}

#[tokio::test]
async fn invalid_requests_get_a_specific_error() {
    struct Case {
        name: &'static str,
        path: &'static str,
        body: Vec<u8>,
        status: u16,
        message: &'static str,
    }
    let deployment = Deployment::start().await;
    let host = Host::builder(deployment.settings(0)).start().await.unwrap();
    let parts = "/v1/query/parts";
    let orders = "/v1/query/orders";
    let cases = [
        Case { name: "malformed", path: parts, body: b"{".into(), status: 400, message: "JSON" },
        Case { name: "empty", path: parts, body: b"".into(), status: 400, message: "JSON" },
        Case {
            name: "unknown field",
            path: parts,
            body: br#"{"color":1}"#.into(),
            status: 400,
            message: "color",
        },
        Case {
            name: "unknown service",
            path: "/v1/query/none",
            body: b"{}".into(),
            status: 404,
            message: "orders, parts",
        },
        Case {
            name: "zero deadline",
            path: parts,
            body: br#"{"deadline_ms":0}"#.into(),
            status: 400,
            message: "deadline_ms is 0",
        },
        Case {
            name: "past deadline",
            path: parts,
            body: br#"{"deadline_ms":-5}"#.into(),
            status: 400,
            message: "can't be read",
        },
        Case {
            name: "oversized",
            path: parts,
            body: vec![b' '; 65 * KIB],
            status: 413,
            message: "larger than 65536",
        },
        Case {
            name: "not UTF-8",
            path: parts,
            body: b"{\"term\":\"\xff\"}".into(),
            status: 400,
            message: "UTF-8",
        },
        Case {
            name: "limit too high",
            path: parts,
            body: br#"{"limit":21}"#.into(),
            status: 400,
            message: "from 1 to 20",
        },
        Case {
            name: "order without id",
            path: orders,
            body: br#"{"key":"k"}"#.into(),
            status: 400,
            message: "request_id",
        },
        Case {
            name: "order without key",
            path: orders,
            body: br#"{"request_id":"r"}"#.into(),
            status: 400,
            message: "key is missing",
        },
        Case {
            name: "unknown path",
            path: "/v2/query",
            body: b"{}".into(),
            status: 404,
            message: "/v1/query/{service}",
        },
    ];
    let addr = deployment.config.fleet.hosts[0].caller_addr;
    for case in cases {
        let (status, body) = post(addr, case.path, &case.body).await;
        let reply: ErrorReply = serde_json::from_slice(&body).expect(case.name);
        assert_eq!(status, case.status, "{}: {reply:?}", case.name);
        assert!(reply.error.contains(case.message), "{}: {}", case.name, reply.error);
        assert_eq!(reply.outcome, "not_run", "{}", case.name);
    }
    assert_eq!(deployment.run_counts.totals().runs, 0, "no request may reach a backend server");
    host.stop();
}

#[tokio::test]
async fn invalid_backend_replies_count_as_missing_shards() {
    struct Case {
        name: &'static str,
        fault: Fault,
    }
    let cases = [
        Case { name: "truncated", fault: Fault::Truncated },
        Case { name: "duplicated", fault: Fault::Duplicated },
        Case { name: "too large", fault: Fault::TooLarge },
        Case { name: "of another attempt", fault: Fault::OtherAttempt },
        Case { name: "of another version", fault: Fault::OtherVersion },
        Case { name: "of another shard", fault: Fault::OtherShard },
        Case { name: "silent", fault: Fault::Silent },
    ];
    let deployment = Deployment::start().await;
    let host = Host::builder(deployment.settings(0)).start().await.unwrap();
    let other = Host::builder(deployment.settings(1)).start().await.unwrap();
    deployment.wait_until_ready(0).await;
    deployment.wait_until_seats_held().await;
    let caller = Caller::new(vec![deployment.config.fleet.hosts[0].caller_addr]);
    let faulty = &deployment.servers["parts-1-0"];
    for case in cases {
        faulty.set_fault(case.fault);
        let reply = query_parts(&caller, case.name, 400).await;
        assert_eq!(reply.outcome, "answered", "{}", case.name);
        let coverage = reply.coverage.expect(case.name);
        assert_eq!((coverage.shards, coverage.answered), (3, 2), "{}", case.name);
        assert_eq!(coverage.missing[0].shards, "1", "{}", case.name);
        assert!(reply.rows.iter().all(|row| row.shard != 1 && version_of(row) == Some(1)));
        faulty.set_fault(Fault::None);
        faulty.restart();
        common::wait_until("the server replies correctly again", async || {
            query_parts(&caller, "again", 2_000).await.coverage.is_some_and(|c| c.answered == 3)
        })
        .await;
    }
    host.stop();
    other.stop();
}

/// Queries the service "parts".
async fn query_parts(caller: &Caller, term: &str, deadline_ms: u64) -> Reply {
    let body = QueryBody {
        request_id: "".into(),
        deadline_ms: Some(deadline_ms),
        term: term.into(),
        key: "".into(),
        limit: None,
        resend: false,
    };
    let timeout = std::time::Duration::from_secs(30);
    caller.query("parts", &body, timeout).await.expect("the host replies")
}
