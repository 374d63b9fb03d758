use std::net::Ipv4Addr;

use super::{Place, choose};
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
    }
}

#[test]
fn callers_get_ready_hosts_near_ones_first() {
    struct Case {
        name: &'static str,
        up: Vec<Heartbeat>,
        domain: u8,
        hosts: usize,
        near: usize,
    }
    let ready = |n, domain| host(n, domain, Phase::Ready);
    let weak = |n, domain| Heartbeat { weight: 6, ..host(n, domain, Phase::Ready) };
    let cases = [
        Case {
            name: "enough near ones",
            up: vec![ready(1, 0), ready(2, 0), ready(3, 1)],
            domain: 0,
            hosts: 2,
            near: 2,
        },
        Case {
            name: "one near",
            up: vec![ready(1, 0), ready(2, 1), ready(3, 1)],
            domain: 0,
            hosts: 2,
            near: 1,
        },
        Case {
            name: "leaving ones are not named",
            up: vec![host(1, 0, Phase::Leaving), host(2, 0, Phase::Starting), ready(3, 1)],
            domain: 0,
            hosts: 1,
            near: 0,
        },
        Case {
            name: "no weak ones beside two strong ones",
            up: vec![ready(1, 0), ready(2, 0), weak(3, 0), weak(4, 0), ready(5, 1)],
            domain: 0,
            hosts: 2,
            near: 2,
        },
        Case {
            name: "a weak one rather than a single host",
            up: vec![ready(1, 0), weak(3, 0), weak(4, 0), ready(5, 1)],
            domain: 0,
            hosts: 2,
            near: 2,
        },
        Case {
            name: "a host beyond the region only where the region has none",
            up: vec![ready(1, 2), ready(2, 2)],
            domain: 0,
            hosts: 2,
            near: 0,
        },
        Case { name: "nobody", up: vec![], domain: 0, hosts: 0, near: 0 },
    ];
    for case in cases {
        let fleet = FleetView { up: case.up, ..FleetView::default() };
        for turn in 0..3 {
            let place = Place { domain: case.domain, region: &[0, 1] };
            let hosts = choose(&fleet, None, place, turn);
            let near = hosts.iter().filter(|ip| ip.octets()[1] == case.domain).count();
            assert_eq!((hosts.len(), near), (case.hosts, case.near), "{}", case.name);
        }
    }
}

#[test]
fn hosts_of_the_callers_region_come_before_others() {
    let ready = |n, domain| host(n, domain, Phase::Ready);
    let up = vec![ready(1, 0), ready(2, 2), ready(3, 3), ready(4, 1)];
    let fleet = FleetView { up, ..FleetView::default() };
    for turn in 0..4 {
        let hosts = choose(&fleet, None, Place { domain: 0, region: &[0, 1] }, turn);
        assert_eq!(hosts, [Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::new(10, 1, 0, 4)], "{turn}");
    }
}
