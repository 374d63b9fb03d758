//! Servers that forget idle connections without notice.

use std::time::Duration;

use quetzalpoint::Outcome;

use crate::fake::{Mode, NORTH, SOUTH, WORK, World, addr};

#[tokio::test(start_paused = true)]
async fn a_request_that_may_run_once_does_not_use_a_connection_that_may_be_stale() {
    let mut world = World::new(1);
    world.warm_up().await;
    for domain in [NORTH, SOUTH] {
        world.servers.set(addr(0, domain), Mode::ForgetsIdle, WORK);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (served, _) = world.serve("once").await;
    assert!(matches!(served.outcome, Outcome::Answered(_)), "{:?}", served.outcome);
}

#[tokio::test(start_paused = true)]
async fn a_reset_on_a_kept_connection_does_not_speak_against_the_server() {
    let mut world = World::new(5);
    world.warm_up().await;
    for shard in 0..5 {
        for domain in [NORTH, SOUTH] {
            world.servers.set(addr(shard, domain), Mode::ForgetsIdle, WORK);
        }
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    world.servers.seen().runs.clear();
    let (served, took) = world.serve("all").await;
    assert!(matches!(served.outcome, Outcome::Answered(_)), "{:?}", served.outcome);
    assert!(took <= WORK * 3, "{took:?}");
    let seen = world.servers.seen();
    let far = seen.runs.iter().filter(|(_, at)| (0..5).any(|n| *at == addr(n, SOUTH))).count();
    assert_eq!(far, 0, "the near servers are still used");
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_may_be_stale_makes_room_for_a_new_one() {
    let mut world = World::with_connections(1);
    for _ in 0..3 {
        let (served, _) = world.serve("once").await;
        assert!(matches!(served.outcome, Outcome::Answered(_)), "{:?}", served.outcome);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(world.servers.seen().connections, 3);
}
