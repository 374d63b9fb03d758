//! Retries when servers run a request without replying, shed it, or are unreachable. The `local`
//! server is in the host's failure domain, the `remote` server in another.

use quetzalpoint::Outcome;
use quetzalpoint::request::entry::Answer;

use crate::fake::{Mode, NORTH, PROCESSING_TIME, SOUTH, TestHost, addr};

#[derive(Debug, PartialEq, Eq)]
enum OutcomeKind {
    Answered,
    Failure,
    NotRun,
    Unknown,
}

fn outcome_kind(outcome: &Outcome<Answer>) -> OutcomeKind {
    match outcome {
        Outcome::Answered(Answer::Forwarded(reply)) if reply.is_success() => OutcomeKind::Answered,
        Outcome::Answered(_) => OutcomeKind::Failure,
        Outcome::NotRun(_) => OutcomeKind::NotRun,
        Outcome::Unknown(_) => OutcomeKind::Unknown,
    }
}

#[tokio::test(start_paused = true)]
async fn non_idempotent_request_is_retried_only_if_it_did_not_run() {
    struct Case {
        name: &'static str,
        local: Mode,
        remote: Mode,
        expected: OutcomeKind,
        max_runs: usize,
    }
    let cases = [
        Case {
            name: "both servers answer",
            local: Mode::Answers,
            remote: Mode::Answers,
            expected: OutcomeKind::Answered,
            max_runs: 1,
        },
        Case {
            name: "local server aborts the connection",
            local: Mode::AbortsConnection,
            remote: Mode::Answers,
            expected: OutcomeKind::Unknown,
            max_runs: 1,
        },
        Case {
            name: "local server never replies",
            local: Mode::NeverReplies,
            remote: Mode::Answers,
            expected: OutcomeKind::Unknown,
            max_runs: 1,
        },
        Case {
            name: "local server replies with status 500",
            local: Mode::Fails,
            remote: Mode::Answers,
            expected: OutcomeKind::Failure,
            max_runs: 1,
        },
        Case {
            name: "local server sheds",
            local: Mode::Sheds,
            remote: Mode::Answers,
            expected: OutcomeKind::Answered,
            max_runs: 1,
        },
        Case {
            name: "local server was replaced",
            local: Mode::Replaced,
            remote: Mode::Answers,
            expected: OutcomeKind::Answered,
            max_runs: 1,
        },
        Case {
            name: "local server is unreachable",
            local: Mode::Unreachable,
            remote: Mode::Answers,
            expected: OutcomeKind::Answered,
            max_runs: 1,
        },
        Case {
            name: "both servers shed",
            local: Mode::Sheds,
            remote: Mode::Sheds,
            expected: OutcomeKind::NotRun,
            max_runs: 0,
        },
        Case {
            name: "local server sheds, remote server aborts the connection",
            local: Mode::Sheds,
            remote: Mode::AbortsConnection,
            expected: OutcomeKind::Unknown,
            max_runs: 1,
        },
    ];
    for case in cases {
        let mut host = TestHost::new(1);
        host.servers.set_behaviour(addr(0, NORTH), case.local, PROCESSING_TIME);
        host.servers.set_behaviour(addr(0, SOUTH), case.remote, PROCESSING_TIME);
        let (served, _) = host.serve("once").await;
        assert_eq!(outcome_kind(&served.outcome), case.expected, "{}", case.name);
        let runs = host.servers.stats().runs.len();
        assert!(runs <= case.max_runs, "{}: {runs} runs", case.name);
        if case.expected == OutcomeKind::NotRun {
            assert_eq!(runs, 0, "{}", case.name);
        }
    }
}

/// Guards against a request that runs twice because a late copy of its rejection is taken for the
/// reply to its second send.
#[tokio::test(start_paused = true)]
async fn late_copy_of_a_rejection_does_not_make_a_request_run_twice() {
    struct Case {
        route: &'static str,
        max_runs: usize,
    }
    let cases = [Case { route: "once", max_runs: 1 }, Case { route: "one", max_runs: 1 }];
    for case in cases {
        let mut host = TestHost::new(1);
        for domain in [NORTH, SOUTH] {
            let mode = Mode::ShedsOnceAndRepeats;
            host.servers.set_behaviour(addr(0, domain), mode, PROCESSING_TIME);
        }
        let (served, _) = host.serve(case.route).await;
        assert_eq!(outcome_kind(&served.outcome), OutcomeKind::Answered, "{}", case.route);
        let runs = host.servers.stats().runs.len();
        assert!(runs <= case.max_runs, "{}: {runs} runs", case.route);
    }
}

#[tokio::test(start_paused = true)]
async fn idempotent_request_is_tried_on_at_most_two_servers() {
    struct Case {
        name: &'static str,
        local: Mode,
        remote: Mode,
        expected: OutcomeKind,
    }
    let cases = [
        Case {
            name: "local server aborts the connection",
            local: Mode::AbortsConnection,
            remote: Mode::Answers,
            expected: OutcomeKind::Answered,
        },
        Case {
            name: "local server never replies",
            local: Mode::NeverReplies,
            remote: Mode::Answers,
            expected: OutcomeKind::Answered,
        },
        Case {
            name: "local server replies with status 500",
            local: Mode::Fails,
            remote: Mode::Answers,
            expected: OutcomeKind::Answered,
        },
        Case {
            name: "both servers reply with status 500",
            local: Mode::Fails,
            remote: Mode::Fails,
            expected: OutcomeKind::Failure,
        },
        Case {
            name: "both servers abort the connection",
            local: Mode::AbortsConnection,
            remote: Mode::AbortsConnection,
            expected: OutcomeKind::Unknown,
        },
    ];
    for case in cases {
        let mut host = TestHost::new(1);
        host.servers.set_behaviour(addr(0, NORTH), case.local, PROCESSING_TIME);
        host.servers.set_behaviour(addr(0, SOUTH), case.remote, PROCESSING_TIME);
        let (served, _) = host.serve("one").await;
        assert_eq!(outcome_kind(&served.outcome), case.expected, "{}", case.name);
        assert!(host.servers.stats().runs.len() <= 2, "{}", case.name);
    }
}
