use std::time::Duration;

use super::{LOST_PLAN_RETENTION, LostPlan};

/// Guards against a plan that stays in force for good, or is withdrawn at once, after the source has
/// lost it.
#[test]
fn lost_plan_is_replaced_only_after_its_retention() {
    struct Read {
        after: Duration,
        is_lost: bool,
        complete: bool,
        replaces: bool,
    }
    let read = |after, is_lost, complete, replaces| Read { after, is_lost, complete, replaces };
    let later = LOST_PLAN_RETENTION;
    let soon = Duration::from_secs(1);
    let cases = [
        (
            "published again",
            vec![read(soon, true, true, false), read(later * 2, false, true, false)],
        ),
        ("lost", vec![read(soon, true, true, false), read(later + soon, true, true, true)]),
        (
            "one change is not enough",
            vec![read(soon, true, true, false), read(later * 2, true, false, false)],
        ),
        (
            "lost twice",
            vec![
                read(soon, true, true, false),
                read(later, false, false, false),
                read(later + soon, true, true, false),
                read(later * 2 + soon, true, true, true),
            ],
        ),
    ];
    for (name, reads) in cases {
        let mut plan = LostPlan::default();
        for Read { after, is_lost, complete, replaces } in reads {
            assert_eq!(plan.on_read(after, is_lost, complete), replaces, "{name}, {after:?}");
        }
    }
}

#[test]
fn source_is_read_again_when_the_retention_ends() {
    let mut plan = LostPlan::default();
    plan.on_read(Duration::ZERO, true, true);
    assert!(!plan.is_due(LOST_PLAN_RETENTION - Duration::from_millis(1)));
    assert!(plan.is_due(LOST_PLAN_RETENTION));
    plan.on_read(LOST_PLAN_RETENTION, false, true);
    assert!(!plan.is_due(LOST_PLAN_RETENTION));
}
