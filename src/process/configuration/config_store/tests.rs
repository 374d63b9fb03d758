use super::*;
use crate::version::questionnaire::Questionnaire;

fn config(version: u64) -> Config {
    let text = include_str!("../../../../examples/answers/tarlac.toml");
    Questionnaire::from_toml(text).unwrap().generate(version).unwrap()
}

#[test]
fn highest_valid_version_stays_in_force() {
    struct Case {
        name: &'static str,
        offered: fn() -> Config,
        result: Result<bool, &'static str>,
        in_force: u64,
    }
    let cases = [
        Case { name: "higher", offered: || config(5), result: Ok(true), in_force: 5 },
        Case { name: "again", offered: || config(5), result: Ok(false), in_force: 5 },
        Case { name: "stale", offered: || config(4), result: Ok(false), in_force: 5 },
        Case {
            name: "other content",
            offered: || {
                let mut other = config(5);
                other.fleet.domains[0].out = true;
                other
            },
            result: Err("other content"),
            in_force: 5,
        },
        Case {
            name: "invalid",
            offered: || {
                let mut bad = config(6);
                bad.services[0].limits.slots = 0;
                bad
            },
            result: Err("slots"),
            in_force: 5,
        },
        Case {
            name: "other deployment",
            offered: || {
                let mut other = config(7);
                other.fleet.deployment = "elsewhere".into();
                other
            },
            result: Err("another deployment"),
            in_force: 5,
        },
        Case { name: "next", offered: || config(6), result: Ok(true), in_force: 6 },
    ];
    let mut store = ConfigStore::new(config(3)).unwrap();
    for case in cases {
        let result = store.offer((case.offered)());
        match (&result, case.result) {
            (Ok(adopted), Ok(expected)) => assert_eq!(*adopted, expected, "{}", case.name),
            (Err(error), Err(says)) => {
                assert!(error.to_string().contains(says), "{}: {error}", case.name);
            }
            _ => panic!("{}: {result:?}", case.name),
        }
        assert_eq!(store.current().version, case.in_force, "{}", case.name);
    }
}
