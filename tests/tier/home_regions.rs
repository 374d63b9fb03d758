//! Routes whose requests may run only on servers in certain regions.

use std::time::Duration;

use quetzalpoint::{NotRunReason, Outcome};

use crate::fake::{Mode, PROCESSING_TIME, SOUTH, TestHost, addr};

const SHARDS: usize = 5;

#[tokio::test(start_paused = true)]
async fn requests_run_only_in_regions_of_their_route() {
    for route in ["home-all", "home-one"] {
        let mut host = TestHost::new(SHARDS);
        for _ in 0..20 {
            let (served, _) = host.serve(route).await;
            assert!(matches!(served.outcome, Outcome::Answered(_)), "{:?}", served.outcome);
        }
        let stats = host.servers.stats();
        let is_home = |at| (0..SHARDS).any(|shard| at == addr(shard, SOUTH));
        assert!(
            stats.runs.iter().all(|(_, at)| is_home(*at)),
            "{route}: a request ran outside its region"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn failing_servers_cause_no_failover_to_other_regions() {
    let mut host = TestHost::new(SHARDS);
    for shard in 0..SHARDS {
        host.servers.set_behaviour(addr(shard, SOUTH), Mode::Fails, PROCESSING_TIME);
    }
    for _ in 0..10 {
        let (served, _) = host.serve("home-all").await;
        assert!(matches!(served.outcome, Outcome::Unknown(_)), "{:?}", served.outcome);
    }
    let stats = host.servers.stats();
    let is_home = |at| (0..SHARDS).any(|shard| at == addr(shard, SOUTH));
    assert!(stats.runs.iter().all(|(_, at)| is_home(*at)));
}

#[tokio::test(start_paused = true)]
async fn route_without_servers_in_its_regions_is_refused_at_once() {
    let mut host = TestHost::new(SHARDS);
    let (served, took) = host.serve("home-nowhere").await;
    assert!(
        matches!(served.outcome, Outcome::NotRun(NotRunReason::Unreachable)),
        "{:?}",
        served.outcome
    );
    assert_eq!(took, Duration::ZERO);
    assert!(host.servers.stats().runs.is_empty());
}
