use std::time::Duration;

use super::SourceOutage;
use crate::clock::Monotonic;

const START: Monotonic = Duration::from_secs(100);

/// What a host experiences, at milliseconds after [`START`].
enum Event {
    Failure(u64),
    Answer(u64),
    /// Another host got an answer at the first time, as is known by the second.
    PeerAnswer(u64),
    /// Another host reports that an outage ended at the time.
    PeerReport(u64),
}
use Event::{Answer, Failure, PeerAnswer, PeerReport};

/// Guards against entries that are taken for lapsed since a host's own failed calls, or another
/// host's report, pass for an outage of the source.
#[test]
fn outage_ends_with_the_first_answer_to_any_host() {
    struct Case {
        name: &'static str,
        events: Vec<Event>,
        returned_ms: Option<u64>,
    }
    let cases = [
        Case { name: "no failure", events: vec![Answer(0), Answer(1_000)], returned_ms: None },
        Case {
            name: "the host is alone",
            events: vec![Answer(0), Failure(500), Failure(900), Answer(4_000), Answer(5_000)],
            returned_ms: Some(4_000),
        },
        Case {
            name: "others got answers all the while",
            events: vec![
                PeerAnswer(0),
                Failure(500),
                PeerAnswer(900),
                Failure(1_200),
                PeerAnswer(1_800),
                Answer(2_000),
            ],
            returned_ms: None,
        },
        Case {
            name: "others got none, and one did first",
            events: vec![PeerAnswer(0), Failure(500), PeerAnswer(4_000), Answer(4_600)],
            returned_ms: Some(4_000),
        },
        Case {
            name: "the host reads again long after the outage",
            events: vec![
                PeerAnswer(0),
                Failure(500),
                PeerAnswer(4_000),
                PeerAnswer(5_000),
                PeerAnswer(12_000),
                Answer(13_000),
            ],
            returned_ms: Some(4_000),
        },
        Case {
            name: "the readers end, and the next one reads at once",
            events: vec![PeerAnswer(0), PeerAnswer(1_000), Answer(3_900)],
            returned_ms: None,
        },
        Case {
            name: "a report of an outage that this host has not noticed",
            events: vec![PeerAnswer(0), PeerReport(4_000)],
            returned_ms: Some(4_000),
        },
        Case {
            name: "a report of a return after the source has answered for long",
            events: vec![
                PeerAnswer(0),
                PeerAnswer(1_000),
                PeerAnswer(2_000),
                PeerReport(3_000),
                Answer(3_200),
            ],
            returned_ms: None,
        },
        Case {
            name: "hosts that notice one return at different times",
            events: vec![Failure(0), PeerReport(4_300), PeerReport(4_000), PeerReport(4_800)],
            returned_ms: Some(4_000),
        },
    ];
    for Case { name, events, returned_ms } in cases {
        let mut outage = SourceOutage::default();
        let at = |ms: u64| START + Duration::from_millis(ms);
        for event in events {
            match event {
                Failure(ms) => outage.on_failure(at(ms)),
                Answer(ms) => drop(outage.on_answer(at(ms))),
                PeerAnswer(ms) => drop(outage.on_peer_answer(at(ms))),
                PeerReport(ms) => outage.on_peer_reported_return(at(ms)),
            }
        }
        assert_eq!(outage.returned_at(), returned_ms.map(at), "{name}");
    }
}
