use super::*;

const fn at(millis: u64) -> Monotonic {
    Duration::from_millis(millis)
}

fn id(name: &str) -> smol_str::SmolStr {
    name.into()
}

/// An event at a server of a service, at a time in milliseconds.
enum Event {
    Answers(&'static str, u64),
    /// The server, its service, when the connection was tried, and when it failed.
    Fails(&'static str, &'static str, u64, u64),
    /// The same for a server that was picked to confirm the failure of another one.
    FailsToo(&'static str, &'static str, u64, u64),
}

use Event::{Answers, Fails, FailsToo};

const fn tried(millis: u64, confirms: bool) -> Failure {
    Failure { tried_at: at(millis), confirms }
}

#[test]
fn host_is_cut_off_only_if_several_servers_fail_and_none_answers_since() {
    struct Case {
        name: &'static str,
        events: Vec<Event>,
        /// The number of servers of the service.
        known: usize,
        service: bool,
        all: bool,
    }
    let three =
        || vec![Fails("a", "s", 10, 11), Fails("b", "s", 10, 12), FailsToo("c", "t", 10, 13)];
    let then = |mut events: Vec<Event>, event| {
        events.push(event);
        events
    };
    let cases = [
        Case { name: "three fail", events: three(), known: 4, service: true, all: true },
        Case {
            name: "three fail that requests were sent to",
            events: vec![Fails("a", "s", 10, 11), Fails("b", "s", 10, 12), Fails("c", "t", 10, 13)],
            known: 4,
            service: true,
            all: false,
        },
        Case {
            name: "one fails three times",
            events: vec![Fails("a", "s", 1, 2), Fails("a", "s", 3, 4), Fails("a", "s", 5, 6)],
            known: 4,
            service: false,
            all: false,
        },
        Case {
            name: "two of a service fail",
            events: vec![Fails("a", "s", 1, 2), Fails("b", "s", 3, 4)],
            known: 4,
            service: true,
            all: false,
        },
        Case {
            name: "the only server of a service fails",
            events: vec![Fails("a", "s", 1, 2)],
            known: 1,
            service: true,
            all: false,
        },
        Case {
            name: "another service answers meanwhile",
            events: vec![
                Fails("a", "s", 1, 2),
                Answers("t", 3),
                Fails("b", "s", 2, 4),
                FailsToo("c", "u", 2, 5),
            ],
            known: 4,
            service: true,
            all: false,
        },
        Case {
            name: "another service answers afterwards",
            events: then(three(), Answers("t", 20)),
            known: 4,
            service: true,
            all: false,
        },
        Case {
            name: "the service answers afterwards",
            events: then(three(), Answers("s", 20)),
            known: 4,
            service: false,
            all: false,
        },
        Case {
            name: "old connections answer while new ones are refused",
            events: vec![
                Fails("a", "s", 1, 4),
                Answers("s", 5),
                Fails("b", "s", 4, 6),
                Answers("s", 7),
                Fails("c", "s", 6, 8),
            ],
            known: 4,
            service: false,
            all: false,
        },
    ];
    for Case { name, events, known, service, all } in cases {
        let mut reachability = Reachability::default();
        for event in events {
            match event {
                Answers(service, now) => drop(reachability.on_answer(at(now), &id(service))),
                Fails(server, service, tried_at, now) => {
                    let server = (&id(service), &id(server));
                    reachability.on_failure(at(now), server, tried(tried_at, false), known);
                }
                FailsToo(server, service, tried_at, now) => {
                    let server = (&id(service), &id(server));
                    reachability.on_failure(at(now), server, tried(tried_at, true), known);
                }
            }
        }
        assert_eq!(reachability.is_unreachable("s"), service, "{name}");
        assert_eq!(reachability.is_cut_off(), all, "{name}");
    }
}

#[test]
fn silence_is_in_doubt_only_if_nothing_has_answered_since() {
    let mut reachability = Reachability::default();
    reachability.on_answer(at(100), &id("t"));
    assert!(!reachability.on_silence(at(200), "s", &id("a"), at(90)));
    assert!(reachability.on_silence(at(200), "s", &id("a"), at(110)));
    assert_eq!(reachability.take_probes(at(200)), [Probe::Check(id("a"))]);
    assert!(reachability.on_silence(at(250), "s", &id("b"), at(120)), "still in doubt");
    assert_eq!(reachability.take_probes(at(250)), [], "a check was made just before");
    reachability.on_answer(at(260), &id("t"));
    assert!(!reachability.on_silence(at(300), "s", &id("b"), at(120)));
}

#[test]
fn unreachable_servers_are_probed_until_one_answers() {
    let mut reachability = Reachability::default();
    for (n, server) in ["a", "b", "c"].iter().enumerate() {
        reachability.on_failure(at(10 + n as u64), (&id("s"), &id(server)), tried(5, true), 4);
    }
    reachability.take_probes(at(13));
    let probed: Vec<u64> = (14..4_000)
        .filter(|now| reachability.take_probes(at(*now)).contains(&Probe::Any))
        .collect();
    assert_eq!(probed, [212, 612, 1_412, 2_212, 3_012, 3_812]);
    let change = reachability.on_answer(at(4_000), &id("t"));
    assert_eq!(change, PathChange { service: false, all: true });
    assert_eq!(reachability.take_probes(at(9_000)), [Probe::Service(id("s"))]);
}
