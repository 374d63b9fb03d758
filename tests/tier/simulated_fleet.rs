//! A fleet of hosts that read a source and exchange its facts over a simulated network, whose paths
//! can be cut one way, lose frames and recover, all on a paused clock.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use quetzalpoint::connection::peer_frame::Frame;
use quetzalpoint::connection::peer_links::LinkEvent;
use quetzalpoint::connection::source::{Source, SourceError, SourceUpdate};
use quetzalpoint::ids::Revision;
use quetzalpoint::position::Position;
use quetzalpoint::process::budgets::extra_attempt_budget::ExtraAttemptLimit;
use quetzalpoint::process::configuration::{fact_exchange, reader};
use quetzalpoint::process::membership::heartbeat_transport;
use quetzalpoint::process::membership::members::Gossip;
use quetzalpoint::process::servers::registry::{Change, Fact};
use quetzalpoint::process::tier::{Tier, TierSettings};
use quetzalpoint::version::plan::PlanDocument;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::fake::{FakeServers, LAPSE_TIME, PEER_PORT, server_record};

/// The number of failure domains.
pub const DOMAINS: usize = 4;
/// The resolution of the simulation.
pub const STEP: Duration = Duration::from_millis(10);
/// How often hosts send the heartbeats that are due.
const HEARTBEAT_STEP: Duration = Duration::from_millis(50);
/// How often hosts remove expired state.
const SWEEP_STEP: Duration = Duration::from_millis(250);
/// How long a source may wait before a caller considers a call without changes lost, and one that
/// reads everything.
const WATCH_GRACE: Duration = Duration::from_millis(450);
const READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a call of a host that reads takes, if nothing changes.
const CALL_TIME: Duration = Duration::from_millis(1_100);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The first retransmission timeout of a connection; it doubles.
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);

/// One end of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Node {
    Source,
    Host(usize),
}

/// What the network does to messages.
#[derive(Debug, Default)]
pub struct Network {
    /// The number of cuts of each path from one node to another.
    cuts: HashMap<(Node, Node), u32>,
    /// The share of datagrams that are lost.
    pub loss: f64,
}

impl Network {
    pub fn cut(&mut self, from: Node, to: Node) {
        *self.cuts.entry((from, to)).or_default() += 1;
    }

    pub fn restore(&mut self, from: Node, to: Node) {
        let cuts = self.cuts.get_mut(&(from, to)).expect("the path is cut");
        *cuts -= 1;
    }

    pub fn passes(&self, from: Node, to: Node) -> bool {
        self.cuts.get(&(from, to)).is_none_or(|cuts| *cuts == 0)
    }

    fn both_ways(&self, one: Node, other: Node) -> bool {
        self.passes(one, other) && self.passes(other, one)
    }
}

/// How servers leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Departure {
    /// Their entries say that they are not ready any more.
    #[default]
    Drains,
    /// Their entries are removed.
    Removed,
}

/// The plans and servers that the source holds. With each revision comes a plan of that version, and
/// the server of that number leaves.
#[derive(Debug, Default)]
pub struct SourceState {
    pub revision: Revision,
    pub departure: Departure,
    /// When each host called last.
    last_calls: HashMap<usize, Instant>,
}

fn server(number: u64, revision: Revision, ready: bool) -> Change {
    let mut record = server_record(0, "domain-0");
    record.id = format!("server-{number}").into();
    record.ready = ready;
    Change { revision, fact: Fact::Server(record.id.clone(), Some(record)) }
}

fn departed(number: u64, departure: Departure) -> Change {
    match departure {
        Departure::Drains => server(number, number, false),
        Departure::Removed => {
            let id = format!("server-{number}").into();
            Change { revision: number, fact: Fact::Server(id, None) }
        }
    }
}

/// The last change of a test.
pub const LAST_REVISION: Revision = 200;

/// The source, as one host reaches it.
struct HostSource {
    host: usize,
    state: Arc<Mutex<SourceState>>,
    network: Arc<Mutex<Network>>,
}

impl HostSource {
    fn is_reachable(&self) -> bool {
        let network = self.network.lock().expect("no holder of the lock panics");
        network.both_ways(Node::Host(self.host), Node::Source)
    }

    fn count_call(&self) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.last_calls.insert(self.host, Instant::now());
    }

    fn revision(&self) -> Revision {
        self.state.lock().expect("no holder of the lock panics").revision
    }

    fn update(&self, after: Revision, whole: bool) -> SourceUpdate {
        let (revision, departure) = {
            let state = self.state.lock().expect("no holder of the lock panics");
            (state.revision, state.departure)
        };
        let changes = if whole {
            let listed = departure == Departure::Drains;
            let departed = (2..=revision).filter(|_| listed).map(|n| server(n, n, false));
            let ready = (revision + 1..=LAST_REVISION).map(|n| server(n, 1, true));
            departed.chain(ready).collect()
        } else {
            ((after + 1)..=revision).map(|n| departed(n, departure)).collect()
        };
        SourceUpdate {
            changes,
            plan: (whole || revision > after).then(|| plan(revision)),
            up_to: Position { epoch: 0, revision },
            ..SourceUpdate::default()
        }
    }
}

fn plan(version: u64) -> PlanDocument {
    PlanDocument { version, ..PlanDocument::default() }
}

impl Source for HostSource {
    async fn read_all(&mut self) -> Result<SourceUpdate, SourceError> {
        self.count_call();
        if !self.is_reachable() {
            tokio::time::sleep(READ_TIMEOUT).await;
            return Err(SourceError::Unresponsive("cut".to_owned()));
        }
        tokio::time::sleep(STEP).await;
        Ok(self.update(0, true))
    }

    async fn changes_after(
        &mut self,
        after: Position,
        max_wait: Duration,
    ) -> Result<SourceUpdate, SourceError> {
        self.count_call();
        let began_at = Instant::now();
        loop {
            if !self.is_reachable() {
                // The connection is dead from here on.
                let timeout = (max_wait + WATCH_GRACE).max(READ_TIMEOUT);
                tokio::time::sleep_until(began_at + timeout).await;
                return Err(SourceError::Unresponsive("cut".to_owned()));
            }
            if self.revision() > after.revision || began_at.elapsed() >= max_wait {
                return Ok(self.update(after.revision, false));
            }
            tokio::time::sleep(STEP).await;
        }
    }
}

/// A connection from one host to another, which carries frames both ways.
#[derive(Debug)]
struct Connection {
    established_at: Option<Instant>,
    opened_at: Instant,
    /// Frames in flight, and whether each goes from the host that opened the connection.
    queued: VecDeque<(bool, Frame)>,
    /// When and how often the oldest frame was retransmitted.
    next_try_at: Instant,
    backoff: Duration,
}

impl Connection {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            established_at: None,
            opened_at: now,
            queued: VecDeque::new(),
            next_try_at: now,
            backoff: FIRST_RETRANSMISSION,
        }
    }
}

/// One host of the fleet.
pub struct SimulatedHost {
    pub tier: Arc<Tier<FakeServers>>,
    events: mpsc::UnboundedReceiver<LinkEvent>,
    started_at: Instant,
    /// Since when it has run with paths to the source in both directions.
    undisturbed_since: Instant,
    /// Whether it runs; one that was killed neither gets nor sends anything.
    runs: bool,
}

/// A fleet, its source and the network between them.
pub struct Fleet {
    pub hosts: Vec<SimulatedHost>,
    pub network: Arc<Mutex<Network>>,
    pub source: Arc<Mutex<SourceState>>,
    connections: BTreeMap<(usize, usize), Connection>,
    next_heartbeats_at: Instant,
    next_sweep_at: Instant,
    /// When the source acknowledged each revision.
    pub acknowledged: Vec<(Revision, Instant)>,
}

pub fn address(host: usize) -> Ipv4Addr {
    let [high, low] = u16::try_from(host + 1).expect("few hosts").to_be_bytes();
    Ipv4Addr::new(10, 0, high, low)
}

fn index(address: Ipv4Addr) -> usize {
    let [_, _, high, low] = address.octets();
    usize::from(u16::from_be_bytes([high, low])) - 1
}

fn start_host(
    host: usize,
    source: &Arc<Mutex<SourceState>>,
    network: &Arc<Mutex<Network>>,
) -> SimulatedHost {
    let domain = |n: usize| format!("domain-{n}");
    let settings = TierSettings {
        ip: address(host),
        domain: domain(host % DOMAINS).into(),
        domains: (0..DOMAINS).map(|n| (domain(n).into(), "region".into())).collect(),
        peer_port: PEER_PORT,
        seeds: vec![address(0), address(1), address(2)],
        weight: 25,
        extra: ExtraAttemptLimit { ratio: 0.2, allowance: 50.0, window: Duration::from_secs(10) },
        lapse_time: LAPSE_TIME,
    };
    let tier = Arc::new(Tier::new(settings, FakeServers::default()));
    let events = tier.peers.simulate();
    let own_source = HostSource { host, state: source.clone(), network: network.clone() };
    tokio::spawn(reader::run(tier.clone(), own_source));
    tokio::spawn(fact_exchange::run(tier.clone()));
    let now = Instant::now();
    SimulatedHost { tier, events, started_at: now, undisturbed_since: now, runs: true }
}

impl Fleet {
    /// Starts a fleet whose hosts know the source's first revision and each other.
    pub async fn start(count: usize) -> Self {
        let source = Arc::new(Mutex::new(SourceState { revision: 1, ..SourceState::default() }));
        let network = Arc::<Mutex<Network>>::default();
        let hosts = (0..count).map(|host| start_host(host, &source, &network)).collect();
        let mut fleet = Self {
            hosts,
            network,
            source,
            connections: BTreeMap::new(),
            next_heartbeats_at: Instant::now(),
            next_sweep_at: Instant::now(),
            acknowledged: Vec::new(),
        };
        fleet.run_for(Duration::from_secs(5)).await;
        fleet
    }

    /// Ends a host without notice to the others.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].tier.shutdown.stopped.cancel();
        self.hosts[host].runs = false;
        self.connections.retain(|(from, to), _| *from != host && *to != host);
    }

    /// Cuts the paths between hosts and the source in both directions, or restores them.
    pub fn set_source_cut(&self, hosts: impl IntoIterator<Item = usize>, cut: bool) {
        let mut network = self.network.lock().expect("no holder of the lock panics");
        for host in hosts {
            let host = Node::Host(host);
            for (from, to) in [(host, Node::Source), (Node::Source, host)] {
                if cut { network.cut(from, to) } else { network.restore(from, to) }
            }
        }
    }

    /// Returns the hosts that have called the source within the time of one call.
    pub fn readers(&self) -> Vec<usize> {
        let state = self.source.lock().expect("no holder of the lock panics");
        let reads = |n: &usize| state.last_calls.get(n).is_some_and(|at| at.elapsed() < CALL_TIME);
        (0..self.hosts.len()).filter(|n| self.hosts[*n].runs).filter(reads).collect()
    }

    /// Starts a host anew, without anything that it knew.
    pub fn restart(&mut self, host: usize) {
        self.kill(host);
        self.hosts[host] = start_host(host, &self.source, &self.network);
    }

    /// Changes the plan and lets a server leave; the source acknowledges it at once.
    pub fn change(&mut self) -> Revision {
        let mut source = self.source.lock().expect("no holder of the lock panics");
        source.revision += 1;
        self.acknowledged.push((source.revision, Instant::now()));
        source.revision
    }

    pub async fn run_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.step().await;
        }
    }

    /// Delivers what is due and lets the hosts run for one step.
    pub async fn step(&mut self) {
        if Instant::now() >= self.next_heartbeats_at {
            self.next_heartbeats_at = Instant::now() + HEARTBEAT_STEP;
            self.exchange_heartbeats();
        }
        if Instant::now() >= self.next_sweep_at {
            self.next_sweep_at = Instant::now() + SWEEP_STEP;
            self.hosts.iter().filter(|host| host.runs).for_each(|host| host.tier.sweep());
        }
        self.collect_frames();
        self.deliver_frames();
        self.observe_disturbances();
        tokio::time::sleep(STEP).await;
    }

    fn exchange_heartbeats(&mut self) {
        let mut messages: VecDeque<(usize, Ipv4Addr, Gossip)> = VecDeque::new();
        for (n, host) in self.hosts.iter().enumerate().filter(|(_, host)| host.runs) {
            let due = heartbeat_transport::due_messages(&host.tier);
            messages.extend(due.into_iter().map(|(to, gossip)| (n, to, gossip)));
        }
        while let Some((from, to, gossip)) = messages.pop_front() {
            let to = index(to);
            let network = self.network.lock().expect("no holder of the lock panics");
            let arrives = self.hosts[to].runs
                && network.passes(Node::Host(from), Node::Host(to))
                && rand::random::<f64>() >= network.loss;
            drop(network);
            // What arrives has been sent as bytes.
            let received = Gossip::decode(&gossip.encode()).expect("it was just encoded");
            if arrives
                && let Some((answer_to, answer)) =
                    heartbeat_transport::on_gossip(&self.hosts[to].tier, received)
            {
                messages.push_back((to, answer_to, answer));
            }
        }
    }

    fn collect_frames(&mut self) {
        for (from, host) in self.hosts.iter_mut().enumerate() {
            while let Ok(event) = host.events.try_recv() {
                match event {
                    LinkEvent::Sent(to, frame) => {
                        let key = (from, index(to));
                        let connection =
                            self.connections.entry(key).or_insert_with(Connection::new);
                        connection.queued.push_back((true, *frame));
                    }
                    LinkEvent::Closed(to) => {
                        self.connections.remove(&(from, index(to)));
                    }
                }
            }
        }
    }

    fn deliver_frames(&mut self) {
        let now = Instant::now();
        let mut lost = Vec::new();
        let network = self.network.lock().expect("no holder of the lock panics");
        for ((from, to), connection) in &mut self.connections {
            let passes = network.both_ways(Node::Host(*from), Node::Host(*to))
                && self.hosts[*from].runs
                && self.hosts[*to].runs;
            if connection.established_at.is_none() {
                if passes {
                    connection.established_at = Some(now);
                } else if now >= connection.opened_at + CONNECT_TIMEOUT {
                    lost.push((*from, *to));
                }
                continue;
            }
            if now < connection.next_try_at || connection.queued.is_empty() {
                continue;
            }
            if !passes {
                connection.next_try_at = now + connection.backoff;
                connection.backoff *= 2;
                continue;
            }
            connection.backoff = FIRST_RETRANSMISSION;
            for (forth, frame) in std::mem::take(&mut connection.queued) {
                let receiver = &self.hosts[if forth { *to } else { *from }].tier;
                match frame {
                    Frame::Pull(known) => {
                        let facts = fact_exchange::facts_after(receiver, known);
                        connection.queued.push_back((!forth, Frame::Facts(facts)));
                    }
                    Frame::Facts(facts) if forth => fact_exchange::on_pushed(receiver, facts),
                    Frame::Facts(facts) => receiver.peers.receive(address(*to), facts),
                    frame => panic!("no host sends this here: {frame:?}"),
                }
            }
        }
        drop(network);
        for key in lost {
            self.connections.remove(&key);
        }
    }

    fn observe_disturbances(&mut self) {
        let network = self.network.lock().expect("no holder of the lock panics");
        for (n, host) in self.hosts.iter_mut().enumerate() {
            if !network.both_ways(Node::Host(n), Node::Source) {
                host.undisturbed_since = Instant::now();
            }
            host.undisturbed_since = host.undisturbed_since.max(host.started_at);
        }
    }

    /// Returns the hosts that have been undisturbed for `stable` and lack, in their plan or their
    /// registry, a revision that was acknowledged more than `bound` ago.
    pub fn outdated(&self, stable: Duration, bound: Duration) -> Vec<String> {
        let now = Instant::now();
        let due = self.acknowledged.iter().rev().find(|(_, at)| now >= *at + bound);
        let Some((due, _)) = due else { return Vec::new() };
        let in_touch = |host: &&SimulatedHost| host.runs && now >= host.undisturbed_since + stable;
        let lacks = |host: &&SimulatedHost| {
            host.tier.plan.load().version < *due
                || host.tier.servers.load().may_send(&format!("server-{due}"))
        };
        let outdated = self.hosts.iter().filter(in_touch).filter(lacks);
        let describe = |host: &SimulatedHost| {
            let position = host.tier.servers.load().position.revision;
            let version = host.tier.plan.load().version;
            format!("{} has plan {version}, revision {position}, not {due}", host.tier.settings.ip)
        };
        outdated.map(describe).collect()
    }
}
