//! Servers that pause: each occasionally sends no replies for twenty times the usual request time.

use std::time::Duration;

use quetzalpoint::Outcome;
use quetzalpoint::request::entry::Answer;

use crate::fake::{Mode, NORTH, PROCESSING_TIME, SOUTH, TestHost, addr};

const PAUSE: Duration = Duration::from_millis(250);

#[tokio::test(start_paused = true)]
async fn paused_server_costs_little_more_than_one_extra_request() {
    struct Case {
        name: &'static str,
        paused: &'static [(usize, &'static str)],
        missing: usize,
        max_time: Duration,
    }
    let cases = [
        Case { name: "no server paused", paused: &[], missing: 0, max_time: PROCESSING_TIME * 2 },
        Case {
            name: "one server paused",
            paused: &[(3, NORTH)],
            missing: 0,
            max_time: PROCESSING_TIME * 5,
        },
        Case {
            name: "servers of three shards paused",
            paused: &[(1, NORTH), (4, NORTH), (9, NORTH)],
            missing: 0,
            max_time: PROCESSING_TIME * 5,
        },
        Case {
            name: "both servers of a shard paused",
            paused: &[(2, NORTH), (2, SOUTH)],
            missing: 1,
            max_time: Duration::from_millis(200),
        },
    ];
    for case in cases {
        let mut host = TestHost::new(20);
        host.warm_up().await;
        for (shard, domain) in case.paused {
            host.servers.set_behaviour(addr(*shard, domain), Mode::Answers, PAUSE);
        }
        let (served, took) = host.serve("all").await;
        let Outcome::Answered(Answer::Gathered(gathered)) = served.outcome else {
            panic!("{}: the request was not answered", case.name);
        };
        assert_eq!(gathered.missing, case.missing, "{}", case.name);
        assert!(took <= case.max_time, "{}: {took:?}", case.name);
        assert_eq!(gathered.signatures.len() + gathered.missing, 20, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn next_request_avoids_paused_server() {
    let mut host = TestHost::new(20);
    host.warm_up().await;
    host.servers.set_behaviour(addr(3, NORTH), Mode::Answers, PAUSE);
    host.serve("all").await;
    let (_, took) = host.serve("all").await;
    assert!(took <= PROCESSING_TIME * 2, "{took:?}");
}
