//! Servers that drain, have no registry entry any more, or are in a failure domain that operators
//! took out of service.

use quetzalpoint::Outcome;
use quetzalpoint::process::servers::registry::{Change, Fact};

use crate::fake::{NORTH, SOUTH, TestHost, addr, server_record};

#[tokio::test(start_paused = true)]
async fn server_out_of_service_gets_no_requests() {
    struct Case {
        name: &'static str,
        fact: Fact,
        receives_none: bool,
    }
    let draining = {
        let mut server = server_record(0, NORTH);
        server.ready = false;
        Fact::Server(server.id.clone(), Some(server))
    };
    let cases = [
        Case { name: "draining", fact: draining, receives_none: true },
        Case {
            name: "removed",
            fact: Fact::Server(server_record(0, NORTH).id, None),
            receives_none: true,
        },
        Case {
            name: "domain out of service",
            fact: Fact::DomainOut(NORTH.into(), true),
            receives_none: true,
        },
        Case {
            name: "other domain out of service",
            fact: Fact::DomainOut(SOUTH.into(), true),
            receives_none: false,
        },
    ];
    for case in cases {
        let mut host = TestHost::new(1);
        host.warm_up().await;
        host.apply_changes(vec![Change { revision: 2, fact: case.fact }], 2);
        host.servers.stats().runs.clear();
        for route in ["one", "once", "all"] {
            let (served, _) = host.serve(route).await;
            assert!(matches!(served.outcome, Outcome::Answered(_)), "{} {route}", case.name);
        }
        let stats = host.servers.stats();
        let received = stats.runs.iter().any(|(_, at)| *at == addr(0, NORTH));
        assert_eq!(!received, case.receives_none, "{}", case.name);
    }
}
