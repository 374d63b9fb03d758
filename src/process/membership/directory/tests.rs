use std::net::Ipv4Addr;

use super::{CallerLocation, choose};
use crate::process::membership::members::{FleetView, Heartbeat, Phase};

fn host(n: u8, domain: u8, phase: Phase) -> Heartbeat {
    Heartbeat {
        ip: Ipv4Addr::new(10, domain, 0, n),
        life: 1,
        count: 1,
        phase,
        domain,
        weight: 25,
        revision: 0,
        version: 0,
        reads: true,
        load: None,
        epochs: None,
        source_age_ms: None,
    }
}

#[test]
fn ready_hosts_of_the_callers_domain_come_first() {
    struct Case {
        name: &'static str,
        up: Vec<Heartbeat>,
        domain: u8,
        hosts: usize,
        local: usize,
    }
    let ready = |n, domain| host(n, domain, Phase::Ready);
    let low_weight = |n, domain| Heartbeat { weight: 6, ..host(n, domain, Phase::Ready) };
    let cases = [
        Case {
            name: "enough hosts in the domain",
            up: vec![ready(1, 0), ready(2, 0), ready(3, 1)],
            domain: 0,
            hosts: 2,
            local: 2,
        },
        Case {
            name: "one host in the domain",
            up: vec![ready(1, 0), ready(2, 1), ready(3, 1)],
            domain: 0,
            hosts: 2,
            local: 1,
        },
        Case {
            name: "starting and leaving hosts are left out",
            up: vec![host(1, 0, Phase::Leaving), host(2, 0, Phase::Starting), ready(3, 1)],
            domain: 0,
            hosts: 1,
            local: 0,
        },
        Case {
            name: "low-weight hosts are left out beside two others",
            up: vec![ready(1, 0), ready(2, 0), low_weight(3, 0), low_weight(4, 0), ready(5, 1)],
            domain: 0,
            hosts: 2,
            local: 2,
        },
        Case {
            name: "a low-weight host rather than a single host",
            up: vec![ready(1, 0), low_weight(3, 0), low_weight(4, 0), ready(5, 1)],
            domain: 0,
            hosts: 2,
            local: 2,
        },
        Case {
            name: "hosts of another region if the region has none",
            up: vec![ready(1, 2), ready(2, 2)],
            domain: 0,
            hosts: 2,
            local: 0,
        },
        Case { name: "no hosts", up: vec![], domain: 0, hosts: 0, local: 0 },
    ];
    for case in cases {
        let fleet = FleetView { up: case.up, ..FleetView::default() };
        for rotation in 0..3 {
            let location = CallerLocation { domain: case.domain, region: &[0, 1] };
            let hosts = choose(&fleet, None, location, rotation);
            let local = hosts.iter().filter(|ip| ip.octets()[1] == case.domain).count();
            assert_eq!((hosts.len(), local), (case.hosts, case.local), "{}", case.name);
        }
    }
}

#[test]
fn hosts_of_the_callers_region_come_before_others() {
    let ready = |n, domain| host(n, domain, Phase::Ready);
    let up = vec![ready(1, 0), ready(2, 2), ready(3, 3), ready(4, 1)];
    let fleet = FleetView { up, ..FleetView::default() };
    for rotation in 0..4 {
        let hosts = choose(&fleet, None, CallerLocation { domain: 0, region: &[0, 1] }, rotation);
        assert_eq!(hosts, [Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::new(10, 1, 0, 4)], "{rotation}");
    }
}
