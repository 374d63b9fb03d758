use std::time::Duration;

use smallvec::smallvec;

use super::{
    ConnectionSharers, GatherRule, Idempotency, Plan, PlanDocument, Route, ServiceLimits, Target,
};

fn route(id: &str, prefix: &str, target: Target) -> Route {
    Route {
        id: id.into(),
        host: "search.example".into(),
        prefix: prefix.into(),
        repeat: Idempotency::Idempotent,
        attempts: 2,
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_millis(200),
        priority: 1,
        regions: smallvec::SmallVec::new(),
        target,
    }
}

fn plan(routes: Vec<Route>) -> crate::Result<Plan> {
    Plan::new(PlanDocument { version: 1, routes, ..PlanDocument::default() })
}

#[test]
fn route_longest_matching_prefix_of_the_host() {
    struct Case {
        host: &'static str,
        path: &'static str,
        route: Option<&'static str>,
    }
    let plan = plan(vec![
        route("short", "/a/", Target::Service("one".into())),
        route("long", "/a/b/", Target::Service("two".into())),
    ])
    .expect("both routes are valid");
    let cases = [
        Case { host: "search.example", path: "/a/x", route: Some("short") },
        Case { host: "search.example", path: "/a/b/x", route: Some("long") },
        Case { host: "search.example", path: "/a/bx", route: Some("short") },
        Case { host: "search.example", path: "/a", route: None },
        Case { host: "other.example", path: "/a/x", route: None },
    ];
    for case in cases {
        let found = plan.route(case.host, case.path).map(|route| route.id.as_str());
        assert_eq!(found, case.route, "{}{}", case.host, case.path);
    }
}

#[test]
fn new_rejects_invalid_routes() {
    struct Case {
        name: &'static str,
        route: Route,
        message: &'static str,
    }
    let gather = |floor| {
        Target::Gather(GatherRule {
            shards: ["s".into()].into(),
            record_count: 5,
            coverage_floor: floor,
        })
    };
    let cases = [
        Case {
            name: "prefix",
            route: route("r", "/a", Target::Service("s".into())),
            message: "slash",
        },
        Case {
            name: "weight",
            route: route("r", "/a/", Target::Split(smallvec![("s".into(), 0.0)])),
            message: "positive",
        },
        Case { name: "floor", route: route("r", "/a/", gather(1.5)), message: "0 to 1" },
        Case {
            name: "no service",
            route: route("r", "/a/", Target::Split(smallvec![])),
            message: "service",
        },
    ];
    for case in cases {
        let error = plan(vec![case.route]).expect_err(case.name);
        assert!(error.to_string().contains(case.message), "{}: {error}", case.name);
    }
}

#[test]
fn parts_needed_rounds_the_floor_up_to_whole_shards() {
    struct Case {
        shards: usize,
        floor: f64,
        needed: usize,
    }
    let cases = [
        Case { shards: 20, floor: 0.89, needed: 18 },
        Case { shards: 20, floor: 0.75, needed: 15 },
        Case { shards: 90, floor: 0.95, needed: 86 },
        Case { shards: 3, floor: 0.0, needed: 1 },
        Case { shards: 3, floor: 1.0, needed: 3 },
    ];
    for case in cases {
        let rule = GatherRule {
            shards: vec!["s".into(); case.shards].into(),
            record_count: 5,
            coverage_floor: case.floor,
        };
        assert_eq!(rule.parts_needed(), case.needed, "{} of {}", case.floor, case.shards);
    }
}

#[test]
fn connection_shares_do_not_exceed_the_server_limit() {
    struct Case {
        max: u32,
        slots: u32,
        same_domain_hosts: usize,
        hosts: usize,
        same_domain: usize,
    }
    let cases = [
        Case { max: 26, slots: 2, same_domain_hosts: 2, hosts: 8, same_domain: 3 },
        Case { max: 31, slots: 3, same_domain_hosts: 2, hosts: 7, same_domain: 4 },
        Case { max: 55, slots: 2, same_domain_hosts: 14, hosts: 66, same_domain: 3 },
        Case { max: 26, slots: 2, same_domain_hosts: 0, hosts: 1, same_domain: 3 },
    ];
    for case in cases {
        let limits = ServiceLimits { max_connections: case.max, cold_per_s: None };
        let services = [("s".into(), limits)].into();
        let plan = Plan::new(PlanDocument { version: 1, services, ..PlanDocument::default() })
            .expect("the plan has no routes");
        let sharers = ConnectionSharers {
            same_domain: true,
            same_domain_hosts: case.same_domain_hosts,
            hosts: case.hosts,
        };
        let same_domain = plan.connection_share("s", case.slots, sharers);
        assert_eq!(
            same_domain, case.same_domain,
            "{} of {} hosts",
            case.same_domain_hosts, case.hosts
        );
        assert!(same_domain * case.same_domain_hosts <= case.max as usize);
    }
}
