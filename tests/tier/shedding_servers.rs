//! Most servers refuse part of their requests while their health check is good.

use std::time::Duration;

use quetzalpoint::Outcome;

use crate::fake::{Mode, NORTH, SOUTH, WORK, World, addr};

#[tokio::test(start_paused = true)]
async fn refusals_do_not_multiply_the_load() {
    let mut world = World::new(10);
    world.warm_up().await;
    for shard in 0..10 {
        for domain in [NORTH, SOUTH] {
            world.servers.set(addr(shard, domain), Mode::Sheds, WORK);
        }
    }
    let before = world.servers.seen().arrivals;
    world.servers.seen().runs.clear();
    for n in 0..100 {
        let (served, took) = world.serve("all").await;
        assert!(!matches!(served.outcome, Outcome::Answered(_)), "request {n}");
        assert!(took < Duration::from_secs(1), "request {n} is given up early: {took:?}");
    }
    assert_eq!(world.servers.seen().runs.len(), 0);
    let extra = world.servers.seen().arrivals - before - 100 * 10;
    // A fifth of the requests, and the fixed allowance of 50 for each of the ten services.
    assert!(extra <= 140 * 10 / 5 + 50 * 10, "{extra} attempts beyond the first");
}

#[tokio::test(start_paused = true)]
async fn a_server_that_still_works_gets_the_requests() {
    let mut world = World::new(10);
    world.warm_up().await;
    for shard in 0..10 {
        world.servers.set(addr(shard, NORTH), Mode::Sheds, WORK);
    }
    let mut answered = 0;
    for _ in 0..50 {
        let (served, _) = world.serve("all").await;
        answered += usize::from(matches!(served.outcome, Outcome::Answered(_)));
    }
    assert_eq!(answered, 50);
}
