//! Callers that leave before their answer.

use std::time::Duration;

use quetzalpoint::request::entry::serve;

use crate::fake::{Mode, NORTH, SOUTH, World, addr};

#[tokio::test(start_paused = true)]
async fn servers_learn_at_once_that_a_caller_has_left() {
    for route in ["all", "one", "once"] {
        let mut world = World::new(5);
        for shard in 0..5 {
            for domain in [NORTH, SOUTH] {
                world.servers.set(addr(shard, domain), Mode::Answers, Duration::from_secs(1));
            }
        }
        let request = world.request(route);
        let left = Duration::from_millis(30);
        let served = tokio::time::timeout(left, serve(&world.tier, request)).await;
        assert!(served.is_err(), "{route}: the caller left first");
        let seen = world.servers.seen();
        assert!(!seen.runs.is_empty(), "{route}: servers were at work");
        assert_eq!(seen.cancelled, seen.runs.len(), "{route}: all of them were told");
    }
}
