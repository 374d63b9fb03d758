use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn queue(admission: Admission) -> ServerQueue<&'static str> {
    ServerQueue::new(MS(10), admission)
}

#[test]
fn requests_are_ordered_by_priority_then_deadline() {
    let mut queue = queue(Admission::Always);
    let entries = [
        (Priority::Low, 50, "low"),
        (Priority::Normal, 90, "normal, later"),
        (Priority::Normal, 80, "normal, sooner"),
        (Priority::High, 99, "high"),
    ];
    for (priority, deadline, item) in entries {
        queue.push(MS(0), priority, MS(deadline), 9, item).unwrap();
    }
    let served: Vec<_> = std::iter::from_fn(|| queue.pop(9).map(|(_, item)| item)).collect();
    assert_eq!(served, ["high", "normal, sooner", "normal, later", "low"]);
}

#[test]
fn request_expected_to_miss_deadline_is_refused() {
    struct Case {
        name: &'static str,
        in_flight: u32,
        limit: u32,
        deadline_ms: u64,
        result: Result<(), NotRunReason>,
    }
    let late = Err(NotRunReason::DeadlineTooClose);
    let cases = [
        Case { name: "idle", in_flight: 0, limit: 2, deadline_ms: 10, result: Ok(()) },
        Case { name: "idle, too close", in_flight: 0, limit: 2, deadline_ms: 9, result: late },
        Case { name: "one round", in_flight: 2, limit: 2, deadline_ms: 20, result: Ok(()) },
        Case { name: "one round, late", in_flight: 2, limit: 2, deadline_ms: 19, result: late },
        Case { name: "deadline passed", in_flight: 0, limit: 2, deadline_ms: 0, result: late },
        Case {
            name: "limit of zero",
            in_flight: 0,
            limit: 0,
            deadline_ms: 99,
            result: Err(NotRunReason::NoPermission),
        },
    ];
    for case in cases {
        let mut queue = queue(Admission::Early);
        for _ in 0..case.in_flight {
            queue.push(MS(0), Priority::High, MS(999), 99, "running").unwrap();
            queue.pop(99).unwrap();
        }
        let deadline = MS(case.deadline_ms);
        let result = queue.push(MS(0), Priority::Normal, deadline, case.limit, "new");
        assert_eq!(result.map(|_| ()), case.result, "{}", case.name);
    }
}

#[test]
fn in_flight_never_exceeds_limit() {
    let mut queue = queue(Admission::Always);
    for _ in 0..5 {
        queue.push(MS(0), Priority::Normal, MS(99), 2, "x").unwrap();
    }
    assert_eq!(std::iter::from_fn(|| queue.pop(2)).count(), 2);
    assert!(queue.pop(1).is_none(), "a lowered limit takes effect immediately");
    queue.finish(MS(0), Some(MS(10)));
    assert!(queue.pop(1).is_none());
    queue.finish(MS(0), Some(MS(10)));
    assert!(queue.pop(1).is_some());
}

#[test]
fn full_queue_refuses_requests() {
    let mut queue = queue(Admission::Always);
    for _ in 0..MAX_QUEUED {
        queue.push(MS(0), Priority::Normal, MS(99), 2, "x").unwrap();
    }
    let refused = queue.push(MS(0), Priority::High, MS(99), 2, "y");
    assert_eq!(refused, Err(NotRunReason::Overloaded));
    let ticket = Ticket(Priority::Normal, MS(99), 0);
    assert_eq!(queue.remove(ticket), Some("x"));
    assert!(queue.push(MS(0), Priority::High, MS(99), 2, "y").is_ok());
}

#[test]
fn idle_slow_server_gets_one_probe() {
    let mut queue = queue(Admission::Early);
    let slow = queue.push(MS(0), Priority::Normal, MS(400), 2, "slow");
    assert!(slow.is_ok() && queue.pop(2).is_some());
    for _ in 0..50 {
        queue.finish(MS(0), Some(MS(900)));
    }
    queue
        .push(MS(1_000), Priority::Normal, MS(1_400), 2, "probe")
        .expect("an idle server gets a probe");
    let refused = queue.push(MS(1_000), Priority::Normal, MS(1_400), 2, "second");
    assert_eq!(refused, Err(NotRunReason::DeadlineTooClose));
    assert!(queue.pop(2).is_some() && queue.meets_deadline(MS(1_000), MS(1_400)));
    queue.finish(MS(0), Some(MS(8)));
}

#[test]
fn slow_server_gets_probe_only_after_interval() {
    struct Case {
        name: &'static str,
        ended_ms: u64,
        meets_deadline: bool,
    }
    let cases = [
        Case { name: "completed recently", ended_ms: 990, meets_deadline: false },
        Case { name: "completed some time ago", ended_ms: 700, meets_deadline: true },
    ];
    for case in cases {
        let mut queue = queue(Admission::Early);
        queue
            .push(MS(0), Priority::Normal, MS(400), 2, "slow")
            .expect("the service time is still typical");
        queue.pop(2).expect("it is queued");
        for _ in 0..50 {
            queue.finish(MS(case.ended_ms), Some(MS(900)));
        }
        let pushed = queue.push(MS(1_000), Priority::Normal, MS(1_400), 2, "next");
        assert_eq!(pushed.is_ok(), case.meets_deadline, "{}", case.name);
        assert_eq!(
            queue.meets_deadline(MS(1_000), MS(1_400)),
            case.meets_deadline,
            "{}",
            case.name
        );
    }
}
