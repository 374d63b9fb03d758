//! Each server pauses for a quarter of a second every six seconds, at a time of its own.

use std::time::Duration;

use quetzalpoint::Outcome;
use quetzalpoint::request::entry::Answer;

use crate::fake::{Mode, NORTH, PROCESSING_TIME, SOUTH, TestHost, addr};

const SHARDS: usize = 20;
const PAUSE_MS: u64 = 250;
const PERIOD_MS: u64 = 6_000;
const REQUEST_INTERVAL_MS: u64 = 40;

/// Returns how much longer a server pauses, at a time after the start of the test. The pauses of a
/// shard's two servers are half a period apart.
fn pause_left_ms(at_ms: u64, shard: usize, domain: &str) -> u64 {
    let offset_ms = shard as u64 * PERIOD_MS / SHARDS as u64;
    let offset_ms = if domain == SOUTH { offset_ms + PERIOD_MS / 2 } else { offset_ms };
    PAUSE_MS.saturating_sub((at_ms + offset_ms) % PERIOD_MS)
}

#[tokio::test(start_paused = true)]
async fn pauses_leave_no_part_out_and_do_not_move_requests_to_other_domains() {
    let mut host = TestHost::new(SHARDS);
    host.warm_up().await;
    let runs_before = host.servers.stats().runs.len();
    let requests = 2 * PERIOD_MS / REQUEST_INTERVAL_MS;
    let mut missing = 0;
    for n in 0..requests {
        for shard in 0..SHARDS {
            for domain in [NORTH, SOUTH] {
                let pause_ms = pause_left_ms(n * REQUEST_INTERVAL_MS, shard, domain);
                let processing_time = PROCESSING_TIME + Duration::from_millis(pause_ms);
                host.servers.set_behaviour(addr(shard, domain), Mode::Answers, processing_time);
            }
        }
        let (served, took) = host.serve("all").await;
        let Outcome::Answered(Answer::Gathered(gathered)) = served.outcome else {
            panic!("request {n} was not answered");
        };
        missing += gathered.missing;
        tokio::time::sleep(Duration::from_millis(REQUEST_INTERVAL_MS).saturating_sub(took)).await;
    }
    assert_eq!(missing, 0, "no shard has two pausing servers at a time");
    let runs = host.servers.stats();
    let is_south = |addr: &std::net::SocketAddr| addr.port() % 2 == 1;
    let south = runs.runs[runs_before..].iter().filter(|(_, addr)| is_south(addr)).count();
    let share = south as f64 / (runs.runs.len() - runs_before) as f64;
    let paused_share = PAUSE_MS as f64 / PERIOD_MS as f64;
    assert!(share < paused_share * 3.0, "{share:.3} of the requests went to the other domain");
}
