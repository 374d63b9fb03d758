//! Servers that shed requests while their health checks still pass.

use std::time::Duration;

use quetzalpoint::Outcome;

use crate::fake::{Mode, NORTH, PROCESSING_TIME, SOUTH, TestHost, addr};

#[tokio::test(start_paused = true)]
async fn shedding_does_not_multiply_load() {
    let mut host = TestHost::new(10);
    host.warm_up().await;
    for shard in 0..10 {
        for domain in [NORTH, SOUTH] {
            host.servers.set_behaviour(addr(shard, domain), Mode::Sheds, PROCESSING_TIME);
        }
    }
    let arrivals_before = host.servers.stats().arrivals;
    host.servers.stats().runs.clear();
    for n in 0..100 {
        let (served, took) = host.serve("all").await;
        assert!(!matches!(served.outcome, Outcome::Answered(_)), "request {n} was answered");
        assert!(took < Duration::from_secs(1), "request {n} was refused only after {took:?}");
    }
    assert_eq!(host.servers.stats().runs.len(), 0);
    let extra = host.servers.stats().arrivals - arrivals_before - 100 * 10;
    // The limit on extra attempts: a fifth of the requests, including those of the warm-up, and a
    // fixed allowance of 50 for each of the ten services.
    assert!(extra <= 140 * 10 / 5 + 50 * 10, "{extra} extra attempts");
}

#[tokio::test(start_paused = true)]
async fn requests_go_to_servers_that_do_not_shed() {
    let mut host = TestHost::new(10);
    host.warm_up().await;
    for shard in 0..10 {
        host.servers.set_behaviour(addr(shard, NORTH), Mode::Sheds, PROCESSING_TIME);
    }
    let mut answered = 0;
    for _ in 0..50 {
        let (served, _) = host.serve("all").await;
        answered += usize::from(matches!(served.outcome, Outcome::Answered(_)));
    }
    assert_eq!(answered, 50);
}
