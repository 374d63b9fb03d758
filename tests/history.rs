//! Checks the histories of whole fleets on real sockets with two faults at once.
//!
//! The invariants are checked on what servers and callers observed, not on how long it took.

use std::time::Duration;

use quetzalpoint::Policy;
use quetzalpoint::measure::fleet::Deployment;
use quetzalpoint::measure::run::Measurement;
use quetzalpoint::measure::scenario::Scenario;

const SEED: u64 = 5;
const TIME: Duration = Duration::from_secs(8);

#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_under_two_faults() {
    struct Case {
        deployment: Deployment,
        scenarios: &'static [(&'static str, Scenario)],
    }
    let cases = [
        Case {
            deployment: Deployment::Tarlac,
            scenarios: &[("pause", Scenario::Pause), ("cold-start", Scenario::ColdStart)],
        },
        Case {
            deployment: Deployment::MokaLabs,
            scenarios: &[
                ("partition", Scenario::Partition),
                ("domain-out-and-back", Scenario::DomainOutAndBack),
            ],
        },
    ];
    for case in cases {
        let scenarios = case.scenarios.iter().map(|(name, s)| ((*name).to_owned(), *s)).collect();
        let measurement = Measurement {
            deployment: case.deployment,
            scenarios,
            policy: ("full".to_owned(), Policy::FULL),
            seed: SEED,
            duration: TIME,
            load_factor: 1.0,
        };
        let report = measurement.run().await.unwrap();
        assert_eq!(report.violations.total(), 0, "{report}");
        assert!(report.services.values().all(|service| service.answered > 0), "{report}");
    }
}
