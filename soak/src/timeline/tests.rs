use std::time::{Duration, Instant};

use quetzal_platform_standin::settings::{PLAN_KEY, evacuation_key, plan, server, server_key};
use quetzal_platform_standin::store::Store;
use serde_json::{Value, json};

use super::{SMALL_FLEET, Timeline};

/// What the platform's writers do, with the number of a plan where there is one.
#[derive(Clone, Copy)]
enum Event {
    SendPlan(u64),
    Plan(u64),
    Evacuate,
    SendReadmission,
    Offer,
    Drain,
    Remove,
    /// The store returns from a copy with this plan, and with an evacuation or not.
    Restore(u64, bool),
}

fn entry(draining: bool) -> Value {
    server("one", ([127, 0, 0, 1], 1).into(), "north", draining, 0)
}

/// Builds a timeline of events with their times in milliseconds.
fn timeline(start: Instant, events: &[(u64, Event)]) -> Timeline {
    let mut timeline = Timeline::new(SMALL_FLEET);
    let plan = |number| plan(number, &["one".to_owned()], 8, 0.5);
    let (server, domain) = (server_key("s"), evacuation_key("north"));
    for (at_ms, event) in events {
        let at = start + Duration::from_millis(*at_ms);
        match *event {
            Event::SendPlan(number) => timeline.on_send(at, PLAN_KEY, Some(&plan(number))),
            Event::Plan(number) => timeline.on_acknowledged(at, PLAN_KEY, Some(&plan(number))),
            Event::Evacuate => timeline.on_acknowledged(at, &domain, Some(&json!({}))),
            Event::SendReadmission => timeline.on_send(at, &domain, None),
            Event::Offer => timeline.on_send(at, &server, Some(&entry(false))),
            Event::Drain => timeline.on_acknowledged(at, &server, Some(&entry(true))),
            Event::Remove => timeline.on_acknowledged(at, &server, None),
            Event::Restore(number, evacuated) => {
                let store = Store::default();
                store.put(PLAN_KEY, &plan(number)).expect("the store is present");
                if evacuated {
                    store.put(&domain, &json!({})).expect("the store is present");
                }
                timeline.on_restored(at, &store.copy());
            }
        }
    }
    timeline
}

#[test]
fn plans_and_evacuations_bind_from_their_latest_acknowledgement() {
    struct Case {
        name: &'static str,
        events: &'static [(u64, Event)],
        at_ms: u64,
        oldest_plan: u64,
        newest_plan: u64,
        evacuated: bool,
    }
    use Event::{Evacuate, Plan, Restore, SendPlan, SendReadmission};
    let cases = [
        Case {
            name: "before the bounds",
            events: &[(0, SendPlan(1)), (10, Plan(1)), (10, Evacuate)],
            at_ms: 3_009,
            oldest_plan: 0,
            newest_plan: 1,
            evacuated: false,
        },
        Case {
            name: "after the plan's bound",
            events: &[(0, SendPlan(1)), (10, Plan(1)), (10, Evacuate)],
            at_ms: 3_010,
            oldest_plan: 1,
            newest_plan: 1,
            evacuated: false,
        },
        Case {
            name: "after the evacuation's bound",
            events: &[(10, Plan(1)), (10, Evacuate), (5_000, SendPlan(2))],
            at_ms: 5_010,
            oldest_plan: 1,
            newest_plan: 2,
            evacuated: true,
        },
        Case {
            name: "taken back, not yet acknowledged",
            events: &[(10, Evacuate), (6_000, SendReadmission)],
            at_ms: 6_000,
            oldest_plan: 0,
            newest_plan: 0,
            evacuated: false,
        },
        Case {
            name: "lost",
            events: &[(10, Plan(2)), (10, Evacuate), (7_000, Restore(1, false))],
            at_ms: 7_001,
            oldest_plan: 1,
            newest_plan: 0,
            evacuated: false,
        },
        Case {
            name: "written again",
            events: &[
                (10, Plan(2)),
                (10, Evacuate),
                (7_000, Restore(1, false)),
                (8_000, Plan(2)),
                (8_000, Evacuate),
            ],
            at_ms: 13_000,
            oldest_plan: 2,
            newest_plan: 0,
            evacuated: true,
        },
        Case {
            name: "in the copy",
            events: &[(10, Plan(2)), (10, Evacuate), (7_000, Restore(2, true))],
            at_ms: 7_001,
            oldest_plan: 2,
            newest_plan: 0,
            evacuated: true,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let (timeline, at) = (timeline(start, case.events), Duration::from_millis(case.at_ms));
        assert_eq!(timeline.oldest_plan(start + at), case.oldest_plan, "{}", case.name);
        assert_eq!(timeline.newest_plan(start + at), case.newest_plan, "{}", case.name);
        assert_eq!(timeline.is_evacuated("north", start + at), case.evacuated, "{}", case.name);
    }
}

#[test]
fn withdrawals_bind_from_their_first_acknowledgement_by_a_stable_store() {
    struct Case {
        name: &'static str,
        events: &'static [(u64, Event)],
        /// The store is stable from this time on.
        stable_from_ms: u64,
        at_ms: u64,
        withdrawn: bool,
    }
    use Event::{Drain, Offer, Remove, Restore};
    let cases = [
        Case {
            name: "within the bound",
            events: &[(0, Offer), (100, Drain)],
            stable_from_ms: 0,
            at_ms: 3_100,
            withdrawn: false,
        },
        Case {
            name: "after the bound",
            events: &[(0, Offer), (100, Drain)],
            stable_from_ms: 0,
            at_ms: 3_101,
            withdrawn: true,
        },
        Case {
            name: "lost and written again",
            events: &[(0, Offer), (100, Drain), (500, Restore(0, false)), (2_000, Drain)],
            stable_from_ms: 0,
            at_ms: 3_101,
            withdrawn: true,
        },
        Case {
            name: "drained by an unstable store, removed by a stable one",
            events: &[(0, Offer), (100, Drain), (5_000, Remove)],
            stable_from_ms: 200,
            at_ms: 7_900,
            withdrawn: false,
        },
        Case {
            name: "the same, after the bound",
            events: &[(0, Offer), (100, Drain), (5_000, Remove)],
            stable_from_ms: 200,
            at_ms: 8_001,
            withdrawn: true,
        },
        Case {
            name: "back again",
            events: &[(100, Remove), (4_000, Offer)],
            stable_from_ms: 0,
            at_ms: 4_000,
            withdrawn: false,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let after = |ms| start + Duration::from_millis(ms);
        let timeline = timeline(start, case.events);
        let stable = |at| at >= after(case.stable_from_ms);
        let withdrawn = timeline.is_withdrawn("s", after(case.at_ms), stable);
        assert_eq!(withdrawn, case.withdrawn, "{}", case.name);
    }
}
