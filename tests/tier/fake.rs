//! Fake backend servers whose behaviour a test sets, and a host of the tier that uses them.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::body::Bytes;
use hyper::{HeaderMap, Method};
use quetzalpoint::UnknownReason;
use quetzalpoint::connection::exchange::{
    BackendProtocol, Call, Exchange, ExchangeResult, RateStatement, Reply,
};
use quetzalpoint::ids::{RegionId, ServerId, ServiceId};
use quetzalpoint::position::Position;
use quetzalpoint::process::budgets::extra_attempt_budget::ExtraAttemptLimit;
use quetzalpoint::process::membership::discovery::FleetKnowledge;
use quetzalpoint::process::membership::members::FleetView;
use quetzalpoint::process::servers::registry::{Change, Fact, Registry, ServerRecord};
use quetzalpoint::process::tier::{Tier, TierSettings};
use quetzalpoint::request::entry::{Request, Served, serve};
use quetzalpoint::version::plan::{
    GatherRule, Idempotency, Plan, PlanDocument, Route, ServiceLimits, Target,
};
use smallvec::{SmallVec, smallvec};
use tokio::time::Instant;

pub const NORTH: &str = "north";
pub const SOUTH: &str = "south";
/// The peer port of the hosts in tests that use sockets, and the addresses that they contact first.
pub const PEER_PORT: u16 = 17_390;
pub const SEEDS: [Ipv4Addr; 2] = [Ipv4Addr::new(127, 0, 6, 1), Ipv4Addr::new(127, 0, 6, 2)];
/// The `host` header of all requests.
pub const HTTP_HOST: &str = "search.example";
/// How long the platform keeps the entry of a server that no longer reports.
pub const LAPSE_TIME: Duration = Duration::from_millis(3_600);
/// The number of connections that a server accepts by default.
const MAX_CONNECTIONS: u32 = 20;

/// How a server handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It answers after its processing time.
    Answers,
    /// It runs the request and sends no reply before the deadline.
    NeverReplies,
    /// It sheds the request without running it.
    Sheds,
    /// It sheds each request the first time that it gets it, and sends the rejection once more, late,
    /// where the next reply on the connection is expected. It answers when it gets the request again.
    ShedsOnceAndRepeats,
    /// It runs the request, then aborts the connection.
    AbortsConnection,
    /// It runs the request and replies with status 500.
    Fails,
    /// Another server now has its address; it rejects the request without running it.
    Replaced,
    /// It refuses connections.
    Unreachable,
    /// Nothing reaches it: connections are neither accepted nor refused.
    CutOff,
    /// It drops idle connections without notice: a request on a reused connection gets a reset and
    /// does not run.
    DropsIdleConnections,
}

/// How long a server is down after a crash.
const CRASH_DOWNTIME: Duration = Duration::from_secs(2);
/// Servers crash while they run a request whose path contains this.
pub const CRASHING_PATH: &str = "/crash";

#[derive(Debug)]
struct FakeServer {
    mode: Mode,
    processing_time: Duration,
    rate: RateStatement,
    /// When the server crashed last.
    crashed_at: Option<Instant>,
    /// The requests that the server has shed.
    shed: HashSet<String>,
}

impl FakeServer {
    fn is_down(&self) -> bool {
        self.crashed_at.is_some_and(|at| at.elapsed() < CRASH_DOWNTIME)
    }
}

/// What all servers together have observed.
#[derive(Debug, Default)]
pub struct ServerStats {
    /// Each request that a server started to run, with the address of the server.
    pub runs: Vec<(String, SocketAddr)>,
    /// The number of requests that arrived at a server, including rejected ones.
    pub arrivals: usize,
    /// The address of the server at which each request arrived, and when.
    pub arrived_at: Vec<(SocketAddr, Instant)>,
    /// The number of requests whose connection was closed while they ran.
    pub cancelled: usize,
    /// The number of connections opened.
    pub connections: usize,
    /// The number of crashes.
    pub crashes: usize,
}

/// What happens to the connections of one host to all servers, or to those that it selects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Links {
    #[default]
    Whole,
    /// Nothing passes on open connections, and new ones are neither accepted nor refused.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
}

/// The connections of one host.
#[derive(Debug, Default)]
struct HostLinks {
    links: Links,
    /// The only servers that are affected, or none for all.
    affected: Vec<SocketAddr>,
}

/// The fake servers of a test, by address, which also serve as its backend protocol.
#[derive(Debug, Clone, Default)]
pub struct FakeServers {
    servers: Arc<Mutex<HashMap<SocketAddr, FakeServer>>>,
    stats: Arc<Mutex<ServerStats>>,
    links: Arc<Mutex<HostLinks>>,
}

impl FakeServers {
    /// Returns the same servers, as another host reaches them.
    pub fn for_another_host(&self) -> Self {
        Self { links: Arc::default(), ..self.clone() }
    }

    /// Sets what happens to the connections of this host to some servers, or to all if none is named.
    pub fn set_links(&self, links: Links, affected: &[SocketAddr]) {
        let mut own = self.links.lock().expect("no holder of the lock panics");
        *own = HostLinks { links, affected: affected.to_vec() };
    }

    fn links_to(&self, addr: SocketAddr) -> Links {
        let own = self.links.lock().expect("no holder of the lock panics");
        let affected = own.affected.is_empty() || own.affected.contains(&addr);
        if affected { own.links } else { Links::Whole }
    }

    /// Waits until the connections to a server are no longer in order.
    async fn until_links_fail(&self, addr: SocketAddr) -> Links {
        loop {
            match self.links_to(addr) {
                Links::Whole | Links::RefuseNew => {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                failed => return failed,
            }
        }
    }

    pub fn stats(&self) -> MutexGuard<'_, ServerStats> {
        self.stats.lock().expect("no holder of the lock panics")
    }

    pub fn set_behaviour(&self, addr: SocketAddr, mode: Mode, processing_time: Duration) {
        let mut servers = self.servers.lock().expect("no holder of the lock panics");
        let rate = servers.get(&addr).map_or(RateStatement::Unlimited, |server| server.rate);
        let shed = HashSet::new();
        servers.insert(addr, FakeServer { mode, processing_time, rate, crashed_at: None, shed });
    }

    /// Tells whether a server sheds a request because it gets it for the first time.
    fn sheds_once(&self, addr: SocketAddr, request: &str) -> bool {
        let mut servers = self.servers.lock().expect("no holder of the lock panics");
        servers.get_mut(&addr).is_some_and(|server| server.shed.insert(request.to_owned()))
    }

    /// Crashes a server, which ends all requests that it runs.
    fn crash(&self, addr: SocketAddr) {
        let mut servers = self.servers.lock().expect("no holder of the lock panics");
        if let Some(server) = servers.get_mut(&addr) {
            server.crashed_at = Some(Instant::now());
            self.stats().crashes += 1;
        }
    }

    fn is_down(&self, addr: SocketAddr) -> bool {
        let servers = self.servers.lock().expect("no holder of the lock panics");
        servers.get(&addr).is_some_and(FakeServer::is_down)
    }

    /// Sets what the replies of a server say about its rate limit.
    pub fn set_rate(&self, addr: SocketAddr, rate: RateStatement) {
        let mut servers = self.servers.lock().expect("no holder of the lock panics");
        servers.get_mut(&addr).expect("the server is known").rate = rate;
    }

    /// Returns the most requests that arrived at a server in any span of this length.
    pub fn most_arrivals(&self, addr: SocketAddr, span: Duration) -> usize {
        let stats = self.stats();
        let at: Vec<Instant> =
            stats.arrived_at.iter().filter(|(to, _)| *to == addr).map(|(_, at)| *at).collect();
        let in_span =
            |from: &Instant| at.iter().filter(|at| **at >= *from && **at < *from + span).count();
        at.iter().map(in_span).max().unwrap_or(0)
    }

    fn rate(&self, addr: SocketAddr) -> Option<RateStatement> {
        let servers = self.servers.lock().expect("no holder of the lock panics");
        servers.get(&addr).map(|server| server.rate)
    }

    fn behaviour(&self, addr: SocketAddr) -> (Mode, Duration) {
        let servers = self.servers.lock().expect("no holder of the lock panics");
        servers
            .get(&addr)
            .map_or((Mode::Unreachable, Duration::ZERO), |s| (s.mode, s.processing_time))
    }
}

/// A connection to a fake server.
pub struct FakeLink {
    servers: FakeServers,
    addr: SocketAddr,
    /// Whether an earlier request was sent on this connection.
    used: bool,
    /// Whether the last exchange ended with a complete reply.
    reusable: bool,
    /// The request whose rejection arrives once more in place of the next reply.
    late_copy_of: Option<String>,
    rate_statement: Option<RateStatement>,
}

impl BackendProtocol for FakeServers {
    type Link = FakeLink;

    async fn connect(&self, addr: SocketAddr) -> io::Result<FakeLink> {
        if self.is_down(addr) {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        match self.links_to(addr) {
            Links::Whole => {}
            Links::Hang => std::future::pending().await,
            Links::Reset | Links::RefuseNew => {
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
        }
        match self.behaviour(addr).0 {
            Mode::Unreachable => return Err(io::ErrorKind::ConnectionRefused.into()),
            Mode::CutOff => std::future::pending().await,
            _ => {}
        }
        self.stats().connections += 1;
        let servers = self.clone();
        Ok(FakeLink {
            servers,
            addr,
            used: false,
            reusable: true,
            late_copy_of: None,
            rate_statement: None,
        })
    }
}

/// Counts a request as cancelled if its future is dropped while it runs. The flag is set at the
/// normal end.
struct CancellationGuard<'a>(&'a FakeServers, bool);

impl Drop for CancellationGuard<'_> {
    fn drop(&mut self) {
        if !self.1 {
            self.0.stats().cancelled += 1;
        }
    }
}

impl Exchange for FakeLink {
    async fn exchange(
        &mut self,
        call: &Call,
        server: &ServerId,
        time_left: Duration,
    ) -> ExchangeResult {
        match self.servers.links_to(self.addr) {
            Links::Hang => std::future::pending().await,
            Links::Reset => return ExchangeResult::Unsent,
            Links::Whole | Links::RefuseNew => {}
        }
        let (servers, addr) = (self.servers.clone(), self.addr);
        let failed = tokio::select! {
            result = self.exchange_on_whole_link(call, server, time_left) => return result,
            failed = servers.until_links_fail(addr) => failed,
        };
        self.reusable = false;
        match failed {
            Links::Hang => std::future::pending().await,
            _ => ExchangeResult::Lost(UnknownReason::ConnectionLost),
        }
    }

    fn keep_alive_time(&self) -> Option<Duration> {
        self.reusable.then_some(Duration::from_secs(5))
    }

    fn rate_statement(&self) -> Option<RateStatement> {
        self.rate_statement
    }
}

impl FakeLink {
    async fn exchange_on_whole_link(
        &mut self,
        call: &Call,
        _: &ServerId,
        time_left: Duration,
    ) -> ExchangeResult {
        let (mode, processing_time) = self.servers.behaviour(self.addr);
        let reused = std::mem::replace(&mut self.used, true);
        self.reusable = false;
        if self.servers.is_down(self.addr) {
            return ExchangeResult::Unsent;
        }
        self.rate_statement = None;
        {
            let mut stats = self.servers.stats();
            stats.arrivals += 1;
            stats.arrived_at.push((self.addr, Instant::now()));
        }
        match mode {
            Mode::Sheds => {
                self.reusable = true;
                self.rate_statement = self.servers.rate(self.addr);
                return ExchangeResult::Shed;
            }
            Mode::ShedsOnceAndRepeats if self.servers.sheds_once(self.addr, &call.request_id) => {
                self.reusable = true;
                self.late_copy_of = Some(call.request_id.to_string());
                return ExchangeResult::Shed;
            }
            Mode::Replaced => return ExchangeResult::WrongServer,
            Mode::Unreachable => return ExchangeResult::Unsent,
            Mode::DropsIdleConnections if reused => {
                return ExchangeResult::Lost(UnknownReason::ConnectionLost);
            }
            Mode::CutOff => std::future::pending().await,
            Mode::Answers
            | Mode::NeverReplies
            | Mode::AbortsConnection
            | Mode::Fails
            | Mode::ShedsOnceAndRepeats
            | Mode::DropsIdleConnections => {}
        }
        self.servers.stats().runs.push((call.request_id.to_string(), self.addr));
        // The echoed identifier is all that tells a late copy from the reply.
        match self.late_copy_of.take() {
            Some(copied) if copied == call.request_id => return ExchangeResult::Shed,
            Some(_) => return ExchangeResult::Lost(UnknownReason::BadReply),
            None => {}
        }
        let mut guard = CancellationGuard(&self.servers, false);
        let processing_time =
            if mode == Mode::NeverReplies { time_left * 2 } else { processing_time };
        tokio::time::sleep(processing_time).await;
        guard.1 = true;
        if call.path.contains(CRASHING_PATH) && !self.servers.is_down(self.addr) {
            self.servers.crash(self.addr);
        }
        if self.servers.is_down(self.addr) {
            return ExchangeResult::Lost(UnknownReason::ConnectionLost);
        }
        if mode == Mode::AbortsConnection {
            return ExchangeResult::Lost(UnknownReason::ConnectionLost);
        }
        self.reusable = true;
        self.rate_statement = self.servers.rate(self.addr);
        ExchangeResult::Reply(Reply {
            status: if mode == Mode::Fails { 500 } else { 200 },
            headers: HeaderMap::new(),
            body: Bytes::from(vec![self.addr.port() as u8; 16]),
            signature: Some(format!("{}/{}", self.addr, call.request_id).into()),
        })
    }
}

/// A host of the tier before fake servers: every shard has one server in [`NORTH`] and one in
/// [`SOUTH`].
pub struct TestHost {
    pub tier: Arc<Tier<FakeServers>>,
    pub servers: FakeServers,
    next_request: u32,
}

/// The default processing time of the servers.
pub const PROCESSING_TIME: Duration = Duration::from_millis(10);

/// Returns the address of the server of a shard in a failure domain.
pub fn addr(shard: usize, domain: &str) -> SocketAddr {
    let port = 1_000 + 2 * shard as u16 + u16::from(domain == SOUTH);
    (Ipv4Addr::LOCALHOST, port).into()
}

/// Returns the region of a failure domain; each is in a region of its own.
pub fn region(domain: &str) -> RegionId {
    format!("region-{domain}").into()
}

pub fn service(shard: usize) -> ServiceId {
    format!("shard-{shard}").into()
}

pub fn server_record(shard: usize, domain: &str) -> ServerRecord {
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

impl TestHost {
    /// Creates a host before `shards` shards of two servers, all of which answer after
    /// [`PROCESSING_TIME`].
    pub fn new(shards: usize) -> Self {
        Self::at(shards, Ipv4Addr::LOCALHOST, NORTH, FakeServers::default())
    }

    /// Creates a host before one shard whose servers accept `max_connections` connections each.
    pub fn with_max_connections(max_connections: u32) -> Self {
        Self::build(1, Ipv4Addr::LOCALHOST, NORTH, FakeServers::default(), max_connections)
    }

    /// Creates a host with the given address and failure domain before the given servers.
    pub fn at(shards: usize, ip: Ipv4Addr, domain: &str, servers: FakeServers) -> Self {
        Self::build(shards, ip, domain, servers, MAX_CONNECTIONS)
    }

    /// Creates a host before servers that accept `max_connections` connections each.
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
            lapse_time: LAPSE_TIME,
        };
        let tier = Arc::new(Tier::new(settings, servers.clone()));
        // It has run for long enough to know that there is no other host.
        let knowledge = FleetKnowledge::Known;
        tier.fleet.store(Arc::new(FleetView { known_hosts: 1, knowledge, ..FleetView::default() }));
        let route = |id: &str, repeat, target| Route {
            id: id.into(),
            host: HTTP_HOST.into(),
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
                route(
                    "split",
                    Idempotency::Idempotent,
                    Target::Split((0..shards.min(2)).map(|shard| (service(shard), 1.0)).collect()),
                ),
                route("once", Idempotency::NonIdempotent, Target::Service(service(0))),
            ],
            services: (0..shards).map(|shard| (service(shard), terms.clone())).collect(),
            ..PlanDocument::default()
        };
        assert!(tier.adopt(Plan::new(plan).expect("the plan is valid")));
        let mut host = Self { tier, servers, next_request: 0 };
        let mut changes = Vec::new();
        for shard in 0..shards {
            for domain in [NORTH, SOUTH] {
                host.servers.set_behaviour(addr(shard, domain), Mode::Answers, PROCESSING_TIME);
                let server = server_record(shard, domain);
                let fact = Fact::Server(server.id.clone(), Some(server));
                changes.push(Change { revision: 1, fact });
            }
        }
        host.apply_changes(changes, 1);
        host
    }

    /// Creates a host that has not received any facts of the platform yet.
    pub fn without_facts(shards: usize) -> Self {
        let host = Self::new(shards);
        host.tier.update_registry(|registry| *registry = Registry::new(LAPSE_TIME));
        host
    }

    /// Applies changes of the platform's first epoch to the registry of the host.
    pub fn apply_changes(&mut self, changes: Vec<Change>, up_to: u64) {
        self.tier.apply_changes(changes, Position { epoch: 0, revision: up_to });
    }

    /// Returns a request on a route: `all` gathers all shards, `one` is an idempotent request to
    /// shard 0, `once` a non-idempotent one. The `home-` routes allow servers of one region only.
    pub fn request(&mut self, route: &str) -> Request {
        self.request_path(&format!("/{route}/x"))
    }

    /// Returns a request for a path.
    pub fn request_path(&mut self, path: &str) -> Request {
        self.next_request += 1;
        Request {
            call: Call {
                method: Method::GET,
                path: path.into(),
                host: HTTP_HOST.into(),
                headers: HeaderMap::new(),
                body: Bytes::new(),
                request_id: format!("r{}", self.next_request).into(),
            },
            timeout: Some(Duration::from_secs(2)),
            received_at: self.tier.now(),
        }
    }

    /// Serves one request and returns how long it took.
    pub async fn serve(&mut self, route: &str) -> (Served, Duration) {
        self.serve_path(&format!("/{route}/x")).await
    }

    /// Serves one request for a path and returns how long it took.
    pub async fn serve_path(&mut self, path: &str) -> (Served, Duration) {
        let request = self.request_path(path);
        let began_at = self.tier.now();
        let served = serve(&self.tier, request).await;
        (served, self.tier.now() - began_at)
    }

    /// Serves requests one after another, so that the host has estimates of all servers.
    pub async fn warm_up(&mut self) {
        for _ in 0..40 {
            self.serve("all").await;
        }
    }
}
