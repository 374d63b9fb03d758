//! Shards whose servers are all removed from the registry or all stop replying.

use std::time::Duration;

use quetzalpoint::process::servers::registry::{Change, Fact};
use quetzalpoint::request::entry::Answer;
use quetzalpoint::{NotRunReason, Outcome};

use crate::fake::{Mode, NORTH, PROCESSING_TIME, SOUTH, TestHost, addr, server_record};

fn removed(shard: usize, domain: &str) -> Change {
    Change { revision: 2, fact: Fact::Server(server_record(shard, domain).id, None) }
}

#[tokio::test(start_paused = true)]
async fn coverage_floor_decides_between_partial_answer_and_refusal() {
    struct Case {
        name: &'static str,
        removed_shards: usize,
        answered: bool,
    }
    let cases = [
        Case { name: "one shard of ten removed", removed_shards: 1, answered: true },
        Case { name: "two of ten removed, at the floor", removed_shards: 2, answered: true },
        Case { name: "three of ten removed, below the floor", removed_shards: 3, answered: false },
    ];
    for case in cases {
        let mut host = TestHost::new(10);
        host.warm_up().await;
        let removals =
            (0..case.removed_shards).flat_map(|s| [removed(s, NORTH), removed(s, SOUTH)]).collect();
        host.apply_changes(removals, 2);
        let arrivals_before = host.servers.stats().arrivals;
        let (served, took) = host.serve("all").await;
        match served.outcome {
            Outcome::Answered(Answer::Gathered(gathered)) => {
                assert!(case.answered, "{}", case.name);
                assert_eq!(gathered.missing, case.removed_shards, "{}", case.name);
            }
            outcome => {
                assert!(!case.answered, "{}: {outcome:?}", case.name);
                assert!(
                    matches!(outcome, Outcome::NotRun(NotRunReason::Unreachable)),
                    "{}: {outcome:?}",
                    case.name
                );
                assert_eq!(
                    host.servers.stats().arrivals,
                    arrivals_before,
                    "{}: a request was sent to a server",
                    case.name
                );
                assert!(served.retry_after >= Duration::from_millis(600), "{}", case.name);
                assert!(took < Duration::from_millis(1), "{}: {took:?}", case.name);
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn unresponsive_shard_is_missing_by_latency_target() {
    let mut host = TestHost::new(10);
    host.warm_up().await;
    for domain in [NORTH, SOUTH] {
        host.servers.set_behaviour(addr(4, domain), Mode::NeverReplies, PROCESSING_TIME);
    }
    for n in 0..20 {
        let (served, took) = host.serve("all").await;
        let Outcome::Answered(Answer::Gathered(gathered)) = served.outcome else {
            panic!("request {n} was not answered");
        };
        assert_eq!(gathered.missing, 1, "request {n}");
        assert!(took <= Duration::from_millis(200), "request {n}: {took:?}");
    }
}
