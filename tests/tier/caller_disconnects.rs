//! Callers that disconnect before they get their answer.

use std::time::Duration;

use quetzalpoint::request::entry::serve;

use crate::fake::{Mode, NORTH, SOUTH, TestHost, addr};

#[tokio::test(start_paused = true)]
async fn caller_disconnect_cancels_running_attempts() {
    for route in ["all", "one", "once"] {
        let mut host = TestHost::new(5);
        for shard in 0..5 {
            for domain in [NORTH, SOUTH] {
                host.servers.set_behaviour(
                    addr(shard, domain),
                    Mode::Answers,
                    Duration::from_secs(1),
                );
            }
        }
        let request = host.request(route);
        let disconnect_after = Duration::from_millis(30);
        let served = tokio::time::timeout(disconnect_after, serve(&host.tier, request)).await;
        assert!(served.is_err(), "{route}: answered before the caller disconnected");
        let stats = host.servers.stats();
        assert!(!stats.runs.is_empty(), "{route}: no server ran an attempt");
        assert_eq!(stats.cancelled, stats.runs.len(), "{route}: not all attempts were cancelled");
    }
}
