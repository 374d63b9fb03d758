use std::time::Duration;

use super::{Pace, late_after, late_after_at};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_pace_shows_once_half_has_answered() {
    struct Case {
        name: &'static str,
        known: Option<Duration>,
        times: &'static [u64],
        asked: usize,
        shows: Option<Duration>,
    }
    let cases = [
        Case { name: "nothing asked", known: None, times: &[], asked: 0, shows: None },
        Case { name: "too few", known: None, times: &[9, 10], asked: 5, shows: None },
        Case { name: "one of one", known: None, times: &[9], asked: 1, shows: Some(ms(9)) },
        Case {
            name: "half, of which the slowest third counts",
            known: None,
            times: &[12, 9, 10, 11, 8, 30],
            asked: 12,
            shows: Some(ms(30)),
        },
        Case {
            name: "a single pause among many does not",
            known: None,
            times: &[12, 9, 10, 11, 8, 30, 10, 10, 10, 10, 10, 10],
            asked: 12,
            shows: Some(ms(12)),
        },
        Case { name: "known before", known: Some(ms(7)), times: &[9], asked: 1, shows: None },
    ];
    for case in cases {
        let pace = Pace::default();
        case.known.into_iter().for_each(|known| pace.set(known));
        let shows = pace.show(case.times.iter().copied().map(ms), case.asked);
        assert_eq!(shows, case.shows, "{}", case.name);
        assert_eq!(pace.get(), case.known.or(case.shows), "{}", case.name);
    }
}

#[test]
fn a_server_is_late_by_its_own_speed_where_it_is_known() {
    struct Case {
        name: &'static str,
        pace: Duration,
        slowness: Option<f64>,
        late_after: Duration,
    }
    let cases = [
        Case { name: "unknown", pace: ms(100), slowness: None, late_after: ms(160) },
        Case { name: "at least some", pace: ms(2), slowness: None, late_after: ms(8) },
        Case { name: "usual", pace: ms(100), slowness: Some(1.0), late_after: ms(125) },
        Case { name: "slow", pace: ms(100), slowness: Some(1.2), late_after: ms(150) },
        Case { name: "in trouble", pace: ms(100), slowness: Some(9.0), late_after: ms(200) },
        Case { name: "fast", pace: ms(100), slowness: Some(0.5), late_after: ms(125) },
    ];
    for case in cases {
        let after = case
            .slowness
            .map_or_else(|| late_after(case.pace), |slowness| late_after_at(case.pace, slowness));
        assert_eq!(after, case.late_after, "{}", case.name);
    }
}
