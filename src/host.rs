//! A running host: the embeddable form of the daemon.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use kameo::actor::{ActorRef, Spawn};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::peer_server::{PeerParts, serve_peers};
use crate::clock::{Clock, Monotonic};
use crate::connection::network_faults::NetworkFaults;
use crate::connection::peer_pool::{Identity, PeerPool};
use crate::connection::platform::Platform;
use crate::error::{Error, Result};
use crate::ids::{ConfigVersion, DomainId, HostId, Incarnation};
use crate::policy::Policy;
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
use crate::version::operational::Operational;

/// How often a leaving host looks whether it may stop.
const LEAVE_RECHECK: Duration = Duration::from_millis(50);
/// The longest that a leaving host waits for its running requests.
const MAX_LEAVE: Duration = Duration::from_secs(60);

/// What a process learns from its settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The host's name in the configuration.
    pub host: HostId,
    /// The failure domain it stands in.
    pub domain: DomainId,
    /// Where it listens for callers.
    pub caller_addr: SocketAddr,
    /// Where it listens for other hosts.
    pub peer_addr: SocketAddr,
    /// The platform's configuration service.
    pub platform: Option<SocketAddr>,
    /// Other hosts that may have a configuration when the service can't be reached.
    pub peers: Vec<SocketAddr>,
}

/// Builds a [`Host`].
#[derive(Debug)]
pub struct HostBuilder {
    settings: Settings,
    policy: Policy,
    links: Arc<NetworkFaults>,
}

impl HostBuilder {
    /// Chooses another policy than the full one, for comparisons.
    #[must_use]
    pub const fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Puts delays and cuts on the links, for trials.
    #[must_use]
    pub fn links(mut self, links: Arc<NetworkFaults>) -> Self {
        self.links = links;
        self
    }

    /// Finds a configuration, then starts to serve.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Address`] where an address can't be listened on, and
    /// [`Error::UnknownName`] or [`Error::Invalid`] where the configuration doesn't list the host
    /// as its settings do.
    pub async fn start(self) -> Result<Host> {
        let Self { settings, policy, links } = self;
        let callers = listen(settings.caller_addr).await?;
        let peers = listen(settings.peer_addr).await?;
        let platform = settings.platform.map(Platform::new);
        let store = bootstrap(platform, &settings.peers).await;
        let config = store.current().clone();
        check_settings(&settings, &config)?;
        tracing::info!(host = %settings.host, version = config.version, "configuration found");
        let operational = Operational::new(config, &std::collections::HashSet::new());
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
            peers: PeerPool::new(identity, clock, links.clone()),
            network_faults: links,
            metrics: Metrics::new(),
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
        let (newer_at, newer) = mpsc::unbounded_channel();
        let membership =
            MembershipActor::spawn(MembershipActor::new(context.clone(), owner, newer_at));
        let config_actor =
            ConfigActor::spawn(ConfigActor::new(context.clone(), store, membership.clone()));
        let host = Host { context: context.clone(), membership: membership.clone() };
        if let Some(platform) = platform {
            host.spawn(watch_versions(context.clone(), platform, config_actor.clone()));
            host.spawn(watch_hosts(context.clone(), platform, config_actor.clone()));
        }
        host.spawn(fetch_from_peers(context.clone(), newer, config_actor));
        host.spawn(tick(membership.clone()));
        let parts = PeerParts { context: context.clone(), batches, keeper, membership };
        host.spawn(serve_peers(peers, parts));
        tokio::spawn(serve_callers(callers, CallerServer::new(context, coordinator)));
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
    /// Starts to build a host.
    pub fn builder(settings: Settings) -> HostBuilder {
        HostBuilder { settings, policy: Policy::FULL, links: Arc::default() }
    }

    /// Returns the configuration version in force.
    pub fn config_version(&self) -> ConfigVersion {
        self.context.operational.load().config.version
    }

    /// Returns the number of this life, which is higher for each life of a host.
    pub fn life(&self) -> Incarnation {
        self.context.incarnation
    }

    /// Tells whether callers are sent here.
    pub fn is_ready(&self) -> bool {
        self.context.is_ready()
    }

    /// Leaves in good order: no caller is sent here any more, the seats go to other hosts, and
    /// every running request ends. Returns once the host has stopped.
    pub async fn leave(&self) {
        let timing = self.context.operational.load().config.fleet.timing.clone();
        tracing::info!(host = %self.context.me, "leaving");
        self.context.leaving.cancel();
        let _ = self.membership.tell(Leave).await;
        let answers_last = timing.address_lifetime_ms + timing.leave_grace_ms;
        tokio::time::sleep(Duration::from_millis(answers_last)).await;
        let until = tokio::time::Instant::now() + MAX_LEAVE;
        while self.is_busy() && tokio::time::Instant::now() < until {
            tokio::time::sleep(LEAVE_RECHECK).await;
        }
        tracing::info!(host = %self.context.me, "left");
        self.stop();
    }

    /// Stops at once.
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

async fn tick(membership: ActorRef<MembershipActor>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if membership.tell(Tick).await.is_err() {
            return;
        }
    }
}

async fn listen(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.map_err(|source| Error::Address { addr, source })
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
        let remedy = format!("give {}, or publish another configuration", host.domain);
        return Err(Error::invalid("--domain", &settings.domain, remedy));
    }
    Ok(())
}

/// Returns a number that is higher for each life of a host.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    crate::clock::micros(since)
}
