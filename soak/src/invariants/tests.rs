use super::{check_gathered, check_single};
use crate::callers::Answer;
use crate::world::{SHARDS, records, top_records};

#[test]
fn invalid_gathered_answers_are_detected() {
    struct Case {
        name: &'static str,
        parts: &'static [&'static str],
        missing: usize,
        body_of: &'static [usize],
        violation: Option<&'static str>,
    }
    let four_parts = &["shard-0/a/r", "shard-1/a/r", "shard-2/a/r", "shard-3/a/r"];
    let four_shards = &[0, 1, 2, 3];
    let cases = [
        Case {
            name: "valid",
            parts: four_parts,
            missing: 2,
            body_of: four_shards,
            violation: None,
        },
        Case {
            name: "missing parts not counted",
            parts: four_parts,
            missing: 0,
            body_of: four_shards,
            violation: Some("the number of missing parts is wrong"),
        },
        Case {
            name: "records of a shard without a part",
            parts: four_parts,
            missing: 2,
            body_of: &[0, 1, 2, 3, 5],
            violation: Some("the body does not have the greatest records of the parts"),
        },
        Case {
            name: "part of another request",
            parts: &["shard-0/a/r", "shard-1/a/q", "shard-2/a/r"],
            missing: 3,
            body_of: &[0, 1, 2],
            violation: Some("a part belongs to another request"),
        },
        Case {
            name: "two parts of one shard",
            parts: &["shard-0/a/r", "shard-0/b/r", "shard-2/a/r"],
            missing: 3,
            body_of: &[0, 2],
            violation: Some("two parts have the same shard"),
        },
        Case {
            name: "below the coverage floor",
            parts: &["shard-0/a/r", "shard-1/a/r"],
            missing: 4,
            body_of: &[0, 1],
            violation: Some("fewer parts than the coverage floor"),
        },
        Case {
            name: "incomplete signature",
            parts: &["shard-0/a/r", "shard-1/a", "shard-2/a/r"],
            missing: 3,
            body_of: &[0, 1, 2],
            violation: Some("malformed signature"),
        },
        Case {
            name: "unknown shard",
            parts: &["shard-9/a/r"],
            missing: 5,
            body_of: &[],
            violation: Some("a part has an unknown shard"),
        },
    ];
    let shards: Vec<String> = (0..SHARDS).map(|n| format!("shard-{n}")).collect();
    for case in cases {
        let answer = Answer {
            status: 200,
            signatures: case.parts.iter().map(|part| (*part).to_owned()).collect(),
            missing: case.missing,
            body: top_records(case.body_of.iter().copied()).into(),
        };
        let violation = check_gathered(&shards, "r", &answer);
        assert_eq!(violation, case.violation, "{}", case.name);
    }
}

#[test]
fn invalid_single_answers_are_detected() {
    struct Case {
        name: &'static str,
        signatures: &'static [&'static str],
        body_of: usize,
        violation: Option<&'static str>,
    }
    let cases = [
        Case { name: "valid", signatures: &["shard-0/a/r"], body_of: 0, violation: None },
        Case {
            name: "no signature",
            signatures: &[],
            body_of: 0,
            violation: Some("the answer does not have exactly one signature"),
        },
        Case {
            name: "signature of another request",
            signatures: &["shard-0/a/q"],
            body_of: 0,
            violation: Some("the signature is of another request or shard"),
        },
        Case {
            name: "signature of another service",
            signatures: &["shard-1/a/r"],
            body_of: 0,
            violation: Some("the signature is of another request or shard"),
        },
        Case {
            name: "body of another server",
            signatures: &["shard-0/a/r"],
            body_of: 1,
            violation: Some("the body is not that of the server"),
        },
    ];
    let shards: Vec<String> = (0..SHARDS).map(|n| format!("shard-{n}")).collect();
    for case in cases {
        let answer = Answer {
            status: 200,
            signatures: case.signatures.iter().map(|signature| (*signature).to_owned()).collect(),
            missing: 0,
            body: records(case.body_of).into(),
        };
        assert_eq!(check_single(&shards, 0, "r", &answer), case.violation, "{}", case.name);
    }
}
