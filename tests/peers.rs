//! Peers that a host must not serve, and peers that it supplies with the configuration.

mod common;

use common::Deployment;
use quetzalpoint::Host;
use quetzalpoint::NotRunReason;
use quetzalpoint::Outcome;
use quetzalpoint::connection::peer::{
    Batch, BatchItem, Hello, HelloRefusal, Order, PROTOCOL_VERSION, PeerClient, Postcard,
};
use quetzalpoint::connection::query::Query;
use quetzalpoint::process::membership::lease::{Claim, ClaimReply};
use quetzalpoint::version::config::Kind;
use tarpc::context;

async fn connect(addr: std::net::SocketAddr) -> PeerClient {
    let transport = tarpc::serde_transport::tcp::connect(addr, || Postcard).await.unwrap();
    PeerClient::new(tarpc::client::Config::default(), transport).spawn()
}

fn hello(protocol: u32, deployment: &str) -> Hello {
    Hello { protocol, deployment: deployment.into(), host: "entry-2".into() }
}

fn query() -> Query {
    Query {
        request_id: "r-1".into(),
        service: "orders".into(),
        term: "".into(),
        key: "k".into(),
        limit: 5,
        resend: false,
    }
}

#[tokio::test]
async fn incompatible_peers_are_refused() {
    struct Case {
        name: &'static str,
        hello: Option<Hello>,
        refusal: Option<HelloRefusal>,
    }
    let cases = [
        Case { name: "no hello", hello: None, refusal: None },
        Case {
            name: "other protocol version",
            hello: Some(hello(PROTOCOL_VERSION + 1, "small")),
            refusal: Some(HelloRefusal::ProtocolVersion),
        },
        Case {
            name: "other deployment",
            hello: Some(hello(PROTOCOL_VERSION, "large")),
            refusal: Some(HelloRefusal::Deployment),
        },
    ];
    let deployment = Deployment::start().await;
    let host = Host::builder(deployment.settings(0)).start().await.unwrap();
    let addr = deployment.config.fleet.hosts[0].peer_addr;
    for case in cases {
        let client = connect(addr).await;
        if let Some(hello) = case.hello {
            let reply = client.hello(context::current(), hello).await.unwrap();
            assert_eq!(reply.err(), case.refusal, "{}", case.name);
        }
        let item = BatchItem { attempt: 1, shard: 0, server: "orders-0-0".into() };
        let batch = Batch {
            id: 1,
            query: query(),
            kind: Kind::Submit,
            index_version: 1,
            deadline_us: u64::MAX,
            flush_ms: 100,
            items: vec![item],
        };
        let part = client.run(context::current(), batch).await.unwrap();
        let refused = Outcome::NotRun(NotRunReason::NotReady);
        assert_eq!(part.ended[0].outcome, refused, "{}", case.name);
        let order = Order { query: query(), deadline_us: u64::MAX };
        let outcome = client.submit(context::current(), order).await.unwrap();
        assert_eq!(outcome, Outcome::NotRun(NotRunReason::NotReady), "{}", case.name);
        let claim =
            Claim { seat: "entry-1".into(), claimant: "entry-2".into(), incarnation: 1, epoch: 0 };
        let answer = client.claim(context::current(), claim).await.unwrap();
        assert_eq!(answer.reply, ClaimReply::Abstaining, "{}", case.name);
    }
    assert_eq!(deployment.run_counts.executions("r-1"), 0);
    host.stop();
}

#[tokio::test]
async fn malformed_bytes_leave_other_peer_connections_intact() {
    use tokio::io::AsyncWriteExt;
    let deployment = Deployment::start().await;
    let host = Host::builder(deployment.settings(0)).start().await.unwrap();
    let addr = deployment.config.fleet.hosts[0].peer_addr;
    for malformed in [&b"\x00\x00\x00\x04abcd"[..], b"\xff\xff\xff\xff", b"GET / HTTP/1.1\r\n\r\n"]
    {
        let mut stream = tokio::net::TcpStream::connect(addr).await.unwrap();
        stream.write_all(malformed).await.unwrap();
    }
    let client = connect(addr).await;
    let reply = client.hello(context::current(), hello(PROTOCOL_VERSION, "small")).await.unwrap();
    assert_eq!(reply.unwrap().host, "entry-1");
    host.stop();
}

#[tokio::test]
async fn new_host_gets_configuration_from_peer_while_platform_is_down() {
    let deployment = Deployment::start().await;
    let host = Host::builder(deployment.settings(0)).start().await.unwrap();
    deployment.platform.set_down(true);
    let mut settings = deployment.settings(1);
    settings.peers = vec![deployment.config.fleet.hosts[0].peer_addr];
    let other = Host::builder(settings).start().await.unwrap();
    assert_eq!(other.config_version(), 1);
    host.stop();
    other.stop();
}
