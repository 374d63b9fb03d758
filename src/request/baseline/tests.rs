use std::time::Duration;

use super::{Baseline, late_after, late_after_with_slowness};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn baseline_is_established_once_half_has_answered() {
    struct Case {
        name: &'static str,
        known: Option<Duration>,
        times: &'static [u64],
        asked: usize,
        established: Option<Duration>,
    }
    let cases = [
        Case { name: "nothing asked", known: None, times: &[], asked: 0, established: None },
        Case { name: "too few", known: None, times: &[9, 10], asked: 5, established: None },
        Case { name: "one of one", known: None, times: &[9], asked: 1, established: Some(ms(9)) },
        Case {
            name: "half, slowest third taken",
            known: None,
            times: &[12, 9, 10, 11, 8, 30],
            asked: 12,
            established: Some(ms(30)),
        },
        Case {
            name: "a single pause among many is ignored",
            known: None,
            times: &[12, 9, 10, 11, 8, 30, 10, 10, 10, 10, 10, 10],
            asked: 12,
            established: Some(ms(12)),
        },
        Case {
            name: "already established",
            known: Some(ms(7)),
            times: &[9],
            asked: 1,
            established: None,
        },
    ];
    for case in cases {
        let baseline = Baseline::default();
        case.known.into_iter().for_each(|known| baseline.set(known));
        let established = baseline.try_establish(case.times.iter().copied().map(ms), case.asked);
        assert_eq!(established, case.established, "{}", case.name);
        assert_eq!(baseline.get(), case.known.or(case.established), "{}", case.name);
    }
}

#[test]
fn lateness_uses_the_known_speed_of_a_server() {
    struct Case {
        name: &'static str,
        baseline: Duration,
        slowness: Option<f64>,
        late_after: Duration,
    }
    let cases = [
        Case { name: "unknown", baseline: ms(100), slowness: None, late_after: ms(160) },
        Case { name: "minimum margin", baseline: ms(2), slowness: None, late_after: ms(8) },
        Case { name: "typical", baseline: ms(100), slowness: Some(1.0), late_after: ms(125) },
        Case { name: "slow", baseline: ms(100), slowness: Some(1.2), late_after: ms(150) },
        Case {
            name: "slowness above the maximum",
            baseline: ms(100),
            slowness: Some(9.0),
            late_after: ms(200),
        },
        Case {
            name: "fast counts as typical",
            baseline: ms(100),
            slowness: Some(0.5),
            late_after: ms(125),
        },
    ];
    for case in cases {
        let after = case.slowness.map_or_else(
            || late_after(case.baseline),
            |slowness| late_after_with_slowness(case.baseline, slowness),
        );
        assert_eq!(after, case.late_after, "{}", case.name);
    }
}
