//! Starts and stops a host. Applications can embed it instead of running the daemon.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use kameo::actor::{ActorRef, Spawn};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::peer_server::{PeerHandlers, serve_peers};
use crate::clock::{Clock, Monotonic};
use crate::connection::client_server;
use crate::connection::network_faults::NetworkFaults;
use crate::connection::peer_pool::{Identity, PeerPool};
use crate::connection::platform::Platform;
use crate::error::{Error, Result};
use crate::ids::{ConfigVersion, DomainId, HostId, Incarnation};
use crate::policy::Policy;
use crate::process::clients::{Clients, MachineLimits};
use crate::process::configuration::config_watch::{
    ConfigActor, bootstrap, fetch_from_peers, watch_hosts, watch_versions,
};
use crate::process::context::Context;
use crate::process::keeper::Keeper;
use crate::process::membership::membership_actor::{Leave, MembershipActor, TICK_INTERVAL, Tick};
use crate::process::membership::pause::PauseGuard;
use crate::process::membership::seats::LeaseView;
use crate::process::metrics::Metrics;
use crate::process::servers::batches::Batches;
use crate::process::servers::hints::Hints;
use crate::process::servers::owner::Owner;
use crate::request::coordinator::Coordinator;
use crate::request::http::{CallerServer, serve_callers};
use crate::version::operational::OperationalState;

/// The interval at which a draining host checks whether it may stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum time that a draining host waits for its running requests and its leases to end.
const MAX_DRAIN_WAIT: Duration = Duration::from_secs(60);

/// The interval at which clients that were refused or closed are logged.
const CLIENT_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The settings of a host's process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The host's name in the configuration.
    pub host: HostId,
    /// The host's failure domain.
    pub domain: DomainId,
    /// The address to listen on for callers.
    pub caller_addr: SocketAddr,
    /// The address to listen on for other hosts.
    pub peer_addr: SocketAddr,
    /// The address of the platform's configuration service.
    pub platform: Option<SocketAddr>,
    /// The addresses of other hosts that may provide a configuration if the service is unavailable.
    pub peers: Vec<SocketAddr>,
}

/// Builds a [`Host`].
#[derive(Debug)]
pub struct HostBuilder {
    settings: Settings,
    policy: Policy,
    machine: MachineLimits,
    network_faults: Arc<NetworkFaults>,
}

impl HostBuilder {
    /// Replaces the default policy, [`Policy::FULL`], for comparisons.
    #[must_use]
    pub const fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Replaces the default limits of the machine, from which those of all clients follow.
    #[must_use]
    pub const fn machine(mut self, machine: MachineLimits) -> Self {
        self.machine = machine;
        self
    }

    /// Injects delays and partitions into the network between failure domains, for tests and
    /// measurements.
    #[must_use]
    pub fn network_faults(mut self, network_faults: Arc<NetworkFaults>) -> Self {
        self.network_faults = network_faults;
        self
    }

    /// Loads a configuration and starts the host.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Address`] if the host can't listen on an address, [`Error::UnknownName`] if
    /// the configuration doesn't list the host, and [`Error::Invalid`] if it lists the host in
    /// another failure domain.
    pub async fn start(self) -> Result<Host> {
        let Self { settings, policy, machine, network_faults } = self;
        let callers = listen(settings.caller_addr)?;
        let peers = listen(settings.peer_addr)?;
        let platform = settings.platform.map(Platform::new);
        let store = bootstrap(platform, &settings.peers).await;
        let config = store.current().clone();
        check_settings(&settings, &config)?;
        tracing::info!(host = %settings.host, version = config.version, "configuration loaded");
        let operational = OperationalState::new(config, &std::collections::HashSet::new());
        let clock = Clock::start();
        let identity = Identity {
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            deployment: operational.config.fleet.deployment.clone(),
        };
        let context = Arc::new(Context {
            me: settings.host,
            domain: settings.domain,
            incarnation: incarnation(),
            clock,
            policy,
            peers: PeerPool::new(identity, clock, network_faults.clone()),
            network_faults,
            metrics: Arc::new(Metrics::new()),
            operational: ArcSwap::from_pointee(operational),
            leases: ArcSwap::from_pointee(LeaseView::default()),
            pause: Mutex::new(PauseGuard::new(clock.now())),
            suspicion: Mutex::default(),
            placed_at: Mutex::new(Monotonic::ZERO),
            running: AtomicU32::new(0),
            leaving: CancellationToken::new(),
            stopped: CancellationToken::new(),
        });
        let owner = Owner::new(context.clone());
        let batches = Batches::new(context.clone(), owner.clone());
        let hints: Arc<Mutex<Hints>> = Arc::default();
        let keeper = Keeper::new(context.clone(), batches.clone(), hints.clone());
        let coordinator = Coordinator::new(context.clone(), batches.clone(), keeper.clone(), hints);
        let (newer_config_tx, newer_config_rx) = mpsc::unbounded_channel();
        let membership =
            MembershipActor::spawn(MembershipActor::new(context.clone(), owner, newer_config_tx));
        let config_actor =
            ConfigActor::spawn(ConfigActor::new(context.clone(), store, membership.clone()));
        let host = Host { context: context.clone(), membership: membership.clone() };
        if let Some(platform) = platform {
            host.spawn(watch_versions(context.clone(), platform, config_actor.clone()));
            host.spawn(watch_hosts(context.clone(), platform, config_actor.clone()));
        }
        host.spawn(fetch_from_peers(context.clone(), newer_config_rx, config_actor));
        host.spawn(send_ticks(membership.clone()));
        let handlers = PeerHandlers { context: context.clone(), batches, keeper, membership };
        let clients = Clients::new(machine);
        clients.record_into(context.metrics.clone());
        host.spawn(serve_peers(peers, handlers, clients.clone()));
        host.spawn(report_clients(clients.clone()));
        let server = CallerServer::new(context, coordinator, clients);
        tokio::spawn(serve_callers(callers, server));
        Ok(host)
    }
}

/// A running host.
#[derive(Debug, Clone)]
pub struct Host {
    context: Arc<Context>,
    membership: ActorRef<MembershipActor>,
}

impl Host {
    /// Returns a builder with [`Policy::FULL`] and no network faults.
    pub fn builder(settings: Settings) -> HostBuilder {
        let (policy, machine) = (Policy::FULL, MachineLimits::default());
        HostBuilder { settings, policy, machine, network_faults: Arc::default() }
    }

    /// Returns the configuration version in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.context.operational.load().config.version
    }

    /// Returns the host's incarnation, which is higher after each start.
    pub fn incarnation(&self) -> Incarnation {
        self.context.incarnation
    }

    /// Returns whether callers are directed to this host.
    pub fn is_ready(&self) -> bool {
        self.context.is_ready()
    }

    /// Drains and stops the host: callers are directed elsewhere, the seats are handed over to
    /// other hosts and the running requests complete, within a time limit. Returns once the host
    /// has stopped.
    pub async fn drain(&self) {
        let timing = self.context.operational.load().config.fleet.timing.clone();
        tracing::info!(host = %self.context.me, "leaving");
        self.context.leaving.cancel();
        let _ = self.membership.tell(Leave).await;
        let stale_addresses_ms = timing.address_lifetime_ms + timing.leave_grace_ms;
        tokio::time::sleep(Duration::from_millis(stale_addresses_ms)).await;
        let deadline = tokio::time::Instant::now() + MAX_DRAIN_WAIT;
        while self.is_busy() && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        tracing::info!(host = %self.context.me, "left");
        self.stop();
    }

    /// Stops the host immediately, without draining.
    pub fn stop(&self) {
        self.context.stopped.cancel();
    }

    /// Waits until the host has stopped.
    pub async fn stopped(&self) {
        self.context.stopped.cancelled().await;
    }

    fn is_busy(&self) -> bool {
        let running = self.context.running.load(Ordering::SeqCst) > 0;
        running || !self.context.leases.load().held.is_empty()
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stopped = self.context.stopped.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = task => {}
                () = stopped.cancelled() => {}
            }
        });
    }
}

async fn send_ticks(membership: ActorRef<MembershipActor>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if membership.tell(Tick).await.is_err() {
            return;
        }
    }
}

async fn report_clients(clients: Arc<Clients>) {
    let mut interval = tokio::time::interval(CLIENT_REPORT_INTERVAL);
    loop {
        interval.tick().await;
        clients.report();
    }
}

fn listen(addr: SocketAddr) -> Result<TcpListener> {
    client_server::listen(addr).map_err(|source| Error::Address { addr, source })
}

fn check_settings(settings: &Settings, config: &crate::version::config::Config) -> Result<()> {
    let Some(host) = config.host(&settings.host) else {
        let known: Vec<&str> = config.fleet.hosts.iter().map(|h| h.id.as_str()).collect();
        return Err(Error::UnknownName {
            kind: "host",
            name: settings.host.to_string(),
            known: known.join(", "),
        });
    };
    if host.domain != settings.domain {
        let remedy =
            format!("use {}, as in the configuration, or publish a corrected one", host.domain);
        return Err(Error::invalid("--domain", &settings.domain, remedy));
    }
    Ok(())
}

/// Returns a number that is higher after each start of the host.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    crate::clock::micros(since_epoch)
}
