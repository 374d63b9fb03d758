use std::time::Duration;

use super::{MAX_DELAY, RetrySchedule};

const NOW: Duration = Duration::from_secs(100);

#[test]
fn callers_return_in_order_at_the_rate_of_free_room() {
    struct Case {
        name: &'static str,
        wait_ms: u64,
        per_s: f64,
        callers: usize,
        expected_ms: &'static [u64],
    }
    let cases = [
        Case { name: "room now", wait_ms: 0, per_s: 10.0, callers: 3, expected_ms: &[0, 100, 200] },
        Case { name: "room later", wait_ms: 50, per_s: 4.0, callers: 2, expected_ms: &[50, 300] },
        Case { name: "one alone", wait_ms: 700, per_s: 0.5, callers: 1, expected_ms: &[700] },
    ];
    for Case { name, wait_ms, per_s, callers, expected_ms } in cases {
        let mut schedule = RetrySchedule::default();
        let wait = Duration::from_millis(wait_ms);
        let delays: Vec<u64> = (0..callers)
            .map(|_| schedule.delay(NOW, &"route".into(), wait, per_s, 0.5).as_millis() as u64)
            .collect();
        assert_eq!(delays, expected_ms, "{name}");
    }
}

#[test]
fn delays_are_bounded_without_a_usable_rate() {
    for per_s in [0.0, -1.0, f64::NAN, f64::MIN_POSITIVE, 0.01] {
        let mut schedule = RetrySchedule::default();
        for random in [0.0, 0.5, 1.0] {
            let delay = schedule.delay(NOW, &"route".into(), Duration::MAX / 4, per_s, random);
            assert!(delay <= MAX_DELAY, "{per_s} {random}: {delay:?}");
            assert!(delay >= MAX_DELAY / 2, "{per_s} {random}: {delay:?}");
        }
    }
}
