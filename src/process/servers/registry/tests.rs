use std::time::Duration;

use super::{Change, Fact, LAPSE_HOLD, Registry, ServerRecord};
use crate::clock::Monotonic;

const START: Monotonic = Duration::from_secs(100);

fn record(id: &str, ready: bool) -> ServerRecord {
    ServerRecord {
        id: id.into(),
        service: "desk".into(),
        addr: "127.0.0.1:9000".parse().expect("a valid address"),
        domain: "north".into(),
        slots: 2,
        ready,
        cold_left_ms: 0,
    }
}

fn up(id: &str, revision: u64) -> Change {
    Change { revision, fact: Fact::Server(id.into(), Some(record(id, true))) }
}

fn gone(id: &str, revision: u64) -> Change {
    Change { revision, fact: Fact::Server(id.into(), None) }
}

#[test]
fn the_newest_word_decides_whatever_the_order_of_arrival() {
    struct Case {
        name: &'static str,
        changes: Vec<Change>,
        usable: bool,
    }
    let draining =
        |revision| Change { revision, fact: Fact::Server("a".into(), Some(record("a", false))) };
    let out = |revision, out| Change { revision, fact: Fact::DomainOut("north".into(), out) };
    let cases = [
        Case { name: "ready", changes: vec![up("a", 1)], usable: true },
        Case { name: "removed", changes: vec![up("a", 1), gone("a", 2)], usable: false },
        Case { name: "late older word", changes: vec![gone("a", 2), up("a", 1)], usable: false },
        Case { name: "draining", changes: vec![draining(3), up("a", 1)], usable: false },
        Case { name: "domain out", changes: vec![up("a", 1), out(2, true)], usable: false },
        Case {
            name: "domain back",
            changes: vec![up("a", 1), out(4, false), out(2, true)],
            usable: true,
        },
    ];
    for case in cases {
        let mut registry = Registry::default();
        registry.apply(START, case.changes, 9);
        assert_eq!(registry.view().may_send("a"), case.usable, "{}", case.name);
    }
}

#[test]
fn entries_that_lapsed_while_the_source_was_away_are_kept_for_a_while() {
    struct Case {
        name: &'static str,
        away: bool,
        after_return_ms: u64,
        usable_at_once: bool,
        usable_later: bool,
        back: bool,
    }
    let cases = [
        Case {
            name: "removed with the source there",
            away: false,
            after_return_ms: 0,
            usable_at_once: false,
            usable_later: false,
            back: false,
        },
        Case {
            name: "lapsed and not back",
            away: true,
            after_return_ms: 50,
            usable_at_once: true,
            usable_later: false,
            back: false,
        },
        Case {
            name: "lapsed and back",
            away: true,
            after_return_ms: 50,
            usable_at_once: true,
            usable_later: true,
            back: true,
        },
        Case {
            name: "removed long after the return",
            away: true,
            after_return_ms: 2_100,
            usable_at_once: false,
            usable_later: false,
            back: false,
        },
    ];
    for case in cases {
        let mut registry = Registry::default();
        registry.apply(START, vec![up("a", 1)], 1);
        if case.away {
            registry.on_source_lost();
            assert!(registry.on_source_answers(START));
        }
        let now = START + Duration::from_millis(case.after_return_ms);
        registry.apply(now, vec![gone("a", 2)], 2);
        assert_eq!(registry.view().may_send("a"), case.usable_at_once, "{}", case.name);
        if case.back {
            registry.apply(now, vec![up("a", 3)], 3);
        }
        registry.expire(START + LAPSE_HOLD);
        assert_eq!(registry.view().may_send("a"), case.usable_later, "{}", case.name);
    }
}

#[test]
fn a_whole_reading_removes_what_it_does_not_name() {
    let mut registry = Registry::default();
    let out = Change { revision: 2, fact: Fact::DomainOut("south".into(), true) };
    registry.apply(START, vec![up("a", 1), up("b", 1), out], 2);
    registry.replace(START, vec![up("b", 1)], 7);
    let view = registry.view();
    assert!(!view.may_send("a"));
    assert!(view.may_send("b"));
    assert_eq!(registry.revision(), 7);
}

#[test]
fn a_peer_learns_all_that_it_lacks() {
    let mut first = Registry::default();
    first.apply(START, vec![up("a", 1), up("b", 2), gone("a", 3)], 3);
    let mut second = Registry::default();
    second.apply(START, vec![up("a", 1)], 1);
    second.apply(START, first.changes_after(1, START), first.revision());
    assert!(!second.view().may_send("a"));
    assert!(second.view().may_send("b"));
}
