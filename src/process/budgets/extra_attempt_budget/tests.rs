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
        /// How long there are requests.
        load_ms: u64,
        /// The hosts do not know each other for this long.
        discovery_ms: u64,
    }
    let cases = [
        Case { hosts: 1, requests_per_s: 5, load_ms: 40_000, discovery_ms: 0 },
        Case { hosts: 7, requests_per_s: 20, load_ms: 40_000, discovery_ms: 0 },
        Case { hosts: 60, requests_per_s: 1, load_ms: 40_000, discovery_ms: 0 },
        // Guards against hosts that have started together and each use the whole allowance, because
        // they have not heard of the others yet.
        Case { hosts: 7, requests_per_s: 200, load_ms: 500, discovery_ms: 500 },
        Case { hosts: 80, requests_per_s: 100, load_ms: 1_000, discovery_ms: 1_000 },
    ];
    for case in cases {
        let service = ServiceId::from("s");
        let mut budgets: Vec<ExtraAttemptBudget> =
            (0..case.hosts).map(|_| ExtraAttemptBudget::new(LIMIT)).collect();
        let mut sent: Vec<(Monotonic, u64, u64)> = Vec::new();
        for ms in (0..40_000).step_by(100) {
            let now = Duration::from_millis(ms);
            let hosts = (ms >= case.discovery_ms).then_some(case.hosts);
            let (mut first, mut extra) = (0, 0);
            for budget in &mut budgets {
                let load = if ms < case.load_ms { case.requests_per_s.div_ceil(10) } else { 0 };
                for _ in 0..load {
                    budget.on_first(now, &service);
                    first += 1;
                    extra += u64::from(budget.try_spend(now, &service, hosts));
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
        (0..100).filter(|_| budget.try_spend(now, &service, Some(1))).count()
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
