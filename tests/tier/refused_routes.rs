//! Requests that match no route of the plan in force: a host that can't know whether its plan is
//! current refuses them as not ready instead of answering that there is no such route.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use quetzalpoint::ids::ConfigVersion;
use quetzalpoint::position::Position;
use quetzalpoint::process::configuration::fact_exchange;
use quetzalpoint::process::membership::members::{Gossip, Heartbeat, Phase};
use quetzalpoint::process::servers::registry::{Change, Fact, LAPSE_GRACE};
use quetzalpoint::request::entry::Answer;
use quetzalpoint::{NotRunReason, Outcome};

use crate::fake::{LAPSE_TIME, NORTH, TestHost, server_record};

/// What another host announces.
struct Peer {
    reads: bool,
    version: ConfigVersion,
}

struct Case {
    name: &'static str,
    /// Whether the host itself can read from the source.
    reads: bool,
    peers: Vec<Peer>,
}

impl Case {
    /// Serves a request without a route at a host that has plan version 1.
    async fn serve(&self) -> Outcome<Answer> {
        let mut host = TestHost::new(1);
        self.announce(&host);
        host.serve("no-such-route").await.0.outcome
    }

    /// Makes the host know what the case says of itself and of its peers.
    fn announce(&self, host: &TestHost) {
        let now = host.tier.now();
        let mut members = host.tier.members();
        members.own_heartbeat_mut().reads = self.reads;
        let own = *members.own_heartbeat_mut();
        let heartbeat = |(n, peer): (u8, &Peer)| Heartbeat {
            ip: Ipv4Addr::new(127, 0, 7, n),
            count: 1,
            phase: Phase::Ready,
            version: peer.version,
            reads: peer.reads,
            ..own
        };
        let heartbeats = (1..).zip(&self.peers).map(heartbeat).collect();
        members.on_gossip(now, Gossip { heartbeats, ..Gossip::default() });
        host.tier.fleet.store(Arc::new(members.view(now)));
    }
}

#[tokio::test(start_paused = true)]
async fn route_missing_from_current_plan_is_not_found() {
    let cases = [
        Case { name: "the host reads, and is alone", reads: true, peers: vec![] },
        Case {
            name: "the host reads, and a peer has the same plan",
            reads: true,
            peers: vec![Peer { reads: false, version: 1 }],
        },
        Case {
            name: "the host reads, and a peer has an older plan",
            reads: true,
            peers: vec![Peer { reads: true, version: 0 }],
        },
        Case {
            name: "a peer reads and has the same plan",
            reads: false,
            peers: vec![Peer { reads: false, version: 1 }, Peer { reads: true, version: 1 }],
        },
    ];
    for case in cases {
        let outcome = case.serve().await;
        assert!(
            matches!(outcome, Outcome::Answered(Answer::NoRoute)),
            "{}: {outcome:?}",
            case.name
        );
    }
}

/// Guards against callers who are told that a route does not exist while the host has not yet
/// received the plan that added it: they don't retry such an answer.
#[tokio::test(start_paused = true)]
async fn route_missing_from_outdated_plan_is_refused_as_not_ready() {
    let cases = [
        Case {
            name: "a peer has a newer plan, and the host reads",
            reads: true,
            peers: vec![Peer { reads: true, version: 2 }],
        },
        Case {
            name: "a peer that does not read has a newer plan",
            reads: true,
            peers: vec![Peer { reads: false, version: 2 }, Peer { reads: true, version: 1 }],
        },
        Case { name: "the host can't read, and is alone", reads: false, peers: vec![] },
        Case {
            name: "no host can read",
            reads: false,
            peers: vec![Peer { reads: false, version: 1 }, Peer { reads: false, version: 1 }],
        },
        Case {
            name: "no host can read, and peers have an older plan",
            reads: false,
            peers: vec![Peer { reads: false, version: 0 }],
        },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let outcome = case.serve().await;
        if !matches!(outcome, Outcome::NotRun(NotRunReason::NotReady)) {
            wrong.push(format!("{}: {outcome:?}", case.name));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against callers who are told that a route does not exist while the source, just restored,
/// may have lost the plan that added it, and against refusals that never end.
#[tokio::test(start_paused = true)]
async fn route_missing_after_restoration_is_not_found_once_retention_is_over() {
    struct Case {
        name: &'static str,
        /// Whether a peer tells the host that the source was restored.
        from_peer: bool,
        restorations: u64,
        since_last: Duration,
        is_refused: bool,
    }
    let retention = LAPSE_TIME + LAPSE_GRACE;
    let margin = Duration::from_millis(50);
    let (at_once, nearly_over, over) = (Duration::ZERO, retention - margin, retention + margin);
    let case = |name, from_peer, restorations, since_last, is_refused| Case {
        name,
        from_peer,
        restorations,
        since_last,
        is_refused,
    };
    let cases = [
        case("read, at once", false, 1, at_once, true),
        case("read, retention nearly over", false, 1, nearly_over, true),
        case("read, retention over", false, 1, over, false),
        case("read, restored twice", false, 2, nearly_over, true),
        case("read, restored twice, retention over", false, 2, over, false),
        case("received, at once", true, 1, at_once, true),
        case("received, retention nearly over", true, 1, nearly_over, true),
        case("received, retention over", true, 1, over, false),
    ];
    for Case { name, from_peer, restorations, since_last, is_refused } in cases {
        let (mut host, reader) = (TestHost::new(1), TestHost::new(1));
        host.tier.members().own_heartbeat_mut().reads = true;
        for epoch in 1..=restorations {
            tokio::time::sleep(retention / 2).await;
            let record = server_record(0, NORTH);
            let fact = Fact::Server(record.id.clone(), Some(record));
            let up_to = Position { epoch, revision: 9 };
            let receiver = if from_peer { &reader } else { &host };
            receiver.tier.apply_snapshot(vec![Change { revision: 2, fact }], up_to);
            if from_peer {
                let known = fact_exchange::known_versions(&host.tier);
                let facts = fact_exchange::facts_after(&reader.tier, known);
                fact_exchange::on_facts(&host.tier, facts);
            }
        }
        tokio::time::sleep(since_last).await;
        host.tier.sweep();
        let missing = host.serve("no-such-route").await.0.outcome;
        let present = host.serve("one").await.0.outcome;
        assert!(
            match missing {
                Outcome::NotRun(NotRunReason::NotReady) => is_refused,
                Outcome::Answered(Answer::NoRoute) => !is_refused,
                _ => false,
            },
            "{name}: {missing:?}"
        );
        assert!(matches!(present, Outcome::Answered(Answer::Forwarded(_))), "{name}: {present:?}");
    }
}
