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

#[test]
fn declined_hedge_is_sent_again_at_once() {
    struct Case {
        reason: NotRunReason,
        sent_again: bool,
    }
    let cases = [
        Case { reason: NotRunReason::NotOwner, sent_again: true },
        Case { reason: NotRunReason::Overloaded, sent_again: false },
        Case { reason: NotRunReason::Shed, sent_again: false },
    ];
    for case in cases {
        let mut run = ShardRun::default();
        let (paused, declined) = (ServerId::from("a"), ServerId::from("b"));
        run.on_sent(&paused, NOW);
        run.on_sent(&declined, NOW + Duration::from_millis(30));
        let now = NOW + Duration::from_millis(4);
        let next = run.on_failure(now, &declined, Outcome::NotRun(case.reason), ATTEMPTS);
        assert_eq!(next, Next::Wait, "{:?}: an attempt is in flight", case.reason);
        let sent_again = run.next_check_at() == Some(now) && run.allows(&declined, ATTEMPTS);
        assert_eq!(sent_again, case.sent_again, "{:?}", case.reason);
        assert!(!run.allows(&paused, ATTEMPTS), "{:?}", case.reason);
    }
}

#[test]
fn extra_attempt_is_refunded_once_if_it_reached_no_server() {
    struct Case {
        name: &'static str,
        failure: Outcome<()>,
        refunds: [bool; 3],
    }
    let cases = [
        Case {
            name: "declined",
            failure: Outcome::NotRun(NotRunReason::NotOwner),
            refunds: [false, true, false],
        },
        Case {
            name: "not connected",
            failure: Outcome::NotRun(NotRunReason::Unreachable),
            refunds: [false, true, false],
        },
        Case {
            name: "shed",
            failure: Outcome::NotRun(NotRunReason::Shed),
            refunds: [false, false, false],
        },
        Case {
            name: "lost",
            failure: Outcome::Unknown(UnknownReason::ConnectionLost),
            refunds: [false, false, false],
        },
    ];
    for case in cases {
        let mut run = ShardRun::default();
        let (first, extra) = (ServerId::from("a"), ServerId::from("b"));
        run.on_sent(&first, NOW);
        run.on_sent(&extra, NOW);
        let refunds = [&first, &extra, &extra].map(|server| run.refund_due(server, &case.failure));
        assert_eq!(refunds, case.refunds, "{}", case.name);
    }
}
