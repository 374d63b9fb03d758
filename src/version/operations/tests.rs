//! Tests of the `operations` module.

use super::*;
use crate::version::diff::diff;
use crate::version::questionnaire::Questionnaire;

fn tarlac() -> Config {
    let text = include_str!("../../../examples/answers/tarlac.toml");
    Questionnaire::from_toml(text).unwrap().generate(1).unwrap()
}

#[test]
fn set_out_changes_only_the_flag_of_the_target() {
    struct Case {
        target: Target,
        path: &'static str,
    }
    let cases = [
        Case { target: Target::Domain("east".into()), path: "fleet.domains.east.out" },
        Case { target: Target::Host("entry-3".into()), path: "fleet.hosts.entry-3.leaving" },
        Case {
            target: Target::Server("fuel-ledger-0-2".into()),
            path: "services.fuel-ledger.shards.0.servers.fuel-ledger-0-2.leaving",
        },
    ];
    for case in cases {
        let old = tarlac();
        let out = set_out_of_service(&old, &case.target, true).unwrap();
        let paths: Vec<_> = diff(&old, &out).into_iter().map(|c| c.path).collect();
        assert_eq!(paths, [case.path, "version"]);
        let back = set_out_of_service(&out, &case.target, false).unwrap();
        assert_eq!(diff(&old, &back).len(), 1, "only the version differs");
    }
}

#[test]
fn set_out_rejects_the_last_domain_and_unknown_names() {
    let mut config = tarlac();
    for name in ["north", "east", "south"] {
        config = set_out_of_service(&config, &Target::Domain(name.into()), true).unwrap();
    }
    assert!(set_out_of_service(&config, &Target::Domain("west".into()), true).is_err());
    let message =
        set_out_of_service(&config, &Target::Domain("up".into()), true).unwrap_err().to_string();
    assert!(message.contains("north"), "{message}");
}

#[test]
fn repartition_keeps_every_server() {
    let old = tarlac();
    let new = repartition(&old, "dispatch-desk", 2, 10).unwrap();
    let service = new.service("dispatch-desk").unwrap();
    assert_eq!(service.shards.len(), 10);
    assert_eq!(service.servers().count(), 40);
    assert!(repartition(&old, "dispatch-desk", 2, 41).is_err());
}
