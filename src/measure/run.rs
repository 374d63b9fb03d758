//! Runs one measurement, from the start of the fleet to the report.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::fleet::{Deployment, Fleet};
use super::invariants::{RunConditions, check_invariants};
use super::load::LoadGenerator;
use super::report::{Report, RunParameters};
use super::scenario::Scenario;
use crate::error::Result;
use crate::ids::{ConfigVersion, HostId};
use crate::policy::Policy;

/// How long load runs before the measurement, so that servers are warm.
const WARM_UP: Duration = Duration::from_secs(5);
const WARM_UP_LOAD_FACTOR: f64 = 3.0;
/// Interval between samples of the versions in force.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Parameters of a measurement.
#[derive(Debug, Clone)]
pub struct Measurement {
    /// The deployment.
    pub deployment: Deployment,
    /// The scenarios, which run concurrently, each with its name.
    pub scenarios: Vec<(String, Scenario)>,
    /// The name of the policy and the policy.
    pub policy: (String, Policy),
    /// Seed of the load, the failures and the backend servers.
    pub seed: u64,
    /// How long to measure, without the warm-up.
    pub duration: Duration,
    /// Factor on the base request rates.
    pub load_factor: f64,
}

impl Measurement {
    /// Runs the measurement.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet can't be started.
    pub async fn run(&self) -> Result<Report> {
        let fleet = Fleet::start(self.deployment, self.policy.1, self.seed).await?;
        LoadGenerator::new(&fleet, self.seed ^ 1, WARM_UP_LOAD_FACTOR).run(&fleet, WARM_UP).await;
        let before = fleet.run_counts.totals();
        let reverted = Arc::new(AtomicU64::new(0));
        let sampler = tokio::spawn(count_reverted(fleet.clone(), reverted.clone()));
        let scenario_tasks: Vec<_> = self
            .scenarios
            .iter()
            .zip(self.seed..)
            .map(|((_, scenario), seed)| {
                tokio::spawn(scenario.run(fleet.clone(), self.duration, seed))
            })
            .collect();
        let load = LoadGenerator::new(&fleet, self.seed ^ 2, self.load_factor);
        let log = load.run(&fleet, self.duration).await;
        for scenario_task in scenario_tasks {
            let _ = scenario_task.await;
        }
        sampler.abort();
        let reverted = reverted.load(Ordering::Relaxed);
        let hosts_failed = self.scenarios.iter().any(|(_, s)| s.fails_hosts());
        let conditions = RunConditions { hosts_failed, reverted };
        let violations = check_invariants(&fleet, &log, conditions);
        let after = fleet.run_counts.totals();
        let mut totals = after;
        totals.runs -= before.runs;
        totals.repeats -= before.repeats;
        totals.sheds -= before.sheds;
        let scenario_names: Vec<&str> =
            self.scenarios.iter().map(|(name, _)| name.as_str()).collect();
        let parameters = RunParameters {
            deployment: self.deployment.name().to_owned(),
            scenario: scenario_names.join("+"),
            policy: self.policy.0.clone(),
            seed: self.seed,
            duration: self.duration,
        };
        Ok(Report::new(parameters, &log, totals, fleet.in_force_stats().0, violations))
    }
}

/// Counts samples in which a host's version in force is lower than the highest seen in the same
/// incarnation, until the task is aborted.
async fn count_reverted(fleet: Arc<Fleet>, reverted: Arc<AtomicU64>) {
    let mut highest: HashMap<(HostId, u64), ConfigVersion> = HashMap::new();
    loop {
        for (host, incarnation, version) in fleet.versions_in_force().await {
            let highest_so_far = highest.entry((host, incarnation)).or_default();
            if version < *highest_so_far {
                reverted.fetch_add(1, Ordering::Relaxed);
            }
            *highest_so_far = version.max(*highest_so_far);
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}
