use std::time::Duration;

use super::Shutdown;
use crate::clock::Monotonic;

const START: Monotonic = Duration::from_secs(100);

#[test]
fn late_requests_are_admitted_only_if_they_end_in_time() {
    struct Case {
        name: &'static str,
        arrives_ms: u64,
        deadline_ms: u64,
        admitted: bool,
    }
    let cases = [
        Case { name: "at the signal", arrives_ms: 0, deadline_ms: 8_000, admitted: true },
        Case { name: "before the limit", arrives_ms: 2_699, deadline_ms: 10_700, admitted: true },
        Case { name: "after it, long", arrives_ms: 2_700, deadline_ms: 5_521, admitted: false },
        Case { name: "after it, short", arrives_ms: 2_700, deadline_ms: 5_520, admitted: true },
        Case { name: "much later, short", arrives_ms: 3_299, deadline_ms: 4_000, admitted: true },
    ];
    for Case { name, arrives_ms, deadline_ms, admitted } in cases {
        let shutdown = Shutdown::default();
        let at = |ms| START + Duration::from_millis(ms);
        assert!(shutdown.admits(at(arrives_ms), at(deadline_ms)), "{name}, before the signal");
        shutdown.begin(START, Duration::from_secs(6));
        assert_eq!(shutdown.admits(at(arrives_ms), at(deadline_ms)), admitted, "{name}");
        shutdown.stop_accepting.cancel();
        assert!(!shutdown.admits(at(arrives_ms), at(deadline_ms)), "{name}, after the end");
    }
}
