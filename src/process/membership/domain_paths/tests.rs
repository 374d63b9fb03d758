use std::time::Duration;

use super::DomainPaths;
use crate::clock::Monotonic;

const DOMAIN: u8 = 2;

const fn ms(ms: u64) -> Monotonic {
    Duration::from_millis(ms)
}

#[derive(Clone, Copy)]
enum Event {
    Answer { at_ms: u64 },
    Silence { at_ms: u64, peer: &'static str, sent_ms: u64 },
}

#[test]
fn one_way_cut_between_domains() {
    use Event::{Answer, Silence};
    struct Case {
        name: &'static str,
        events: Vec<Event>,
        unreachable_at: Vec<(u64, bool)>,
    }
    let cases = [
        Case {
            name: "one silent peer",
            events: vec![
                Silence { at_ms: 1_060, peer: "a", sent_ms: 1_000 },
                Silence { at_ms: 1_090, peer: "a", sent_ms: 1_030 },
            ],
            unreachable_at: vec![(1_100, false)],
        },
        Case {
            name: "two silent peers",
            events: vec![
                Silence { at_ms: 1_060, peer: "a", sent_ms: 1_000 },
                Silence { at_ms: 1_090, peer: "b", sent_ms: 1_030 },
            ],
            unreachable_at: vec![(1_100, true), (1_489, true), (1_491, false)],
        },
        Case {
            name: "another peer has answered since the first was asked",
            events: vec![
                Silence { at_ms: 1_060, peer: "a", sent_ms: 1_000 },
                Answer { at_ms: 1_070 },
                Silence { at_ms: 1_090, peer: "b", sent_ms: 1_030 },
                Silence { at_ms: 1_150, peer: "b", sent_ms: 1_080 },
            ],
            unreachable_at: vec![(1_160, false)],
        },
        Case {
            name: "the next try is silent too",
            events: vec![
                Silence { at_ms: 1_060, peer: "a", sent_ms: 1_000 },
                Silence { at_ms: 1_090, peer: "b", sent_ms: 1_030 },
                Silence { at_ms: 1_560, peer: "a", sent_ms: 1_500 },
            ],
            unreachable_at: vec![
                (1_489, true),
                (1_495, false),
                (1_600, true),
                (2_359, true),
                (2_361, false),
            ],
        },
        Case {
            name: "the next try is answered",
            events: vec![
                Silence { at_ms: 1_060, peer: "a", sent_ms: 1_000 },
                Silence { at_ms: 1_090, peer: "b", sent_ms: 1_030 },
                Answer { at_ms: 1_505 },
                Silence { at_ms: 1_560, peer: "a", sent_ms: 1_510 },
            ],
            unreachable_at: vec![(1_600, false)],
        },
    ];
    for case in cases {
        let mut paths = DomainPaths::default();
        let mut events = case.events.into_iter().peekable();
        for at_ms in 1_000..2_500 {
            while let Some(event) = events.next_if(|event| match event {
                Answer { at_ms: at } | Silence { at_ms: at, .. } => *at <= at_ms,
            }) {
                match event {
                    Answer { at_ms } => {
                        paths.on_answer(ms(at_ms), DOMAIN);
                    }
                    Silence { at_ms, peer, sent_ms } => {
                        paths.on_silence(ms(at_ms), DOMAIN, peer, ms(sent_ms));
                    }
                }
            }
            if let Some((_, expected)) = case.unreachable_at.iter().find(|(at, _)| *at == at_ms) {
                let unreachable = paths.unreachable(ms(at_ms)).contains(&DOMAIN);
                assert_eq!(unreachable, *expected, "{} at {at_ms} ms", case.name);
            }
        }
    }
}
