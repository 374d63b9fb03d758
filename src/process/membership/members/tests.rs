use std::net::Ipv4Addr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::{Gossip, Heartbeat, Members, Phase};
use crate::clock::Monotonic;

const DOMAINS: u8 = 4;

fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, n % DOMAINS, 0, n)
}

fn heartbeat(n: u8) -> Heartbeat {
    Heartbeat {
        ip: ip(n),
        life: 1,
        count: 0,
        phase: Phase::Ready,
        domain: n % DOMAINS,
        weight: 25,
        revision: 0,
        version: 0,
        reads: true,
    }
}

/// Simulated network that delivers each message at once or loses it.
struct Net {
    now: Monotonic,
    hosts: Vec<Option<Members>>,
    rng: StdRng,
}

impl Net {
    fn new(hosts: u8) -> Self {
        let seeds = vec![ip(0), ip(1), ip(200)];
        let now = Duration::from_secs(1);
        let start = |n| Some(Members::new(now, heartbeat(n), seeds.clone()));
        Self { now, hosts: (0..hosts).map(start).collect(), rng: StdRng::seed_from_u64(7) }
    }

    fn run(&mut self, time: Duration, loss_rate: f64) {
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_millis(50);
            for n in 0..self.hosts.len() {
                let Some(host) = &mut self.hosts[n] else { continue };
                let messages = host.tick(self.now, &mut self.rng);
                self.deliver(messages, loss_rate);
            }
        }
    }

    fn deliver(&mut self, messages: Vec<(Ipv4Addr, Gossip)>, loss_rate: f64) {
        for (to, gossip) in messages {
            if rand::RngExt::random_bool(&mut self.rng, loss_rate) {
                continue;
            }
            let target = self.hosts.iter_mut().flatten().find(|host| host.me.ip == to);
            if let Some(answer) = target.and_then(|host| host.on_gossip(self.now, gossip)) {
                self.deliver(vec![answer], loss_rate);
            }
        }
    }

    fn up_seen_by(&self, n: usize) -> Vec<Ipv4Addr> {
        let view = self.hosts[n].as_ref().expect("the host is up").view(self.now);
        view.up.iter().map(|heartbeat| heartbeat.ip).collect()
    }
}

#[test]
fn hosts_discover_each_other_and_detect_a_stopped_host() {
    struct Case {
        name: &'static str,
        hosts: u8,
        loss_rate: f64,
    }
    let cases = [
        Case { name: "two", hosts: 2, loss_rate: 0.0 },
        Case { name: "eight", hosts: 8, loss_rate: 0.0 },
        Case { name: "eight with loss", hosts: 8, loss_rate: 0.05 },
        Case { name: "sixty", hosts: 60, loss_rate: 0.01 },
    ];
    for case in cases {
        let mut net = Net::new(case.hosts);
        net.run(Duration::from_secs(4), case.loss_rate);
        for n in 0..usize::from(case.hosts) {
            assert_eq!(
                net.up_seen_by(n).len(),
                usize::from(case.hosts) - 1,
                "{} at {n}",
                case.name
            );
        }
        net.hosts[1] = None;
        net.run(Duration::from_secs(5), case.loss_rate);
        for n in (0..usize::from(case.hosts)).filter(|n| *n != 1) {
            assert!(!net.up_seen_by(n).contains(&ip(1)), "{} at {n}", case.name);
        }
    }
}

#[test]
fn restarted_host_is_up_with_a_higher_incarnation_within_1500_ms() {
    struct Case {
        name: &'static str,
        hosts: u8,
        down_for: Duration,
    }
    let cases = [
        Case { name: "at once", hosts: 8, down_for: Duration::ZERO },
        Case { name: "before it is considered down", hosts: 8, down_for: Duration::from_secs(1) },
        // Guards against peers that ignore the heartbeats of a host for up to a minute, since they
        // remember later ones and don't tell it.
        Case { name: "after it is considered down", hosts: 8, down_for: Duration::from_secs(5) },
        Case { name: "long after it", hosts: 8, down_for: Duration::from_secs(50) },
        Case { name: "after it is forgotten", hosts: 8, down_for: Duration::from_secs(70) },
        Case { name: "in a large fleet", hosts: 60, down_for: Duration::from_secs(5) },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let mut net = Net::new(case.hosts);
        net.run(Duration::from_secs(20), 0.0);
        let incarnation_expected = if case.down_for < Duration::from_secs(60) { 2 } else { 1 };
        let seeds = vec![ip(0), ip(1), ip(200)];
        net.hosts[5] = None;
        net.run(case.down_for, 0.0);
        net.hosts[5] = Some(Members::new(net.now, heartbeat(5), seeds));
        net.run(Duration::from_millis(1_500), 0.0);
        for n in (0..usize::from(case.hosts)).filter(|n| *n != 5) {
            let view = net.hosts[n].as_ref().expect("the host is up").view(net.now);
            let known = view.up.iter().find(|heartbeat| heartbeat.ip == ip(5));
            if known.is_none_or(|heartbeat| heartbeat.life != incarnation_expected) {
                wrong.push(format!("{} at {n}: {known:?}", case.name));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn unresponsive_hosts_still_count_towards_shared_limits() {
    let mut net = Net::new(8);
    net.run(Duration::from_secs(4), 0.0);
    for n in 4..8 {
        net.hosts[n] = None;
    }
    net.run(Duration::from_secs(10), 0.0);
    let view = net.hosts[0].as_ref().expect("the host is up").view(net.now);
    assert_eq!(view.known_hosts, 8);
    assert_eq!(view.up.len(), 3);
}

#[test]
fn large_fleet_sends_only_its_own_domain_across_domains() {
    struct Case {
        name: &'static str,
        hosts: u8,
        max_heartbeats: usize,
    }
    let cases = [
        Case { name: "a small fleet", hosts: 8, max_heartbeats: 8 },
        Case { name: "a large fleet", hosts: 60, max_heartbeats: 15 },
    ];
    for case in cases {
        let mut net = Net::new(case.hosts);
        net.run(Duration::from_secs(4), 0.0);
        let sender = net.hosts[0].as_mut().expect("the host is up");
        for _ in 0..20 {
            net.now += Duration::from_millis(500);
            for (to, gossip) in sender.tick(net.now, &mut net.rng) {
                if to.octets()[1] != 0 {
                    assert!(gossip.heartbeats.len() <= case.max_heartbeats, "{}", case.name);
                }
            }
        }
    }
}

#[test]
fn sixty_hosts_stay_up_with_two_percent_message_loss() {
    for seed in 0..4 {
        let mut net = Net::new(60);
        net.rng = StdRng::seed_from_u64(seed);
        net.run(Duration::from_secs(5), 0.02);
        for _ in 0..100 {
            net.run(Duration::from_millis(200), 0.02);
            for n in 0..60 {
                assert_eq!(net.up_seen_by(n).len(), 59, "seed {seed}: at {n} after {:?}", net.now);
            }
        }
    }
}
