use super::*;

const LIMITS: ServerLimits =
    ServerLimits { slots: 4, connections: 100, cold_start_limit: 2, typical_ms: 10, connect_ms: 1 };

enum Event {
    Instance(&'static str),
    Replies(u32, u64),
    Cancelled(u32, u64),
    Shed,
    Forget,
}
use Event::{Cancelled, Forget, Instance, Replies, Shed};

#[test]
fn warmth_follows_replies_and_instances() {
    struct Case {
        name: &'static str,
        events: &'static [Event],
        warmth: Warmth,
    }
    let cases = [
        Case { name: "first contact", events: &[Instance("a")], warmth: Warmth::Cold },
        Case {
            name: "slow replies stay cold",
            events: &[Instance("a"), Replies(100, 40)],
            warmth: Warmth::Cold,
        },
        Case {
            name: "eleven fast replies are too few",
            events: &[Instance("a"), Replies(11, 9)],
            warmth: Warmth::Cold,
        },
        Case {
            name: "the ramp starts",
            events: &[Instance("a"), Replies(12, 9)],
            warmth: Warmth::Ramping(3),
        },
        Case {
            name: "the ramp ends",
            events: &[Instance("a"), Replies(16, 9)],
            warmth: Warmth::Warm,
        },
        Case {
            name: "a new instance is cold",
            events: &[Instance("a"), Replies(16, 9), Instance("b")],
            warmth: Warmth::Cold,
        },
        Case {
            name: "the same instance stays warm",
            events: &[Instance("a"), Replies(16, 9), Instance("a")],
            warmth: Warmth::Warm,
        },
        Case {
            name: "one slow reply is not a cold start",
            events: &[Instance("a"), Replies(16, 9), Replies(1, 500)],
            warmth: Warmth::Warm,
        },
        Case {
            name: "a latency jump is a cold start",
            events: &[Instance("a"), Replies(16, 9), Replies(4, 35)],
            warmth: Warmth::Cold,
        },
        Case {
            name: "fast replies between cancelled ones prove nothing",
            events: &[
                Instance("a"),
                Replies(4, 9),
                Cancelled(2, 12),
                Replies(4, 9),
                Cancelled(2, 12),
                Replies(4, 9),
            ],
            warmth: Warmth::Cold,
        },
        Case {
            name: "shedding is a cold start",
            events: &[Instance("a"), Replies(16, 9), Shed],
            warmth: Warmth::Cold,
        },
        Case {
            name: "forgotten server is cold",
            events: &[Instance("a"), Replies(16, 9), Forget, Instance("a")],
            warmth: Warmth::Cold,
        },
    ];
    for case in cases {
        let mut estimate = WarmthEstimate::default();
        for event in case.events {
            match event {
                Instance(id) => {
                    estimate.on_instance(&InstanceId::from(*id));
                }
                Replies(count, took_ms) => {
                    for _ in 0..*count {
                        estimate.on_reply(Duration::from_millis(*took_ms), &LIMITS);
                    }
                }
                Cancelled(count, after_ms) => {
                    for _ in 0..*count {
                        estimate.on_cancelled(Duration::from_millis(*after_ms), &LIMITS);
                    }
                }
                Shed => estimate.on_shed(),
                Forget => estimate.forget(),
            }
        }
        assert_eq!(estimate.warmth(), case.warmth, "{}", case.name);
    }
}
