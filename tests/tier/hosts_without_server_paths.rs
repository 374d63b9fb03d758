//! A host loses its paths to the servers, but not to its callers and to other hosts, which still have
//! theirs.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use quetzalpoint::process::clients::{Clients, MachineLimits};
use quetzalpoint::process::membership::heartbeat_transport;
use quetzalpoint::process::membership::members::Phase;
use quetzalpoint::process::servers::server_paths;
use quetzalpoint::request::entry::{Answer, Served, serve};
use quetzalpoint::request::relay;
use quetzalpoint::{NotRunReason, Outcome};

use crate::fake::{FakeServers, Links, Mode, NORTH, PROCESSING_TIME, SOUTH, TestHost, addr};

const SHARDS: usize = 5;
const HOSTS: usize = 3;
/// The maximum time to wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts hosts with addresses that no other test uses, and waits until they know each other.
async fn start_fleet(subnet: u8) -> Vec<TestHost> {
    let servers = FakeServers::default();
    let ip = |n: usize| Ipv4Addr::new(127, 0, subnet, n as u8 + 1);
    let start = |n: usize| {
        let domain = [NORTH, SOUTH, SOUTH][n];
        let host = TestHost::at(SHARDS, ip(n), domain, servers.for_another_host());
        host.tier.members().set_seeds(vec![ip(0), ip(1), ip(2)]);
        tokio::spawn(heartbeat_transport::run(host.tier.clone()));
        tokio::spawn(relay::serve(host.tier.clone(), Clients::new(MachineLimits::default())));
        tokio::spawn(server_paths::run(host.tier.clone()));
        host
    };
    let mut hosts: Vec<TestHost> = (0..HOSTS).map(start).collect();
    let ready = |host: &TestHost| {
        let fleet = host.tier.fleet.load();
        fleet.up.len() == HOSTS - 1 && fleet.up.iter().all(|h| h.phase == Phase::Ready)
    };
    wait_until("the hosts know each other", || hosts.iter().all(ready)).await;
    for host in &mut hosts {
        for route in ["all", "one", "split", "once"] {
            for _ in 0..8 {
                host.serve(route).await;
            }
        }
    }
    hosts
}

async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < give_up_at, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn is_served(served: &Served) -> bool {
    match &served.outcome {
        Outcome::Answered(Answer::Forwarded(reply)) => reply.status == 200,
        Outcome::Answered(Answer::Gathered(gathered)) => gathered.missing == 0,
        _ => false,
    }
}

/// Returns the requests that ran more often than once.
fn run_twice(host: &TestHost, ids: &str) -> Vec<String> {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for (request, _) in host.servers.stats().runs.iter().filter(|(id, _)| id.starts_with(ids)) {
        *runs.entry(request.clone()).or_default() += 1;
    }
    runs.into_iter().filter(|(_, runs)| *runs > 1).map(|(request, _)| request).collect()
}

/// Guards against hosts whose callers are not served although other hosts can reach the servers.
/// Counts first tries per host.
#[tokio::test]
async fn hosts_that_lose_their_paths_to_servers_serve_their_callers_like_the_others() {
    struct Case {
        links: Links,
        cut: usize,
        subnet: u8,
    }
    let cases = [
        Case { links: Links::Hang, cut: 1, subnet: 21 },
        Case { links: Links::Hang, cut: 2, subnet: 22 },
        Case { links: Links::Reset, cut: 1, subnet: 23 },
        Case { links: Links::Reset, cut: 2, subnet: 24 },
        Case { links: Links::RefuseNew, cut: 1, subnet: 25 },
        Case { links: Links::RefuseNew, cut: 2, subnet: 26 },
    ];
    let mut wrong = Vec::new();
    for Case { links, cut, subnet } in cases {
        let mut hosts = start_fleet(subnet).await;
        for host in &hosts[..cut] {
            host.servers.set_links(links, &[]);
        }
        let name = format!("{links:?}, {cut} of {HOSTS}");
        let began_at = Instant::now();
        let mut slowest = (Duration::ZERO, String::new());
        let mut tries: HashMap<(usize, &str), (u32, u32)> = HashMap::new();
        while began_at.elapsed() < Duration::from_secs(4) {
            for (n, host) in hosts.iter_mut().enumerate() {
                for route in ["one", "split", "all", "once"] {
                    let (served, took) = host.serve(route).await;
                    if route != "once" {
                        let after = began_at.elapsed().saturating_sub(took);
                        let what = format!("{route} at host {n} {after:?} after the cut");
                        slowest = slowest.max((took, what));
                    }
                    if began_at.elapsed() > Duration::from_millis(2_500) {
                        let (served_count, count) = tries.entry((n, route)).or_default();
                        *count += 1;
                        *served_count += u32::from(is_served(&served));
                    }
                }
            }
        }
        for ((host, route), (served, count)) in &tries {
            if *count == 0 || *served * 20 < *count * 19 {
                wrong.push(format!("{name}: host {host}, {route}: {served} of {count} served"));
            }
        }
        if slowest.0 > Duration::from_millis(900) {
            wrong.push(format!("{name}: an idempotent request took {slowest:?}"));
        }
        hosts.iter().for_each(|host| host.tier.shutdown.stopped.cancel());
    }
    wrong.sort();
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against requests that run twice because the path to a server, or to the host that helps,
/// breaks while they run; and against refusals as not run after a run.
#[tokio::test]
async fn request_that_may_not_be_repeated_runs_once_when_paths_break() {
    for (links, subnet) in [(Links::Hang, 31), (Links::Reset, 32), (Links::RefuseNew, 33)] {
        let mut hosts = start_fleet(subnet).await;
        let servers = hosts[0].servers.clone();
        for shard in 0..SHARDS {
            for domain in [NORTH, SOUTH] {
                let slow = Duration::from_millis(80);
                servers.set_behaviour(addr(shard, domain), Mode::Answers, slow);
            }
        }
        let mut refused = Vec::new();
        let mut running = Vec::new();
        for n in 0..60 {
            if n == 20 {
                servers.set_links(links, &[]);
            }
            // The host that helps goes while it runs requests.
            if n == 45 {
                hosts[1].tier.shutdown.stopped.cancel();
            }
            let mut request = hosts[0].request("once");
            request.call.request_id = format!("once-{n}").into();
            request.timeout = Some(Duration::from_millis(1_500));
            let tier = hosts[0].tier.clone();
            running.push(tokio::spawn(async move {
                let id = request.call.request_id.clone();
                (id, serve(&tier, request).await)
            }));
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        for request in running {
            let (id, served) = request.await.expect("no request panics");
            if served.outcome.is_not_run() {
                refused.push(id.to_string());
            }
        }
        let twice = run_twice(&hosts[0], "once-");
        assert!(twice.is_empty(), "{links:?}: ran twice: {twice:?}");
        let ran: Vec<String> = servers.stats().runs.iter().map(|(id, _)| id.clone()).collect();
        refused.retain(|id| ran.contains(id));
        assert!(refused.is_empty(), "{links:?}: refused as not run, but ran: {refused:?}");
        hosts.iter().for_each(|host| host.tier.shutdown.stopped.cancel());
    }
}

/// Guards against verdicts of a host that is cut off: its requests must not be quarantined because
/// servers seem to have crashed, and servers must not be avoided once the paths are back.
#[tokio::test]
async fn host_that_was_cut_off_blames_neither_requests_nor_servers() {
    for (links, subnet) in [(Links::Hang, 41), (Links::Reset, 42)] {
        let mut hosts = start_fleet(subnet).await;
        for domain in [NORTH, SOUTH] {
            let slow = Duration::from_millis(200);
            hosts[0].servers.set_behaviour(addr(0, domain), Mode::Answers, slow);
        }
        // These requests are running when the paths are lost, and have not been answered before.
        let running: Vec<_> = ["one", "once", "one", "once"]
            .into_iter()
            .enumerate()
            .map(|(n, route)| {
                let request = hosts[0].request_path(&format!("/{route}/unknown-{n}"));
                let tier = hosts[0].tier.clone();
                (route, tokio::spawn(async move { serve(&tier, request).await }))
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(60)).await;
        hosts[0].servers.set_links(links, &[]);
        for (route, request) in running {
            let served = request.await.expect("no request panics");
            match route {
                "one" => assert!(is_served(&served), "{links:?}: {:?}", served.outcome),
                _ => assert!(matches!(served.outcome, Outcome::Unknown(_)), "{links:?}: it ran"),
            }
        }
        for domain in [NORTH, SOUTH] {
            hosts[0].servers.set_behaviour(addr(0, domain), Mode::Answers, PROCESSING_TIME);
        }
        let until = Instant::now() + Duration::from_secs(2);
        while Instant::now() < until {
            hosts[0].serve("one").await;
            hosts[0].serve("all").await;
        }
        assert!(hosts[0].tier.is_cut_off(), "{links:?}");
        assert_eq!(hosts[0].tier.phase(), Phase::Starting, "callers are directed elsewhere");
        for host in &hosts {
            let suspects = host.tier.suspects.quarantine().reports(host.tier.now(), true);
            let blamed = suspects.iter().filter(|suspect| !suspect.crashes.is_empty()).count();
            assert_eq!(blamed, 0, "{links:?}: {suspects:?}");
        }
        hosts[0].servers.set_links(Links::Whole, &[]);
        let tier = hosts[0].tier.clone();
        wait_until("the host has its paths back", || !tier.is_cut_off()).await;
        hosts[0].servers.stats().runs.clear();
        for _ in 0..20 {
            let (served, took) = hosts[0].serve("one").await;
            assert!(is_served(&served), "{links:?}: {:?}", served.outcome);
            assert!(took < PROCESSING_TIME * 10, "{links:?}: {took:?}");
        }
        hosts.iter().for_each(|host| host.tier.shutdown.stopped.cancel());
    }
}

/// Guards against a service that is not served at one host because its servers, and only they, can't
/// be reached from there.
#[tokio::test]
async fn service_that_one_host_cannot_reach_is_served_through_another() {
    let mut hosts = start_fleet(51).await;
    let affected: Vec<SocketAddr> = [NORTH, SOUTH].map(|domain| addr(0, domain)).to_vec();
    for links in [Links::Hang, Links::Reset] {
        hosts[0].servers.set_links(links, &affected);
        let mut served_count = 0;
        for _ in 0..40 {
            let (served, _) = hosts[0].serve("one").await;
            served_count += u32::from(is_served(&served));
            hosts[0].serve("all").await;
        }
        assert!(!hosts[0].tier.is_cut_off(), "{links:?}: other services are in reach");
        assert!(served_count >= 38, "{links:?}: {served_count} of 40 served");
        hosts[0].servers.set_links(Links::Whole, &[]);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    hosts.iter().for_each(|host| host.tier.shutdown.stopped.cancel());
}

/// Guards against callers who wait for what no host can serve.
#[tokio::test]
async fn request_is_refused_at_once_when_all_hosts_are_cut_off() {
    let mut hosts = start_fleet(61).await;
    for host in &hosts {
        host.servers.set_links(Links::Hang, &[]);
    }
    for _ in 0..6 {
        for host in &mut hosts {
            host.serve("one").await;
        }
    }
    wait_until("all know", || hosts.iter().all(|host| host.tier.is_cut_off())).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    for host in &mut hosts {
        let (served, took) = host.serve("one").await;
        let refused = matches!(served.outcome, Outcome::NotRun(NotRunReason::Unreachable));
        assert!(refused, "{:?}", served.outcome);
        assert!(took < Duration::from_millis(20), "{took:?}");
    }
    hosts.iter().for_each(|host| host.tier.shutdown.stopped.cancel());
}
