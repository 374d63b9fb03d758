use hyper::body::Bytes;

use super::{Answer, ForwardAnswer, decode_answer};
use crate::outcome::{Outcome, UnknownReason};

/// Guards against a server's signature on an answer of another status: a status that is no status
/// would be replaced on the way to the caller.
#[test]
fn answer_of_another_host_needs_a_valid_status() {
    struct Case {
        status: u16,
        is_valid: bool,
    }
    let cases = [
        Case { status: 0, is_valid: false },
        Case { status: 99, is_valid: false },
        Case { status: 200, is_valid: true },
        Case { status: 503, is_valid: true },
        Case { status: 999, is_valid: true },
        Case { status: 1_000, is_valid: false },
        Case { status: u16::MAX, is_valid: false },
    ];
    for Case { status, is_valid } in cases {
        let reply =
            ForwardAnswer::Reply { status, headers: Vec::new(), signature: Some("s".into()) };
        match decode_answer(Outcome::Answered(reply), Bytes::from_static(b"x")) {
            Outcome::Answered(Answer::Forwarded(reply)) => {
                assert!(is_valid && reply.status == status, "{status}");
            }
            outcome => {
                assert!(!is_valid, "{status}");
                assert!(
                    matches!(outcome, Outcome::Unknown(UnknownReason::BadReply)),
                    "{status}: {outcome:?}"
                );
            }
        }
    }
}
