//! Guards against a host that takes itself for the only one because it has not heard of others yet.

use std::time::Duration;

use super::{Discovery, FleetKnowledge};
use crate::clock::Monotonic;

enum Event {
    CompleteView,
    /// No tick happens until the next event.
    Pause,
}

fn at(ms: u64) -> Monotonic {
    Duration::from_millis(ms)
}

#[test]
fn fleet_is_known_some_time_after_a_start_a_complete_view_or_a_pause() {
    use FleetKnowledge::{Joining, Known, Unknown};
    struct Case {
        name: &'static str,
        events: Vec<(u64, Event)>,
        expected: Vec<(u64, FleetKnowledge)>,
    }
    let cases = [
        Case {
            name: "all hosts start together",
            events: vec![],
            expected: vec![(0, Unknown), (1_950, Unknown), (2_000, Known)],
        },
        Case {
            name: "a host joins a fleet",
            events: vec![(100, Event::CompleteView), (600, Event::CompleteView)],
            expected: vec![(50, Unknown), (150, Joining), (1_050, Joining), (1_100, Known)],
        },
        Case {
            name: "a complete view that comes late does not delay",
            events: vec![(1_900, Event::CompleteView)],
            expected: vec![(1_950, Joining), (2_000, Known)],
        },
        Case {
            name: "a host wakes up",
            events: vec![(5_000, Event::Pause), (8_000, Event::CompleteView)],
            expected: vec![(4_950, Known), (8_000, Joining), (8_950, Joining), (9_000, Known)],
        },
        Case {
            name: "a short pause",
            events: vec![(5_000, Event::Pause), (5_900, Event::CompleteView)],
            expected: vec![(5_900, Known)],
        },
    ];
    for case in cases {
        let mut discovery = Discovery::new(at(0));
        let mut paused = false;
        let mut events = case.events.iter().peekable();
        for ms in (0..10_000).step_by(50) {
            let due = events.next_if(|(event_ms, _)| *event_ms <= ms);
            paused = match due {
                Some((_, Event::Pause)) => true,
                Some((_, Event::CompleteView)) => false,
                None => paused,
            };
            if paused {
                continue;
            }
            discovery.on_tick(at(ms));
            if matches!(due, Some((_, Event::CompleteView))) {
                discovery.on_complete_view(at(ms));
            }
            for (_, expected) in case.expected.iter().filter(|(at_ms, _)| *at_ms == ms) {
                assert_eq!(discovery.knowledge(at(ms)), *expected, "{} at {ms}", case.name);
            }
        }
    }
}
