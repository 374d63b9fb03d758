//! A small world in virtual time: hosts that run the real decision code, servers, a platform and
//! a network that delays, cuts, loses and repeats.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol_str::format_smolstr;

use super::op::Op;
use super::oracle::Oracle;
use crate::clock::Monotonic;
use crate::connection::backend::{RunReply, RunRequest, verify};
use crate::connection::peer::{Part, ShardReport};
use crate::connection::query::{Answer, Row};
use crate::flaw::flawed;
use crate::ids::{AttemptId, DomainId, HostId, InstanceId, RequestId, ServerId, ShardId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::configuration::config_store::ConfigStore;
use crate::process::membership::gossip::RandomizedTokens;
use crate::process::membership::lease::ClaimReply;
use crate::process::membership::pause::PauseGuard;
use crate::process::membership::seats::{Action, LeaseView, Membership};
use crate::process::record::{Record, RecordDecision};
use crate::process::servers::concurrency_limit::Role;
use crate::process::servers::gate::{Gate, Permit};
use crate::process::servers::server_queue::{Admission, ServerQueue};
use crate::process::servers::warmth_estimate::WarmthEstimate;
use crate::request::gather::Gather;
use crate::standin::data::shard_rows;
use crate::version::config::{Config, Kind, Service};
use crate::version::operational::OperationalState;
use crate::version::operations::{Target, repartition, set_out_of_service};
use crate::version::placement;
use crate::version::questionnaire::Questionnaire;

mod hosts;
mod network;
mod operators;
mod owners;
mod requests;
mod servers;

const STEP: Duration = Duration::from_millis(10);
const TICK: Duration = Duration::from_millis(50);
const UNIT: Duration = Duration::from_millis(100);
/// How long the world runs on at the end, so that everything comes to rest.
const REST: Duration = Duration::from_secs(6);
const DEADLINE: Duration = Duration::from_millis(600);
/// When a shard without an answer is asked again, before the deadline.
const HEDGE_LEFT: Duration = Duration::from_millis(530);
/// Clocks of hosts run this much faster or slower, in thousandths.
const DRIFT_PERMILLE: i64 = 20;
const LOSS_PERCENT: u32 = 2;
const WARM_AFTER: u32 = 14;
const WARM_TIME: Duration = Duration::from_millis(10);
const COLD_TIME: Duration = Duration::from_millis(60);
/// How long servers keep an index version after the next one came.
const OLD_VERSION_KEEPS: Duration = Duration::from_millis(1_000);
/// Queries before the events, so that servers are warm.
const WARM_UP_QUERIES: u8 = 48;
const WARM_UP_EVERY: Duration = Duration::from_millis(60);
const RECORD_KEEP: Duration = Duration::from_secs(600);
const GOSSIP: RandomizedTokens = RandomizedTokens { spend_divisor: 5, capacity: 10 };

const ANSWERS: &str = r#"
deployment = "fuzz"
domains = ["north", "east", "south"]

[entry_hosts]
addresses = ["127.0.0.1"]
count = 6
caller_port = 20000
peer_port = 20100

[[services]]
name = "parts"
kind = "lookup"
priority = "normal"
prefer = "coverage"
deadline_ms = 600
shards = 3
replicas = 2
slots = 4
connections = 40
cold_start_limit = 2
typical_ms = 10
connect_ms = 1
server_addresses = ["127.0.0.1"]
server_port = 21000

[[services]]
name = "orders"
kind = "submit"
priority = "high"
prefer = "coverage"
deadline_ms = 600
shards = 1
replicas = 3
slots = 4
connections = 40
cold_start_limit = 1
typical_ms = 10
connect_ms = 1
server_addresses = ["127.0.0.1"]
server_port = 21100
"#;

#[derive(Debug, Clone)]
struct Job {
    from: HostId,
    request: RunRequest,
    deadline: Monotonic,
}

#[derive(Debug)]
struct Owned {
    queue: ServerQueue<Job>,
    temperature: WarmthEstimate,
    connected: Option<InstanceId>,
    sent: HashMap<AttemptId, Job>,
}

#[derive(Debug)]
struct QueryRun {
    gather: Gather,
    service: Service,
    deadline: Monotonic,
    attempts: HashMap<AttemptId, (ShardId, ServerId)>,
}

/// An order at its keeper.
#[derive(Debug)]
struct Kept {
    from: HostId,
    request: RequestId,
    deadline: Monotonic,
    attempt: AttemptId,
    server: ServerId,
    tried: Vec<ServerId>,
}

/// An order at the host that its caller chose.
#[derive(Debug)]
struct Waiting {
    request: RequestId,
    deadline: Monotonic,
}

struct Node {
    life: u64,
    born: Monotonic,
    drift_permille: i64,
    membership: Membership<RandomizedTokens>,
    store: ConfigStore,
    operational: Arc<OperationalState>,
    leases: LeaseView,
    pause: PauseGuard,
    placed_at: Monotonic,
    owned: HashMap<ServerId, Owned>,
    record: Record<()>,
    queries: Vec<QueryRun>,
    kept: Vec<Kept>,
    waiting: Vec<Waiting>,
    paused_until: Monotonic,
    next_tick: Monotonic,
    next_watch: Monotonic,
}

struct Server {
    domain: DomainId,
    life: u64,
    done: u32,
    limit: u32,
    versions: HashSet<u64>,
    confused: bool,
    in_flight: Vec<(Monotonic, HostId, RunRequest)>,
}

#[derive(Debug, Clone)]
enum Message {
    Member {
        from: HostId,
        life: u64,
        sent_at: Monotonic,
        action: Action,
    },
    ClaimReply {
        from: HostId,
        life: u64,
        seat: HostId,
        sent_at: Monotonic,
        reply: ClaimReply,
        version: u64,
    },
    Fetch {
        from: HostId,
        above: u64,
    },
    Version(Box<Config>),
    Run(Job),
    Report {
        attempt: AttemptId,
        server: ServerId,
        outcome: Outcome<Vec<Row>>,
    },
    Order {
        from: HostId,
        request: RequestId,
        resend: bool,
        deadline: Monotonic,
    },
    OrderOutcome {
        request: RequestId,
        outcome: Outcome<()>,
    },
    CallerQuery,
    CallerOrder {
        request: RequestId,
        resend: bool,
    },
    ToServer {
        from: HostId,
        server: ServerId,
        life: InstanceId,
        request: RunRequest,
    },
    FromServer {
        server: ServerId,
        request: RunRequest,
        reply: Outcome<Vec<u8>>,
    },
}

pub(crate) struct World {
    now: Monotonic,
    rng: SmallRng,
    published: Config,
    stale: Option<Config>,
    platform_down: bool,
    nodes: BTreeMap<HostId, Node>,
    down: HashSet<HostId>,
    servers: BTreeMap<ServerId, Server>,
    flight: BTreeMap<(Monotonic, u64), (HostId, Message)>,
    isolated: Option<DomainId>,
    duplicating: bool,
    drop_versions_at: Option<(Monotonic, u64)>,
    next: u64,
    unknown: Vec<RequestId>,
    pub(crate) oracle: Oracle,
}

impl World {
    /// Starts all hosts and lets them take their seats.
    pub(crate) fn new(seed: u64) -> Self {
        let config = Questionnaire::from_toml(ANSWERS).unwrap().generate(1).unwrap();
        let servers = config
            .services
            .iter()
            .flat_map(|s| s.servers().map(move |server| (s, server)))
            .map(|(service, server)| {
                let state = Server {
                    domain: server.domain.clone(),
                    life: 1,
                    done: 0,
                    limit: service.limits.cold_start_limit,
                    versions: [1].into(),
                    confused: false,
                    in_flight: Vec::new(),
                };
                (server.id.clone(), state)
            })
            .collect();
        let ids: Vec<HostId> = config.fleet.hosts.iter().map(|h| h.id.clone()).collect();
        let mut world = Self {
            now: Monotonic::from_secs(1),
            rng: SmallRng::seed_from_u64(seed),
            published: config,
            stale: None,
            platform_down: false,
            nodes: BTreeMap::new(),
            down: HashSet::new(),
            flight: BTreeMap::new(),
            isolated: None,
            duplicating: false,
            drop_versions_at: None,
            next: 0,
            unknown: Vec::new(),
            oracle: Oracle::default(),
            servers,
        };
        ids.iter().for_each(|id| world.start(id));
        world.run(Duration::from_secs(3));
        for n in 0..WARM_UP_QUERIES {
            world.query(n);
            world.run(WARM_UP_EVERY);
        }
        world
    }

    /// Plays events, then lets everything come to rest; returns the first broken invariant.
    pub(crate) fn play(mut self, ops: &[Op]) -> Result<(), String> {
        for op in ops {
            self.apply(op);
            if let Some(why) = self.oracle.broken() {
                return Err(why.clone());
            }
        }
        self.run(REST);
        self.oracle.at_rest();
        self.oracle.broken().map_or(Ok(()), |why| Err(why.clone()))
    }

    fn apply(&mut self, op: &Op) {
        match op {
            Op::Run(units) => self.run(UNIT * u32::from(*units)),
            Op::Query(n) => self.query(*n),
            Op::Submit(n) => {
                let request = format_smolstr!("o-{}", self.number());
                self.submit(*n, request, false);
            }
            Op::Resend(n) => {
                if let Some(request) = self.unknown.pop() {
                    self.submit(*n, request, true);
                }
            }
            Op::Flip => self.flip(),
            Op::TakeOut(n) => self.set_domain(*n, true),
            Op::BringBack(n) => self.set_domain(*n, false),
            Op::Leave(n) => {
                let id = self.host(*n);
                if let Some(node) = self.nodes.get_mut(&id) {
                    node.membership.leave();
                }
            }
            Op::Crash(n) => {
                let id = self.host(*n);
                if self.nodes.remove(&id).is_some() {
                    // What was on its way to a life ends with that life's connections.
                    self.flight.retain(|_, (to, _)| *to != id);
                    self.down.insert(id);
                }
            }
            Op::Return(n) => {
                let mut down: Vec<HostId> = self.down.iter().cloned().collect();
                down.sort();
                if !down.is_empty() {
                    let id = down[usize::from(*n) % down.len()].clone();
                    self.down.remove(&id);
                    self.start(&id);
                }
            }
            Op::Pause(n, units) => {
                let (id, until) = (self.host(*n), self.now + UNIT * u32::from(*units));
                if let Some(node) = self.nodes.get_mut(&id) {
                    node.paused_until = until;
                    // A caller that knows nothing of the pause; its query waits in the socket.
                    self.post(&id, Message::CallerQuery);
                }
            }
            Op::Cut(n) => {
                let domains = &self.published.fleet.domains;
                self.isolated = Some(domains[usize::from(*n) % domains.len()].id.clone());
            }
            Op::Heal => self.isolated = None,
            Op::Cold(n) => {
                let server = self.nth_server(*n);
                server.life += 1;
                server.done = 0;
                server.in_flight.clear();
                server.confused = false;
            }
            Op::Confuse(n) => self.nth_server(*n).confused = true,
            Op::Duplicate => self.duplicating = !self.duplicating,
            Op::Platform => self.platform_down = !self.platform_down,
            Op::Stale => {
                self.stale = match self.stale.take() {
                    None => Some(self.published.clone()),
                    Some(_) => None,
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end && self.oracle.broken().is_none() {
            self.now += STEP;
            self.drop_old_versions();
            self.finish_at_servers();
            self.deliver_due();
            let ids: Vec<HostId> = self.nodes.keys().cloned().collect();
            for id in &ids {
                self.step_host(id);
            }
            self.observe();
        }
    }
}

fn instance(server: &ServerId, life: u64) -> InstanceId {
    format_smolstr!("{server}#{life}")
}

/// Returns a host's own time; its clock runs faster or slower than the world's.
fn local_time(now: Monotonic, node: &Node) -> Monotonic {
    let age = i64::try_from((now - node.born).as_micros()).unwrap_or(i64::MAX);
    let local = age + age * node.drift_permille / 1_000;
    Duration::from_micros(local.cast_unsigned())
}
