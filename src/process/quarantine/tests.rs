use std::time::Duration;

use super::{
    ANNOUNCE_TIME, MAX_SUSPECTS, QUARANTINE, Quarantine, SUSPECT_MEMORY, SuspectChange, TRIAL_TIME,
};
use crate::clock::Monotonic;
use crate::ids::ServerId;

const START: Monotonic = Duration::from_secs(100);
const REQUEST: u64 = 1;
const OTHER: u64 = 2;

fn at(ms: u64) -> Monotonic {
    START + Duration::from_millis(ms)
}

fn server(n: u64) -> ServerId {
    format!("s{n}").into()
}

/// Runs requests at a server that crashes; each has a run id of its own.
fn crash(host: &mut Quarantine, now: Monotonic, on: u64, requests: &[u64]) -> Vec<SuspectChange> {
    let server = server(on);
    requests.iter().for_each(|request| host.on_sent(&server, *request));
    let mut changes = Vec::new();
    for request in requests {
        changes.extend(host.on_crash(now, &server, *request, on << 32 | request));
    }
    requests.iter().for_each(|request| host.on_ended(&server, *request));
    changes
}

#[test]
fn crashes_are_attributed_to_the_requests_that_explain_them() {
    struct Case {
        name: &'static str,
        /// The requests that were running at each crash.
        crashes: &'static [&'static [u64]],
        /// Whether the second request was answered after the first crash.
        other_answered: bool,
        request_quarantined: bool,
        other_quarantined: bool,
    }
    let case = |name, crashes| Case {
        name,
        crashes,
        other_answered: false,
        request_quarantined: true,
        other_quarantined: false,
    };
    let cases = [
        Case { request_quarantined: false, ..case("one crash", &[&[REQUEST]]) },
        case("two crashes", &[&[REQUEST], &[REQUEST]]),
        case("beside another, then alone", &[&[REQUEST, OTHER], &[REQUEST]]),
        case("new requests beside a suspect are not blamed", &[&[REQUEST], &[REQUEST, OTHER]]),
        Case {
            request_quarantined: false,
            ..case("two suspects together twice", &[&[REQUEST, OTHER], &[REQUEST, OTHER]])
        },
        Case {
            other_quarantined: true,
            ..case(
                "two suspects together three times",
                &[&[REQUEST, OTHER], &[REQUEST, OTHER], &[REQUEST, OTHER]],
            )
        },
        Case {
            other_answered: true,
            ..case(
                "one of two is answered",
                &[&[REQUEST, OTHER], &[REQUEST, OTHER], &[REQUEST, OTHER]],
            )
        },
    ];
    for case in cases {
        let mut host = Quarantine::default();
        for (n, requests) in (0..).zip(case.crashes) {
            crash(&mut host, at(n * 100), n, requests);
            if n == 0 && case.other_answered {
                assert_eq!(host.on_answered(at(50), OTHER), Some(SuspectChange::Cleared));
            }
        }
        let now = at(1_000);
        assert_eq!(host.is_quarantined(now, REQUEST), case.request_quarantined, "{}", case.name);
        assert_eq!(host.is_quarantined(now, OTHER), case.other_quarantined, "{}", case.name);
        assert_eq!(host.check(now, REQUEST).is_err(), case.request_quarantined, "{}", case.name);
    }
}

/// Guards against each host needing crashes of its own to learn of the same request.
#[test]
fn hosts_share_what_they_have_seen() {
    let mut hosts: Vec<Quarantine> = (0..8).map(|_| Quarantine::default()).collect();
    let mut crashes = 0;
    for n in 0..40_u64 {
        let now = at(n * 500);
        let host = (n % 8) as usize;
        if hosts[host].check(now, REQUEST).is_err() {
            continue;
        }
        hosts[host].begin_trial(now, REQUEST);
        crashes += crash(&mut hosts[host], now, n, &[REQUEST]).len();
        let reports = hosts[host].reports(now, false);
        for (other, quarantine) in hosts.iter_mut().enumerate().filter(|(n, _)| *n != host) {
            for report in &reports {
                quarantine.on_report(now + Duration::from_millis(3), report);
                // A message may arrive more than once.
                quarantine.on_report(now + Duration::from_millis(9), report);
            }
            assert!(quarantine.is_suspect(REQUEST), "host {other}");
        }
    }
    assert_eq!(crashes, 2);
    let mut joined = Quarantine::default();
    for report in hosts[3].reports(at(20_000), true) {
        joined.on_report(at(20_001), &report);
    }
    assert!(joined.is_quarantined(at(20_001), REQUEST), "a host that joins late must know");
    assert!(hosts[3].reports(at(20_000), false).is_empty(), "nothing changed lately");
}

#[test]
fn a_suspect_runs_at_one_host_at_a_time() {
    let mut hosts = [Quarantine::default(), Quarantine::default()];
    crash(&mut hosts[0], at(0), 0, &[REQUEST]);
    assert!(hosts[0].begin_trial(at(10), REQUEST));
    for report in hosts[0].reports(at(10), false) {
        hosts[1].on_report(at(12), &report);
    }
    assert!(hosts[1].check(at(20), REQUEST).is_err(), "the other host's run has not ended");
    assert!(hosts[1].check(at(20), OTHER).is_ok());
    assert!(!hosts[1].begin_trial(at(20), OTHER), "only suspects are announced");
    assert!(hosts[1].check(at(12) + TRIAL_TIME, REQUEST).is_ok(), "the other host may be lost");
    assert_eq!(hosts[0].on_answered(at(30), REQUEST), Some(SuspectChange::Cleared));
    for report in hosts[0].reports(at(30), false) {
        assert_eq!(hosts[1].on_report(at(32), &report), Some(SuspectChange::Cleared));
    }
    assert!(hosts[1].check(at(40), REQUEST).is_ok());
    assert!(!hosts[1].is_suspect(REQUEST));
}

#[test]
fn quarantine_ends_and_grows_with_each_further_crash() {
    let mut host = Quarantine::default();
    let mut now = START;
    crash(&mut host, now, 0, &[REQUEST]);
    for (n, expected) in (1..).zip([1, 2, 4, 8]) {
        let changes = crash(&mut host, now, n, &[REQUEST]);
        assert_eq!(changes, [SuspectChange::Quarantined(QUARANTINE * expected)], "crash {n}");
        host.evict(now);
        let end = now + QUARANTINE * expected;
        let refused = host.check(end - Duration::from_secs(1), REQUEST);
        let retry_after = refused.expect_err("still in quarantine").retry_after;
        assert_eq!(retry_after, Duration::from_secs(1));
        assert!(host.check(end, REQUEST).is_ok(), "one more run shows whether it still crashes");
        now = end;
    }
    host.evict(now + SUSPECT_MEMORY);
    assert!(!host.is_suspect(REQUEST), "the knowledge ends if the request does not return");
}

#[test]
fn memory_is_bounded() {
    let mut host = Quarantine::default();
    for request in 0..2 * MAX_SUSPECTS as u64 {
        crash(&mut host, at(request), request, &[request]);
    }
    assert_eq!(host.suspects.len(), MAX_SUSPECTS);
    assert!(host.is_suspect(2 * MAX_SUSPECTS as u64 - 1), "the newest are kept");
    assert!(host.running.is_empty());
    for n in 0..100 {
        crash(&mut host, at(10_000 + n), n, &[REQUEST]);
    }
    assert!(host.suspects[&REQUEST].crashes.len() <= super::MAX_CRASHES);
}

#[test]
fn reports_stop_when_nothing_changes() {
    let mut host = Quarantine::default();
    crash(&mut host, at(0), 0, &[REQUEST]);
    assert_eq!(host.reports(at(1), false).len(), 1);
    assert!(host.reports(at(0) + ANNOUNCE_TIME, false).is_empty());
}

/// Guards against popular requests that are quarantined because they are beside many crashes.
#[test]
fn popular_request_is_not_blamed() {
    let mut hosts = [Quarantine::default(), Quarantine::default()];
    for n in 0..20_u64 {
        let now = at(n * 1_000);
        // Only the second host gets answers.
        hosts[1].on_answered(now, OTHER);
        crash(&mut hosts[0], now + Duration::from_millis(500), n, &[OTHER]);
        for (from, to) in [(0, 1), (1, 0)] {
            for report in hosts[from].reports(now + Duration::from_millis(510), false) {
                hosts[to].on_report(now + Duration::from_millis(512), &report);
            }
        }
        for host in &hosts {
            assert!(host.check(now + Duration::from_millis(600), OTHER).is_ok(), "crash {n}");
        }
    }
    let late = at(19_000) + super::PRESUMED_INNOCENT;
    crash(&mut hosts[0], late, 100, &[OTHER]);
    crash(&mut hosts[0], late, 101, &[OTHER]);
    assert!(hosts[0].is_quarantined(late, OTHER), "its answers were long ago");
}

#[test]
fn memory_of_answered_requests_is_bounded() {
    let mut host = Quarantine::default();
    for request in 0..3 * super::MAX_ANSWERED as u64 {
        host.on_answered(START, request);
    }
    assert_eq!(host.answered.len(), super::MAX_ANSWERED);
    host.on_answered(START + super::PRESUMED_INNOCENT * 2, 1);
    assert_eq!(host.answered.len(), 1);
    assert_eq!(host.answered_order.len(), 1);
}
