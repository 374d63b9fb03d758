//! Hosts that share the limit of cold servers. Every host sends as many requests as it may.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use quetzalpoint::position::Position;
use quetzalpoint::process::budgets::extra_attempt_budget::ExtraAttemptLimit;
use quetzalpoint::process::membership::heartbeat_transport;
use quetzalpoint::process::membership::members::Gossip;
use quetzalpoint::process::servers::registry::{Change, Fact};
use quetzalpoint::process::tier::{Tier, TierSettings};
use quetzalpoint::version::plan::{Plan, PlanDocument, ServiceLimits};
use tokio::time::Instant;

use crate::fake::{FakeServers, LAPSE_TIME, PEER_PORT, server_record, service};

const DOMAINS: usize = 4;
const STEP: Duration = Duration::from_millis(25);
const HEARTBEAT_STEP: Duration = Duration::from_millis(50);
/// The hosts start within this time of each other.
const START_SPREAD: Duration = Duration::from_millis(300);
/// A fleet that was started this long ago has settled.
const SETTLE_TIME: Duration = Duration::from_secs(6);
const COLD_TIME: Duration = Duration::from_secs(60);
/// A server tolerates its limit times this, and some requests more, in a second.
const TOLERATED_EXCESS: f64 = 1.5;
const TOLERATED_REQUESTS: f64 = 5.0;

/// What keeps the hosts from each other's messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cuts {
    None,
    /// Each host is cut off from all others.
    All,
    /// Each failure domain is cut off from the others.
    BetweenDomains,
}

struct Fleet {
    cold_per_s: f64,
    hosts: Vec<Option<Arc<Tier<FakeServers>>>>,
    /// The hosts whose process is stopped.
    paused: Vec<usize>,
    cuts: Cuts,
    next_heartbeats_at: Instant,
    /// What each server received, by its failure domain.
    sent: Vec<Vec<Instant>>,
}

fn address(host: usize) -> Ipv4Addr {
    let [high, low] = u16::try_from(host + 1).expect("few hosts").to_be_bytes();
    Ipv4Addr::new(10, 0, high, low)
}

fn index(address: Ipv4Addr) -> usize {
    let [_, _, high, low] = address.octets();
    usize::from(u16::from_be_bytes([high, low])) - 1
}

fn domain(n: usize) -> String {
    format!("domain-{n}")
}

/// Starts a host that knows the plan and the servers, which are cold, but no other host.
fn start_host(host: usize, cold_per_s: f64) -> Arc<Tier<FakeServers>> {
    let settings = TierSettings {
        ip: address(host),
        domain: domain(host % DOMAINS).into(),
        domains: (0..DOMAINS).map(|n| (domain(n).into(), "region".into())).collect(),
        peer_port: PEER_PORT,
        seeds: vec![address(0), address(2), address(5)],
        weight: 25,
        extra: ExtraAttemptLimit { ratio: 0.2, allowance: 50.0, window: Duration::from_secs(10) },
        lapse_time: LAPSE_TIME,
    };
    let tier = Arc::new(Tier::new(settings, FakeServers::default()));
    let limits = ServiceLimits { max_connections: 100, cold_per_s: Some(cold_per_s) };
    let services = std::iter::once((service(0), limits)).collect();
    let plan = PlanDocument { version: 1, services, ..PlanDocument::default() };
    assert!(tier.adopt(Plan::new(plan).expect("the plan is valid")));
    let server = |n: usize| {
        let mut record = server_record(0, &domain(n));
        record.cold_left_ms = COLD_TIME.as_millis() as u64;
        Change { revision: 1, fact: Fact::Server(record.id.clone(), Some(record)) }
    };
    let changes = (0..DOMAINS).map(server).collect();
    tier.apply_changes(changes, Position { epoch: 0, revision: 1 });
    tier
}

impl Fleet {
    fn new(hosts: usize, cold_per_s: f64) -> Self {
        Self {
            cold_per_s,
            hosts: vec![None; hosts],
            paused: Vec::new(),
            cuts: Cuts::None,
            next_heartbeats_at: Instant::now(),
            sent: vec![Vec::new(); DOMAINS],
        }
    }

    /// Creates a fleet whose hosts have known each other for some time.
    async fn settled(hosts: usize, cold_per_s: f64) -> Self {
        let mut fleet = Self::new(hosts, cold_per_s);
        let all: Vec<usize> = (0..hosts).collect();
        fleet.start(&all).await;
        fleet.run_for(SETTLE_TIME).await;
        fleet
    }

    /// Starts hosts anew, spread over [`START_SPREAD`], the ones with the highest numbers first.
    async fn start(&mut self, hosts: &[usize]) {
        hosts.iter().for_each(|host| self.hosts[*host] = None);
        let began_at = Instant::now();
        for (n, host) in hosts.iter().rev().enumerate() {
            let start_at = began_at + START_SPREAD.mul_f64(n as f64 / hosts.len() as f64);
            while Instant::now() < start_at {
                self.step().await;
            }
            self.hosts[*host] = Some(start_host(*host, self.cold_per_s));
        }
    }

    async fn run_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.step().await;
        }
    }

    async fn step(&mut self) {
        if Instant::now() >= self.next_heartbeats_at {
            self.next_heartbeats_at = Instant::now() + HEARTBEAT_STEP;
            self.exchange_heartbeats();
        }
        let running = self.hosts.iter().enumerate().filter(|(n, _)| !self.paused.contains(n));
        for tier in running.filter_map(|(_, host)| host.as_ref()) {
            let servers = tier.servers.load();
            for server in servers.of(&service(0)) {
                let domain = usize::from(tier.domain_index(&server.record.domain));
                while tier.has_cold_token(server) && tier.try_take_cold_token(server) {
                    self.sent[domain].push(Instant::now());
                }
            }
        }
        tokio::time::sleep(STEP).await;
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        match self.cuts {
            Cuts::None => true,
            Cuts::All => false,
            Cuts::BetweenDomains => from % DOMAINS == to % DOMAINS,
        }
    }

    fn exchange_heartbeats(&self) {
        let runs = |n: usize| !self.paused.contains(&n);
        let mut messages: VecDeque<(usize, Ipv4Addr, Gossip)> = VecDeque::new();
        for (n, host) in self.hosts.iter().enumerate().filter(|(n, _)| runs(*n)) {
            let due = host.iter().flat_map(|tier| heartbeat_transport::due_messages(tier));
            messages.extend(due.map(|(to, gossip)| (n, to, gossip)));
        }
        while let Some((from, to, gossip)) = messages.pop_front() {
            let to = index(to);
            let receiver = self.hosts.get(to).and_then(Option::as_ref);
            let Some(receiver) = receiver.filter(|_| runs(to) && self.passes(from, to)) else {
                continue;
            };
            // What arrives has been sent as bytes.
            let received = Gossip::decode(&gossip.encode()).expect("it was just encoded");
            if let Some((answer_to, answer)) = heartbeat_transport::on_gossip(receiver, received) {
                messages.push_back((to, answer_to, answer));
            }
        }
    }

    /// Returns the most requests that any server got in a second, counting what was sent from `from`.
    fn most_in_a_second(&self, from: Instant) -> usize {
        let most = |sent: &Vec<Instant>| {
            let counted = || sent.iter().filter(|at| **at >= from);
            let second = |start: &Instant| {
                counted()
                    .filter(|at| **at >= *start && **at < *start + Duration::from_secs(1))
                    .count()
            };
            counted().map(second).max().unwrap_or(0)
        };
        self.sent.iter().map(most).max().unwrap_or(0)
    }

    /// Returns how many requests the servers got on average since a moment.
    fn served_since(&self, from: Instant) -> f64 {
        let served = self.sent.iter().flatten().filter(|at| **at >= from).count();
        served as f64 / self.sent.len() as f64
    }
}

fn tolerated(per_s: f64) -> f64 {
    per_s.mul_add(TOLERATED_EXCESS, TOLERATED_REQUESTS)
}

/// Guards against hosts that each take themselves for the only one because they have not heard of the
/// others yet, and all send to the same cold server.
#[tokio::test(start_paused = true)]
async fn cold_server_gets_no_more_than_it_tolerates_while_hosts_start() {
    struct Case {
        name: &'static str,
        hosts: usize,
        /// The hosts that start anew at once in a settled fleet; none of them is up before.
        restarted: fn(usize) -> bool,
    }
    let all = |_| true;
    let cases = [
        Case { name: "two hosts", hosts: 2, restarted: all },
        Case { name: "seven hosts", hosts: 7, restarted: all },
        Case { name: "eighty hosts", hosts: 80, restarted: all },
        Case { name: "a domain of seven hosts", hosts: 7, restarted: |n| n % DOMAINS == 1 },
        Case { name: "a domain of eighty hosts", hosts: 80, restarted: |n| n % DOMAINS == 1 },
        Case { name: "all but one host", hosts: 7, restarted: |n| n != 4 },
        Case { name: "all hosts that others contact first", hosts: 9, restarted: |n| n < 6 },
        Case { name: "one host", hosts: 7, restarted: |n| n == 2 },
    ];
    for case in cases {
        for per_s in [1.0, 5.0, 20.0, 100.0] {
            let mut fleet = Fleet::settled(case.hosts, per_s).await;
            let restarted: Vec<usize> = (0..case.hosts).filter(|n| (case.restarted)(*n)).collect();
            let from = Instant::now();
            fleet.start(&restarted).await;
            fleet.run_for(SETTLE_TIME).await;
            let most = fleet.most_in_a_second(from - Duration::from_secs(1)) as f64;
            let name = case.name;
            assert!(most <= tolerated(per_s), "{name}: {most} in a second at a limit of {per_s}");
            let served = fleet.served_since(from);
            let expected = per_s * SETTLE_TIME.as_secs_f64() / 3.0;
            assert!(served >= expected, "{name}: {served} served at a limit of {per_s}");
        }
    }
}

/// Guards against the same fault at a size at which the hosts need longer to learn of each other.
#[tokio::test(start_paused = true)]
async fn cold_server_gets_no_more_than_it_tolerates_while_three_hundred_hosts_start() {
    let mut fleet = Fleet::new(300, 20.0);
    let all: Vec<usize> = (0..300).collect();
    let from = Instant::now();
    fleet.start(&all).await;
    fleet.run_for(Duration::from_secs(4)).await;
    let most = fleet.most_in_a_second(from - Duration::from_secs(1)) as f64;
    assert!(most <= tolerated(20.0), "{most} in a second");
}

/// Guards against hosts that wake up, or are cut off, and take the silence of the others for their
/// absence.
#[tokio::test(start_paused = true)]
async fn cold_server_gets_no_more_than_it_tolerates_from_hosts_that_hear_nothing() {
    struct Case {
        name: &'static str,
        hosts: usize,
        paused: fn(usize) -> bool,
        cuts: Cuts,
    }
    let none = |_| false;
    let cases = [
        Case { name: "half of the hosts pause", hosts: 8, paused: |n| n < 4, cuts: Cuts::None },
        Case { name: "all hosts pause", hosts: 7, paused: |_| true, cuts: Cuts::None },
        Case { name: "a large fleet pauses", hosts: 80, paused: |_| true, cuts: Cuts::None },
        Case { name: "a host of seven pauses", hosts: 7, paused: |n| n == 3, cuts: Cuts::None },
        Case { name: "all hosts are cut off", hosts: 7, paused: none, cuts: Cuts::All },
        Case { name: "domains are cut off", hosts: 8, paused: none, cuts: Cuts::BetweenDomains },
    ];
    for case in cases {
        for per_s in [5.0, 20.0, 100.0] {
            let mut fleet = Fleet::settled(case.hosts, per_s).await;
            let from = Instant::now();
            fleet.paused = (0..case.hosts).filter(|n| (case.paused)(*n)).collect();
            fleet.cuts = case.cuts;
            fleet.run_for(Duration::from_secs(5)).await;
            fleet.paused.clear();
            fleet.run_for(Duration::from_secs(5)).await;
            fleet.cuts = Cuts::None;
            fleet.run_for(Duration::from_secs(5)).await;
            let most = fleet.most_in_a_second(from - Duration::from_secs(1)) as f64;
            let name = case.name;
            assert!(most <= tolerated(per_s), "{name}: {most} in a second at a limit of {per_s}");
        }
    }
}
