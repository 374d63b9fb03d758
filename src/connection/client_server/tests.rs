use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Response;
use hyper::body::Bytes;
use hyper::header::{CONNECTION, HeaderValue};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::{ConnectionLimits, WaitLimits, accept_client, listen, serve};
use crate::process::clients::{ClientKind, Clients, MachineLimits};

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_head_bytes: 16 << 10,
    waits: WaitLimits {
        head_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_millis(600),
    },
};
/// Longer than the buffers between the two ends.
const ANSWER_BYTES: usize = 32 << 20;
const MACHINE: MachineLimits = MachineLimits { memory_bytes: 64 << 20, descriptors: 310 };

struct Server {
    clients: Arc<Clients>,
    closing: CancellationToken,
    addr: std::net::SocketAddr,
}

impl Server {
    /// Starts a server whose answers have this length.
    fn start(answer_bytes: usize) -> Self {
        Self::start_closing(answer_bytes, false)
    }

    /// Starts a server that also closes the connection after an answer, or not.
    fn start_closing(answer_bytes: usize, closes: bool) -> Self {
        let listener = listen(([127, 0, 0, 1], 0).into()).expect("a port is free");
        let addr = listener.local_addr().expect("the listener is bound");
        let (clients, closing) = (Clients::new(MACHINE), CancellationToken::new());
        let server = Self { clients: clients.clone(), closing: closing.clone(), addr };
        tokio::spawn(async move {
            let stopped = CancellationToken::new();
            while let Some((stream, registered)) =
                accept_client(&listener, &clients, ClientKind::Caller, &stopped).await
            {
                let closing = closing.clone();
                tokio::spawn(async move {
                    let handle = |_, _| {
                        let body = Full::new(Bytes::from(vec![b'x'; answer_bytes]));
                        let mut response = Response::new(body);
                        if closes {
                            let close = HeaderValue::from_static("close");
                            response.headers_mut().insert(CONNECTION, close);
                        }
                        std::future::ready(response)
                    };
                    serve(stream, registered, LIMITS, &closing, handle).await;
                });
            }
        });
        server
    }

    async fn connect(&self, bytes: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.addr).await.expect("the server listens");
        stream.write_all(bytes.as_bytes()).await.expect("the server reads");
        stream
    }
}

async fn read_all(stream: &mut TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("the answer is not cut off");
    answer
}

const REQUEST: &str = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// Guards against answers that are cut off although their client reads them: when the server is
/// about to stop, and when another connection needs room.
#[tokio::test]
async fn answer_is_written_to_its_end() {
    for (crowd, closes) in [(0, false), (50, false), (0, true), (50, true)] {
        let server = Server::start_closing(ANSWER_BYTES, closes);
        let mut stream = server.connect(REQUEST).await;
        let mut head = [0; 1_000];
        stream.read_exact(&mut head).await.expect("the answer begins");
        let mut others = Vec::new();
        for _ in 0..crowd {
            others.push(server.connect("").await);
        }
        server.closing.cancel();
        tokio::task::yield_now().await;
        let answer = read_all(&mut stream).await;
        assert!(head.len() + answer.len() > ANSWER_BYTES, "{crowd}, {closes}: {}", answer.len());
    }
}

#[tokio::test]
async fn waits_for_a_client_end() {
    struct Case {
        name: &'static str,
        sent: &'static str,
        answer: &'static str,
    }
    let cases = [
        Case { name: "no request", sent: "", answer: "" },
        Case { name: "unfinished head", sent: "GET / HT", answer: "HTTP/1.1 408 " },
        Case { name: "idle after a request", sent: REQUEST, answer: "HTTP/1.1 200 " },
        Case { name: "no head", sent: "\0\0\r\n\r\n", answer: "HTTP/1.1 400 " },
    ];
    for Case { name, sent, answer } in cases {
        let server = Server::start(1);
        let mut stream = server.connect(sent).await;
        let received = String::from_utf8(read_all(&mut stream).await).expect("a text");
        let is_expected =
            received.starts_with(answer) && (answer.is_empty() == received.is_empty());
        assert!(is_expected, "{name}: {received}");
        drop(stream);
        while server.clients.connections(ClientKind::Caller) > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

#[tokio::test]
async fn answer_that_nobody_reads_ends() {
    let server = Server::start(ANSWER_BYTES);
    // The time grows with the length of the answer; nothing waits for its end here.
    let _stream = server.connect(REQUEST).await;
    let is_blocked = || server.clients.displaces_unread_answer();
    while !is_blocked() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    while server.clients.connections(ClientKind::Caller) > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
