//! Servers that run a request and lose its reply, refuse it, or are not there.

use quetzalpoint::Outcome;
use quetzalpoint::request::entry::Answer;

use crate::fake::{Mode, NORTH, SOUTH, WORK, World, addr};

#[derive(Debug, PartialEq, Eq)]
enum Ends {
    Answered,
    Failure,
    NotRun,
    Unknown,
}

fn end(outcome: &Outcome<Answer>) -> Ends {
    match outcome {
        Outcome::Answered(Answer::Forwarded(reply)) if reply.is_success() => Ends::Answered,
        Outcome::Answered(_) => Ends::Failure,
        Outcome::NotRun(_) => Ends::NotRun,
        Outcome::Unknown(_) => Ends::Unknown,
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_may_run_once_is_sent_again_only_if_it_did_not_run() {
    struct Case {
        name: &'static str,
        near: Mode,
        far: Mode,
        ends: Ends,
        most_runs: usize,
    }
    let cases = [
        Case {
            name: "both answer",
            near: Mode::Answers,
            far: Mode::Answers,
            ends: Ends::Answered,
            most_runs: 1,
        },
        Case {
            name: "the near one breaks off",
            near: Mode::BreaksOff,
            far: Mode::Answers,
            ends: Ends::Unknown,
            most_runs: 1,
        },
        Case {
            name: "the near one is silent",
            near: Mode::Silent,
            far: Mode::Answers,
            ends: Ends::Unknown,
            most_runs: 1,
        },
        Case {
            name: "the near one fails",
            near: Mode::Fails,
            far: Mode::Answers,
            ends: Ends::Failure,
            most_runs: 1,
        },
        Case {
            name: "the near one sheds",
            near: Mode::Sheds,
            far: Mode::Answers,
            ends: Ends::Answered,
            most_runs: 1,
        },
        Case {
            name: "the near one is replaced",
            near: Mode::Replaced,
            far: Mode::Answers,
            ends: Ends::Answered,
            most_runs: 1,
        },
        Case {
            name: "the near one is unreachable",
            near: Mode::Unreachable,
            far: Mode::Answers,
            ends: Ends::Answered,
            most_runs: 1,
        },
        Case {
            name: "both shed",
            near: Mode::Sheds,
            far: Mode::Sheds,
            ends: Ends::NotRun,
            most_runs: 0,
        },
        Case {
            name: "one sheds, the other breaks off",
            near: Mode::Sheds,
            far: Mode::BreaksOff,
            ends: Ends::Unknown,
            most_runs: 1,
        },
    ];
    for case in cases {
        let mut world = World::new(1);
        world.servers.set(addr(0, NORTH), case.near, WORK);
        world.servers.set(addr(0, SOUTH), case.far, WORK);
        let (served, _) = world.serve("once").await;
        assert_eq!(end(&served.outcome), case.ends, "{}", case.name);
        let runs = world.servers.seen().runs.len();
        assert!(runs <= case.most_runs, "{}: {runs} runs", case.name);
        if case.ends == Ends::NotRun {
            assert_eq!(runs, 0, "{}", case.name);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_idempotent_request_is_tried_at_another_server_but_no_third() {
    struct Case {
        name: &'static str,
        near: Mode,
        far: Mode,
        ends: Ends,
    }
    let cases = [
        Case {
            name: "broken off",
            near: Mode::BreaksOff,
            far: Mode::Answers,
            ends: Ends::Answered,
        },
        Case { name: "silent", near: Mode::Silent, far: Mode::Answers, ends: Ends::Answered },
        Case { name: "failing", near: Mode::Fails, far: Mode::Answers, ends: Ends::Answered },
        Case { name: "both fail", near: Mode::Fails, far: Mode::Fails, ends: Ends::Failure },
        Case {
            name: "both lost",
            near: Mode::BreaksOff,
            far: Mode::BreaksOff,
            ends: Ends::Unknown,
        },
    ];
    for case in cases {
        let mut world = World::new(1);
        world.servers.set(addr(0, NORTH), case.near, WORK);
        world.servers.set(addr(0, SOUTH), case.far, WORK);
        let (served, _) = world.serve("one").await;
        assert_eq!(end(&served.outcome), case.ends, "{}", case.name);
        assert!(world.servers.seen().runs.len() <= 2, "{}", case.name);
    }
}
