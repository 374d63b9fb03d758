use std::time::Duration;

use super::{Next, ShardRun};
use crate::clock::Monotonic;
use crate::ids::ServerId;
use crate::outcome::{NotRunReason, Outcome, UnknownReason};

const ATTEMPTS: u32 = 2;
const NOW: Monotonic = Duration::from_secs(9);

#[test]
fn attempts_reach_at_most_the_allowed_servers() {
    struct Case {
        name: &'static str,
        failures: Vec<(&'static str, Outcome<()>)>,
        next: Next,
        allows_third: bool,
        may_have_run: bool,
        exhausted: bool,
    }
    let shed = || Outcome::NotRun(NotRunReason::Shed);
    let lost = || Outcome::Unknown(UnknownReason::ConnectionLost);
    let unreachable = || Outcome::NotRun(NotRunReason::Unreachable);
    let cases = [
        Case {
            name: "shed once",
            failures: vec![("a", shed())],
            next: Next::Retry,
            allows_third: true,
            may_have_run: false,
            exhausted: false,
        },
        Case {
            name: "shed by all allowed servers",
            failures: vec![("a", shed()), ("b", shed())],
            next: Next::Wait,
            allows_third: false,
            may_have_run: false,
            exhausted: false,
        },
        Case {
            name: "connection lost twice",
            failures: vec![("a", lost()), ("b", lost())],
            next: Next::Wait,
            allows_third: false,
            may_have_run: true,
            exhausted: true,
        },
        Case {
            name: "unreachable server does not count",
            failures: vec![("a", unreachable()), ("b", lost())],
            next: Next::Retry,
            allows_third: true,
            may_have_run: true,
            exhausted: false,
        },
    ];
    for case in cases {
        let mut run = ShardRun::default();
        let mut next = Next::Retry;
        for (server, failure) in case.failures {
            let server = ServerId::from(server);
            assert!(run.allows(&server, ATTEMPTS), "{}", case.name);
            run.on_sent(&server, NOW);
            next = run.on_failure(NOW, &server, failure, ATTEMPTS);
        }
        assert_eq!(next, case.next, "{}", case.name);
        assert_eq!(run.allows(&"c".into(), ATTEMPTS), case.allows_third, "{}", case.name);
        assert_eq!(run.may_have_run(), case.may_have_run, "{}", case.name);
        let exhausted = next == Next::Wait && run.is_exhausted();
        assert_eq!(exhausted, case.exhausted, "{}", case.name);
    }
}

#[test]
fn answer_completes_the_shard() {
    let mut run = ShardRun::default();
    run.on_sent(&"a".into(), NOW);
    run.on_sent(&"b".into(), NOW);
    run.on_answer();
    assert!(run.is_answered() && !run.may_send(ATTEMPTS) && run.next_check_at().is_none());
    let failure = Outcome::Unknown(UnknownReason::TimedOut);
    assert_eq!(run.on_failure(NOW, &"b".into(), failure, ATTEMPTS), Next::Wait);
    assert!(run.is_answered() && !run.is_exhausted());
}

#[test]
fn relays_that_cannot_send_do_not_exhaust_the_shard() {
    struct Case {
        reason: NotRunReason,
        immediate_sends: u64,
    }
    let cases = [
        Case { reason: NotRunReason::Overloaded, immediate_sends: 0 },
        Case { reason: NotRunReason::NotOwner, immediate_sends: 3 },
        Case { reason: NotRunReason::VersionGone, immediate_sends: 3 },
    ];
    for case in cases {
        let mut run = ShardRun::default();
        let server = ServerId::from("a");
        for n in 0..20 {
            let now = NOW + Duration::from_millis(20 * n);
            run.on_sent(&server, now);
            let failure = Outcome::NotRun(case.reason);
            assert_eq!(run.on_failure(now, &server, failure, ATTEMPTS), Next::Retry);
            run.on_no_server(now);
            assert!(!run.is_exhausted(), "{:?}", case.reason);
            let at_once = run.next_check_at() == Some(now);
            assert_eq!(at_once, n < case.immediate_sends, "{:?}, offer {n}", case.reason);
        }
        assert!(!run.may_have_run() && run.may_send(ATTEMPTS) && !run.is_extra());
    }
}
