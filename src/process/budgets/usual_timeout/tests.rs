use std::time::Duration;

use super::UsualTimeouts;

#[test]
fn time_used_follows_what_callers_send() {
    struct Case {
        name: &'static str,
        sent_ms: Vec<u64>,
        used_ms: u64,
    }
    let usually = |ms: u64| vec![ms; 20];
    let cases = [
        Case { name: "first request of a route", sent_ms: vec![500], used_ms: 0 },
        Case { name: "usual timeout", sent_ms: [usually(500), vec![500]].concat(), used_ms: 0 },
        Case {
            name: "new connection",
            sent_ms: [usually(500), vec![485, 485, 485, 485, 485]].concat(),
            used_ms: 15,
        },
        Case { name: "retry", sent_ms: [usually(500), vec![180]].concat(), used_ms: 320 },
        Case {
            name: "after one caller that waits longer",
            sent_ms: [usually(500), vec![2_000, 485]].concat(),
            used_ms: 15,
        },
        Case {
            name: "callers wait longer than before",
            sent_ms: [usually(500), vec![800; 4], vec![780]].concat(),
            used_ms: 20,
        },
        Case {
            name: "callers wait shorter than before",
            sent_ms: [usually(500), vec![400; 32]].concat(),
            used_ms: 0,
        },
        Case { name: "few requests so far", sent_ms: vec![500, 485], used_ms: 15 },
    ];
    for case in cases {
        let mut timeouts = UsualTimeouts::default();
        let mut used = Duration::MAX;
        for ms in &case.sent_ms {
            used = timeouts.used(&"r".into(), Duration::from_millis(*ms));
        }
        assert_eq!(used, Duration::from_millis(case.used_ms), "{}", case.name);
    }
}
