//! Backend servers that do what a test tells them, and a tier before them.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::body::Bytes;
use hyper::{HeaderMap, Method};
use quetzalpoint::UnknownReason;
use quetzalpoint::connection::exchange::{BackendProtocol, Call, Exchange, ExchangeResult, Reply};
use quetzalpoint::ids::{RegionId, ServerId, ServiceId};
use quetzalpoint::process::budgets::extra_attempt_budget::ExtraAttemptLimit;
use quetzalpoint::process::servers::registry::{Change, Fact, ServerRecord};
use quetzalpoint::process::tier::{Tier, TierSettings};
use quetzalpoint::request::entry::{Request, Served, serve};
use quetzalpoint::version::plan::{
    GatherRule, Idempotency, Plan, PlanDocument, Route, ServiceLimits, Target,
};
use smallvec::{SmallVec, smallvec};

pub const NORTH: &str = "north";
pub const SOUTH: &str = "south";
/// Where hosts of the tests that use sockets listen for each other, and where they ask first.
pub const PEER_PORT: u16 = 17_390;
pub const SEEDS: [Ipv4Addr; 2] = [Ipv4Addr::new(127, 0, 6, 1), Ipv4Addr::new(127, 0, 6, 2)];
pub const HOST: &str = "search.example";
/// The connections that a server accepts, where a test says nothing else.
const MAX_CONNECTIONS: u32 = 20;

/// What a server does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It answers after its work.
    Answers,
    /// It runs the request and never answers.
    Silent,
    /// It refuses the request.
    Sheds,
    /// It runs the request, then breaks off.
    BreaksOff,
    /// It answers with a failure of its own.
    Fails,
    /// Another server has its address.
    Replaced,
    /// It accepts no connection.
    Unreachable,
    /// It forgets idle connections; what is sent on one is reset and did not run.
    ForgetsIdle,
}

#[derive(Debug)]
struct FakeServer {
    mode: Mode,
    work: Duration,
}

/// What the servers saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// The requests that each server began to work on.
    pub runs: Vec<(String, SocketAddr)>,
    /// All requests that arrived at a server, refused ones among them.
    pub arrivals: usize,
    /// Requests whose connection was closed while they ran.
    pub cancelled: usize,
    /// Connections opened.
    pub connections: usize,
}

#[derive(Debug, Clone, Default)]
pub struct FakeServers {
    servers: Arc<Mutex<HashMap<SocketAddr, FakeServer>>>,
    seen: Arc<Mutex<Seen>>,
}

impl FakeServers {
    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().expect("no test holds it while it panics")
    }

    pub fn set(&self, addr: SocketAddr, mode: Mode, work: Duration) {
        let mut servers = self.servers.lock().expect("no test holds it while it panics");
        servers.insert(addr, FakeServer { mode, work });
    }

    fn behaviour(&self, addr: SocketAddr) -> (Mode, Duration) {
        let servers = self.servers.lock().expect("no test holds it while it panics");
        servers.get(&addr).map_or((Mode::Unreachable, Duration::ZERO), |s| (s.mode, s.work))
    }
}

pub struct FakeLink {
    servers: FakeServers,
    addr: SocketAddr,
    used: bool,
    clean: bool,
}

impl BackendProtocol for FakeServers {
    type Link = FakeLink;

    async fn connect(&self, addr: SocketAddr) -> io::Result<FakeLink> {
        if self.behaviour(addr).0 == Mode::Unreachable {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        self.seen().connections += 1;
        Ok(FakeLink { servers: self.clone(), addr, used: false, clean: true })
    }
}

/// Counts a request whose future is dropped while it runs.
struct Running<'a>(&'a FakeServers, bool);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if !self.1 {
            self.0.seen().cancelled += 1;
        }
    }
}

impl Exchange for FakeLink {
    async fn exchange(&mut self, call: &Call, _: &ServerId, left: Duration) -> ExchangeResult {
        let (mode, work) = self.servers.behaviour(self.addr);
        let reused = std::mem::replace(&mut self.used, true);
        self.clean = false;
        self.servers.seen().arrivals += 1;
        match mode {
            Mode::Sheds => {
                self.clean = true;
                return ExchangeResult::Shed;
            }
            Mode::Replaced => return ExchangeResult::WrongServer,
            Mode::Unreachable => return ExchangeResult::Unsent,
            Mode::ForgetsIdle if reused => {
                return ExchangeResult::Lost(UnknownReason::ConnectionLost);
            }
            Mode::Answers | Mode::Silent | Mode::BreaksOff | Mode::Fails | Mode::ForgetsIdle => {}
        }
        self.servers.seen().runs.push((call.request_id.to_string(), self.addr));
        let mut running = Running(&self.servers, false);
        let work = if mode == Mode::Silent { left * 2 } else { work };
        tokio::time::sleep(work).await;
        running.1 = true;
        if mode == Mode::BreaksOff {
            return ExchangeResult::Lost(UnknownReason::ConnectionLost);
        }
        self.clean = true;
        ExchangeResult::Reply(Reply {
            status: if mode == Mode::Fails { 500 } else { 200 },
            headers: HeaderMap::new(),
            body: Bytes::from(vec![self.addr.port() as u8; 16]),
            signature: Some(format!("{}/{}", self.addr, call.request_id).into()),
        })
    }

    fn keep_alive_time(&self) -> Option<Duration> {
        self.clean.then_some(Duration::from_secs(5))
    }
}

/// A tier with one shard per entry of `shards`, each with servers in north and south.
pub struct World {
    pub tier: Arc<Tier<FakeServers>>,
    pub servers: FakeServers,
    next_request: u32,
}

pub const WORK: Duration = Duration::from_millis(10);

pub fn addr(shard: usize, domain: &str) -> SocketAddr {
    let port = 1_000 + 2 * shard as u16 + u16::from(domain == SOUTH);
    (Ipv4Addr::LOCALHOST, port).into()
}

/// Each failure domain stands in a region of its own.
pub fn region(domain: &str) -> RegionId {
    format!("region-{domain}").into()
}

pub fn service(shard: usize) -> ServiceId {
    format!("shard-{shard}").into()
}

pub fn record(shard: usize, domain: &str) -> ServerRecord {
    ServerRecord {
        id: format!("{shard}-{domain}").into(),
        service: service(shard),
        addr: addr(shard, domain),
        domain: domain.into(),
        slots: 2,
        ready: true,
        cold_left_ms: 0,
    }
}

impl World {
    /// Starts with `shards` shards of two servers, all of which answer after [`WORK`].
    pub fn new(shards: usize) -> Self {
        Self::at(shards, Ipv4Addr::LOCALHOST, NORTH, FakeServers::default())
    }

    /// Starts with one shard whose servers accept few connections.
    pub fn with_connections(max_connections: u32) -> Self {
        Self::build(1, Ipv4Addr::LOCALHOST, NORTH, FakeServers::default(), max_connections)
    }

    /// Does the same for a host of a given address and failure domain, before given servers.
    pub fn at(shards: usize, ip: Ipv4Addr, domain: &str, servers: FakeServers) -> Self {
        Self::build(shards, ip, domain, servers, MAX_CONNECTIONS)
    }

    /// Does the same with servers that accept few connections.
    pub fn build(
        shards: usize,
        ip: Ipv4Addr,
        domain: &str,
        servers: FakeServers,
        max_connections: u32,
    ) -> Self {
        let settings = TierSettings {
            ip,
            domain: domain.into(),
            domains: [NORTH, SOUTH].map(|domain| (domain.into(), region(domain))).into(),
            peer_port: PEER_PORT,
            seeds: SEEDS.to_vec(),
            weight: 25,
            extra: ExtraAttemptLimit {
                ratio: 0.2,
                allowance: 50.0,
                window: Duration::from_secs(10),
            },
        };
        let tier = Arc::new(Tier::new(settings, servers.clone()));
        let route = |id: &str, repeat, target| Route {
            id: id.into(),
            host: HOST.into(),
            prefix: format!("/{id}/").into(),
            repeat,
            attempts: 2,
            timeout: Duration::from_secs(2),
            latency_target: Duration::from_millis(200),
            priority: 1,
            target,
            regions: SmallVec::new(),
        };
        let home = |id: &str, target, domain| Route {
            regions: smallvec![region(domain)],
            ..route(id, Idempotency::Idempotent, target)
        };
        let gather = Target::Gather(GatherRule {
            shards: (0..shards).map(service).collect(),
            record_count: 5,
            coverage_floor: 0.8,
        });
        let terms = ServiceLimits { max_connections, cold_per_s: None };
        let plan = PlanDocument {
            version: 1,
            routes: vec![
                home("home-all", gather.clone(), SOUTH),
                home("home-one", Target::Service(service(0)), SOUTH),
                home("home-nowhere", gather.clone(), "west"),
                route("all", Idempotency::Idempotent, gather),
                route("one", Idempotency::Idempotent, Target::Service(service(0))),
                route("once", Idempotency::NonIdempotent, Target::Service(service(0))),
            ],
            services: (0..shards).map(|shard| (service(shard), terms.clone())).collect(),
            ..PlanDocument::default()
        };
        assert!(tier.adopt(Plan::new(plan).expect("the plan is valid")));
        let mut world = Self { tier, servers, next_request: 0 };
        let mut changes = Vec::new();
        for shard in 0..shards {
            for domain in [NORTH, SOUTH] {
                world.servers.set(addr(shard, domain), Mode::Answers, WORK);
                let server = record(shard, domain);
                let fact = Fact::Server(server.id.clone(), Some(server));
                changes.push(Change { revision: 1, fact });
            }
        }
        world.change(changes, 1);
        world
    }

    pub fn change(&mut self, changes: Vec<Change>, up_to: u64) {
        self.tier.apply_changes(changes, up_to);
    }

    /// Returns a request on one of the routes `all`, `one` and `once`.
    pub fn request(&mut self, route: &str) -> Request {
        self.next_request += 1;
        Request {
            call: Call {
                method: Method::GET,
                path: format!("/{route}/x").into(),
                host: HOST.into(),
                headers: HeaderMap::new(),
                body: Bytes::new(),
                request_id: format!("r{}", self.next_request).into(),
            },
            timeout: Some(Duration::from_secs(2)),
        }
    }

    /// Serves one request and tells how long it took.
    pub async fn serve(&mut self, route: &str) -> (Served, Duration) {
        let request = self.request(route);
        let began_at = self.tier.now();
        let served = serve(&self.tier, request).await;
        (served, self.tier.now() - began_at)
    }

    /// Serves some requests one after another, so that the tier knows its servers.
    pub async fn warm_up(&mut self) {
        for _ in 0..40 {
            self.serve("all").await;
        }
    }
}
