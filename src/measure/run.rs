//! One measurement from start to report.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::fleet::{Deployment, Fleet};
use super::judge::{Circumstances, judge};
use super::load::Load;
use super::report::{Report, Subject};
use super::scenario::Scenario;
use crate::error::Result;
use crate::ids::{ConfigVersion, HostId};
use crate::policy::Policy;

/// Load before the measured time, so that servers are warm.
const WARM_UP: Duration = Duration::from_secs(5);
const WARM_UP_FACTOR: f64 = 3.0;
/// How often versions in force are read.
const SAMPLE_EVERY: Duration = Duration::from_millis(100);

/// What to measure.
#[derive(Debug, Clone)]
pub struct Measurement {
    /// The deployment.
    pub deployment: Deployment,
    /// The scenarios, all at once.
    pub scenarios: Vec<(String, Scenario)>,
    /// The policy and its name.
    pub policy: (String, Policy),
    /// The seed of load, failures and servers.
    pub seed: u64,
    /// How long to measure.
    pub time: Duration,
    /// A factor on the usual rates.
    pub load: f64,
}

impl Measurement {
    /// Runs the measurement.
    ///
    /// # Errors
    ///
    /// Returns an error where the fleet can't be started.
    pub async fn run(&self) -> Result<Report> {
        let fleet = Fleet::start(self.deployment, self.policy.1, self.seed).await?;
        Load::new(&fleet, self.seed ^ 1, WARM_UP_FACTOR).run(&fleet, WARM_UP).await;
        let before = fleet.journal.totals();
        let reverted = Arc::new(AtomicU64::new(0));
        let sampler = tokio::spawn(count_reverted(fleet.clone(), reverted.clone()));
        let scripts: Vec<_> = self
            .scenarios
            .iter()
            .zip(self.seed..)
            .map(|((_, scenario), seed)| {
                tokio::spawn(scenario.play(fleet.clone(), self.time, seed))
            })
            .collect();
        let load = Load::new(&fleet, self.seed ^ 2, self.load);
        let log = load.run(&fleet, self.time).await;
        for script in scripts {
            let _ = script.await;
        }
        sampler.abort();
        let reverted = reverted.load(Ordering::Relaxed);
        let hosts_failed = self.scenarios.iter().any(|(_, s)| s.fails_hosts());
        let circumstances = Circumstances { hosts_failed, reverted };
        let violations = judge(&fleet, &log, circumstances);
        let after = fleet.journal.totals();
        let mut totals = after;
        totals.runs -= before.runs;
        totals.repeats -= before.repeats;
        totals.sheds -= before.sheds;
        let names: Vec<&str> = self.scenarios.iter().map(|(name, _)| name.as_str()).collect();
        let subject = Subject {
            deployment: self.deployment.name().to_owned(),
            scenario: names.join("+"),
            policy: self.policy.0.clone(),
            seed: self.seed,
            time: self.time,
        };
        Ok(Report::new(subject, &log, totals, fleet.in_force().0, violations))
    }
}

/// Counts versions that went back within one life of a host, until the task is aborted.
async fn count_reverted(fleet: Arc<Fleet>, reverted: Arc<AtomicU64>) {
    let mut highest: HashMap<(HostId, u64), ConfigVersion> = HashMap::new();
    loop {
        for (host, life, version) in fleet.versions_in_force().await {
            let known = highest.entry((host, life)).or_default();
            if version < *known {
                reverted.fetch_add(1, Ordering::Relaxed);
            }
            *known = version.max(*known);
        }
        tokio::time::sleep(SAMPLE_EVERY).await;
    }
}
