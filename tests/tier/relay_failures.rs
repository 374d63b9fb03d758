//! Hosts that relay requests for other hosts, and the failure of such a relay.

use std::sync::Arc;
use std::time::{Duration, Instant};

use quetzalpoint::Outcome;
use quetzalpoint::process::clients::{Clients, MachineLimits};
use quetzalpoint::process::membership::heartbeat_transport;
use quetzalpoint::process::servers::registry::{Change, Fact};
use quetzalpoint::request::entry::Answer;
use quetzalpoint::request::relay;

use crate::fake::{FakeServers, NORTH, SEEDS, SOUTH, TestHost, server_record};

const SHARDS: usize = 10;
/// The maximum time to wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a host whose registry has only the servers in [`SOUTH`].
fn start(n: usize, domain: &str, servers: &FakeServers) -> TestHost {
    let mut host = TestHost::at(SHARDS, SEEDS[n], domain, servers.clone());
    let removal =
        |shard| Change { revision: 2, fact: Fact::Server(server_record(shard, NORTH).id, None) };
    host.apply_changes((0..SHARDS).map(removal).collect(), 2);
    tokio::spawn(heartbeat_transport::run(host.tier.clone()));
    tokio::spawn(relay::serve(host.tier.clone(), Clients::new(MachineLimits::default())));
    host
}

/// Waits until `condition` is true; panics after [`WAIT_TIMEOUT`].
async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < give_up_at, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the number of parts in an answer.
fn part_count(outcome: &Outcome<Answer>) -> usize {
    match outcome {
        Outcome::Answered(Answer::Gathered(gathered)) => gathered.signatures.len(),
        _ => 0,
    }
}

#[tokio::test]
async fn remote_shards_use_relay_and_are_called_directly_after_its_loss() {
    let servers = FakeServers::default();
    let mut north = start(0, NORTH, &servers);
    let south = start(1, SOUTH, &servers);
    let tier = Arc::clone(&north.tier);
    wait_until("the hosts have discovered each other", || {
        tier.choose_relay(tier.domain_index(SOUTH), "shard-0", 1).is_some()
    })
    .await;
    let (served, _) = north.serve("all").await;
    assert_eq!(part_count(&served.outcome), SHARDS, "{:?}", served.outcome);
    assert_eq!(north.tier.pool.open(), 0, "the host must open no connections of its own");
    assert!(south.tier.pool.open() > 0, "the relay must have connections");

    south.tier.shutdown.stopped.cancel();
    let mut answered = 0;
    for _ in 0..20 {
        let (served, took) = north.serve("all").await;
        answered += usize::from(part_count(&served.outcome) >= SHARDS * 8 / 10);
        assert!(took < Duration::from_secs(2), "{took:?}");
    }
    assert!(answered >= 18, "only {answered} of 20 requests were answered without the relay");
    assert!(north.tier.pool.open() > 0, "the host must open connections of its own now");
}
