//! Guards against a late copy of a reply that is taken for the reply to the same request.

use super::{CAPACITY, CarriedRequests};

#[test]
fn connection_refuses_requests_that_it_has_carried_and_those_it_could_not_remember() {
    struct Case {
        name: &'static str,
        carried: Vec<String>,
        request: &'static str,
        allowed: bool,
    }
    let others = |count: usize| (0..count).map(|n| format!("other-{n}")).collect::<Vec<_>>();
    let mut first_of_many = vec!["r1".to_owned()];
    first_of_many.extend(others(CAPACITY - 2));
    let cases = [
        Case { name: "new connection", carried: Vec::new(), request: "r1", allowed: true },
        Case { name: "same request", carried: vec!["r1".into()], request: "r1", allowed: false },
        Case { name: "another request", carried: vec!["r1".into()], request: "r2", allowed: true },
        Case { name: "first of many", carried: first_of_many, request: "r1", allowed: false },
        Case { name: "almost full", carried: others(CAPACITY - 1), request: "r1", allowed: true },
        Case { name: "full", carried: others(CAPACITY), request: "r1", allowed: false },
    ];
    for case in cases {
        let mut carried = CarriedRequests::default();
        case.carried.iter().for_each(|request| carried.record(request));
        assert_eq!(carried.allows(case.request), case.allowed, "{}", case.name);
        assert_eq!(carried.is_full(), case.carried.len() >= CAPACITY, "{}", case.name);
    }
}
