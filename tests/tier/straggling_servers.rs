//! Servers that pause: each is silent now and then for twenty times a usual request.

use std::time::Duration;

use quetzalpoint::Outcome;
use quetzalpoint::request::entry::Answer;

use crate::fake::{Mode, NORTH, SOUTH, WORK, World, addr};

const PAUSE: Duration = Duration::from_millis(250);

#[tokio::test(start_paused = true)]
async fn a_paused_server_costs_little_more_than_one_more_request() {
    struct Case {
        name: &'static str,
        paused: &'static [(usize, &'static str)],
        missing: usize,
        within: Duration,
    }
    let cases = [
        Case { name: "none", paused: &[], missing: 0, within: WORK * 2 },
        Case { name: "one", paused: &[(3, NORTH)], missing: 0, within: WORK * 5 },
        Case {
            name: "three",
            paused: &[(1, NORTH), (4, NORTH), (9, NORTH)],
            missing: 0,
            within: WORK * 5,
        },
        Case {
            name: "both of a shard",
            paused: &[(2, NORTH), (2, SOUTH)],
            missing: 1,
            within: Duration::from_millis(200),
        },
    ];
    for case in cases {
        let mut world = World::new(20);
        world.warm_up().await;
        for (shard, domain) in case.paused {
            world.servers.set(addr(*shard, domain), Mode::Answers, PAUSE);
        }
        let (served, took) = world.serve("all").await;
        let Outcome::Answered(Answer::Gathered(gathered)) = served.outcome else {
            panic!("{}: it is answered", case.name);
        };
        assert_eq!(gathered.missing, case.missing, "{}", case.name);
        assert!(took <= case.within, "{}: {took:?}", case.name);
        assert_eq!(gathered.signatures.len() + gathered.missing, 20, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn other_requests_avoid_a_paused_server_at_once() {
    let mut world = World::new(20);
    world.warm_up().await;
    world.servers.set(addr(3, NORTH), Mode::Answers, PAUSE);
    world.serve("all").await;
    let (_, took) = world.serve("all").await;
    assert!(took <= WORK * 2, "{took:?}");
}
