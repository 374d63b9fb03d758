use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, advance};

use super::{
    ClientKind, ClientLimits, Clients, MIN_WAIT, MachineLimits, Phase, REQUEST_BYTES,
    RegisteredConnection,
};

const SMALL_MACHINE: MachineLimits = MachineLimits { memory_bytes: 16 << 20, descriptors: 310 };

/// Guards against limits that together exceed the machine.
#[test]
fn limits_fit_the_machine() {
    for (memory_mb, descriptors) in [(260, 4_100), (512, 8_192), (160, 4_100), (64, 400)] {
        let machine = MachineLimits { memory_bytes: memory_mb << 20, descriptors };
        let limits = ClientLimits::new(machine);
        let kinds = [
            ClientKind::Caller,
            ClientKind::Lookup,
            ClientKind::Readiness,
            ClientKind::Metrics,
            ClientKind::Host,
        ];
        let connections: usize = kinds.map(|kind| limits.connections(kind)).iter().sum();
        assert!(connections + limits.refused < (descriptors - 200) * 3 / 4, "{limits:?}");
        assert!(limits.request_bytes + limits.reply_bytes < (memory_mb << 20) * 2 / 3);
    }
}

fn register(clients: &Arc<Clients>, kind: ClientKind) -> RegisteredConnection {
    clients.register(kind).expect("there is room")
}

fn leaving(connections: &[RegisteredConnection]) -> Vec<usize> {
    let must_leave = |n: &usize| connections[*n].connection().must_leave();
    (0..connections.len()).filter(must_leave).collect()
}

/// Guards against a crowd of waiting connections that keeps others out.
#[tokio::test(start_paused = true)]
async fn newcomer_takes_the_place_of_the_connection_that_waited_longest() {
    struct Case {
        name: &'static str,
        phases: [fn(Instant) -> Phase; 4],
        leaves: Option<usize>,
    }
    let cases = [
        Case {
            name: "all idle",
            phases: [Phase::Idle, Phase::Idle, Phase::Idle, Phase::Idle],
            leaves: Some(0),
        },
        Case {
            name: "idle before unfinished",
            phases: [Phase::Body, Phase::Head, Phase::Idle, Phase::Idle],
            leaves: Some(2),
        },
        Case {
            name: "served ones stay",
            phases: [|_| Phase::Serving, |_| Phase::Serving, Phase::Body, Phase::Head],
            leaves: Some(2),
        },
        Case {
            name: "all served",
            phases: [
                |_| Phase::Serving,
                |_| Phase::Serving,
                |_| Phase::Serving,
                |_| Phase::Serving,
            ],
            leaves: None,
        },
    ];
    for Case { name, phases, leaves } in cases {
        let clients = Clients::new(SMALL_MACHINE);
        let mut connections = Vec::new();
        for phase in phases {
            let registered = register(&clients, ClientKind::Caller);
            registered.connection().set_phase(phase(Instant::now()));
            connections.push(registered);
            advance(MIN_WAIT).await;
        }
        // A connection of another kind is not affected.
        let _lookup = register(&clients, ClientKind::Lookup);
        let newcomer = clients.register(ClientKind::Caller);
        assert_eq!(newcomer.is_some(), leaves.is_some(), "{name}");
        assert_eq!(leaving(&connections), Vec::from_iter(leaves), "{name}");
        assert_eq!(clients.connections(ClientKind::Caller), phases.len(), "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn request_takes_the_memory_of_the_body_that_waited_longest() {
    let clients = Clients::new(SMALL_MACHINE);
    let connections: Vec<_> = (0..3).map(|_| register(&clients, ClientKind::Caller)).collect();
    let [idle, slow, new] = connections.as_slice() else { panic!("three connections") };
    idle.connection().set_phase(Phase::Idle(Instant::now()));
    advance(Duration::from_secs(1)).await;
    slow.connection().set_phase(Phase::Body(Instant::now()));
    advance(MIN_WAIT).await;
    new.connection().set_phase(Phase::Body(Instant::now()));
    let left = clients.limits.request_bytes - clients.requests.used_bytes();
    let held = clients.requests.reserve_used(left - REQUEST_BYTES);
    assert!(clients.reserve_request().await.is_some());
    assert_eq!(leaving(&connections), [0; 0]);
    let _more = clients.requests.reserve_used(1);
    let (reserved, ()) = tokio::join!(clients.reserve_request(), async {
        assert_eq!(leaving(&connections), [1]);
        drop(held);
    });
    assert!(reserved.is_some());
}

/// Guards against requests that wait for memory which nobody gives back.
#[tokio::test(start_paused = true)]
async fn request_without_room_is_refused_soon() {
    let clients = Clients::new(SMALL_MACHINE);
    let _held = clients.requests.reserve_used(clients.limits.request_bytes);
    let began_at = Instant::now();
    assert!(clients.reserve_request().await.is_none());
    assert!(began_at.elapsed() < MIN_WAIT);
}

#[tokio::test(start_paused = true)]
async fn reply_takes_the_memory_of_an_answer_that_nobody_reads() {
    let clients = Clients::new(SMALL_MACHINE);
    let connections: Vec<_> = (0..3).map(|_| register(&clients, ClientKind::Caller)).collect();
    for registered in &connections {
        registered.connection().on_answer(Duration::from_secs(15));
        advance(MIN_WAIT).await;
    }
    // The first reads its answer and the third has just begun to.
    connections[1].connection().on_write(true);
    connections[2].connection().on_write(true);
    connections[2].connection().on_flushed();
    assert!(!clients.make_room_for_reply(|| false).await);
    assert_eq!(leaving(&connections), [1]);
}

/// Guards against a connection that ends although its client has sent what was waited for.
#[tokio::test(start_paused = true)]
async fn connection_stays_if_its_wait_is_over() {
    let clients = Clients::new(SMALL_MACHINE);
    let registered = register(&clients, ClientKind::Caller);
    let connection = registered.connection();
    connection.set_phase(Phase::Body(Instant::now()));
    advance(MIN_WAIT).await;
    clients.relieve_requests();
    assert!(connection.must_leave());
    connection.set_phase(Phase::Serving);
    assert!(!connection.must_leave());
}
