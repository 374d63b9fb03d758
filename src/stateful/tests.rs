//! The fuzz tests: random sequences of events violate no invariant, and every injected fault is
//! detected.
//!
//! `QUICKCHECK_TESTS` sets the number of sequences, `FUZZ_SEED` the first seed.

use quickcheck::{Arbitrary, Gen};

use super::event::Event;
use super::injected_fault::{InjectedFault, with_fault};
use super::world::World;

const DEFAULT_SEED: u64 = 20_261;
const DEFAULT_SEQUENCES: u64 = 60;
const EVENTS_PER_SEQUENCE: usize = 60;
/// Sequences within which an injected fault must be detected.
const SEQUENCES_PER_FAULT: u64 = 2_000;

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn random_sequence(seed: u64) -> Vec<Event> {
    let mut g = Gen::from_size_and_seed(EVENTS_PER_SEQUENCE, seed);
    (0..EVENTS_PER_SEQUENCE).map(|_| Event::arbitrary(&mut g)).collect()
}

fn run(seed: u64, events: &[Event]) -> Result<(), String> {
    World::new(seed).run_events(events)
}

/// Returns a shorter sequence that still violates an invariant.
fn shrink(seed: u64, mut events: Vec<Event>) -> Vec<Event> {
    'shorter: loop {
        for candidate in events.shrink() {
            if candidate.len() < events.len() && run(seed, &candidate).is_err() {
                events = candidate;
                continue 'shorter;
            }
        }
        return events;
    }
}

fn first_failure(
    fault: Option<InjectedFault>,
    sequences: u64,
) -> Option<(u64, Vec<Event>, String)> {
    let start = env_number("FUZZ_SEED", DEFAULT_SEED);
    (start..start + sequences).find_map(|seed| {
        let events = random_sequence(seed);
        with_fault(fault, || run(seed, &events)).err().map(|violation| (seed, events, violation))
    })
}

#[test]
fn random_event_sequences_keep_every_invariant() {
    let sequences = env_number("QUICKCHECK_TESTS", DEFAULT_SEQUENCES);
    if let Some((seed, events, violation)) = first_failure(None, sequences) {
        let events = shrink(seed, events);
        panic!("FUZZ_SEED={seed}: {violation}, by {events:?}");
    }
}

/// Every injected fault must be detected, and by the invariant that it violates.
#[test]
fn injected_faults_are_detected() {
    struct Case {
        fault: InjectedFault,
        /// Part of the violation that the fault must cause.
        expected: &'static str,
    }
    let cases = [
        Case { fault: InjectedFault::WitnessIgnoresPromise, expected: "is held by" },
        Case { fault: InjectedFault::OwnerIgnoresColdLimit, expected: "is cold and has" },
        Case {
            fault: InjectedFault::GateIgnoresDomainOut,
            expected: "which is out, got a request",
        },
        Case { fault: InjectedFault::RecordAgeUnchecked, expected: "ran twice" },
        Case { fault: InjectedFault::PauseUnchecked, expected: "which is out, got a request" },
        Case { fault: InjectedFault::IndexVersionUnchecked, expected: "rows of another version" },
        Case { fault: InjectedFault::FailedShardCounted, expected: "under the coverage" },
        Case { fault: InjectedFault::ConfigReverts, expected: "back to" },
        Case { fault: InjectedFault::TimeoutReportedAsNotRun, expected: "reported as not run" },
    ];
    for case in cases {
        let found = first_failure(Some(case.fault), SEQUENCES_PER_FAULT);
        let (seed, _, violation) =
            found.unwrap_or_else(|| panic!("{:?} was not found", case.fault));
        assert!(
            violation.contains(case.expected),
            "{:?} with seed {seed}: {violation}",
            case.fault
        );
    }
}
