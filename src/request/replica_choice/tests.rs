//! Tests of the `replica_choice` module.

use rand::SeedableRng;
use rand::rngs::SmallRng;

use std::time::Duration;

use super::*;

const fn candidate(expected_ms: u64, warm: bool, usable: bool, tried: bool) -> Candidate {
    Candidate { expected: Duration::from_millis(expected_ms), warm, usable, tried }
}

#[test]
fn fastest_eligible_replica_is_chosen() {
    struct Case {
        name: &'static str,
        candidates: &'static [Candidate],
        first: Option<usize>,
        hedge: Option<usize>,
    }
    const CASES: [Case; 5] = [
        Case {
            name: "faster of two",
            candidates: &[candidate(9, true, true, false), candidate(3, true, true, false)],
            first: Some(1),
            hedge: Some(1),
        },
        Case {
            name: "unusable",
            candidates: &[candidate(9, true, true, false), candidate(3, true, false, false)],
            first: Some(0),
            hedge: Some(0),
        },
        Case {
            name: "already tried",
            candidates: &[candidate(9, false, true, false), candidate(3, true, true, true)],
            first: Some(0),
            hedge: None,
        },
        Case {
            name: "all tried",
            candidates: &[candidate(9, true, true, true), candidate(3, true, false, true)],
            first: Some(0),
            hedge: None,
        },
        Case { name: "no candidates", candidates: &[], first: None, hedge: None },
    ];
    let mut rng = SmallRng::seed_from_u64(1);
    for case in CASES {
        assert_eq!(
            choose(case.candidates, Choice::TwoChoices, &mut rng),
            case.first,
            "{}",
            case.name
        );
        assert_eq!(choose_hedge(case.candidates), case.hedge, "{}", case.name);
    }
}

#[test]
fn hedging_stops_when_servers_are_slow_overall() {
    struct Case {
        name: &'static str,
        late: usize,
        shards: usize,
        helps: bool,
    }
    let cases = [
        Case { name: "single shard", late: 1, shards: 1, helps: true },
        Case { name: "usual share of stragglers", late: 5, shards: 20, helps: true },
        Case { name: "more late shards than usual", late: 6, shards: 20, helps: false },
        Case { name: "all shards late", late: 20, shards: 20, helps: false },
    ];
    for case in cases {
        assert_eq!(hedging_helps(case.late, case.shards), case.helps, "{}", case.name);
    }
}
