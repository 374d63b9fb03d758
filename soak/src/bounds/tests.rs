use super::may_handle;

#[test]
fn answers_on_added_routes_need_a_plan_that_allows_them() {
    struct Case {
        name: &'static str,
        /// The oldest and the newest plan that may be in force.
        plans: (u64, u64),
        route: u64,
        status: u16,
        allowed: bool,
    }
    let cases = [
        Case { name: "served", plans: (3, 3), route: 2, status: 200, allowed: true },
        Case { name: "refused", plans: (3, 3), route: 2, status: 404, allowed: false },
        Case { name: "busy", plans: (3, 3), route: 2, status: 503, allowed: true },
        Case { name: "dropped", plans: (5, 5), route: 2, status: 404, allowed: true },
        Case { name: "dropped and served", plans: (5, 6), route: 2, status: 200, allowed: false },
        Case { name: "being added", plans: (1, 2), route: 2, status: 404, allowed: true },
        Case { name: "not added yet", plans: (0, 1), route: 2, status: 200, allowed: false },
        Case { name: "being dropped", plans: (4, 5), route: 2, status: 200, allowed: true },
        Case { name: "never added", plans: (0, 9), route: 0, status: 200, allowed: false },
        Case { name: "before any plan", plans: (0, 0), route: 1, status: 404, allowed: true },
    ];
    for case in cases {
        let (oldest, newest) = case.plans;
        let allowed = may_handle(oldest, newest, case.route, case.status);
        assert_eq!(allowed, case.allowed, "{}", case.name);
    }
}
