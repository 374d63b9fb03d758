//! Tests of the `questionnaire` module.

use super::*;

const TARLAC: &str = include_str!("../../../examples/answers/tarlac.toml");
const MOKA_LABS: &str = include_str!("../../../examples/answers/moka-labs.toml");

#[test]
fn generate_from_example_answers_has_expected_sizes() {
    struct Case {
        text: &'static str,
        servers: usize,
        hosts: usize,
    }
    let cases = [
        Case { text: TARLAC, servers: 118, hosts: 8 },
        Case { text: MOKA_LABS, servers: 113, hosts: 8 },
    ];
    for case in cases {
        let config = Questionnaire::from_toml(case.text).unwrap().generate(1).unwrap();
        let servers: usize = config.services.iter().map(|s| s.servers().count()).sum();
        assert_eq!(servers, case.servers);
        assert_eq!(config.fleet.hosts.len(), case.hosts);
    }
}

#[test]
fn generate_error_names_the_invalid_field() {
    struct Case {
        from: &'static str,
        to: &'static str,
        message: &'static str,
    }
    let cases = [
        Case { from: "slots = 3", to: "slots = 0", message: "slots" },
        Case { from: "shards = 20", to: "shards = 0", message: "shards" },
        Case {
            from: "cold_start_limit = 2",
            to: "cold_start_limit = 9",
            message: "cold_start_limit",
        },
        Case { from: "deadline_ms = 400", to: "deadline_ms = 0", message: "deadline_ms" },
        Case { from: "kind = \"listing\"", to: "kind = \"poem\"", message: "poem" },
        Case { from: "server_port = 21000", to: "server_port = 65535", message: "server_port" },
    ];
    for case in cases {
        assert!(TARLAC.contains(case.from), "the example has no {}", case.from);
        let text = TARLAC.replacen(case.from, case.to, 1);
        let result = Questionnaire::from_toml(&text).and_then(|q| q.generate(1));
        let message = result.expect_err(case.to).to_string();
        assert!(message.contains(case.message), "{message}");
    }
}

#[test]
fn from_documents_round_trips_and_rejects_a_wrong_hash() {
    let config = Questionnaire::from_toml(TARLAC).unwrap().generate(7).unwrap();
    let documents = config.documents();
    let find = |name: &str| documents.iter().find(|(n, _)| n == name).map(|(_, text)| text.clone());
    let manifest = config.manifest();
    let parsed = Config::from_documents(&manifest, |entry| find(&entry.name)).unwrap();
    assert_eq!(parsed, config);
    let modified = Config::from_documents(&manifest, |entry| {
        find(&entry.name).map(|text| text.replace("entry-1", "entry-9"))
    });
    assert!(modified.is_err());
}
