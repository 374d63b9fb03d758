//! Tests of the `placement` module.

use super::*;
use crate::version::questionnaire::Questionnaire;

fn tarlac() -> Config {
    let text = include_str!("../../../examples/answers/tarlac.toml");
    Questionnaire::from_toml(text).unwrap().generate(1).unwrap()
}

#[test]
fn stable_hash_returns_fixed_values() {
    struct Case {
        seed: u64,
        key: &'static str,
        hash: u64,
    }
    let cases = [
        Case { seed: 1, key: "dispatch-desk-0-0", hash: 5080187035262985716 },
        Case { seed: 2, key: "entry-1", hash: 16897342644839143384 },
    ];
    for case in cases {
        assert_eq!(stable_hash(case.seed, case.key.as_bytes()), case.hash, "{}", case.key);
    }
}

#[test]
fn seat_and_standby_are_in_the_domain_of_the_server() {
    let config = tarlac();
    for server in config.services.iter().flat_map(|s| s.servers()) {
        let seat = seat_of(&config, server).unwrap();
        assert_eq!(config.host(&seat).unwrap().domain, server.domain);
        let ranked = candidates(&config, &seat);
        assert_eq!(ranked.len(), config.fleet.hosts.len());
        assert_eq!(ranked[0], seat);
        assert_eq!(config.host(&ranked[1]).unwrap().domain, server.domain);
    }
}

#[test]
fn witnesses_are_odd_and_distributed_over_domains() {
    let config = tarlac();
    for host in &config.fleet.hosts {
        let list = witnesses(&config, &host.id);
        assert_eq!(list.len(), 7);
        assert!(!list.contains(&host.id));
        for domain in &config.fleet.domains {
            let in_domain = list.iter().filter(|w| config.host(w).unwrap().domain == domain.id);
            assert!(in_domain.count() < majority(list.len()), "no domain has a majority");
        }
    }
}

#[test]
fn removing_a_host_reassigns_only_its_servers() {
    let old = tarlac();
    let mut new = old.clone();
    new.fleet.hosts.retain(|host| host.id != "entry-1");
    for server in old.services.iter().flat_map(|s| s.servers()) {
        let before = seat_of(&old, server).unwrap();
        if before != "entry-1" {
            assert_eq!(seat_of(&new, server).unwrap(), before);
        }
    }
}
