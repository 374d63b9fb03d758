//! A small deployment for integration tests: stand-ins for the platform and the
//! backend servers, and their addresses.
#![allow(dead_code, reason = "each test file uses only a part")]

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

/// The maximum time to wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The answers to the questionnaire; `IP` is replaced by the address of the test.
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

/// A small deployment without its hosts, which the tests start.
pub struct Deployment {
    pub config: Config,
    pub platform: Arc<PlatformServer>,
    pub platform_addr: SocketAddr,
    pub run_counts: Arc<RunCounts>,
    pub servers: BTreeMap<ServerId, Arc<BackendServer>>,
}

impl Deployment {
    /// Starts the platform and the servers on an address that no other test uses: it is derived from
    /// the process ID and the number of the deployment in this process.
    pub async fn start() -> Self {
        static NEXT_NUMBER: AtomicU8 = AtomicU8::new(1);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let ip = format!("127.{}.{low}.{number}", 128 | (high & 0x3f));
        let answers = ANSWERS.replace("IP", &ip);
        let config = Questionnaire::from_toml(&answers).unwrap().generate(1).unwrap();
        let platform_addr: SocketAddr = format!("{ip}:19999").parse().unwrap();
        let platform = PlatformServer::start(platform_addr, &config).await.unwrap();
        let run_counts = Arc::new(RunCounts::default());
        let mut servers = BTreeMap::new();
        for service in &config.services {
            for server in service.servers() {
                let started = BackendServer::start(
                    server.clone(),
                    service.limits.clone(),
                    [1],
                    7,
                    run_counts.clone(),
                );
                servers.insert(server.id.clone(), started.await.unwrap());
            }
        }
        Self { config, platform, platform_addr, run_counts, servers }
    }

    /// Returns the settings of the host with index `n` in the configuration.
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

    /// Waits until a host is ready to serve callers.
    pub async fn wait_until_ready(&self, n: usize) {
        let addr = self.config.fleet.hosts[n].caller_addr;
        wait_until("the host is ready", async || Caller::is_ready(addr).await).await;
    }

    /// Waits until the seat of every host is held.
    pub async fn wait_until_seats_held(&self) {
        let ids: Vec<HostId> = self.config.fleet.hosts.iter().map(|h| h.id.clone()).collect();
        wait_until("every seat is held", async || {
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

/// Waits until `condition` is true; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let poll = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(
        tokio::time::timeout(WAIT_TIMEOUT, poll).await.is_ok(),
        "timed out waiting until {what}"
    );
}
