use std::time::Duration;

use super::{Next, ShardRun};
use crate::clock::Monotonic;
use crate::ids::ServerId;
use crate::outcome::{NotRunReason, Outcome, UnknownReason};

const ATTEMPTS: u32 = 2;
const NOW: Monotonic = Duration::from_secs(9);

#[test]
fn attempts_stay_within_the_servers_that_a_request_may_reach() {
    struct Case {
        name: &'static str,
        failures: Vec<(&'static str, Outcome<()>)>,
        next: Next,
        allows_third: bool,
        may_have_run: bool,
        over: bool,
    }
    let shed = || Outcome::NotRun(NotRunReason::Shed);
    let lost = || Outcome::Unknown(UnknownReason::ConnectionLost);
    let unreachable = || Outcome::NotRun(NotRunReason::Unreachable);
    let cases = [
        Case {
            name: "shed once",
            failures: vec![("a", shed())],
            next: Next::Again,
            allows_third: true,
            may_have_run: false,
            over: false,
        },
        Case {
            name: "shed by all allowed",
            failures: vec![("a", shed()), ("b", shed())],
            next: Next::Wait,
            allows_third: false,
            may_have_run: false,
            over: false,
        },
        Case {
            name: "lost twice",
            failures: vec![("a", lost()), ("b", lost())],
            next: Next::Wait,
            allows_third: false,
            may_have_run: true,
            over: true,
        },
        Case {
            name: "unreachable does not count",
            failures: vec![("a", unreachable()), ("b", lost())],
            next: Next::Again,
            allows_third: true,
            may_have_run: true,
            over: false,
        },
    ];
    for case in cases {
        let mut run = ShardRun::default();
        let mut next = Next::Again;
        for (server, failure) in case.failures {
            let server = ServerId::from(server);
            assert!(run.allows(&server, ATTEMPTS), "{}", case.name);
            run.on_sent(&server, NOW);
            next = run.on_failure(NOW, &server, failure, ATTEMPTS);
        }
        assert_eq!(next, case.next, "{}", case.name);
        assert_eq!(run.allows(&"c".into(), ATTEMPTS), case.allows_third, "{}", case.name);
        assert_eq!(run.may_have_run(), case.may_have_run, "{}", case.name);
        let over = next == Next::Wait && run.is_over();
        assert_eq!(over, case.over, "{}", case.name);
    }
}

#[test]
fn an_answer_ends_the_shard() {
    let mut run = ShardRun::default();
    run.on_sent(&"a".into(), NOW);
    run.on_sent(&"b".into(), NOW);
    run.on_answer();
    assert!(run.is_answered() && !run.may_send(ATTEMPTS) && run.act_at().is_none());
    let failure = Outcome::Unknown(UnknownReason::TimedOut);
    assert_eq!(run.on_failure(NOW, &"b".into(), failure, ATTEMPTS), Next::Wait);
    assert!(run.is_answered() && !run.is_over());
}

#[test]
fn relays_that_can_not_send_do_not_end_the_shard() {
    struct Case {
        reason: NotRunReason,
        offers_at_once: u64,
    }
    let cases = [
        Case { reason: NotRunReason::Overloaded, offers_at_once: 0 },
        Case { reason: NotRunReason::NotOwner, offers_at_once: 3 },
        Case { reason: NotRunReason::VersionGone, offers_at_once: 3 },
    ];
    for case in cases {
        let mut run = ShardRun::default();
        let server = ServerId::from("a");
        for n in 0..20 {
            let now = NOW + Duration::from_millis(20 * n);
            run.on_sent(&server, now);
            let failure = Outcome::NotRun(case.reason);
            assert_eq!(run.on_failure(now, &server, failure, ATTEMPTS), Next::Again);
            run.on_no_server(now);
            assert!(!run.is_over(), "{:?}", case.reason);
            let at_once = run.act_at() == Some(now);
            assert_eq!(at_once, n < case.offers_at_once, "{:?}, offer {n}", case.reason);
        }
        assert!(!run.may_have_run() && run.may_send(ATTEMPTS) && !run.is_extra());
    }
}
