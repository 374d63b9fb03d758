//! The failures that a measurement injects, as scripts over its duration.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use super::fleet::Fleet;
use crate::ids::{DomainId, HostId, ServerId};
use crate::version::config::Service;
use crate::version::operations::{Target, repartition, set_out_of_service};

/// A script affects one in this many servers.
const AFFECTED_DIVISOR: usize = 8;
/// Factor on the service time of a straggler.
const STRAGGLER_FACTOR: f64 = 12.0;
/// Factor on the service time of all servers during overload.
const OVERLOAD_FACTOR: f64 = 12.0;
/// How long a host is paused.
const PAUSE: Duration = Duration::from_millis(2_500);
/// How long servers retain an index version after the next one is published.
const OLD_VERSION_RETENTION: Duration = Duration::from_millis(1_500);

/// A named failure scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum Scenario {
    /// Nothing fails.
    Steady,
    /// Some servers are slow for half of the time.
    Straggler,
    /// All servers are slow for half of the time, so that the load exceeds their capacity.
    Overload,
    /// Some servers and one host crash and restart.
    ReplicaLoss,
    /// Some servers restart cold, three times.
    ColdStart,
    /// A failure domain is taken out and brought back.
    DomainOutAndBack,
    /// The configuration service is down, then unreachable for half of the hosts while a failure
    /// domain is taken out and brought back.
    ConfigDown,
    /// A network partition isolates a failure domain from the others.
    Partition,
    /// Hosts are paused, up to two at a time.
    Pause,
    /// Sharded services move to index versions with another number of shards.
    Repartition,
    /// Hosts shut down gracefully and restart, one after the other.
    RollingRestart,
}

/// All scenarios by name.
pub const NAMED: [(&str, Scenario); 11] = [
    ("steady", Scenario::Steady),
    ("straggler", Scenario::Straggler),
    ("overload", Scenario::Overload),
    ("replica-loss", Scenario::ReplicaLoss),
    ("cold-start", Scenario::ColdStart),
    ("domain-out-and-back", Scenario::DomainOutAndBack),
    ("config-down", Scenario::ConfigDown),
    ("partition", Scenario::Partition),
    ("pause", Scenario::Pause),
    ("repartition", Scenario::Repartition),
    ("rolling-restart", Scenario::RollingRestart),
];

impl Scenario {
    /// Returns the scenario with the given name.
    pub fn named(name: &str) -> Option<Self> {
        NAMED.iter().find(|(known, _)| *known == name).map(|(_, scenario)| *scenario)
    }

    /// Returns whether the scenario kills or pauses hosts, which may break callers' connections.
    pub const fn fails_hosts(self) -> bool {
        matches!(self, Self::ReplicaLoss | Self::Pause)
    }

    /// Runs the script, spread over a duration.
    pub async fn run(self, fleet: Arc<Fleet>, duration: Duration, seed: u64) {
        let mut script = Script { rng: SmallRng::seed_from_u64(seed), fleet, duration };
        match self {
            Self::Steady => {}
            Self::Straggler => script.straggler().await,
            Self::Overload => script.overload().await,
            Self::ReplicaLoss => script.replica_loss().await,
            Self::ColdStart => script.cold_start().await,
            Self::DomainOutAndBack => script.domain_out_and_back().await,
            Self::ConfigDown => script.config_down().await,
            Self::Partition => script.partition().await,
            Self::Pause => script.pause().await,
            Self::Repartition => script.repartition().await,
            Self::RollingRestart => script.rolling_restart().await,
        }
    }
}

struct Script {
    rng: SmallRng,
    fleet: Arc<Fleet>,
    duration: Duration,
}

impl Script {
    /// Waits for a percentage of the scenario's duration.
    async fn wait(&self, percent: u32) {
        tokio::time::sleep(self.duration * percent / 100).await;
    }

    fn random_servers(&mut self) -> Vec<ServerId> {
        let mut ids: Vec<ServerId> = self.fleet.servers.keys().cloned().collect();
        ids.shuffle(&mut self.rng);
        ids.truncate(ids.len() / AFFECTED_DIVISOR);
        ids
    }

    fn random_domain(&mut self) -> DomainId {
        let config = self.fleet.config();
        let n = self.rng.random_range(0..config.fleet.domains.len());
        config.fleet.domains[n].id.clone()
    }

    fn random_host(&mut self) -> HostId {
        let ids = self.fleet.host_ids();
        ids[self.rng.random_range(0..ids.len())].clone()
    }

    async fn straggler(&mut self) {
        let ids = self.random_servers();
        self.wait(25).await;
        ids.iter().for_each(|id| self.fleet.servers[id].set_slow_factor(STRAGGLER_FACTOR));
        self.wait(50).await;
        ids.iter().for_each(|id| self.fleet.servers[id].set_slow_factor(1.0));
    }

    async fn overload(&mut self) {
        self.wait(25).await;
        self.fleet.servers.values().for_each(|server| server.set_slow_factor(OVERLOAD_FACTOR));
        self.wait(50).await;
        self.fleet.servers.values().for_each(|server| server.set_slow_factor(1.0));
    }

    async fn replica_loss(&mut self) {
        let ids = self.random_servers();
        let host = self.random_host();
        self.wait(25).await;
        ids.iter().for_each(|id| self.fleet.servers[id].crash());
        self.wait(10).await;
        self.fleet.kill_host(&host).await;
        self.wait(25).await;
        ids.iter().for_each(|id| self.fleet.servers[id].restart());
        self.wait(10).await;
        self.start_host(&host).await;
    }

    async fn cold_start(&mut self) {
        for _ in 0..3 {
            self.wait(20).await;
            let ids = self.random_servers();
            ids.iter().for_each(|id| self.fleet.servers[id].restart());
        }
    }

    async fn domain_out_and_back(&mut self) {
        let domain = self.random_domain();
        self.wait(20).await;
        self.set_domain_out(&domain, true);
        self.wait(40).await;
        self.restart_servers_in(&domain);
        self.set_domain_out(&domain, false);
    }

    async fn config_down(&mut self) {
        let domain = self.random_domain();
        self.wait(10).await;
        self.fleet.platform.set_down(true);
        self.wait(15).await;
        let hosts = self.fleet.host_ids();
        let half = hosts.iter().step_by(2).cloned().collect();
        self.fleet.network_faults.set(|rules| rules.without_platform = half);
        self.fleet.platform.set_down(false);
        self.set_domain_out(&domain, true);
        self.wait(45).await;
        self.set_domain_out(&domain, false);
        self.wait(10).await;
        self.fleet.network_faults.set(|rules| rules.without_platform.clear());
    }

    async fn partition(&mut self) {
        let domain = self.random_domain();
        self.wait(25).await;
        self.fleet.network_faults.set(|rules| {
            rules.isolated.insert(domain.clone());
        });
        self.wait(35).await;
        self.fleet.network_faults.set(|rules| {
            rules.isolated.remove(&domain);
        });
    }

    async fn pause(&mut self) {
        for _ in 0..3 {
            self.wait(20).await;
            let (first, second) = (self.random_host(), self.random_host());
            self.fleet.pause_host(&first, PAUSE).await;
            self.fleet.pause_host(&second, PAUSE).await;
        }
    }

    async fn repartition(&mut self) {
        self.wait(20).await;
        for (n, percent) in [(2_u64, 25), (3, 25)] {
            self.move_to_index_version(n).await;
            self.wait(percent).await;
        }
    }

    /// Moves all sharded services to an index version, with fewer shards if its number is even.
    async fn move_to_index_version(&mut self, version: u64) {
        let config = self.fleet.config();
        let sharded: Vec<Service> =
            config.services.iter().filter(|s| s.shards.len() > 1).cloned().collect();
        for service in &sharded {
            let held = [service.index_version, version];
            service.servers().for_each(|s| self.fleet.servers[&s.id].set_versions(held));
            let shards = if version.is_multiple_of(2) { 10 } else { 20 };
            let current = self.fleet.config();
            match repartition(&current, &service.id, version, shards) {
                Ok(next) => self.fleet.publish(next),
                Err(error) => tracing::error!(%error, "failed to prepare the next version"),
            }
        }
        tokio::time::sleep(OLD_VERSION_RETENTION).await;
        for server in sharded.iter().flat_map(Service::servers) {
            self.fleet.servers[&server.id].set_versions([version]);
        }
    }

    async fn rolling_restart(&mut self) {
        let started = tokio::time::Instant::now();
        let mut hosts = self.fleet.host_ids();
        hosts.shuffle(&mut self.rng);
        for host in hosts {
            if started.elapsed() > self.duration * 7 / 10 {
                return;
            }
            if let Err(error) = self.fleet.restart_host(&host).await {
                tracing::error!(%host, %error, "failed to start the host");
            }
        }
    }

    fn set_domain_out(&self, domain: &DomainId, out: bool) {
        let target = Target::Domain(domain.to_string());
        match set_out_of_service(&self.fleet.config(), &target, out) {
            Ok(next) => self.fleet.publish(next),
            Err(error) => tracing::error!(%error, "failed to prepare the next version"),
        }
    }

    fn restart_servers_in(&self, domain: &DomainId) {
        let servers = self.fleet.servers.values().filter(|s| s.server().domain == *domain);
        servers.for_each(|server| server.restart());
    }

    async fn start_host(&self, host: &HostId) {
        if let Err(error) = self.fleet.start_host(host).await {
            tracing::error!(%host, %error, "failed to start the host");
        }
    }
}
