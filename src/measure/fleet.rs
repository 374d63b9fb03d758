//! Runs a whole deployment in one process: platform, backend servers and hosts on loopback
//! addresses.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

use super::host_thread::HostThread;
use crate::connection::caller::Caller;
use crate::connection::network_faults::NetworkFaults;
use crate::error::{Error, Result};
use crate::host::Settings;
use crate::ids::{ConfigVersion, HostId, IndexVersion, ServerId, ServiceId};
use crate::policy::Policy;
use crate::standin::backend::BackendServer;
use crate::standin::platform::PlatformServer;
use crate::standin::run_counts::RunCounts;
use crate::version::config::{Config, Service};
use crate::version::questionnaire::Questionnaire;

const PLATFORM_PORT: u16 = 19_999;
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a published configuration may take until it is in force at all hosts.
pub const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(8);

/// An example deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum Deployment {
    /// Gives coverage the highest priority.
    Tarlac,
    /// Gives tail latency the highest priority.
    MokaLabs,
}

impl Deployment {
    /// Returns the deployment's name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Tarlac => "tarlac",
            Self::MokaLabs => "moka-labs",
        }
    }

    /// Returns the deployment with the given name.
    pub fn named(name: &str) -> Option<Self> {
        [Self::Tarlac, Self::MokaLabs].into_iter().find(|deployment| deployment.name() == name)
    }

    /// Returns the deployment's answers to the questionnaire, as TOML.
    pub const fn answers(self) -> &'static str {
        match self {
            Self::Tarlac => include_str!("../../examples/answers/tarlac.toml"),
            Self::MokaLabs => include_str!("../../examples/answers/moka-labs.toml"),
        }
    }

    /// Returns the one-way network delay between failure domains.
    pub const fn one_way_delay(self) -> Duration {
        match self {
            Self::Tarlac => Duration::from_micros(1_500),
            Self::MokaLabs => Duration::from_micros(1_000),
        }
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    /// The stand-in for the platform.
    pub platform: Arc<PlatformServer>,
    /// The stand-in backend servers by name.
    pub servers: BTreeMap<ServerId, Arc<BackendServer>>,
    /// What the backend servers recorded.
    pub run_counts: Arc<RunCounts>,
    /// Injected delays and partitions between failure domains.
    pub network_faults: Arc<NetworkFaults>,
    config: Mutex<Arc<Config>>,
    shard_counts: Mutex<HashMap<(ServiceId, IndexVersion), u32>>,
    hosts: tokio::sync::Mutex<BTreeMap<HostId, HostThread>>,
    host_settings: Vec<Settings>,
    policy: Policy,
    slowest_in_force: Mutex<Duration>,
    overdue_in_force: Mutex<u64>,
}

impl Fleet {
    /// Starts a deployment and waits until its hosts are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound or a host is not ready in time.
    pub async fn start(deployment: Deployment, policy: Policy, seed: u64) -> Result<Arc<Self>> {
        let config = config_at(deployment, loopback_address())?;
        let ip = config.fleet.hosts[0].caller_addr.ip();
        let platform_addr = SocketAddr::new(ip, PLATFORM_PORT);
        let platform = PlatformServer::start(platform_addr, &config).await?;
        let run_counts = Arc::new(RunCounts::default());
        let servers = start_servers(&config, seed, &run_counts).await?;
        let network_faults = Arc::new(NetworkFaults::default());
        network_faults.set(|rules| rules.one_way = deployment.one_way_delay());
        let peers: Vec<SocketAddr> = config.fleet.hosts.iter().map(|h| h.peer_addr).collect();
        let host_settings: Vec<Settings> = config
            .fleet
            .hosts
            .iter()
            .map(|host| Settings {
                host: host.id.clone(),
                domain: host.domain.clone(),
                caller_addr: host.caller_addr,
                peer_addr: host.peer_addr,
                platform: Some(platform_addr),
                peers: peers.clone(),
            })
            .collect();
        let fleet = Arc::new(Self {
            platform,
            servers,
            run_counts,
            network_faults,
            shard_counts: Mutex::default(),
            config: Mutex::new(Arc::new(config.clone())),
            hosts: tokio::sync::Mutex::default(),
            host_settings,
            policy,
            slowest_in_force: Mutex::default(),
            overdue_in_force: Mutex::default(),
        });
        fleet.record_shard_counts(&config);
        let starting = fleet.host_settings.iter().map(|settings| fleet.start_host(&settings.host));
        futures::future::try_join_all(starting).await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Returns the configuration published last.
    pub fn config(&self) -> Arc<Config> {
        self.config.lock().expect("no holder of the lock panics").clone()
    }

    /// Returns the address for callers of every host.
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.host_settings.iter().map(|settings| settings.caller_addr).collect()
    }

    /// Returns the names of all hosts.
    pub fn host_ids(&self) -> Vec<HostId> {
        self.host_settings.iter().map(|settings| settings.host.clone()).collect()
    }

    /// Returns how many shards a service has in an index version.
    pub fn shard_count(&self, service: &str, version: IndexVersion) -> Option<u32> {
        let counts = self.shard_counts.lock().expect("no holder of the lock panics");
        counts.get(&(service.into(), version)).copied()
    }

    /// Publishes a configuration and measures in the background how long it takes to be in force at
    /// all hosts.
    pub fn publish(self: &Arc<Self>, config: Config) {
        let version = config.version;
        self.record_shard_counts(&config);
        self.record_out_of_service(&config);
        self.platform.publish(&config);
        *self.config.lock().expect("no holder of the lock panics") = Arc::new(config);
        let fleet = self.clone();
        tokio::spawn(async move { fleet.track_in_force(version).await });
    }

    /// Returns the longest time until a version was in force at all hosts, and how many versions
    /// took longer than [`IN_FORCE_TIMEOUT`].
    pub fn in_force_stats(&self) -> (Duration, u64) {
        let slowest = *self.slowest_in_force.lock().expect("no holder of the lock panics");
        (slowest, *self.overdue_in_force.lock().expect("no holder of the lock panics"))
    }

    /// Starts a host, or a new incarnation of a host that was stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound.
    pub async fn start_host(&self, id: &HostId) -> Result<()> {
        let settings = self.host_settings.iter().find(|settings| settings.host == *id);
        let Some(settings) = settings.cloned() else {
            return Ok(());
        };
        let host = HostThread::start(settings, self.policy, self.network_faults.clone()).await?;
        self.hosts.lock().await.insert(id.clone(), host);
        Ok(())
    }

    /// Stops a host without shutdown.
    pub async fn kill_host(&self, id: &HostId) {
        if let Some(host) = self.hosts.lock().await.remove(id) {
            host.kill();
        }
    }

    /// Shuts a host down gracefully and starts its next incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound.
    pub async fn restart_host(&self, id: &HostId) -> Result<()> {
        let host = self.hosts.lock().await.remove(id);
        if let Some(host) = host {
            host.shut_down().await;
        }
        self.start_host(id).await
    }

    /// Pauses all tasks of a host for a time.
    pub async fn pause_host(&self, id: &HostId, duration: Duration) {
        if let Some(host) = self.hosts.lock().await.get(id) {
            host.pause(duration);
        }
    }

    /// Returns the incarnation and the version in force of every running host.
    pub async fn versions_in_force(&self) -> Vec<(HostId, u64, ConfigVersion)> {
        let hosts = self.hosts.lock().await;
        let versions = hosts.iter().map(|(id, thread)| {
            (id.clone(), thread.host.incarnation(), thread.host.config_version())
        });
        versions.collect()
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        for settings in &self.host_settings {
            while !Caller::is_ready(settings.caller_addr).await {
                if Instant::now() >= until {
                    let why = "not ready in time".to_owned();
                    return Err(Error::Remote { addr: settings.caller_addr, why });
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn track_in_force(&self, version: ConfigVersion) {
        let published = Instant::now();
        let at_all_hosts = async {
            while !self.versions_in_force().await.iter().all(|(_, _, v)| *v >= version) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let in_time = tokio::time::timeout(IN_FORCE_TIMEOUT, at_all_hosts).await.is_ok();
        let took = published.elapsed();
        let mut slowest = self.slowest_in_force.lock().expect("no holder of the lock panics");
        *slowest = took.max(*slowest);
        if !in_time {
            *self.overdue_in_force.lock().expect("no holder of the lock panics") += 1;
        }
    }

    fn record_shard_counts(&self, config: &Config) {
        let mut counts = self.shard_counts.lock().expect("no holder of the lock panics");
        for service in &config.services {
            let count = u32::try_from(service.shards.len()).unwrap_or(u32::MAX);
            counts.insert((service.id.clone(), service.index_version), count);
        }
    }

    /// Records each server that the configuration takes out of service or puts back into service.
    fn record_out_of_service(&self, config: &Config) {
        for server in config.services.iter().flat_map(Service::servers) {
            let out = server.leaving || config.domain(&server.domain).is_none_or(|d| d.out);
            let before = self.config();
            let was = before.services.iter().flat_map(Service::servers).any(|s| {
                s.id == server.id && (s.leaving || before.domain(&s.domain).is_none_or(|d| d.out))
            });
            if out != was {
                self.run_counts.set_out(&server.id, out);
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.platform.stop();
        self.servers.values().for_each(|server| server.stop());
    }
}

/// Returns a loopback address derived from the process id and a counter, so that fleets of this
/// and of other processes are unlikely to share one.
fn loopback_address() -> Ipv4Addr {
    static NEXT_FLEET: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let fleet = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 64 | (high & 0x3f), low, fleet)
}

/// Generates a deployment's configuration with all servers and hosts at one IP address.
fn config_at(deployment: Deployment, ip: Ipv4Addr) -> Result<Config> {
    let mut answers = Questionnaire::from_toml(deployment.answers())?;
    answers.entry_hosts.addresses = vec![IpAddr::V4(ip)];
    for service in &mut answers.services {
        service.server_addresses = vec![IpAddr::V4(ip)];
    }
    answers.generate(1)
}

async fn start_servers(
    config: &Config,
    seed: u64,
    run_counts: &Arc<RunCounts>,
) -> Result<BTreeMap<ServerId, Arc<BackendServer>>> {
    let mut servers = BTreeMap::new();
    for service in &config.services {
        for (server, n) in service.servers().zip(0_u64..) {
            let started = BackendServer::start(
                server.clone(),
                service.limits.clone(),
                [service.index_version],
                seed.wrapping_mul(1_000).wrapping_add(n),
                run_counts.clone(),
            );
            servers.insert(server.id.clone(), started.await?);
        }
    }
    Ok(servers)
}
