//! A simulated deployment in virtual time: hosts that run the real decision code, backend servers,
//! a platform, and a network that delays, loses and duplicates messages and can be partitioned.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol_str::format_smolstr;

use super::event::Event;
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

const TIME_STEP: Duration = Duration::from_millis(10);
const TICK_INTERVAL: Duration = Duration::from_millis(50);
const EVENT_TIME_UNIT: Duration = Duration::from_millis(100);
/// Virtual time after the last event, in which every request reaches its outcome.
const SETTLE_TIME: Duration = Duration::from_secs(6);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);
/// Time before the deadline at which an unanswered shard gets a second attempt.
const HEDGE_BEFORE_DEADLINE: Duration = Duration::from_millis(530);
/// Maximum rate by which a host's clock runs faster or slower, in thousandths.
const MAX_CLOCK_DRIFT_PERMILLE: i64 = 20;
const LOSS_PERCENT: u32 = 2;
const WARM_AFTER_REQUESTS: u32 = 14;
const WARM_SERVICE_TIME: Duration = Duration::from_millis(10);
const COLD_SERVICE_TIME: Duration = Duration::from_millis(60);
/// How long servers keep an index version after the next one is published.
const OLD_VERSION_RETENTION: Duration = Duration::from_millis(1_000);
/// Queries before the first event, which warm the servers.
const WARM_UP_QUERIES: u8 = 48;
const WARM_UP_INTERVAL: Duration = Duration::from_millis(60);
const RECORD_RETENTION: Duration = Duration::from_secs(600);
const GOSSIP_TOKENS: RandomizedTokens = RandomizedTokens { spend_divisor: 5, capacity: 10 };

const QUESTIONNAIRE_ANSWERS: &str = r#"
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

/// An attempt in an owner's queue, and the host that waits for its report.
#[derive(Debug, Clone)]
struct Job {
    from: HostId,
    request: RunRequest,
    deadline: Monotonic,
}

/// An owner's state of one of its servers.
#[derive(Debug)]
struct OwnedServer {
    queue: ServerQueue<Job>,
    warmth_estimate: WarmthEstimate,
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

/// An order that its keeper is running.
#[derive(Debug)]
struct KeeperOrder {
    from: HostId,
    request: RequestId,
    deadline: Monotonic,
    attempt: AttemptId,
    server: ServerId,
    tried: Vec<ServerId>,
}

/// An order that waits for its outcome at the host to which the caller sent it.
#[derive(Debug)]
struct PendingOrder {
    request: RequestId,
    deadline: Monotonic,
}

struct Node {
    incarnation: u64,
    started_at: Monotonic,
    drift_permille: i64,
    membership: Membership<RandomizedTokens>,
    store: ConfigStore,
    operational: Arc<OperationalState>,
    leases: LeaseView,
    pause: PauseGuard,
    placed_at: Monotonic,
    owned: HashMap<ServerId, OwnedServer>,
    record: Record<()>,
    queries: Vec<QueryRun>,
    keeper_orders: Vec<KeeperOrder>,
    pending_orders: Vec<PendingOrder>,
    paused_until: Monotonic,
    next_tick: Monotonic,
    next_poll: Monotonic,
}

struct Server {
    domain: DomainId,
    incarnation: u64,
    completed: u32,
    cold_start_limit: u32,
    versions: HashSet<u64>,
    serves_other_version: bool,
    in_flight: Vec<(Monotonic, HostId, RunRequest)>,
}

#[derive(Debug, Clone)]
enum Message {
    MembershipAction {
        from: HostId,
        incarnation: u64,
        sent_at: Monotonic,
        action: Action,
    },
    ClaimReply {
        from: HostId,
        incarnation: u64,
        seat: HostId,
        sent_at: Monotonic,
        reply: ClaimReply,
        version: u64,
    },
    FetchConfig {
        from: HostId,
        above: u64,
    },
    Config(Box<Config>),
    Attempt(Job),
    AttemptReport {
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
    ServerRequest {
        from: HostId,
        server: ServerId,
        instance: InstanceId,
        request: RunRequest,
    },
    ServerReply {
        server: ServerId,
        request: RunRequest,
        reply: Outcome<Vec<u8>>,
    },
}

pub(crate) struct World {
    now: Monotonic,
    rng: SmallRng,
    published: Config,
    stale_config: Option<Config>,
    platform_down: bool,
    nodes: BTreeMap<HostId, Node>,
    crashed_hosts: HashSet<HostId>,
    servers: BTreeMap<ServerId, Server>,
    in_flight_messages: BTreeMap<(Monotonic, u64), (HostId, Message)>,
    isolated_domain: Option<DomainId>,
    duplicates_reports: bool,
    drop_versions_at: Option<(Monotonic, u64)>,
    last_id: u64,
    unknown_outcomes: Vec<RequestId>,
    pub(crate) oracle: Oracle,
}

impl World {
    /// Starts all hosts, gives them time to claim their seats, and warms the servers.
    pub(crate) fn new(seed: u64) -> Self {
        let config = Questionnaire::from_toml(QUESTIONNAIRE_ANSWERS).unwrap().generate(1).unwrap();
        let servers = config
            .services
            .iter()
            .flat_map(|s| s.servers().map(move |server| (s, server)))
            .map(|(service, server)| {
                let state = Server {
                    domain: server.domain.clone(),
                    incarnation: 1,
                    completed: 0,
                    cold_start_limit: service.limits.cold_start_limit,
                    versions: [1].into(),
                    serves_other_version: false,
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
            stale_config: None,
            platform_down: false,
            nodes: BTreeMap::new(),
            crashed_hosts: HashSet::new(),
            in_flight_messages: BTreeMap::new(),
            isolated_domain: None,
            duplicates_reports: false,
            drop_versions_at: None,
            last_id: 0,
            unknown_outcomes: Vec::new(),
            oracle: Oracle::default(),
            servers,
        };
        ids.iter().for_each(|id| world.start(id));
        world.advance(Duration::from_secs(3));
        for n in 0..WARM_UP_QUERIES {
            world.send_query(n);
            world.advance(WARM_UP_INTERVAL);
        }
        world
    }

    /// Applies the events, then runs until all requests are over; returns the first violation.
    pub(crate) fn run_events(mut self, events: &[Event]) -> Result<(), String> {
        for event in events {
            self.apply(event);
            if let Some(violation) = self.oracle.violation() {
                return Err(violation.clone());
            }
        }
        self.advance(SETTLE_TIME);
        self.oracle.check_outcomes();
        self.oracle.violation().map_or(Ok(()), |violation| Err(violation.clone()))
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::AdvanceTime(units) => self.advance(EVENT_TIME_UNIT * u32::from(*units)),
            Event::Query(n) => self.send_query(*n),
            Event::Submit(n) => {
                let request = format_smolstr!("o-{}", self.next_id());
                self.send_order(*n, request, false);
            }
            Event::Resend(n) => {
                if let Some(request) = self.unknown_outcomes.pop() {
                    self.send_order(*n, request, true);
                }
            }
            Event::Repartition => self.repartition_index(),
            Event::TakeOut(n) => self.set_domain_out(*n, true),
            Event::BringBack(n) => self.set_domain_out(*n, false),
            Event::Leave(n) => {
                let id = self.host(*n);
                if let Some(node) = self.nodes.get_mut(&id) {
                    node.membership.leave();
                }
            }
            Event::Crash(n) => {
                let id = self.host(*n);
                if self.nodes.remove(&id).is_some() {
                    // Messages to the crashed incarnation are lost with its connections.
                    self.in_flight_messages.retain(|_, (to, _)| *to != id);
                    self.crashed_hosts.insert(id);
                }
            }
            Event::Restart(n) => {
                let mut crashed_hosts: Vec<HostId> = self.crashed_hosts.iter().cloned().collect();
                crashed_hosts.sort();
                if !crashed_hosts.is_empty() {
                    let id = crashed_hosts[usize::from(*n) % crashed_hosts.len()].clone();
                    self.crashed_hosts.remove(&id);
                    self.start(&id);
                }
            }
            Event::Pause(n, units) => {
                let (id, until) = (self.host(*n), self.now + EVENT_TIME_UNIT * u32::from(*units));
                if let Some(node) = self.nodes.get_mut(&id) {
                    node.paused_until = until;
                    // A caller sends a query during the pause; it waits in the socket.
                    self.schedule_delivery(&id, Message::CallerQuery);
                }
            }
            Event::Isolate(n) => {
                let domains = &self.published.fleet.domains;
                self.isolated_domain = Some(domains[usize::from(*n) % domains.len()].id.clone());
            }
            Event::EndIsolation => self.isolated_domain = None,
            Event::RestartServer(n) => {
                let server = self.nth_server(*n);
                server.incarnation += 1;
                server.completed = 0;
                server.in_flight.clear();
                server.serves_other_version = false;
            }
            Event::ServeOtherVersion(n) => self.nth_server(*n).serves_other_version = true,
            Event::ToggleDuplication => self.duplicates_reports = !self.duplicates_reports,
            Event::TogglePlatform => self.platform_down = !self.platform_down,
            Event::ToggleStalePlatform => {
                self.stale_config = match self.stale_config.take() {
                    None => Some(self.published.clone()),
                    Some(_) => None,
                }
            }
        }
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end && self.oracle.violation().is_none() {
            self.now += TIME_STEP;
            self.drop_old_versions();
            self.finish_server_requests();
            self.deliver_due();
            let ids: Vec<HostId> = self.nodes.keys().cloned().collect();
            for id in &ids {
                self.step_host(id);
            }
            self.observe();
        }
    }
}

fn instance_id(server: &ServerId, incarnation: u64) -> InstanceId {
    format_smolstr!("{server}#{incarnation}")
}

/// Returns the time of a host's clock, which runs faster or slower than virtual time.
fn local_time(now: Monotonic, node: &Node) -> Monotonic {
    let age = i64::try_from((now - node.started_at).as_micros()).unwrap_or(i64::MAX);
    let local = age + age * node.drift_permille / 1_000;
    Duration::from_micros(local.cast_unsigned())
}
