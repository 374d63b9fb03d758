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
use crate::flaw::flawed;
use crate::ids::{AttemptId, DomainId, HostId, InstanceId, RequestId, ServerId, ShardId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::config_store::ConfigStore;
use crate::process::gate::{Permit, Standing};
use crate::process::gossip::RandomizedTokens;
use crate::process::lease::ClaimReply;
use crate::process::membership::{Action, LeaseView, Membership};
use crate::process::pause::PauseGuard;
use crate::process::permission::Role;
use crate::process::record::{Begin, Record};
use crate::process::server_queue::{Admission, ServerQueue};
use crate::process::temperature::Temperature;
use crate::request::gather::Gather;
use crate::request::query::{Answer, Row};
use crate::standin::data::shard_rows;
use crate::version::config::{Config, Kind, Service};
use crate::version::operational::Operational;
use crate::version::operations::{Target, repartition, set_out};
use crate::version::placement;
use crate::version::questionnaire::Questionnaire;

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
    temperature: Temperature,
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
    operational: Arc<Operational>,
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

    // The network.

    fn side(&self, domain: &DomainId) -> bool {
        self.isolated.as_ref() == Some(domain)
    }

    fn domain_of(&self, host: &HostId) -> DomainId {
        self.published.host(host).map(|h| h.domain.clone()).unwrap_or_default()
    }

    fn reaches(&self, from: &HostId, to: &HostId) -> bool {
        self.side(&self.domain_of(from)) == self.side(&self.domain_of(to))
    }

    fn send(&mut self, from: &HostId, to: &HostId, message: Message) {
        let lost = from != to && self.rng.random_range(0..100) < LOSS_PERCENT;
        if lost || !self.reaches(from, to) {
            return;
        }
        let copies =
            if self.duplicating && matches!(message, Message::Report { .. }) { 2 } else { 1 };
        for _ in 0..copies {
            self.post(to, message.clone());
        }
    }

    fn post(&mut self, to: &HostId, message: Message) {
        let at = self.now + Duration::from_millis(self.rng.random_range(1..30));
        let place = (at, self.number());
        self.flight.insert(place, (to.clone(), message));
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Delivers what is due; what is meant for a paused host waits in its sockets.
    fn deliver_due(&mut self) {
        let due: Vec<(Monotonic, u64)> =
            self.flight.range(..=(self.now, u64::MAX)).map(|(place, _)| *place).collect();
        for place in due {
            let (to, message) = self.flight.remove(&place).unwrap();
            if let Message::ToServer { from, server, life, request } = message {
                self.arrive(from, server, &life, request);
                continue;
            }
            let Some(node) = self.nodes.get(&to) else { continue };
            if self.now < node.paused_until {
                self.flight.insert((node.paused_until, place.1), (to, message));
                continue;
            }
            self.receive(&to, message);
        }
    }

    fn receive(&mut self, me: &HostId, message: Message) {
        match message {
            Message::Member { from, life, sent_at, action } => {
                self.on_member(me, (from, life), sent_at, action);
            }

            Message::ClaimReply { from, life, seat, sent_at, reply, version } => {
                // A reply to an earlier life ends with that life's connection.
                if self.nodes[me].life != life {
                    return;
                }
                let now = self.local(me);
                let node = self.nodes.get_mut(me).unwrap();
                node.membership.on_claim_reply(now, &from, &seat, sent_at, &reply);
                let ours = node.store.current().version;
                if version > ours {
                    self.send(me, &from, Message::Fetch { from: me.clone(), above: ours });
                } else {
                    node.pause.on_confirmed(sent_at);
                }
            }
            Message::Fetch { from, above } => {
                let current = self.nodes[me].store.current().clone();
                if current.version > above {
                    self.send(me, &from, Message::Version(Box::new((*current).clone())));
                }
            }
            Message::Version(config) => self.offer(me, *config),
            Message::Run(job) => self.enqueue(me, job),
            Message::Report { attempt, server, outcome } => {
                self.on_report(me, attempt, &server, outcome);
            }
            Message::Order { from, request, resend, deadline } => {
                self.keep(me, from, request, resend, deadline);
            }
            Message::OrderOutcome { request, outcome } => {
                self.on_order_outcome(me, &request, outcome)
            }
            Message::FromServer { server, request, reply } => {
                self.on_reply(me, &server, &request, reply);
            }
            Message::CallerQuery => self.start_query(me),
            Message::CallerOrder { request, resend } => self.start_order(me, request, resend),
            Message::ToServer { .. } => {}
        }
    }

    fn on_member(
        &mut self,
        me: &HostId,
        (from, life): (HostId, u64),
        sent_at: Monotonic,
        action: Action,
    ) {
        let now = self.local(me);
        let mut rng = SmallRng::seed_from_u64(self.number());
        let node = self.nodes.get_mut(me).unwrap();
        match action {
            Action::Claim(_, claim) => {
                let reply = node.membership.on_claim(now, &claim);
                let version = node.store.current().version;
                let (from_me, seat) = (me.clone(), claim.seat);
                let reply =
                    Message::ClaimReply { from: from_me, life, seat, sent_at, reply, version };
                self.send(me, &from, reply);
            }
            Action::Release(_, release) => node.membership.on_release(now, &release),
            Action::Push(_, push) => {
                let (received, actions) = node.membership.on_push(now, &push, &mut rng);
                let above = node.store.current().version;
                if received.newer_config {
                    self.send(me, &push.from, Message::Fetch { from: me.clone(), above });
                }
                self.perform(me, actions);
            }
        }
    }

    // Hosts.

    fn start(&mut self, id: &HostId) {
        let life = self.number();
        let config = self.best_known();
        let operational = Arc::new(Operational::new(Arc::new(config.clone()), &HashSet::new()));
        let born = self.now;
        let start = Monotonic::ZERO;
        let node = Node {
            life,
            born,
            drift_permille: self.rng.random_range(-DRIFT_PERMILLE..=DRIFT_PERMILLE),
            membership: Membership::new(start, id.clone(), life, operational.clone(), GOSSIP),
            store: ConfigStore::new(config).unwrap(),
            operational,
            leases: LeaseView::default(),
            pause: PauseGuard::new(start),
            placed_at: start,
            owned: HashMap::new(),
            record: Record::new(RECORD_KEEP, 10_000),
            queries: Vec::new(),
            kept: Vec::new(),
            waiting: Vec::new(),
            paused_until: Monotonic::ZERO,
            next_tick: start,
            next_watch: start,
        };
        self.nodes.insert(id.clone(), node);
    }

    /// A starting host asks the platform and its peers.
    fn best_known(&self) -> Config {
        let platform = self.stale.as_ref().unwrap_or(&self.published);
        let read = (!self.platform_down || self.nodes.is_empty()).then(|| platform.clone());
        let peers = self.nodes.values().map(|n| (**n.store.current()).clone());
        peers.chain(read).max_by_key(|c| c.version).unwrap()
    }

    fn host(&self, n: u8) -> HostId {
        let hosts = &self.published.fleet.hosts;
        hosts[usize::from(n) % hosts.len()].id.clone()
    }

    fn nth_server(&mut self, n: u8) -> &mut Server {
        let count = self.servers.len();
        self.servers.values_mut().nth(usize::from(n) % count).unwrap()
    }

    fn local(&self, id: &HostId) -> Monotonic {
        let node = &self.nodes[id];
        local_time(self.now, node)
    }

    /// Maps a point on one host's clock to another's, never later than the truth.
    fn map_deadline(&self, from: &HostId, to: &HostId, deadline: Monotonic) -> Monotonic {
        let left = deadline.saturating_sub(self.local(from));
        let safe = left.mul_f64(0.96).saturating_sub(Duration::from_millis(5));
        self.nodes.get(to).map_or(Monotonic::ZERO, |node| local_time(self.now, node) + safe)
    }

    fn step_host(&mut self, id: &HostId) {
        if self.now < self.nodes[id].paused_until {
            return;
        }
        let now = self.local(id);
        if now >= self.nodes[id].next_tick {
            self.tick(id, now);
        }
        if now >= self.nodes[id].next_watch {
            self.watch(id, now);
        }
        self.pump_all(id);
        self.hedge(id, now);
        self.expire(id, now);
    }

    fn tick(&mut self, id: &HostId, now: Monotonic) {
        let mut rng = SmallRng::seed_from_u64(self.number());
        let node = self.nodes.get_mut(id).unwrap();
        node.next_tick = now + TICK;
        node.pause.tick(now);
        let operational = node.operational.clone();
        let owned = &node.owned;
        let in_flight = |seat: &HostId| {
            let of_seat = |id: &ServerId| operational.server(id).is_some_and(|e| e.seat == *seat);
            owned.iter().filter(|(id, _)| of_seat(id)).map(|(_, o)| o.queue.in_flight()).sum()
        };
        let actions = node.membership.tick(now, 0, in_flight, &mut rng);
        self.publish(id);
        self.perform(id, actions);
    }

    fn publish(&mut self, id: &HostId) {
        let now = self.local(id);
        let node = self.nodes.get_mut(id).unwrap();
        let view = node.membership.view(now);
        for (seat, held) in &view.held {
            if node.leases.held.get(seat).map(|h| h.since) != Some(held.since) {
                for (server, owned) in &mut node.owned {
                    if node.operational.server(server).is_some_and(|e| e.seat == *seat) {
                        owned.temperature.forget();
                        owned.connected = None;
                    }
                }
            }
        }
        node.leases = view;
    }

    fn perform(&mut self, id: &HostId, actions: Vec<Action>) {
        for action in actions {
            let (Action::Claim(to, _) | Action::Release(to, _) | Action::Push(to, _)) = &action;
            let to = to.clone();
            let (from, life, sent_at) = (id.clone(), self.nodes[id].life, self.local(id));
            self.send(id, &to, Message::Member { from, life, sent_at, action });
        }
    }

    /// Reads the platform, which every host on the larger side reaches.
    fn watch(&mut self, id: &HostId, now: Monotonic) {
        self.nodes.get_mut(id).unwrap().next_watch = now + Duration::from_millis(300);
        if self.platform_down || self.side(&self.domain_of(id)) {
            return;
        }
        let config = self.stale.clone().unwrap_or_else(|| self.published.clone());
        self.post(id, Message::Version(Box::new(config)));
    }

    fn offer(&mut self, id: &HostId, config: Config) {
        let now = self.local(id);
        let node = self.nodes.get_mut(id).unwrap();
        if !matches!(node.store.offer(config), Ok(true)) {
            return;
        }
        let current = node.store.current().clone();
        if current.fleet.hosts != node.operational.config.fleet.hosts {
            node.placed_at = now;
        }
        node.operational = Arc::new(node.operational.next(current.clone(), &HashSet::new()));
        node.membership.adopt(now, node.operational.clone());
        self.oracle.on_adopted(self.now, &current);
        self.publish(id);
    }

    // Owners.

    fn enqueue(&mut self, me: &HostId, job: Job) {
        let now = self.local(me);
        let server = self.server_of(&job.request);
        let (attempt, from) = (job.request.attempt, job.from.clone());
        let permit = self.permit(me, &server);
        let owned = self.owned(me, &server);
        let deadline = job.deadline;
        let pushed = match permit {
            Ok(permit) => {
                let priority = permit.entry.priority;
                owned.queue.push(now, priority, deadline, permit.allowance, job).map(|_| ())
            }
            Err(reason) => Err(reason),
        };
        if let Err(reason) = pushed {
            let outcome = Outcome::NotRun(reason);
            self.send(me, &from, Message::Report { attempt, server, outcome });
        }
    }

    /// Attempts carry the server in their term, which servers ignore.
    fn server_of(&self, request: &RunRequest) -> ServerId {
        request.term.as_str().split(' ').next().unwrap_or_default().into()
    }

    fn owned(&mut self, me: &HostId, server: &ServerId) -> &mut Owned {
        let node = self.nodes.get_mut(me).unwrap();
        node.owned.entry(server.clone()).or_insert_with(|| Owned {
            queue: ServerQueue::new(WARM_TIME, Admission::Early),
            temperature: Temperature::default(),
            connected: None,
            sent: HashMap::new(),
        })
    }

    fn permit(&mut self, me: &HostId, server: &ServerId) -> Result<Permit, NotRunReason> {
        let now = self.local(me);
        let warmth = self.owned(me, server).temperature.warmth();
        let node = &self.nodes[me];
        let (operational, leases) = (&node.operational, &node.leases);
        let standing = Standing { now, me, operational, leases, owners: true };
        standing.permit(server, warmth, Monotonic::ZERO)
    }

    fn must_wait(&self, me: &HostId) -> bool {
        !flawed!(PauseIgnored) && self.nodes[me].pause.must_wait(self.local(me))
    }

    fn pump_all(&mut self, me: &HostId) {
        let servers: Vec<ServerId> = self.nodes[me].owned.keys().cloned().collect();
        for server in servers {
            while !self.must_wait(me) && self.pump(me, &server) {}
        }
    }

    /// Sends one attempt, if the gate and the server's present life allow it.
    fn pump(&mut self, me: &HostId, server: &ServerId) -> bool {
        let permit = match self.permit(me, server) {
            Ok(permit) => permit,
            Err(reason) => {
                let jobs = self.owned(me, server).queue.drain();
                for job in jobs {
                    let (attempt, outcome) = (job.request.attempt, Outcome::NotRun(reason));
                    let server = server.clone();
                    self.send(me, &job.from, Message::Report { attempt, server, outcome });
                }
                return false;
            }
        };
        let now = self.local(me);
        let Some((ticket, job)) = self.owned(me, server).queue.pop(permit.allowance) else {
            return false;
        };
        let connected = self.connect(me, server);
        let permit = self.permit(me, server);
        let owned = self.owned(me, server);
        let room = permit.as_ref().is_ok_and(|p| owned.sent.len() < p.allowance as usize);
        let Some(life) = connected.filter(|_| room && now < job.deadline) else {
            if now < job.deadline && room {
                owned.queue.finish(None);
                let (attempt, server) = (job.request.attempt, server.clone());
                let outcome = Outcome::NotRun(NotRunReason::Unreachable);
                self.send(me, &job.from, Message::Report { attempt, server, outcome });
            } else if now < job.deadline {
                owned.queue.restore(ticket, job);
            } else {
                owned.queue.finish(None);
            }
            return false;
        };
        owned.sent.insert(job.request.attempt, job.clone());
        let message = Message::ToServer {
            from: me.clone(),
            server: server.clone(),
            life,
            request: job.request,
        };
        self.post(me, message);
        true
    }

    /// Uses the connection to a server's life, or makes a new one.
    fn connect(&mut self, me: &HostId, server: &ServerId) -> Option<InstanceId> {
        let known = self.owned(me, server).connected.clone();
        if known.is_some() {
            return known;
        }
        let reachable = self.side(&self.domain_of(me)) == self.side(&self.servers[server].domain);
        let life = instance(server, self.servers[server].life);
        if !reachable {
            return None;
        }
        let owned = self.owned(me, server);
        if owned.temperature.on_instance(&life) {
            owned.sent.clear();
        }
        owned.connected = Some(life.clone());
        Some(life)
    }

    fn on_reply(
        &mut self,
        me: &HostId,
        server: &ServerId,
        request: &RunRequest,
        reply: Outcome<Vec<u8>>,
    ) {
        let took = if matches!(reply, Outcome::Answered(_)) {
            Some(self.service_time(server))
        } else {
            None
        };
        let limits = self.nodes[me].operational.server(server).map(|e| e.limits.clone());
        let owned = self.owned(me, server);
        let Some(job) = owned.sent.remove(&request.attempt) else { return };
        owned.queue.finish(took);
        let outcome = match reply {
            Outcome::Answered(bytes) => {
                if let (Some(took), Some(limits)) = (took, limits) {
                    owned.temperature.on_reply(took, &limits);
                }
                verify(request, StatusCode::OK, &bytes)
            }
            Outcome::NotRun(reason) => Outcome::NotRun(reason),
            Outcome::Unknown(reason) => {
                owned.connected = None;
                Outcome::Unknown(reason)
            }
        };
        let (attempt, server) = (request.attempt, server.clone());
        self.send(me, &job.from, Message::Report { attempt, server, outcome });
    }

    fn service_time(&self, server: &ServerId) -> Duration {
        if self.servers[server].done < WARM_AFTER { COLD_TIME } else { WARM_TIME }
    }

    // Servers.

    fn arrive(&mut self, from: HostId, id: ServerId, life: &InstanceId, request: RunRequest) {
        let server = &self.servers[&id];
        let cut = self.side(&self.domain_of(&from)) != self.side(&server.domain);
        if cut {
            return;
        }
        let lost = Outcome::Unknown(UnknownReason::ConnectionLost);
        if instance(&id, server.life) != *life {
            self.post(&from, Message::FromServer { server: id, request, reply: lost });
            return;
        }
        if !server.versions.contains(&request.index_version) {
            let reply = Outcome::NotRun(NotRunReason::VersionGone);
            self.post(&from, Message::FromServer { server: id, request, reply });
            return;
        }
        let time = self.service_time(&id);
        let due = self.now + time;
        let server = self.servers.get_mut(&id).unwrap();
        server.in_flight.push((due, from.clone(), request.clone()));
        let in_flight = u32::try_from(server.in_flight.len()).unwrap_or(u32::MAX);
        let cold = (server.done < WARM_AFTER).then_some((in_flight, server.limit));
        let domain = server.domain.clone();
        self.oracle.on_arrival(self.now, &from, &id, &domain, cold);
        if request.kind == Kind::Submit {
            self.oracle.on_execution(&request.request_id);
        }
    }

    fn finish_at_servers(&mut self) {
        let now = self.now;
        let mut replies = Vec::new();
        for (id, server) in &mut self.servers {
            let (done, left): (Vec<_>, Vec<_>) = std::mem::take(&mut server.in_flight)
                .into_iter()
                .partition(|(due, ..)| *due <= now);
            server.in_flight = left;
            for (_, from, request) in done {
                server.done += 1;
                let version = request.index_version + u64::from(server.confused);
                let (kind, shard) = (request.kind, request.shard);
                let rows = shard_rows(kind, shard, version, "t", &request.key, request.limit);
                let attempt = request.attempt;
                let reply = RunReply { attempt, shard, index_version: version, rows };
                let bytes = serde_json::to_vec(&reply).unwrap();
                replies.push((from, id.clone(), server.domain.clone(), request, bytes));
            }
        }
        for (to, server, domain, request, bytes) in replies {
            if self.side(&domain) == self.side(&self.domain_of(&to)) {
                let reply = Outcome::Answered(bytes);
                self.post(&to, Message::FromServer { server, request, reply });
            }
        }
    }

    // Coordinators and keepers.

    fn query(&mut self, n: u8) {
        let id = self.host(n);
        self.post(&id, Message::CallerQuery);
    }

    fn start_query(&mut self, id: &HostId) {
        let id = id.clone();
        let deadline = self.local(&id) + DEADLINE;
        let service = self.nodes[&id].operational.config.service("parts").unwrap().clone();
        let shards: Vec<ShardId> = service.shards.iter().map(|s| s.id).collect();
        let gather = Gather::new(service.index_version, shards.iter().copied(), None);
        let run = QueryRun { gather, service, deadline, attempts: HashMap::new() };
        self.nodes.get_mut(&id).unwrap().queries.push(run);
        let at = self.nodes[&id].queries.len() - 1;
        for shard in shards {
            self.ask(&id, at, shard);
        }
    }

    /// Sends an attempt at a shard to the owner of one of its servers.
    fn ask(&mut self, me: &HostId, at: usize, shard: ShardId) {
        let pick = self.rng.random_range(0..8_usize);
        let run = &self.nodes[me].queries[at];
        let Some(found) = run.service.shards.iter().find(|s| s.id == shard) else { return };
        let tried = run.gather.tried(shard);
        let fresh: Vec<_> = found.servers.iter().filter(|s| !tried.contains(&s.id)).collect();
        if fresh.is_empty() {
            return;
        }
        let server = fresh[pick % fresh.len()].id.clone();
        let version = run.service.index_version;
        let (deadline, service) = (run.deadline, run.service.id.clone());
        let attempt = self.number();
        let run = &mut self.nodes.get_mut(me).unwrap().queries[at];
        run.gather.on_sent(shard, &server);
        run.attempts.insert(attempt, (shard, server.clone()));
        let request = RunRequest {
            attempt,
            request_id: "q".into(),
            service,
            kind: Kind::Lookup,
            shard,
            index_version: version,
            deadline_ms: 0,
            term: server.clone(),
            key: "k".into(),
            limit: 9,
        };
        self.send_attempt(me, &server, request, deadline);
    }

    fn send_attempt(
        &mut self,
        me: &HostId,
        server: &ServerId,
        request: RunRequest,
        deadline: Monotonic,
    ) {
        let node = &self.nodes[me];
        let Some(seat) = node.operational.server(server).map(|e| e.seat.clone()) else { return };
        let owner = node.leases.holders.get(&seat).unwrap_or(&seat).clone();
        let deadline = self.map_deadline(me, &owner, deadline);
        self.send(me, &owner, Message::Run(Job { from: me.clone(), request, deadline }));
    }

    fn on_report(
        &mut self,
        me: &HostId,
        attempt: AttemptId,
        server: &ServerId,
        outcome: Outcome<Vec<Row>>,
    ) {
        let node = self.nodes.get_mut(me).unwrap();
        if let Some(at) = node.kept.iter().position(|kept| kept.attempt == attempt) {
            self.on_kept_report(me, at, outcome.map(|_| ()));
            return;
        }
        let found = node.queries.iter_mut().position(|run| run.attempts.contains_key(&attempt));
        let Some(at) = found else { return };
        let run = &mut node.queries[at];
        let (shard, _) = run.attempts[&attempt].clone();
        let rows = match &outcome {
            Outcome::Answered(rows) => rows.clone(),
            _ => Vec::new(),
        };
        let report = ShardReport {
            shard,
            server: server.clone(),
            outcome: outcome.map(|_| ()),
            expected_us: 0,
            warm: true,
            took_us: 0,
        };
        let part = Part { ended: vec![report], rows, pending: 0, held_us: 0 };
        let open = run.gather.on_part(part);
        for shard in open {
            self.ask(me, at, shard);
        }
    }

    /// A caller sends an order; one that no host takes is a sending without an outcome.
    fn submit(&mut self, n: u8, request: RequestId, resend: bool) {
        let id = self.host(n);
        self.oracle.on_sending(&request);
        self.post(&id, Message::CallerOrder { request, resend });
    }

    fn start_order(&mut self, id: &HostId, request: RequestId, resend: bool) {
        let id = id.clone();
        let deadline = self.local(&id) + DEADLINE;
        let node = self.nodes.get_mut(&id).unwrap();
        node.waiting.push(Waiting { request: request.clone(), deadline });
        let config = node.operational.config.clone();
        let seat = placement::keeper_seat(&config, &request).unwrap();
        let keeper = node.leases.holders.get(&seat).unwrap_or(&seat).clone();
        let deadline = self.map_deadline(&id, &keeper, deadline);
        self.send(&id, &keeper, Message::Order { from: id.clone(), request, resend, deadline });
    }

    fn keep(
        &mut self,
        me: &HostId,
        from: HostId,
        request: RequestId,
        resend: bool,
        deadline: Monotonic,
    ) {
        let now = self.local(me);
        let node = &self.nodes[me];
        let (operational, leases) = (&node.operational, &node.leases);
        let standing = Standing { now, me, operational, leases, owners: true };
        let tenure = standing.tenure(&request, node.placed_at);
        let refused = match tenure {
            _ if self.must_wait(me) => Some(NotRunReason::NotReady),
            _ if now >= deadline => Some(NotRunReason::DeadlineTooClose),
            Err(reason) => Some(reason),
            Ok(_) => None,
        };
        let (Ok(tenure), None) = (tenure, refused) else {
            let outcome = Outcome::NotRun(refused.unwrap_or(NotRunReason::NotOwner));
            self.send(me, &from, Message::OrderOutcome { request, outcome });
            return;
        };
        let node = self.nodes.get_mut(me).unwrap();
        if let Begin::Reply(outcome) = node.record.begin(now, &request, resend, tenure.since) {
            self.send(me, &from, Message::OrderOutcome { request, outcome });
            return;
        }
        let deadline = deadline.min(tenure.until);
        let (server, tried) = (ServerId::default(), Vec::new());
        node.kept.push(Kept { from, request, deadline, attempt: 0, server, tried });
        let at = node.kept.len() - 1;
        self.place(me, at, NotRunReason::NoPermission);
    }

    /// Sends a kept order to the next replica, or ends it where there is none.
    fn place(&mut self, me: &HostId, at: usize, last: NotRunReason) {
        let now = self.local(me);
        let node = &self.nodes[me];
        let service = node.operational.config.service("orders").unwrap().clone();
        let kept = &node.kept[at];
        let next = service.servers().find(|server| {
            !kept.tried.contains(&server.id) && node.operational.gate(&server.id).is_ok()
        });
        let Some(server) = next.filter(|_| now < kept.deadline).map(|s| s.id.clone()) else {
            self.end_kept(me, at, Outcome::NotRun(last));
            return;
        };
        let (deadline, request_id) = (kept.deadline, kept.request.clone());
        let attempt = self.number();
        let kept = &mut self.nodes.get_mut(me).unwrap().kept[at];
        kept.attempt = attempt;
        kept.server = server.clone();
        kept.tried.push(server.clone());
        let request = RunRequest {
            attempt,
            request_id,
            service: service.id.clone(),
            kind: Kind::Submit,
            shard: 0,
            index_version: service.index_version,
            deadline_ms: 0,
            term: server.clone(),
            key: "k".into(),
            limit: 9,
        };
        self.send_attempt(me, &server, request, deadline);
    }

    fn on_kept_report(&mut self, me: &HostId, at: usize, outcome: Outcome<()>) {
        match outcome {
            Outcome::NotRun(reason) => self.place(me, at, reason),
            ended => self.end_kept(me, at, ended),
        }
    }

    fn end_kept(&mut self, me: &HostId, at: usize, outcome: Outcome<()>) {
        let node = self.nodes.get_mut(me).unwrap();
        let kept = node.kept.remove(at);
        node.record.end(&kept.request, &outcome);
        self.send(me, &kept.from, Message::OrderOutcome { request: kept.request, outcome });
    }

    fn on_order_outcome(&mut self, me: &HostId, request: &RequestId, outcome: Outcome<()>) {
        let node = self.nodes.get_mut(me).unwrap();
        let Some(at) = node.waiting.iter().position(|w| w.request == *request) else { return };
        node.waiting.remove(at);
        self.answer_caller(request, outcome);
    }

    fn answer_caller(&mut self, request: &RequestId, outcome: Outcome<()>) {
        if matches!(outcome, Outcome::Unknown(_)) {
            self.unknown.push(request.clone());
        }
        self.oracle.on_outcome(request, outcome);
    }

    /// Asks late shards again at another replica, once.
    fn hedge(&mut self, me: &HostId, now: Monotonic) {
        for at in 0..self.nodes[me].queries.len() {
            let run = &self.nodes[me].queries[at];
            if now + HEDGE_LEFT >= run.deadline {
                for shard in run.gather.first_attempts() {
                    self.ask(me, at, shard);
                }
            }
        }
    }

    /// Ends what is past its deadline.
    fn expire(&mut self, me: &HostId, now: Monotonic) {
        let node = self.nodes.get_mut(me).unwrap();
        let (over, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut node.queries).into_iter().partition(|run| now >= run.deadline);
        node.queries = left;
        let (late, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut node.waiting).into_iter().partition(|w| now >= w.deadline);
        node.waiting = left;
        let overdue: Vec<AttemptId> =
            node.kept.iter().filter(|k| now >= k.deadline).map(|k| k.attempt).collect();
        for run in over {
            let shards = u32::try_from(run.service.shards.len()).unwrap_or(u32::MAX);
            let outcome: Outcome<Answer> = run.gather.finish();
            if let Outcome::Answered(answer) = outcome {
                self.oracle.on_answer(&answer, shards);
            }
        }
        let lost = if flawed!(LostIsNotRun) {
            Outcome::NotRun(NotRunReason::Unreachable)
        } else {
            Outcome::Unknown(UnknownReason::TimedOut)
        };
        for waiting in late {
            self.answer_caller(&waiting.request, lost.clone());
        }
        for attempt in overdue {
            let at = self.nodes[me].kept.iter().position(|kept| kept.attempt == attempt);
            if let Some(at) = at {
                self.end_kept(me, at, Outcome::Unknown(UnknownReason::TimedOut));
            }
        }
        for owned in self.nodes.get_mut(me).unwrap().owned.values_mut() {
            let gone: Vec<AttemptId> = owned
                .sent
                .iter()
                .filter(|(_, job)| now >= job.deadline + Duration::from_secs(1))
                .map(|(attempt, _)| *attempt)
                .collect();
            for attempt in gone {
                owned.sent.remove(&attempt);
                owned.queue.finish(None);
            }
        }
    }

    // Operators.

    fn set_domain(&mut self, n: u8, out: bool) {
        let domains = &self.published.fleet.domains;
        let name = domains[usize::from(n) % domains.len()].id.to_string();
        if let Ok(next) = set_out(&self.published, &Target::Domain(name), out) {
            self.published = next;
        }
    }

    fn flip(&mut self) {
        let service = self.published.service("parts").unwrap();
        let version = service.index_version + 1;
        let shards = if version.is_multiple_of(2) { 2 } else { 3 };
        if let Ok(next) = repartition(&self.published, "parts", version, shards) {
            self.published = next;
            for (id, server) in &mut self.servers {
                if id.starts_with("parts") {
                    server.versions.insert(version);
                }
            }
            self.drop_versions_at = Some((self.now + OLD_VERSION_KEEPS, version));
        }
    }

    fn drop_old_versions(&mut self) {
        if let Some((at, version)) = self.drop_versions_at
            && self.now >= at
        {
            self.drop_versions_at = None;
            for (id, server) in &mut self.servers {
                if id.starts_with("parts") {
                    server.versions = [version].into();
                }
            }
        }
    }

    /// Shows the oracle what can be seen at this moment.
    fn observe(&mut self) {
        let ids: Vec<HostId> = self.nodes.keys().cloned().collect();
        for id in &ids {
            // A version may be known on one side of a cut only; the other side learns it from the
            // platform, if that serves the newest.
            let cut_off = self.side(&self.domain_of(id));
            let platform_helps = !self.platform_down && self.stale.is_none();
            if cut_off || (self.isolated.is_some() && !platform_helps) {
                self.oracle.on_cut(self.now, id);
            }
            let node = &self.nodes[id];
            self.oracle.on_version(id, node.life, node.store.current().version);
        }
        for seat in self.published.fleet.hosts.clone() {
            let holds = |id: &&HostId| {
                let node = &self.nodes[*id];
                let now = local_time(self.now, node);
                node.leases.role(now, id, &seat.id) == Role::Holder
            };
            let holders: Vec<HostId> = ids.iter().filter(holds).cloned().collect();
            self.oracle.on_holders(&seat.id, &holders);
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
