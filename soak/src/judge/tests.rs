use super::{gathered, plain};
use crate::callers::Answer;
use crate::world::{SHARDS, greatest, records};

#[test]
fn each_way_in_which_a_gathered_answer_can_be_wrong_is_found() {
    struct Case {
        name: &'static str,
        parts: &'static [&'static str],
        missing: usize,
        body_of: &'static [usize],
        says: Option<&'static str>,
    }
    let whole = &["shard-0/a/r", "shard-1/a/r", "shard-2/a/r", "shard-3/a/r"];
    let of = &[0, 1, 2, 3];
    let cases = [
        Case { name: "right", parts: whole, missing: 2, body_of: of, says: None },
        Case {
            name: "missing not told",
            parts: whole,
            missing: 0,
            body_of: of,
            says: Some("the missing parts are not told"),
        },
        Case {
            name: "records of a part that is not named",
            parts: whole,
            missing: 2,
            body_of: &[0, 1, 2, 3, 5],
            says: Some("not the greatest records of its parts"),
        },
        Case {
            name: "another request's part",
            parts: &["shard-0/a/r", "shard-1/a/q", "shard-2/a/r"],
            missing: 3,
            body_of: &[0, 1, 2],
            says: Some("a part of another request"),
        },
        Case {
            name: "a shard twice",
            parts: &["shard-0/a/r", "shard-0/b/r", "shard-2/a/r"],
            missing: 3,
            body_of: &[0, 2],
            says: Some("two parts of one shard"),
        },
        Case {
            name: "below the floor",
            parts: &["shard-0/a/r", "shard-1/a/r"],
            missing: 4,
            body_of: &[0, 1],
            says: Some("too few parts"),
        },
        Case {
            name: "half a signature",
            parts: &["shard-0/a/r", "shard-1/a", "shard-2/a/r"],
            missing: 3,
            body_of: &[0, 1, 2],
            says: Some("a signature that no server made"),
        },
        Case {
            name: "an unknown shard",
            parts: &["shard-9/a/r"],
            missing: 5,
            body_of: &[],
            says: Some("a part of no shard"),
        },
    ];
    let shards: Vec<String> = (0..SHARDS).map(|n| format!("shard-{n}")).collect();
    for case in cases {
        let answer = Answer {
            status: 200,
            signatures: case.parts.iter().map(|part| (*part).to_owned()).collect(),
            missing: case.missing,
            body: greatest(case.body_of.iter().copied()).into(),
        };
        let says = gathered(&shards, "r", &answer);
        assert_eq!(says, case.says, "{}", case.name);
    }
}

#[test]
fn a_plain_answer_is_the_one_of_a_server_that_was_asked() {
    struct Case {
        name: &'static str,
        signatures: &'static [&'static str],
        body_of: usize,
        says: Option<&'static str>,
    }
    let cases = [
        Case { name: "right", signatures: &["shard-0/a/r"], body_of: 0, says: None },
        Case {
            name: "none signed it",
            signatures: &[],
            body_of: 0,
            says: Some("not one signature"),
        },
        Case {
            name: "another request's",
            signatures: &["shard-0/a/q"],
            body_of: 0,
            says: Some("another request's answer"),
        },
        Case {
            name: "another service's",
            signatures: &["shard-1/a/r"],
            body_of: 0,
            says: Some("another request's answer"),
        },
        Case {
            name: "another body",
            signatures: &["shard-0/a/r"],
            body_of: 1,
            says: Some("not the server's body"),
        },
    ];
    let shards: Vec<String> = (0..SHARDS).map(|n| format!("shard-{n}")).collect();
    for case in cases {
        let answer = Answer {
            status: 200,
            signatures: case.signatures.iter().map(|signed| (*signed).to_owned()).collect(),
            missing: 0,
            body: records(case.body_of).into(),
        };
        assert_eq!(plain(&shards, "r", &answer), case.says, "{}", case.name);
    }
}
