//! Servers that drain, leave, or stand in a failure domain that operators took out.

use quetzalpoint::Outcome;
use quetzalpoint::process::servers::registry::{Change, Fact};

use crate::fake::{NORTH, SOUTH, World, addr, record};

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_to_a_server_that_must_get_none() {
    struct Case {
        name: &'static str,
        fact: Fact,
        stops: bool,
    }
    let draining = {
        let mut server = record(0, NORTH);
        server.ready = false;
        Fact::Server(server.id.clone(), Some(server))
    };
    let cases = [
        Case { name: "draining", fact: draining, stops: true },
        Case { name: "gone", fact: Fact::Server(record(0, NORTH).id, None), stops: true },
        Case { name: "domain out", fact: Fact::DomainOut(NORTH.into(), true), stops: true },
        Case { name: "other domain out", fact: Fact::DomainOut(SOUTH.into(), true), stops: false },
    ];
    for case in cases {
        let mut world = World::new(1);
        world.warm_up().await;
        world.change(vec![Change { revision: 2, fact: case.fact }], 2);
        world.servers.seen().runs.clear();
        for route in ["one", "once", "all"] {
            let (served, _) = world.serve(route).await;
            assert!(matches!(served.outcome, Outcome::Answered(_)), "{} {route}", case.name);
        }
        let runs = world.servers.seen();
        let north = runs.runs.iter().any(|(_, at)| *at == addr(0, NORTH));
        assert_eq!(!north, case.stops, "{}", case.name);
    }
}
