//! Hosts that relay for others, and are lost while they do.

use std::sync::Arc;
use std::time::{Duration, Instant};

use quetzalpoint::Outcome;
use quetzalpoint::process::membership::heartbeat_transport;
use quetzalpoint::process::servers::registry::{Change, Fact};
use quetzalpoint::request::entry::Answer;
use quetzalpoint::request::relay;

use crate::fake::{FakeServers, NORTH, SEEDS, SOUTH, World, record};

const SHARDS: usize = 10;
/// The longest that a test waits for something that must come.
const PATIENCE: Duration = Duration::from_secs(30);

/// Starts a host that knows servers in the south only.
fn start(n: usize, domain: &str, servers: &FakeServers) -> World {
    let mut world = World::at(SHARDS, SEEDS[n], domain, servers.clone());
    let north = |shard| Change { revision: 2, fact: Fact::Server(record(shard, NORTH).id, None) };
    world.change((0..SHARDS).map(north).collect(), 2);
    tokio::spawn(heartbeat_transport::run(world.tier.clone()));
    tokio::spawn(relay::serve(world.tier.clone()));
    world
}

async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "{what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn parts(outcome: &Outcome<Answer>) -> usize {
    match outcome {
        Outcome::Answered(Answer::Gathered(gathered)) => gathered.signatures.len(),
        _ => 0,
    }
}

#[tokio::test]
async fn far_shards_come_by_a_relay_and_directly_when_it_is_lost() {
    let servers = FakeServers::default();
    let mut north = start(0, NORTH, &servers);
    let south = start(1, SOUTH, &servers);
    let tier = Arc::clone(&north.tier);
    eventually("the hosts find each other", || {
        tier.choose_relay(tier.domain_index(SOUTH), "shard-0", 1).is_some()
    })
    .await;
    let (served, _) = north.serve("all").await;
    assert_eq!(parts(&served.outcome), SHARDS, "{:?}", served.outcome);
    assert_eq!(north.tier.pool.open(), 0, "nothing went directly");
    assert!(south.tier.pool.open() > 0, "the relay sent it");

    south.tier.stopped.cancel();
    let mut answered = 0;
    for _ in 0..20 {
        let (served, took) = north.serve("all").await;
        answered += usize::from(parts(&served.outcome) >= SHARDS * 8 / 10);
        assert!(took < Duration::from_secs(2), "{took:?}");
    }
    assert!(answered >= 18, "{answered} of 20 were answered without the relay");
    assert!(north.tier.pool.open() > 0, "what the relay did goes directly now");
}
