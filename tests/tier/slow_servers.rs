//! One sixth of all servers is eight times slower for some seconds, at most one per shard.

use std::time::Duration;

use quetzalpoint::Outcome;
use quetzalpoint::request::entry::Answer;

use crate::fake::{Mode, NORTH, PROCESSING_TIME, SOUTH, TestHost, addr};

#[tokio::test(start_paused = true)]
async fn requests_avoid_slow_servers() {
    let mut host = TestHost::new(30);
    host.warm_up().await;
    for shard in (0..30).step_by(3) {
        let domain = if shard % 2 == 0 { NORTH } else { SOUTH };
        host.servers.set_behaviour(addr(shard, domain), Mode::Answers, PROCESSING_TIME * 8);
    }
    let mut late = 0;
    let arrivals_before = host.servers.stats().arrivals;
    for n in 0..200 {
        let (served, took) = host.serve("all").await;
        let Outcome::Answered(Answer::Gathered(gathered)) = served.outcome else {
            panic!("request {n} was not answered");
        };
        late += usize::from(took > PROCESSING_TIME * 4);
        assert!(gathered.missing <= 1, "request {n}: {} missing shards", gathered.missing);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(late <= 20, "{late} of 200 requests were late");
    let extra = host.servers.stats().arrivals - arrivals_before - 200 * 30;
    assert!(extra <= 200 * 30 / 5, "{extra} extra attempts");
}
