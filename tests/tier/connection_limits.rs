//! A failure domain with more hosts than a server accepts connections.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use quetzalpoint::Outcome;
use quetzalpoint::process::clients::{Clients, MachineLimits};
use quetzalpoint::process::membership::heartbeat_transport;
use quetzalpoint::request::entry::Answer;
use quetzalpoint::request::relay;

use crate::fake::{FakeServers, NORTH, TestHost};

const SHARDS: usize = 6;
/// The number of connections that a server accepts. One host of each failure domain may use one.
const MAX_CONNECTIONS: u32 = 2;
/// The maximum time to wait until the hosts have discovered each other.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test]
async fn hosts_without_connections_send_through_relay() {
    let servers = FakeServers::default();
    let ips: Vec<Ipv4Addr> = (1..=4).map(|n| Ipv4Addr::new(127, 0, 7, n)).collect();
    let start = |ip: &Ipv4Addr| {
        let host = TestHost::build(SHARDS, *ip, NORTH, servers.clone(), MAX_CONNECTIONS);
        host.tier.members().set_seeds(ips.clone());
        host
    };
    let mut hosts: Vec<TestHost> = ips.iter().map(start).collect();
    for host in &mut hosts {
        host.serve("all").await;
        assert!(host.tier.pool.open() > 0, "a host that knows no other host must connect directly");
    }
    // Heartbeats start only now, because hosts discover each other within milliseconds.
    for host in &hosts {
        tokio::spawn(heartbeat_transport::run(host.tier.clone()));
        tokio::spawn(relay::serve(host.tier.clone(), Clients::new(MachineLimits::default())));
    }
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    while hosts.iter().any(|host| host.tier.fleet.load().up.len() < ips.len() - 1) {
        assert!(Instant::now() < give_up_at, "the hosts have not discovered each other");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let domain_ranks: Vec<usize> =
        hosts.iter().map(|host| host.tier.fleet.load().domain_rank).collect();
    assert_eq!(domain_ranks, [0, 1, 2, 3], "the hosts must agree on their ranks");
    for host in &mut hosts {
        for _ in 0..5 {
            let (served, _) = host.serve("all").await;
            let Outcome::Answered(Answer::Gathered(gathered)) = served.outcome else {
                panic!("{:?}", served.outcome);
            };
            assert_eq!(gathered.missing, 0);
        }
    }
    // Closes the connections that each host opened before it knew the others.
    for host in &hosts {
        host.tier.sweep();
    }
    let open: Vec<usize> = hosts.iter().map(|host| host.tier.pool.open()).collect();
    assert!(open[0] > 0, "the first host must have connections: {open:?}");
    assert_eq!(open[1..], [0, 0, 0], "the other hosts must send through the first");
}
