//! Nothing that the host sends reaches another failure domain, whose servers are in service.

use std::time::Duration;

use quetzalpoint::process::servers::registry::{Change, Fact};
use quetzalpoint::request::entry::Answer;
use quetzalpoint::{NotRunReason, Outcome};

use crate::fake::{Mode, NORTH, PROCESSING_TIME, SOUTH, TestHost, addr, server_record};

const SHARDS: usize = 10;

/// Returns a host in the north before shards of which `only_south` have no server in the north.
async fn host(only_south: usize) -> TestHost {
    let mut host = TestHost::new(SHARDS);
    let removal =
        |shard| Change { revision: 2, fact: Fact::Server(server_record(shard, NORTH).id, None) };
    host.apply_changes((0..only_south).map(removal).collect(), 2);
    // The fleet counts as known only some time after the start.
    tokio::time::sleep(Duration::from_secs(3)).await;
    host.warm_up().await;
    // Idle connections expire, so that the cut is met on new ones.
    tokio::time::sleep(Duration::from_secs(6)).await;
    host
}

fn set_south(host: &TestHost, mode: Mode) {
    for shard in 0..SHARDS {
        host.servers.set_behaviour(addr(shard, SOUTH), mode, PROCESSING_TIME);
    }
}

#[tokio::test(start_paused = true)]
async fn callers_are_sent_elsewhere_at_once_if_the_floor_is_out_of_reach() {
    struct Case {
        name: &'static str,
        only_south: usize,
        refused: bool,
    }
    let cases = [
        Case { name: "half of the shards are out of reach", only_south: 5, refused: true },
        Case { name: "two of ten are, and the floor is eight", only_south: 2, refused: false },
    ];
    for case in cases {
        let mut host = host(case.only_south).await;
        set_south(&host, Mode::CutOff);
        // The requests that meet the cut find out about it.
        host.serve("all").await;
        host.serve("all").await;
        assert_eq!(host.tier.is_cut_off(), case.refused, "{}", case.name);
        let (served, took) = host.serve("all").await;
        match served.outcome {
            Outcome::NotRun(NotRunReason::Unreachable) => {
                assert!(case.refused, "{}", case.name);
                assert!(took < Duration::from_millis(1), "{}: {took:?}", case.name);
                assert!(served.retry_after < Duration::from_millis(50), "{}", case.name);
            }
            Outcome::Answered(Answer::Gathered(gathered)) => {
                assert!(!case.refused, "{}", case.name);
                assert_eq!(gathered.missing, case.only_south, "{}", case.name);
                assert!(took < Duration::from_millis(200), "{}: {took:?}", case.name);
            }
            outcome => panic!("{}: {outcome:?}", case.name),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn reachable_domain_is_used_again_after_the_cut() {
    let mut host = host(5).await;
    set_south(&host, Mode::CutOff);
    for _ in 0..20 {
        host.serve("all").await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(host.tier.is_cut_off());
    set_south(&host, Mode::Answers);
    tokio::time::sleep(Duration::from_secs(2)).await;
    host.serve("all").await;
    let (served, _) = host.serve("all").await;
    let Outcome::Answered(Answer::Gathered(gathered)) = served.outcome else {
        panic!("not answered: {:?}", served.outcome);
    };
    assert_eq!(gathered.missing, 0);
    assert!(!host.tier.is_cut_off());
}
