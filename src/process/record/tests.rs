//! Tests of the `record` module.

use super::*;

const KEEP: Duration = Duration::from_secs(600);

const fn ms(n: u64) -> Monotonic {
    Duration::from_millis(n)
}

#[test]
fn a_repeated_request_never_runs_again() {
    struct Case {
        name: &'static str,
        ended: Option<Outcome<u32>>,
        reply: Begin<u32>,
    }
    let cases = [
        Case {
            name: "still running",
            ended: None,
            reply: Begin::Reply(Outcome::Unknown(UnknownReason::StillRunning)),
        },
        Case {
            name: "answered",
            ended: Some(Outcome::Answered(7)),
            reply: Begin::Reply(Outcome::Answered(7)),
        },
        Case {
            name: "unknown stays unknown",
            ended: Some(Outcome::Unknown(UnknownReason::TimedOut)),
            reply: Begin::Reply(Outcome::Unknown(UnknownReason::TimedOut)),
        },
        Case {
            name: "not run may run",
            ended: Some(Outcome::NotRun(NotRunReason::Shed)),
            reply: Begin::Run,
        },
    ];
    for case in cases {
        for resend in [false, true] {
            let mut record = Record::new(KEEP, 10);
            let id = RequestId::from("r");
            assert_eq!(record.begin(ms(0), &id, false, ms(0)), Begin::Run);
            if let Some(outcome) = &case.ended {
                record.end(&id, outcome);
            }
            assert_eq!(record.begin(ms(9), &id, resend, ms(0)), case.reply, "{}", case.name);
        }
    }
}

#[test]
fn a_new_keeper_does_not_run_what_may_have_run_before() {
    let mut record: Record<u32> = Record::new(KEEP, 10);
    let lost = Begin::Reply(Outcome::Unknown(UnknownReason::RecordLost));
    assert_eq!(record.begin(ms(5_000), &"r".into(), true, ms(4_000)), lost);
    assert_eq!(record.begin(ms(5_000), &"first".into(), false, ms(4_000)), Begin::Run);
    assert_eq!(record.begin(ms(4_000) + KEEP, &"r".into(), true, ms(4_000)), Begin::Run);
}

#[test]
fn a_full_record_refuses_and_forgets_nothing() {
    let mut record = Record::new(KEEP, 2);
    for id in ["a", "b"] {
        record.begin(ms(0), &id.into(), false, ms(0));
        record.end(&id.into(), &Outcome::Answered(1));
    }
    let full = Begin::Reply(Outcome::NotRun(NotRunReason::Overloaded));
    assert_eq!(record.begin(ms(1), &"c".into(), false, ms(0)), full);
    let replay = Begin::Reply(Outcome::Answered(1));
    assert_eq!(record.begin(ms(1), &"a".into(), false, ms(0)), replay);
    assert_eq!(record.begin(KEEP, &"c".into(), false, ms(0)), Begin::Run);
    assert_eq!(record.len(), 1);
}
