//! A whole deployment in one program: platform, backend servers and hosts on loopback addresses.

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
use crate::standin::journal::Journal;
use crate::standin::platform::PlatformServer;
use crate::version::config::{Config, Service};
use crate::version::questionnaire::Questionnaire;

const PLATFORM_PORT: u16 = 19_999;
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_RECHECK: Duration = Duration::from_millis(50);
/// The time in which an accepted configuration must be in force everywhere.
pub const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);

/// A deployment that this program can run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum Deployment {
    /// Weighs coverage most.
    Tarlac,
    /// Weighs tail latency most.
    MokaLabs,
}

impl Deployment {
    /// Returns its name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Tarlac => "tarlac",
            Self::MokaLabs => "moka-labs",
        }
    }

    /// Returns the deployment of a name.
    pub fn named(name: &str) -> Option<Self> {
        [Self::Tarlac, Self::MokaLabs].into_iter().find(|deployment| deployment.name() == name)
    }

    /// Returns its answers to the questionnaire.
    pub const fn answers(self) -> &'static str {
        match self {
            Self::Tarlac => include_str!("../../examples/answers/tarlac.toml"),
            Self::MokaLabs => include_str!("../../examples/answers/moka-labs.toml"),
        }
    }

    /// Returns the one-way delay between its failure domains.
    pub const fn one_way(self) -> Duration {
        match self {
            Self::Tarlac => Duration::from_micros(1_500),
            Self::MokaLabs => Duration::from_micros(1_000),
        }
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Arc<PlatformServer>,
    /// The backend servers by name.
    pub servers: BTreeMap<ServerId, Arc<BackendServer>>,
    /// What the servers saw.
    pub journal: Arc<Journal>,
    /// The links between failure domains.
    pub links: Arc<NetworkFaults>,
    config: Mutex<Arc<Config>>,
    shard_counts: Mutex<HashMap<(ServiceId, IndexVersion), u32>>,
    hosts: tokio::sync::Mutex<BTreeMap<HostId, HostThread>>,
    all_settings: Vec<Settings>,
    policy: Policy,
    slowest_in_force: Mutex<Duration>,
    late_in_force: Mutex<u64>,
}

impl Fleet {
    /// Starts a deployment and waits until its hosts are ready.
    ///
    /// # Errors
    ///
    /// Returns an error where an address can't be listened on, or the hosts are not ready in time.
    pub async fn start(deployment: Deployment, policy: Policy, seed: u64) -> Result<Arc<Self>> {
        let config = config_on(deployment, loopback_address())?;
        let ip = config.fleet.hosts[0].caller_addr.ip();
        let platform_addr = SocketAddr::new(ip, PLATFORM_PORT);
        let platform = PlatformServer::start(platform_addr, &config).await?;
        let journal = Arc::new(Journal::default());
        let servers = start_servers(&config, seed, &journal).await?;
        let links = Arc::new(NetworkFaults::default());
        links.set(|rules| rules.one_way = deployment.one_way());
        let peers: Vec<SocketAddr> = config.fleet.hosts.iter().map(|h| h.peer_addr).collect();
        let all_settings: Vec<Settings> = config
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
            journal,
            links,
            shard_counts: Mutex::default(),
            config: Mutex::new(Arc::new(config.clone())),
            hosts: tokio::sync::Mutex::default(),
            all_settings,
            policy,
            slowest_in_force: Mutex::default(),
            late_in_force: Mutex::default(),
        });
        fleet.note_shards(&config);
        let starting = fleet.all_settings.iter().map(|settings| fleet.start_host(&settings.host));
        futures::future::try_join_all(starting).await?;
        fleet.await_ready().await?;
        Ok(fleet)
    }

    /// Returns the newest configuration.
    pub fn config(&self) -> Arc<Config> {
        self.config.lock().expect("no holder of the lock panics").clone()
    }

    /// Returns the callers' addresses of all hosts.
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.all_settings.iter().map(|settings| settings.caller_addr).collect()
    }

    /// Returns the names of all hosts.
    pub fn host_ids(&self) -> Vec<HostId> {
        self.all_settings.iter().map(|settings| settings.host.clone()).collect()
    }

    /// Returns how many shards a service has in an index version.
    pub fn shard_count(&self, service: &str, version: IndexVersion) -> Option<u32> {
        let counts = self.shard_counts.lock().expect("no holder of the lock panics");
        counts.get(&(service.into(), version)).copied()
    }

    /// Publishes a configuration and watches how long it takes to be in force everywhere.
    pub fn publish(self: &Arc<Self>, config: Config) {
        let version = config.version;
        self.note_shards(&config);
        self.note_out(&config);
        self.platform.publish(&config);
        *self.config.lock().expect("no holder of the lock panics") = Arc::new(config);
        let fleet = self.clone();
        tokio::spawn(async move { fleet.watch_in_force(version).await });
    }

    /// Returns the longest time that a version took, and how many took too long.
    pub fn in_force(&self) -> (Duration, u64) {
        let slowest = *self.slowest_in_force.lock().expect("no holder of the lock panics");
        (slowest, *self.late_in_force.lock().expect("no holder of the lock panics"))
    }

    /// Starts a host, or a new life of one that ended.
    ///
    /// # Errors
    ///
    /// Returns an error where its addresses can't be listened on.
    pub async fn start_host(&self, id: &HostId) -> Result<()> {
        let settings = self.all_settings.iter().find(|settings| settings.host == *id);
        let Some(settings) = settings.cloned() else {
            return Ok(());
        };
        let host = HostThread::start(settings, self.policy, self.links.clone()).await?;
        self.hosts.lock().await.insert(id.clone(), host);
        Ok(())
    }

    /// Kills a host.
    pub async fn kill_host(&self, id: &HostId) {
        if let Some(host) = self.hosts.lock().await.remove(id) {
            host.kill();
        }
    }

    /// Lets a host leave in good order and starts its next life.
    ///
    /// # Errors
    ///
    /// Returns an error where its addresses can't be listened on.
    pub async fn restart_host(&self, id: &HostId) -> Result<()> {
        let host = self.hosts.lock().await.remove(id);
        if let Some(host) = host {
            host.leave().await;
        }
        self.start_host(id).await
    }

    /// Pauses a host.
    pub async fn pause_host(&self, id: &HostId, time: Duration) {
        if let Some(host) = self.hosts.lock().await.get(id) {
            host.pause(time);
        }
    }

    /// Returns the version in force at every running host.
    pub async fn versions_in_force(&self) -> Vec<(HostId, u64, ConfigVersion)> {
        let hosts = self.hosts.lock().await;
        let versions = hosts
            .iter()
            .map(|(id, thread)| (id.clone(), thread.host.life(), thread.host.config_version()));
        versions.collect()
    }

    async fn await_ready(&self) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        for settings in &self.all_settings {
            while !Caller::is_ready(settings.caller_addr).await {
                if Instant::now() >= until {
                    let why = "not ready in time".to_owned();
                    return Err(Error::Remote { addr: settings.caller_addr, why });
                }
                tokio::time::sleep(READY_RECHECK).await;
            }
        }
        Ok(())
    }

    async fn watch_in_force(&self, version: ConfigVersion) {
        let published = Instant::now();
        let everywhere = async {
            while !self.versions_in_force().await.iter().all(|(_, _, v)| *v >= version) {
                tokio::time::sleep(READY_RECHECK).await;
            }
        };
        let in_time = tokio::time::timeout(IN_FORCE_WITHIN, everywhere).await.is_ok();
        let took = published.elapsed();
        let mut slowest = self.slowest_in_force.lock().expect("no holder of the lock panics");
        *slowest = took.max(*slowest);
        if !in_time {
            *self.late_in_force.lock().expect("no holder of the lock panics") += 1;
        }
    }

    fn note_shards(&self, config: &Config) {
        let mut counts = self.shard_counts.lock().expect("no holder of the lock panics");
        for service in &config.services {
            let count = u32::try_from(service.shards.len()).unwrap_or(u32::MAX);
            counts.insert((service.id.clone(), service.index_version), count);
        }
    }

    fn note_out(&self, config: &Config) {
        for server in config.services.iter().flat_map(Service::servers) {
            let out = server.leaving || config.domain(&server.domain).is_none_or(|d| d.out);
            let before = self.config();
            let was = before.services.iter().flat_map(Service::servers).any(|s| {
                s.id == server.id && (s.leaving || before.domain(&s.domain).is_none_or(|d| d.out))
            });
            if out != was {
                self.journal.set_out(&server.id, out);
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

/// Returns a loopback address that two programs hardly share, another one for each fleet.
fn loopback_address() -> Ipv4Addr {
    static FLEETS: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 64 | (high & 0x3f), low, fleet)
}

/// Generates a deployment's configuration with every address on one loopback address.
fn config_on(deployment: Deployment, ip: Ipv4Addr) -> Result<Config> {
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
    journal: &Arc<Journal>,
) -> Result<BTreeMap<ServerId, Arc<BackendServer>>> {
    let mut servers = BTreeMap::new();
    for service in &config.services {
        for (server, n) in service.servers().zip(0_u64..) {
            let started = BackendServer::start(
                server.clone(),
                service.limits.clone(),
                [service.index_version],
                seed.wrapping_mul(1_000).wrapping_add(n),
                journal.clone(),
            );
            servers.insert(server.id.clone(), started.await?);
        }
    }
    Ok(servers)
}
