use std::net::Ipv4Addr;
use std::time::Duration;

use super::Succession;
use crate::clock::Monotonic;
use crate::position::Epochs;
use crate::process::membership::members::{Heartbeat, Phase};

const START: Monotonic = Duration::from_secs(100);
const DOMAIN: u8 = 1;

fn host(n: u8) -> Heartbeat {
    Heartbeat {
        ip: Ipv4Addr::new(10, 0, 0, n),
        life: 1,
        count: 1,
        phase: Phase::Ready,
        domain: DOMAIN,
        weight: 25,
        revision: 1,
        version: 1,
        reads: false,
        epochs: Some(Epochs::default()),
        load: Some(0),
        source_age_ms: None,
    }
}

fn reader(n: u8) -> Heartbeat {
    Heartbeat { reads: true, source_age_ms: Some(200), ..host(n) }
}

#[test]
fn host_reads_unless_another_one_of_its_domain_does() {
    struct Case {
        name: &'static str,
        up: Vec<Heartbeat>,
        /// Whether the host, with number 5, reads already.
        reads: bool,
        must_read: bool,
    }
    let elsewhere = |host| Heartbeat { domain: DOMAIN + 1, ..host };
    let cases = [
        Case { name: "alone", up: vec![], reads: false, must_read: true },
        Case { name: "a reader", up: vec![reader(9)], reads: false, must_read: false },
        Case {
            name: "a reader elsewhere",
            up: vec![elsewhere(reader(9))],
            reads: false,
            must_read: true,
        },
        Case {
            name: "it reads, and a later one too",
            up: vec![reader(9)],
            reads: true,
            must_read: true,
        },
        Case {
            name: "it reads, and an earlier one too",
            up: vec![reader(2)],
            reads: true,
            must_read: false,
        },
        Case {
            name: "an earlier one is not a reader",
            up: vec![host(2)],
            reads: true,
            must_read: true,
        },
        Case {
            name: "the reader got no answer for long",
            up: vec![Heartbeat { source_age_ms: Some(3_000), ..reader(9) }],
            reads: false,
            must_read: true,
        },
        Case {
            name: "the reader is leaving",
            up: vec![Heartbeat { phase: Phase::Leaving, ..reader(9) }],
            reads: false,
            must_read: true,
        },
        Case {
            name: "the reader announces no epochs",
            up: vec![Heartbeat { epochs: None, ..reader(9) }],
            reads: false,
            must_read: true,
        },
        Case {
            name: "the reader's build announces no ages",
            up: vec![Heartbeat { source_age_ms: None, ..reader(9) }],
            reads: false,
            must_read: false,
        },
    ];
    for Case { name, up, reads, must_read } in cases {
        let decided = Succession::default().must_read(START, (host(5).ip, DOMAIN), reads, &up);
        assert_eq!(decided, must_read, "{name}");
    }
}

/// Guards against a succession that waits for hosts which can't read: the delay must not grow with
/// their number.
#[test]
fn hosts_start_to_read_in_turn_but_soon() {
    for hosts in [2, 20, 100] {
        let up: Vec<Heartbeat> = (0..hosts).map(host).collect();
        let starts_after = |n: u8| {
            let (own, mut succession) = (host(n), Succession::default());
            let others: Vec<Heartbeat> = up.iter().filter(|h| h.ip != own.ip).copied().collect();
            let must_read = |ms: &u64| {
                let now = START + Duration::from_millis(*ms);
                succession.must_read(now, (own.ip, DOMAIN), false, &others)
            };
            (0..).step_by(10).find(must_read).expect("it starts some time")
        };
        assert_eq!(starts_after(0), 0, "the first of {hosts}");
        let second = starts_after(1);
        assert!((10..=60).contains(&second), "the second of {hosts}: {second}");
        assert!(starts_after(hosts - 1) <= 1_000, "the last of {hosts}");
    }
}
