use std::time::Duration;

use super::{Change, Fact, LAPSE_GRACE, Registry, ServerRecord};
use crate::clock::Monotonic;
use crate::position::Position;

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

/// Returns a position in the first epoch.
fn at(revision: u64) -> Position {
    Position { epoch: 0, revision }
}

fn up(id: &str, revision: u64) -> Change {
    Change { revision, fact: Fact::Server(id.into(), Some(record(id, true))) }
}

fn removed(id: &str, revision: u64) -> Change {
    Change { revision, fact: Fact::Server(id.into(), None) }
}

#[test]
fn newest_revision_wins_in_any_order() {
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
        Case { name: "removed", changes: vec![up("a", 1), removed("a", 2)], usable: false },
        Case {
            name: "older revision arrives late",
            changes: vec![removed("a", 2), up("a", 1)],
            usable: false,
        },
        Case { name: "draining", changes: vec![draining(3), up("a", 1)], usable: false },
        Case { name: "domain out", changes: vec![up("a", 1), out(2, true)], usable: false },
        Case {
            name: "domain readmitted",
            changes: vec![up("a", 1), out(4, false), out(2, true)],
            usable: true,
        },
    ];
    for case in cases {
        let mut registry = Registry::default();
        registry.apply(START, case.changes, at(9));
        assert_eq!(registry.view().may_send("a"), case.usable, "{}", case.name);
    }
}

#[test]
fn entries_lapsed_during_source_outage_have_grace_period() {
    struct Case {
        name: &'static str,
        source_lost: bool,
        after_recovery_ms: u64,
        usable_at_first: bool,
        usable_later: bool,
        restored: bool,
    }
    let cases = [
        Case {
            name: "removed without an outage",
            source_lost: false,
            after_recovery_ms: 0,
            usable_at_first: false,
            usable_later: false,
            restored: false,
        },
        Case {
            name: "lapsed, not restored",
            source_lost: true,
            after_recovery_ms: 50,
            usable_at_first: true,
            usable_later: false,
            restored: false,
        },
        Case {
            name: "lapsed, restored",
            source_lost: true,
            after_recovery_ms: 50,
            usable_at_first: true,
            usable_later: true,
            restored: true,
        },
        Case {
            name: "removed long after recovery",
            source_lost: true,
            after_recovery_ms: 2_100,
            usable_at_first: false,
            usable_later: false,
            restored: false,
        },
    ];
    for case in cases {
        let mut registry = Registry::default();
        registry.apply(START, vec![up("a", 1)], at(1));
        if case.source_lost {
            registry.on_source_lost(START);
            assert!(registry.on_source_answers(START));
        }
        let now = START + Duration::from_millis(case.after_recovery_ms);
        registry.apply(now, vec![removed("a", 2)], at(2));
        assert_eq!(registry.view().may_send("a"), case.usable_at_first, "{}", case.name);
        if case.restored {
            registry.apply(now, vec![up("a", 3)], at(3));
        }
        registry.expire(START + LAPSE_GRACE);
        assert_eq!(registry.view().may_send("a"), case.usable_later, "{}", case.name);
    }
}

#[test]
fn snapshot_removes_missing_servers() {
    let mut registry = Registry::default();
    let out = Change { revision: 2, fact: Fact::DomainOut("south".into(), true) };
    registry.apply(START, vec![up("a", 1), up("b", 1), out], at(2));
    registry.apply_snapshot(START, vec![up("b", 1)], at(7));
    let view = registry.view();
    assert!(!view.may_send("a"));
    assert!(view.may_send("b"));
    assert_eq!(registry.position(), at(7));
}

#[test]
fn peer_receives_missing_changes() {
    let mut first = Registry::default();
    first.apply(START, vec![up("a", 1), up("b", 2), removed("a", 3)], at(3));
    let mut second = Registry::default();
    second.apply(START, vec![up("a", 1)], at(1));
    second.apply(START, first.changes_after(1, START), first.position());
    assert!(!second.view().may_send("a"));
    assert!(second.view().may_send("b"));
}

/// Returns a position in an epoch.
fn in_epoch(epoch: u64, revision: u64) -> Position {
    Position { epoch, revision }
}

/// Enters a later epoch as a host does that reads it from the source.
fn enter(registry: &mut Registry, now: Monotonic, changes: Vec<Change>, up_to: Position) {
    registry.on_source_restored(now);
    registry.apply_snapshot(now, changes, up_to);
}

/// Guards against requests to a server that has left, after the source was restored twice within
/// seconds and only the older of the two copies still lists the server.
#[test]
fn removed_server_stays_out_when_the_source_is_restored_twice() {
    let mut registry = Registry::default();
    registry.apply(START, vec![up("a", 50), up("b", 51), removed("a", 95)], at(100));
    let now = START + Duration::from_secs(2);
    enter(&mut registry, now, vec![up("b", 51)], in_epoch(1, 97));
    let now = now + Duration::from_secs(2);
    enter(&mut registry, now, vec![up("a", 50), up("b", 51)], in_epoch(2, 98));
    assert!(!registry.view().may_send("a"), "removed four seconds ago, never reported again");
}

/// Guards against a live server that is dropped two seconds after a first restoration, although the
/// source has just been restored again and the server could not yet report.
#[test]
fn live_server_has_its_time_to_report_after_each_restoration() {
    let mut registry = Registry::default();
    registry.apply(START, vec![up("b", 1), up("a", 90)], at(100));
    enter(&mut registry, START, vec![up("b", 1)], in_epoch(1, 80));
    let again = START + LAPSE_GRACE - Duration::from_millis(100);
    enter(&mut registry, again, vec![up("b", 1)], in_epoch(2, 80));
    registry.expire(again + LAPSE_GRACE / 2);
    assert!(registry.view().may_send("a"), "one second after the second restoration");
}

/// Guards against a server that has reported in the present epoch and gets no requests because a
/// host that entered the epoch after that report can't tell that it is new.
#[test]
fn host_that_saw_a_new_report_ignores_a_peer_that_withholds_the_server() {
    let earlier = vec![up("a", 50), removed("a", 95)];
    let (mut early, mut late) = (Registry::default(), Registry::default());
    for registry in [&mut early, &mut late] {
        registry.apply(START, earlier.clone(), at(100));
    }
    enter(&mut early, START, vec![up("a", 50)], in_epoch(1, 80));
    early.apply(START, vec![up("a", 85)], in_epoch(1, 85));
    assert!(early.view().may_send("a"), "reported after the epoch was entered");
    enter(&mut late, START, vec![up("a", 85)], in_epoch(1, 90));
    early.on_peer_withholds(START, late.position(), true, late.withheld(START));
    assert!(early.view().may_send("a"), "a peer that knows less must not take it out of use");
}

/// Guards against a failure domain that operators have readmitted in the present epoch and that a
/// host takes out again because of a peer that has not yet read this.
#[test]
fn readmitted_domain_is_not_withheld_again_by_a_peer_that_lags() {
    let out = |revision, out| Change { revision, fact: Fact::DomainOut("north".into(), out) };
    let (mut lags, mut joins) = (Registry::default(), Registry::default());
    lags.apply(START, vec![up("a", 50), out(95, true)], at(100));
    enter(&mut lags, START, vec![up("a", 50)], in_epoch(1, 80));
    // Taken out and readmitted in the present epoch at 90 and 95; a host that joins afterwards reads
    // this, and is told what a host retains that is still at revision 80.
    joins.apply_snapshot(START, vec![up("a", 50)], in_epoch(1, 120));
    joins.on_peer_withholds(START, lags.position(), true, lags.withheld(START));
    assert!(joins.view().may_send("a"), "the domain is in use as of revision 120");
}

/// Guards against hosts that extend what they withhold by telling each other: the time that a message
/// is under way must not count anew each time.
#[test]
fn hosts_that_tell_each_other_do_not_extend_the_retention() {
    struct Case {
        name: &'static str,
        delay: Duration,
    }
    let cases = [
        Case { name: "between domains", delay: Duration::from_millis(30) },
        Case { name: "a slowed link", delay: Duration::from_millis(600) },
    ];
    /// How often readers push while they withhold anything.
    const PUSH_INTERVAL: Duration = Duration::from_millis(150);
    let mut too_long = Vec::new();
    for case in cases {
        let mut hosts = [Registry::default(), Registry::default()];
        for host in &mut hosts {
            host.apply(START, vec![up("a", 50), removed("a", 95)], at(100));
            enter(host, START, vec![up("a", 50)], in_epoch(1, 80));
        }
        let mut under_way = Vec::new();
        let mut now = START;
        let mut next_push = START;
        let usable_after = loop {
            now += Duration::from_millis(10);
            for host in &mut hosts {
                host.end_retention(now);
            }
            if now >= next_push {
                next_push = now + PUSH_INTERVAL;
                for (n, host) in hosts.iter().enumerate() {
                    under_way.push((now + case.delay, 1 - n, host.withheld(now)));
                }
            }
            let (due, later) = under_way.into_iter().partition(|(at, ..)| *at <= now);
            under_way = later;
            let due: Vec<_> = due;
            for (_, to, withheld) in due {
                hosts[to].on_peer_withholds(now, in_epoch(1, 80), true, withheld);
            }
            let usable = hosts.iter().all(|host| host.view().may_send("a"));
            if usable || now > START + Duration::from_secs(120) {
                break now - START;
            }
        };
        let bound = hosts[0].retention + case.delay + Duration::from_millis(20);
        if usable_after > bound {
            too_long.push(format!("{}: {usable_after:?}, bound {bound:?}", case.name));
        }
    }
    assert!(too_long.is_empty(), "{too_long:#?}");
}

/// Guards against a server that is used, or a failure domain that stays out, for good because an
/// older complete read of the same epoch arrives after a newer one, which does not say what was
/// removed: its own read was under way, or another reader's push is late.
#[test]
fn older_snapshot_of_an_epoch_does_not_bring_back_what_a_newer_one_lacks() {
    let out = |revision| Change { revision, fact: Fact::DomainOut("north".into(), true) };
    struct Case {
        name: &'static str,
        /// What the host knows of the earlier epoch.
        known: Vec<Change>,
        newer: Vec<Change>,
        older: Vec<Change>,
        usable: [(&'static str, bool); 2],
    }
    let cases = [
        Case {
            name: "the host has just started",
            known: vec![],
            newer: vec![up("b", 51)],
            older: vec![up("a", 50), up("b", 51)],
            usable: [("a", false), ("b", true)],
        },
        Case {
            name: "the server was removed in the earlier epoch too",
            known: vec![up("a", 50), up("b", 51), removed("a", 95)],
            newer: vec![up("b", 51)],
            older: vec![up("a", 50), up("b", 51)],
            usable: [("a", false), ("b", true)],
        },
        Case {
            name: "the domain was readmitted in between",
            known: vec![],
            newer: vec![up("b", 51)],
            older: vec![up("b", 51), out(60)],
            usable: [("a", false), ("b", true)],
        },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let mut registry = Registry::default();
        registry.apply(START, case.known, at(100));
        enter(&mut registry, START, case.newer, in_epoch(1, 120));
        registry.apply_snapshot(START, case.older, in_epoch(1, 110));
        let later = START + Duration::from_secs(3_600);
        registry.expire(later);
        registry.end_retention(later);
        // The source has nothing to say after this revision, so nothing corrects it.
        assert_eq!(registry.position(), in_epoch(1, 120));
        for (server, usable) in case.usable {
            if registry.view().may_send(server) != usable {
                wrong.push(format!("{}: {server} usable: {}", case.name, !usable));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a host that lagged in the earlier epoch and makes hosts that knew more withhold what
/// they use, for the whole retention time.
#[test]
fn peer_that_lagged_in_the_earlier_epoch_does_not_withhold_what_was_in_use_later() {
    let draining =
        |revision| Change { revision, fact: Fact::Server("a".into(), Some(record("a", false))) };
    let out = |revision, out| Change { revision, fact: Fact::DomainOut("north".into(), out) };
    let cases = [
        ("server", vec![draining(80)], vec![draining(80), up("a", 90)]),
        ("domain", vec![out(80, true)], vec![out(80, true), out(90, false)]),
    ];
    let mut wrong = Vec::new();
    for (name, known_to_lagging, known_to_current) in cases {
        let (mut lagging, mut current) = (Registry::default(), Registry::default());
        for (registry, changes, up_to) in
            [(&mut lagging, known_to_lagging, 80), (&mut current, known_to_current, 90)]
        {
            registry.apply(START, vec![up("a", 40)], at(40));
            registry.apply(START, changes, at(up_to));
            enter(registry, START, vec![up("a", 40)], in_epoch(1, 60));
        }
        assert!(current.view().may_send("a"), "{name}: it was in use at the end of the epoch");
        let withheld = lagging.withheld(START);
        assert_eq!(withheld.len(), 1, "{name}");
        current.on_peer_withholds(START, in_epoch(1, 60), true, withheld);
        if !current.view().may_send("a") {
            wrong.push(name);
        }
    }
    assert!(wrong.is_empty(), "withheld: {wrong:?}");
}

/// Guards against a live server or an evacuation that is hidden for good, since a peer's complete state
/// lacked it and the host's own complete read shows the same revision, as nothing has changed.
#[test]
fn own_complete_read_at_the_revision_of_a_peers_state_corrects_it() {
    let out = Change { revision: 41, fact: Fact::DomainOut("north".into(), true) };
    let cases = [
        ("server", vec![], vec![up("a", 40)], true),
        ("evacuation", vec![up("a", 40)], vec![up("a", 40), out], false),
    ];
    let mut wrong = Vec::new();
    for epoch in [0, 1] {
        for (name, from_peer, read, usable) in cases.clone() {
            let mut registry = Registry::default();
            registry.apply_snapshot(START, from_peer, in_epoch(epoch, 60));
            registry.apply_snapshot(START, read, in_epoch(epoch, 60));
            if registry.view().may_send("a") != usable {
                wrong.push(format!("epoch {epoch}, {name}"));
            }
        }
    }
    assert!(wrong.is_empty(), "hidden: {wrong:?}");
}
