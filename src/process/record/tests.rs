use super::*;

const RETENTION: Duration = Duration::from_secs(600);

const fn ms(n: u64) -> Monotonic {
    Duration::from_millis(n)
}

#[test]
fn repeated_request_runs_only_if_not_run_before() {
    struct Case {
        name: &'static str,
        ended: Option<Outcome<u32>>,
        reply: RecordDecision<u32>,
    }
    let cases = [
        Case {
            name: "still running",
            ended: None,
            reply: RecordDecision::Reply(Outcome::Unknown(UnknownReason::StillRunning)),
        },
        Case {
            name: "answered",
            ended: Some(Outcome::Answered(7)),
            reply: RecordDecision::Reply(Outcome::Answered(7)),
        },
        Case {
            name: "unknown stays unknown",
            ended: Some(Outcome::Unknown(UnknownReason::TimedOut)),
            reply: RecordDecision::Reply(Outcome::Unknown(UnknownReason::TimedOut)),
        },
        Case {
            name: "not run may run",
            ended: Some(Outcome::NotRun(NotRunReason::Shed)),
            reply: RecordDecision::Run,
        },
    ];
    for case in cases {
        for resend in [false, true] {
            let mut record = Record::new(RETENTION, 10);
            let id = RequestId::from("r");
            assert_eq!(record.begin(ms(0), &id, false, ms(0)), RecordDecision::Run);
            if let Some(outcome) = &case.ended {
                record.end(&id, outcome);
            }
            assert_eq!(record.begin(ms(9), &id, resend, ms(0)), case.reply, "{}", case.name);
        }
    }
}

#[test]
fn new_keeper_refuses_resent_request_until_retention_has_passed() {
    let mut record: Record<u32> = Record::new(RETENTION, 10);
    let lost = RecordDecision::Reply(Outcome::Unknown(UnknownReason::RecordLost));
    assert_eq!(record.begin(ms(5_000), &"r".into(), true, ms(4_000)), lost);
    assert_eq!(record.begin(ms(5_000), &"first".into(), false, ms(4_000)), RecordDecision::Run);
    assert_eq!(
        record.begin(ms(4_000) + RETENTION, &"r".into(), true, ms(4_000)),
        RecordDecision::Run
    );
}

#[test]
fn full_record_refuses_new_requests_and_keeps_entries() {
    let mut record = Record::new(RETENTION, 2);
    for id in ["a", "b"] {
        record.begin(ms(0), &id.into(), false, ms(0));
        record.end(&id.into(), &Outcome::Answered(1));
    }
    let full = RecordDecision::Reply(Outcome::NotRun(NotRunReason::Overloaded));
    assert_eq!(record.begin(ms(1), &"c".into(), false, ms(0)), full);
    let replay = RecordDecision::Reply(Outcome::Answered(1));
    assert_eq!(record.begin(ms(1), &"a".into(), false, ms(0)), replay);
    assert_eq!(record.begin(RETENTION, &"c".into(), false, ms(0)), RecordDecision::Run);
    assert_eq!(record.len(), 1);
}
