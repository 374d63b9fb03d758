//! A small deployment for integration tests: the platform, backend servers and their addresses.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use quetzalpoint::Settings;
use quetzalpoint::connection::caller::Caller;
use quetzalpoint::ids::{HostId, ServerId};
use quetzalpoint::standin::backend::BackendServer;
use quetzalpoint::standin::platform::PlatformServer;
use quetzalpoint::standin::run_counts::RunCounts;
use quetzalpoint::version::config::Config;
use quetzalpoint::version::questionnaire::Questionnaire;

/// The longest that a test waits for something that must come.
const PATIENCE: Duration = Duration::from_secs(60);
const RECHECK: Duration = Duration::from_millis(20);

const ANSWERS: &str = r#"
deployment = "small"
domains = ["north", "south"]

[entry_hosts]
addresses = ["IP"]
count = 2
caller_port = 20000
peer_port = 20100

[[services]]
name = "parts"
kind = "listing"
priority = "normal"
prefer = "coverage"
deadline_ms = 2000
shards = 3
replicas = 1
slots = 2
connections = 20
cold_start_limit = 1
typical_ms = 5
connect_ms = 1
server_addresses = ["IP"]
server_port = 21000

[[services]]
name = "orders"
kind = "submit"
priority = "high"
prefer = "coverage"
deadline_ms = 2000
shards = 1
replicas = 2
slots = 2
connections = 20
cold_start_limit = 1
typical_ms = 5
connect_ms = 1
server_addresses = ["IP"]
server_port = 21100
"#;

/// A small deployment.
pub struct Deployment {
    pub config: Config,
    pub platform: Arc<PlatformServer>,
    pub platform_addr: SocketAddr,
    pub journal: Arc<RunCounts>,
    pub servers: BTreeMap<ServerId, Arc<BackendServer>>,
}

impl Deployment {
    /// Starts the platform and the servers on an address that no other test uses.
    pub async fn start() -> Self {
        static COUNT: AtomicU8 = AtomicU8::new(1);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let own = COUNT.fetch_add(1, Ordering::Relaxed);
        let ip = format!("127.{}.{low}.{own}", 128 | (high & 0x3f));
        let answers = ANSWERS.replace("IP", &ip);
        let config = Questionnaire::from_toml(&answers).unwrap().generate(1).unwrap();
        let platform_addr: SocketAddr = format!("{ip}:19999").parse().unwrap();
        let platform = PlatformServer::start(platform_addr, &config).await.unwrap();
        let journal = Arc::new(RunCounts::default());
        let mut servers = BTreeMap::new();
        for service in &config.services {
            for server in service.servers() {
                let started = BackendServer::start(
                    server.clone(),
                    service.limits.clone(),
                    [1],
                    7,
                    journal.clone(),
                );
                servers.insert(server.id.clone(), started.await.unwrap());
            }
        }
        Self { config, platform, platform_addr, journal, servers }
    }

    /// Returns the settings of a host by its place in the list.
    pub fn settings(&self, n: usize) -> Settings {
        let host = &self.config.fleet.hosts[n];
        Settings {
            host: host.id.clone(),
            domain: host.domain.clone(),
            caller_addr: host.caller_addr,
            peer_addr: host.peer_addr,
            platform: Some(self.platform_addr),
            peers: self.config.fleet.hosts.iter().map(|h| h.peer_addr).collect(),
        }
    }

    /// Waits until a host takes callers.
    pub async fn ready(&self, n: usize) {
        let addr = self.config.fleet.hosts[n].caller_addr;
        eventually("the host is ready", async || Caller::is_ready(addr).await).await;
    }

    /// Waits until hosts hold the seats of all.
    pub async fn seats_taken(&self) {
        let ids: Vec<HostId> = self.config.fleet.hosts.iter().map(|h| h.id.clone()).collect();
        eventually("every seat is held", async || {
            let mut held = Vec::new();
            for host in &self.config.fleet.hosts {
                let status = Caller::status(host.caller_addr).await;
                held.extend(status.map(|s| s.seats).unwrap_or_default());
            }
            ids.iter().all(|id| held.contains(id))
        })
        .await;
    }
}

/// Waits for a condition that must come true.
pub async fn eventually(what: &str, condition: impl AsyncFn() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(RECHECK).await;
        }
    };
    assert!(tokio::time::timeout(PATIENCE, wait).await.is_ok(), "never came true: {what}");
}
