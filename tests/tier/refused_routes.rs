//! Requests that match no route of the plan in force: a host that can't know whether its plan is
//! current refuses them as not ready instead of answering that there is no such route.

use std::net::Ipv4Addr;
use std::sync::Arc;

use quetzalpoint::clock::Monotonic;
use quetzalpoint::ids::ConfigVersion;
use quetzalpoint::process::membership::members::{FleetView, Gossip, Heartbeat, Members, Phase};
use quetzalpoint::request::entry::Answer;
use quetzalpoint::{NotRunReason, Outcome};

use crate::fake::TestHost;

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
        host.tier.fleet.store(Arc::new(self.fleet(&mut host.tier.members(), host.tier.now())));
        host.serve("no-such-route").await.0.outcome
    }

    fn fleet(&self, members: &mut Members, now: Monotonic) -> FleetView {
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
        members.on_gossip(now, Gossip { heartbeats, wants_answer: false });
        members.view(now)
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
