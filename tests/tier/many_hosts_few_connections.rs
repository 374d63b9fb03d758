//! A failure domain with more hosts than its servers accept connections from.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use quetzalpoint::Outcome;
use quetzalpoint::process::membership::heartbeat_transport;
use quetzalpoint::request::entry::Answer;
use quetzalpoint::request::relay;

use crate::fake::{FakeServers, NORTH, World};

const SHARDS: usize = 6;
/// A server accepts two connections, which one host of each failure domain may use.
const MAX_CONNECTIONS: u32 = 2;
/// The longest that a test waits for something that must come.
const PATIENCE: Duration = Duration::from_secs(30);

#[tokio::test]
async fn hosts_beyond_the_connections_send_by_those_that_hold_them() {
    let servers = FakeServers::default();
    let ips: Vec<Ipv4Addr> = (1..=4).map(|n| Ipv4Addr::new(127, 0, 7, n)).collect();
    let start = |ip: &Ipv4Addr| {
        let world = World::build(SHARDS, *ip, NORTH, servers.clone(), MAX_CONNECTIONS);
        world.tier.members().set_seeds(ips.clone());
        world
    };
    let mut worlds: Vec<World> = ips.iter().map(start).collect();
    for world in &mut worlds {
        world.serve("all").await;
        assert!(world.tier.pool.open() > 0, "a host that knows no other sends itself");
    }
    // Only now, since hosts hear of each other within milliseconds.
    for world in &worlds {
        tokio::spawn(heartbeat_transport::run(world.tier.clone()));
        tokio::spawn(relay::serve(world.tier.clone()));
    }
    let until = Instant::now() + PATIENCE;
    while worlds.iter().any(|world| world.tier.fleet.load().up.len() < ips.len() - 1) {
        assert!(Instant::now() < until, "the hosts find each other");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let places: Vec<usize> =
        worlds.iter().map(|world| world.tier.fleet.load().domain_rank).collect();
    assert_eq!(places, [0, 1, 2, 3], "all agree on their order");
    for world in &mut worlds {
        for _ in 0..5 {
            let (served, _) = world.serve("all").await;
            let Outcome::Answered(Answer::Gathered(gathered)) = served.outcome else {
                panic!("{:?}", served.outcome);
            };
            assert_eq!(gathered.missing, 0);
        }
    }
    // Before the hosts knew of each other, each held connections of its own.
    for world in &worlds {
        world.tier.sweep();
    }
    let open: Vec<usize> = worlds.iter().map(|world| world.tier.pool.open()).collect();
    assert!(open[0] > 0, "the first host holds connections: {open:?}");
    assert_eq!(open[1..], [0, 0, 0], "the others send by it");
}
