use std::time::Duration;

use super::{AttemptEnd, PassiveHealth};
use crate::clock::Monotonic;
use crate::ids::ServerId;

const TYPICAL: Duration = Duration::from_millis(10);
const START: Monotonic = Duration::from_secs(50);

const fn at(ms: u64) -> Monotonic {
    START.saturating_add(Duration::from_millis(ms))
}

#[test]
fn overdue_server_is_stalled_until_it_replies() {
    let server = ServerId::from("a");
    let mut tracker = PassiveHealth::default();
    let first = tracker.on_sent(at(0), &server, TYPICAL);
    let second = tracker.on_sent(at(5), &server, TYPICAL);
    assert!(!tracker.health(at(15), &server, 2, TYPICAL).stalled, "no attempt is overdue yet");
    assert!(tracker.health(at(30), &server, 2, TYPICAL).stalled, "the oldest attempt is overdue");
    let took = Duration::from_millis(40);
    tracker.on_end(at(40), &server, second, Some(TYPICAL), AttemptEnd::Answered(took));
    assert!(!tracker.health(at(41), &server, 2, TYPICAL).stalled, "a later attempt was answered");
    tracker.on_end(at(60), &server, first, Some(TYPICAL), AttemptEnd::Answered(took));
    assert!(!tracker.health(at(100), &server, 2, TYPICAL).stalled, "no attempt is pending");
}

#[test]
fn pause_is_told_from_slowness() {
    struct Case {
        name: &'static str,
        /// When each request was sent and when its reply arrived, in milliseconds.
        replies: Vec<(u64, u64)>,
        slowness: std::ops::Range<f64>,
    }
    let cases = [
        Case { name: "usual replies", replies: vec![(0, 10), (20, 30)], slowness: 0.9..1.1 },
        Case {
            name: "one pause delays many requests",
            replies: vec![(0, 250), (10, 252), (60, 254), (200, 258), (240, 260)],
            slowness: 1.1..1.3,
        },
        Case {
            name: "pauses between usual replies",
            replies: vec![(0, 250), (260, 270), (300, 500), (510, 520)],
            slowness: 1.0..1.5,
        },
        Case {
            name: "slow in two requests one after the other",
            replies: vec![(0, 90), (100, 190)],
            slowness: 3.5..9.0,
        },
        Case {
            name: "slow in many requests at a time",
            replies: vec![(0, 90), (50, 140), (100, 190), (150, 240)],
            slowness: 3.5..9.0,
        },
    ];
    for case in cases {
        let server = ServerId::from("a");
        let mut tracker = PassiveHealth::default();
        let mut events: Vec<(u64, usize, bool)> = Vec::new();
        for (n, (sent, received)) in case.replies.iter().enumerate() {
            events.extend([(*sent, n, true), (*received, n, false)]);
        }
        events.sort_unstable();
        let mut tickets = vec![0; case.replies.len()];
        for (ms, n, is_sent) in events {
            if is_sent {
                tickets[n] = tracker.on_sent(at(ms), &server, TYPICAL);
            } else {
                let took = Duration::from_millis(ms - case.replies[n].0);
                let end = AttemptEnd::Answered(took);
                tracker.on_end(at(ms), &server, tickets[n], Some(TYPICAL), end);
            }
        }
        let last = case.replies.iter().map(|reply| reply.1).max().unwrap_or(0);
        let slowness = tracker.slowness(at(last), &server).unwrap_or(0.0);
        assert!(case.slowness.contains(&slowness), "{}: {slowness}", case.name);
    }
}

#[test]
fn failed_or_slow_attempts_raise_estimates_which_decay() {
    struct Case {
        name: &'static str,
        ends: Vec<AttemptEnd>,
        avoided: bool,
        slower: bool,
    }
    let cases = [
        Case {
            name: "fast",
            ends: vec![AttemptEnd::Answered(TYPICAL)],
            avoided: false,
            slower: false,
        },
        Case {
            name: "slow",
            ends: vec![AttemptEnd::Answered(Duration::from_millis(90))],
            avoided: false,
            slower: true,
        },
        Case {
            name: "unreachable",
            ends: vec![AttemptEnd::Unreachable],
            avoided: true,
            slower: true,
        },
        Case { name: "one failure", ends: vec![AttemptEnd::Failed], avoided: false, slower: true },
        Case {
            name: "many failures",
            ends: vec![AttemptEnd::Failed, AttemptEnd::Shed, AttemptEnd::Failed],
            avoided: true,
            slower: true,
        },
        Case { name: "not sent", ends: vec![AttemptEnd::NotSent], avoided: false, slower: false },
    ];
    for case in cases {
        let server = ServerId::from("a");
        let mut tracker = PassiveHealth::default();
        for end in &case.ends {
            let ticket = tracker.on_sent(at(0), &server, TYPICAL);
            tracker.on_end(at(1), &server, ticket, Some(TYPICAL), *end);
        }
        let soon = tracker.health(at(2), &server, 2, TYPICAL);
        assert_eq!(soon.avoided, case.avoided, "{}", case.name);
        assert_eq!(soon.expected > TYPICAL.mul_f64(1.05), case.slower, "{}", case.name);
        let later = tracker.health(at(30_000), &server, 2, TYPICAL);
        assert!(!later.avoided && later.expected < TYPICAL.mul_f64(1.05), "{}", case.name);
    }
}

#[test]
fn typical_time_converges_to_reply_times() {
    let mut tracker = PassiveHealth::default();
    let target = Duration::from_millis(200);
    assert_eq!(tracker.typical("r", target), Duration::from_millis(40));
    for _ in 0..400 {
        tracker.update_typical(&"r".into(), Duration::from_millis(12), target);
    }
    let typical = tracker.typical("r", target).as_secs_f64();
    assert!((0.0112..0.0128).contains(&typical), "{typical}");
}
