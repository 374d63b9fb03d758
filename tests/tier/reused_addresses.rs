//! Servers that stopped and whose addresses now belong to servers of other services, while their
//! registry entries still exist.

use std::time::Duration;

use quetzalpoint::Outcome;

use crate::fake::{Mode, NORTH, PROCESSING_TIME, SOUTH, TestHost, addr};

#[tokio::test(start_paused = true)]
async fn replaced_servers_get_few_more_requests() {
    const REQUESTS: usize = 200;
    const SHARDS: usize = 10;
    let mut host = TestHost::new(SHARDS);
    host.warm_up().await;
    for domain in [NORTH, SOUTH] {
        host.servers.set_behaviour(addr(0, domain), Mode::Replaced, PROCESSING_TIME);
    }
    let arrivals_before = host.servers.stats().arrivals;
    for n in 0..REQUESTS {
        let (served, _) = host.serve("all").await;
        assert!(matches!(served.outcome, Outcome::Answered(_)), "request {n} was not answered");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let extra = (host.servers.stats().arrivals - arrivals_before).saturating_sub(REQUESTS * SHARDS);
    // The limit on extra attempts: a fifth of the requests and a fixed allowance of 50.
    assert!(extra <= REQUESTS / 5 + 50, "{extra} extra attempts");
}
