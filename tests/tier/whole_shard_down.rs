//! All servers of some shards are gone, or all of them.

use std::time::Duration;

use quetzalpoint::process::servers::registry::{Change, Fact};
use quetzalpoint::request::entry::Answer;
use quetzalpoint::{NotRunReason, Outcome};

use crate::fake::{Mode, NORTH, SOUTH, WORK, World, addr, record};

fn removed(shard: usize, domain: &str) -> Change {
    Change { revision: 2, fact: Fact::Server(record(shard, domain).id, None) }
}

#[tokio::test(start_paused = true)]
async fn what_can_not_be_covered_is_left_out_or_refused_at_once() {
    struct Case {
        name: &'static str,
        gone: usize,
        answered: bool,
    }
    let cases = [
        Case { name: "one of ten", gone: 1, answered: true },
        Case { name: "two of ten, at the floor", gone: 2, answered: true },
        Case { name: "three of ten, below the floor", gone: 3, answered: false },
    ];
    for case in cases {
        let mut world = World::new(10);
        world.warm_up().await;
        let gone = (0..case.gone).flat_map(|s| [removed(s, NORTH), removed(s, SOUTH)]).collect();
        world.change(gone, 2);
        let before = world.servers.seen().arrivals;
        let (served, took) = world.serve("all").await;
        match served.outcome {
            Outcome::Answered(Answer::Gathered(gathered)) => {
                assert!(case.answered, "{}", case.name);
                assert_eq!(gathered.missing, case.gone, "{}", case.name);
            }
            outcome => {
                assert!(!case.answered, "{}: {outcome:?}", case.name);
                assert!(
                    matches!(outcome, Outcome::NotRun(NotRunReason::Unreachable)),
                    "{}: {outcome:?}",
                    case.name
                );
                assert_eq!(world.servers.seen().arrivals, before, "{}: nothing ran", case.name);
                assert!(served.retry_after >= Duration::from_millis(600), "{}", case.name);
                assert!(took < Duration::from_millis(1), "{}: {took:?}", case.name);
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn servers_that_fell_silent_do_not_keep_callers_beyond_the_target() {
    let mut world = World::new(10);
    world.warm_up().await;
    for domain in [NORTH, SOUTH] {
        world.servers.set(addr(4, domain), Mode::Silent, WORK);
    }
    for n in 0..20 {
        let (served, took) = world.serve("all").await;
        let Outcome::Answered(Answer::Gathered(gathered)) = served.outcome else {
            panic!("request {n} is answered");
        };
        assert_eq!(gathered.missing, 1, "request {n}");
        assert!(took <= Duration::from_millis(200), "request {n}: {took:?}");
    }
}
