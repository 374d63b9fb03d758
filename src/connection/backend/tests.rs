use super::*;

fn request() -> RunRequest {
    RunRequest {
        attempt: 7,
        request_id: "r".into(),
        service: "s".into(),
        kind: Kind::Listing,
        shard: 3,
        index_version: 2,
        deadline_ms: 100,
        term: "t".into(),
        key: SmolStr::default(),
        limit: 2,
    }
}

fn row(shard: ShardId) -> Row {
    Row { shard, rank: 1, key: "k".into(), text: "x".into() }
}

#[test]
fn incomplete_or_mismatched_reply_is_rejected() {
    struct Case {
        name: &'static str,
        change: fn(&mut RunReply),
        accepted: bool,
    }
    let cases = [
        Case { name: "matching reply", change: |_| {}, accepted: true },
        Case { name: "another attempt", change: |r| r.attempt = 8, accepted: false },
        Case { name: "another shard", change: |r| r.shard = 4, accepted: false },
        Case { name: "another index version", change: |r| r.index_version = 1, accepted: false },
        Case { name: "row from another shard", change: |r| r.rows[0].shard = 4, accepted: false },
        Case { name: "too many rows", change: |r| r.rows = vec![row(3); 3], accepted: false },
    ];
    for case in cases {
        let mut reply = RunReply { attempt: 7, shard: 3, index_version: 2, rows: vec![row(3)] };
        (case.change)(&mut reply);
        let bytes = serde_json::to_vec(&reply).unwrap();
        let outcome = verify(&request(), StatusCode::OK, &bytes);
        let accepted = matches!(outcome, Outcome::Answered(_));
        assert_eq!(accepted, case.accepted, "{}: {outcome:?}", case.name);
        let truncated = verify(&request(), StatusCode::OK, &bytes[..bytes.len() - 1]);
        assert_eq!(truncated, Outcome::Unknown(UnknownReason::BadReply), "{}", case.name);
    }
}

#[test]
fn not_run_requires_explicit_refusal_of_this_attempt() {
    struct Case {
        name: &'static str,
        refusal: Refusal,
        outcome: Outcome<Vec<Row>>,
    }
    let refusal = |attempt, reason, not_run| Refusal { attempt, reason, not_run };
    let cases = [
        Case {
            name: "shed",
            refusal: refusal(7, RefusalReason::Shed, true),
            outcome: Outcome::NotRun(NotRunReason::Shed),
        },
        Case {
            name: "expired while running",
            refusal: refusal(7, RefusalReason::Expired, false),
            outcome: Outcome::Unknown(UnknownReason::TimedOut),
        },
        Case {
            name: "another attempt",
            refusal: refusal(8, RefusalReason::Shed, true),
            outcome: Outcome::Unknown(UnknownReason::BadReply),
        },
    ];
    for case in cases {
        let bytes = serde_json::to_vec(&case.refusal).unwrap();
        let outcome = verify(&request(), StatusCode::SERVICE_UNAVAILABLE, &bytes);
        assert_eq!(outcome, case.outcome, "{}", case.name);
    }
    let garbage = verify(&request(), StatusCode::INTERNAL_SERVER_ERROR, b"oops");
    assert_eq!(garbage, Outcome::Unknown(UnknownReason::BadReply));
}
