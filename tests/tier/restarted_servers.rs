//! Servers that start again under the id that they had, in a new process that holds nothing of the
//! earlier one: no connection, no backlog and no warm cache.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use quetzalpoint::Outcome;
use quetzalpoint::process::servers::registry::{Change, Fact, ServerRecord};

use crate::fake::{Mode, NORTH, PROCESSING_TIME, SOUTH, TestHost, addr, server_record};

/// Guards against requests on connections to the earlier process, whose address may belong to
/// another server by now.
#[tokio::test(start_paused = true)]
async fn requests_go_to_the_new_address_of_a_restarted_server() {
    struct Case {
        name: &'static str,
        /// What answers at the earlier address.
        earlier: Mode,
    }
    let cases = [
        Case { name: "nothing", earlier: Mode::Unreachable },
        Case { name: "nothing, and silently", earlier: Mode::CutOff },
        Case { name: "another server", earlier: Mode::Replaced },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let mut host = TestHost::new(1);
        // The other server of the shard leaves, so that the restarted one must be used.
        let leaves = Fact::Server(server_record(0, SOUTH).id, None);
        host.apply_changes(vec![Change { revision: 2, fact: leaves }], 2);
        host.warm_up().await;
        let restarted_addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000));
        host.servers.set_behaviour(addr(0, NORTH), case.earlier, PROCESSING_TIME);
        host.servers.set_behaviour(restarted_addr, Mode::Answers, PROCESSING_TIME);
        let record = ServerRecord { addr: restarted_addr, ..server_record(0, NORTH) };
        let fact = Fact::Server(record.id.clone(), Some(record));
        host.apply_changes(vec![Change { revision: 3, fact }], 3);
        for n in 0..3 {
            let (served, took) = host.serve("one").await;
            let answered = matches!(served.outcome, Outcome::Answered(_));
            if !answered || took > Duration::from_millis(100) {
                wrong.push(format!("{}, request {n}: {:?}, {took:?}", case.name, served.outcome));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a pool that does not know the address of the only connection that it has to a server,
/// since that one was opened when it had none, and reuses it after the server has started elsewhere.
#[tokio::test(start_paused = true)]
async fn first_connection_to_a_server_is_not_reused_after_its_restart_elsewhere() {
    let mut wrong = Vec::new();
    for earlier in [Mode::Unreachable, Mode::CutOff, Mode::Replaced, Mode::Answers] {
        let mut host = TestHost::new(1);
        let leaves = Fact::Server(server_record(0, SOUTH).id, None);
        host.apply_changes(vec![Change { revision: 2, fact: leaves }], 2);
        host.serve("one").await;
        let restarted_addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000));
        host.servers.set_behaviour(addr(0, NORTH), earlier, PROCESSING_TIME);
        host.servers.set_behaviour(restarted_addr, Mode::Answers, PROCESSING_TIME);
        let record = ServerRecord { addr: restarted_addr, ..server_record(0, NORTH) };
        let fact = Fact::Server(record.id.clone(), Some(record));
        host.apply_changes(vec![Change { revision: 3, fact }], 3);
        let before = host.servers.stats().arrivals;
        let (served, took) = host.serve("one").await;
        let stats = host.servers.stats();
        let arrivals = stats.arrivals - before;
        let last = stats.runs.last().map(|(_, addr)| *addr);
        if arrivals != 1 || last != Some(restarted_addr) {
            wrong.push(format!("{earlier:?}: {arrivals} arrivals, {:?}, {took:?}", served.outcome));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
