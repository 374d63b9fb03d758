//! Servers end and their addresses go to other services while their entries are still there.

use std::time::Duration;

use quetzalpoint::Outcome;

use crate::fake::{Mode, NORTH, SOUTH, WORK, World, addr};

#[tokio::test(start_paused = true)]
async fn a_server_that_another_replaced_gets_few_more_requests() {
    const REQUESTS: usize = 200;
    const SHARDS: usize = 10;
    let mut world = World::new(SHARDS);
    world.warm_up().await;
    for domain in [NORTH, SOUTH] {
        world.servers.set(addr(0, domain), Mode::Replaced, WORK);
    }
    let before = world.servers.seen().arrivals;
    for n in 0..REQUESTS {
        let (served, _) = world.serve("all").await;
        assert!(matches!(served.outcome, Outcome::Answered(_)), "request {n}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let extra = (world.servers.seen().arrivals - before).saturating_sub(REQUESTS * SHARDS);
    // A fifth of the requests, and the fixed allowance of 50.
    assert!(extra <= REQUESTS / 5 + 50, "{extra} arrivals beyond the first");
}
