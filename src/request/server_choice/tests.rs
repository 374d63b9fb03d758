use std::time::Duration;

use super::{Candidate, Purpose, pick};
use crate::process::servers::passive_health::ServerHealth;

const TARGET: Duration = Duration::from_millis(100);

fn candidate(expected_ms: u64) -> Candidate {
    Candidate {
        health: ServerHealth {
            expected: Duration::from_millis(expected_ms),
            in_flight: 0,
            stalled: false,
            avoided: false,
            replaced: false,
            declined: false,
        },
        near: true,
        tried: false,
        blocked: false,
    }
}

fn stalled(mut candidate: Candidate) -> Candidate {
    candidate.health.stalled = true;
    candidate
}

fn avoided(mut candidate: Candidate) -> Candidate {
    candidate.health.avoided = true;
    candidate
}

fn declined(mut candidate: Candidate) -> Candidate {
    candidate.health.declined = true;
    candidate
}

#[test]
fn healthiest_server_is_picked() {
    struct Case {
        name: &'static str,
        candidates: Vec<Candidate>,
        needed: Option<usize>,
        hedge: Option<usize>,
    }
    let far = |ms| Candidate { near: false, ..candidate(ms) };
    let tried = |ms| Candidate { tried: true, ..candidate(ms) };
    let blocked = |ms| Candidate { blocked: true, ..candidate(ms) };
    let cases = [
        Case {
            name: "faster server",
            candidates: vec![candidate(20), candidate(10)],
            needed: Some(1),
            hedge: Some(1),
        },
        Case {
            name: "near server for similar times",
            candidates: vec![far(10), candidate(15)],
            needed: Some(1),
            hedge: Some(1),
        },
        Case {
            name: "far server if the near one is slow",
            candidates: vec![far(10), candidate(40)],
            needed: Some(0),
            hedge: Some(0),
        },
        Case {
            name: "stalled server is passed over",
            candidates: vec![stalled(candidate(10)), far(40)],
            needed: Some(1),
            hedge: Some(1),
        },
        Case {
            name: "stalled server as the last resort, but not for a hedge",
            candidates: vec![stalled(candidate(10)), tried(1)],
            needed: Some(0),
            hedge: None,
        },
        Case {
            name: "declined server only without a better one",
            candidates: vec![declined(candidate(10)), candidate(40)],
            needed: Some(1),
            hedge: Some(1),
        },
        Case {
            name: "declined preferred to stalled",
            candidates: vec![declined(candidate(10)), stalled(candidate(5))],
            needed: Some(0),
            hedge: Some(0),
        },
        Case {
            name: "stalled preferred to avoided",
            candidates: vec![avoided(candidate(10)), stalled(candidate(10))],
            needed: Some(1),
            hedge: None,
        },
        Case {
            name: "tried or blocked servers are never picked",
            candidates: vec![tried(1), blocked(1)],
            needed: None,
            hedge: None,
        },
    ];
    for case in cases {
        let needed = pick(&case.candidates, Purpose::Needed, TARGET, |_| 1.0);
        assert_eq!(needed, case.needed, "{}", case.name);
        let hedge = pick(&case.candidates, Purpose::Hedge, TARGET, |_| 1.0);
        assert_eq!(hedge, case.hedge, "{}", case.name);
    }
}
