//! The fuzzing itself: no sequence of events breaks an invariant, and each deliberate fault does.
//!
//! `QUICKCHECK_TESTS` sets the number of sequences, `FUZZ_SEED` another seed.

use quickcheck::{Arbitrary, Gen};

use super::flaw::{Flaw, with};
use super::op::Op;
use super::world::World;

const DEFAULT_SEED: u64 = 20_261;
const DEFAULT_SEQUENCES: u64 = 60;
const EVENTS: usize = 60;
/// Sequences tried until a deliberate fault must have been found.
const FLAWED_SEQUENCES: u64 = 2_000;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn sequence(seed: u64) -> Vec<Op> {
    let mut g = Gen::from_size_and_seed(EVENTS, seed);
    (0..EVENTS).map(|_| Op::arbitrary(&mut g)).collect()
}

fn play(seed: u64, ops: &[Op]) -> Result<(), String> {
    World::new(seed).play(ops)
}

/// Returns a shorter sequence that still fails.
fn shrink(seed: u64, mut ops: Vec<Op>) -> Vec<Op> {
    'shorter: loop {
        for candidate in ops.shrink() {
            if candidate.len() < ops.len() && play(seed, &candidate).is_err() {
                ops = candidate;
                continue 'shorter;
            }
        }
        return ops;
    }
}

fn first_failure(flaw: Option<Flaw>, sequences: u64) -> Option<(u64, Vec<Op>, String)> {
    let start = number("FUZZ_SEED", DEFAULT_SEED);
    (start..start + sequences).find_map(|seed| {
        let ops = sequence(seed);
        with(flaw, || play(seed, &ops)).err().map(|why| (seed, ops, why))
    })
}

#[test]
fn no_sequence_of_events_breaks_an_invariant() {
    let sequences = number("QUICKCHECK_TESTS", DEFAULT_SEQUENCES);
    if let Some((seed, ops, why)) = first_failure(None, sequences) {
        let ops = shrink(seed, ops);
        panic!("FUZZ_SEED={seed}: {why}, by {ops:?}");
    }
}

/// Each fault must be found, and by the invariant that it breaks.
#[test]
fn deliberate_faults_are_found() {
    struct Case {
        flaw: Flaw,
        says: &'static str,
    }
    let cases = [
        Case { flaw: Flaw::WitnessForgets, says: "is held by" },
        Case { flaw: Flaw::OwnerIgnoresCold, says: "is cold and has" },
        Case { flaw: Flaw::GateIgnoresOut, says: "which is out, got work" },
        Case { flaw: Flaw::RecordForgets, says: "ran twice" },
        Case { flaw: Flaw::PauseIgnored, says: "which is out, got work" },
        Case { flaw: Flaw::VersionUnchecked, says: "rows of another version" },
        Case { flaw: Flaw::CoverageAssumed, says: "under the coverage" },
        Case { flaw: Flaw::ConfigReverts, says: "back to" },
        Case { flaw: Flaw::LostIsNotRun, says: "said not to have run" },
    ];
    for case in cases {
        let found = first_failure(Some(case.flaw), FLAWED_SEQUENCES);
        let (seed, _, why) = found.unwrap_or_else(|| panic!("{:?} was not found", case.flaw));
        assert!(why.contains(case.says), "{:?} with seed {seed}: {why}", case.flaw);
    }
}
