use std::time::Duration;

use super::{ExtraAttemptBudget, ExtraAttemptLimit};
use crate::clock::Monotonic;
use crate::ids::ServiceId;

const LIMIT: ExtraAttemptLimit =
    ExtraAttemptLimit { ratio: 0.2, allowance: 50.0, window: Duration::from_secs(10) };

#[test]
fn hosts_retrying_every_request_stay_within_shared_limit() {
    struct Case {
        hosts: usize,
        requests_per_s: u64,
    }
    let cases = [
        Case { hosts: 1, requests_per_s: 5 },
        Case { hosts: 7, requests_per_s: 20 },
        Case { hosts: 60, requests_per_s: 1 },
    ];
    for case in cases {
        let service = ServiceId::from("s");
        let mut budgets: Vec<ExtraAttemptBudget> =
            (0..case.hosts).map(|_| ExtraAttemptBudget::new(LIMIT)).collect();
        let mut sent: Vec<(Monotonic, u64, u64)> = Vec::new();
        for ms in (0..40_000).step_by(100) {
            let now = Duration::from_millis(ms);
            let (mut first, mut extra) = (0, 0);
            for budget in &mut budgets {
                for _ in 0..case.requests_per_s.div_ceil(10) {
                    budget.on_first(now, &service);
                    first += 1;
                    extra += u64::from(budget.try_spend(now, &service, case.hosts));
                }
            }
            sent.push((now, first, extra));
        }
        for (from, ..) in &sent {
            let in_window = |at: &Monotonic| *at >= *from && *at < *from + LIMIT.window;
            let window: Vec<_> = sent.iter().filter(|(at, ..)| in_window(at)).collect();
            let first: u64 = window.iter().map(|(_, first, _)| first).sum();
            let extra: u64 = window.iter().map(|(.., extra)| extra).sum();
            let allowed = first as f64 * LIMIT.ratio + LIMIT.allowance;
            assert!(extra as f64 <= allowed, "{} hosts: {extra} > {allowed}", case.hosts);
        }
    }
}

#[test]
fn refunded_attempts_can_be_spent_again() {
    let service = ServiceId::from("s");
    let mut budget = ExtraAttemptBudget::new(LIMIT);
    let spend_all = |budget: &mut ExtraAttemptBudget, now| {
        (0..100).filter(|_| budget.try_spend(now, &service, 1)).count()
    };
    let now = LIMIT.window * 3;
    assert_eq!(spend_all(&mut budget, now), 50);
    let later = now + Duration::from_millis(1_500);
    for _ in 0..3 {
        budget.refund(later, &service);
    }
    assert_eq!(spend_all(&mut budget, later), 3);
    budget.refund(later, &"another".into());
    assert_eq!(spend_all(&mut budget, later), 0);
}
