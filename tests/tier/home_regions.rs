//! Routes whose requests may run in some regions only.

use std::time::Duration;

use quetzalpoint::{NotRunReason, Outcome};

use crate::fake::{Mode, SOUTH, WORK, World, addr};

const SHARDS: usize = 5;

#[tokio::test(start_paused = true)]
async fn requests_run_in_the_regions_of_their_route_only() {
    for route in ["home-all", "home-one"] {
        let mut world = World::new(SHARDS);
        for _ in 0..20 {
            let (served, _) = world.serve(route).await;
            assert!(matches!(served.outcome, Outcome::Answered(_)), "{:?}", served.outcome);
        }
        let seen = world.servers.seen();
        let home = |at| (0..SHARDS).any(|shard| at == addr(shard, SOUTH));
        assert!(seen.runs.iter().all(|(_, at)| home(*at)), "{route} left its region");
    }
}

#[tokio::test(start_paused = true)]
async fn servers_beyond_the_regions_do_not_stand_in_for_failing_ones() {
    let mut world = World::new(SHARDS);
    for shard in 0..SHARDS {
        world.servers.set(addr(shard, SOUTH), Mode::Fails, WORK);
    }
    for _ in 0..10 {
        let (served, _) = world.serve("home-all").await;
        assert!(matches!(served.outcome, Outcome::Unknown(_)), "{:?}", served.outcome);
    }
    let seen = world.servers.seen();
    let home = |at| (0..SHARDS).any(|shard| at == addr(shard, SOUTH));
    assert!(seen.runs.iter().all(|(_, at)| home(*at)));
}

#[tokio::test(start_paused = true)]
async fn a_route_whose_regions_have_no_server_is_refused_at_once() {
    let mut world = World::new(SHARDS);
    let (served, took) = world.serve("home-nowhere").await;
    assert!(
        matches!(served.outcome, Outcome::NotRun(NotRunReason::Unreachable)),
        "{:?}",
        served.outcome
    );
    assert_eq!(took, Duration::ZERO);
    assert!(world.servers.seen().runs.is_empty());
}
