//! Servers that drop idle connections without notice.

use std::time::Duration;

use quetzalpoint::Outcome;

use crate::fake::{Mode, NORTH, PROCESSING_TIME, SOUTH, TestHost, addr};

#[tokio::test(start_paused = true)]
async fn non_idempotent_request_uses_no_possibly_stale_connection() {
    let mut host = TestHost::new(1);
    host.warm_up().await;
    for domain in [NORTH, SOUTH] {
        host.servers.set_behaviour(addr(0, domain), Mode::DropsIdleConnections, PROCESSING_TIME);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (served, _) = host.serve("once").await;
    assert!(matches!(served.outcome, Outcome::Answered(_)), "{:?}", served.outcome);
}

#[tokio::test(start_paused = true)]
async fn reset_of_reused_connection_does_not_lower_server_health() {
    let mut host = TestHost::new(5);
    host.warm_up().await;
    for shard in 0..5 {
        for domain in [NORTH, SOUTH] {
            host.servers.set_behaviour(
                addr(shard, domain),
                Mode::DropsIdleConnections,
                PROCESSING_TIME,
            );
        }
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    host.servers.stats().runs.clear();
    let (served, took) = host.serve("all").await;
    assert!(matches!(served.outcome, Outcome::Answered(_)), "{:?}", served.outcome);
    assert!(took <= PROCESSING_TIME * 3, "{took:?}");
    let stats = host.servers.stats();
    let remote_runs =
        stats.runs.iter().filter(|(_, at)| (0..5).any(|n| *at == addr(n, SOUTH))).count();
    assert_eq!(remote_runs, 0, "the servers in the host's failure domain must still be used");
}

#[tokio::test(start_paused = true)]
async fn possibly_stale_connection_is_closed_for_new_one_at_limit() {
    let mut host = TestHost::with_max_connections(1);
    for _ in 0..3 {
        let (served, _) = host.serve("once").await;
        assert!(matches!(served.outcome, Outcome::Answered(_)), "{:?}", served.outcome);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(host.servers.stats().connections, 3);
}
