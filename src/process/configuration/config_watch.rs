//! Obtains configurations from the platform and from peers and puts the newest in force.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context as MessageContext, Message};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::config_store::ConfigStore;
use crate::connection::peer::PeerClient;
use crate::connection::peer_pool::dial;
use crate::connection::platform::{Platform, WATCH_WAIT};
use crate::error::Result;
use crate::ids::{HostId, ServerId};
use crate::process::context::Context;
use crate::process::membership::membership_actor::{Adopted, MembershipActor};
use crate::version::config::Config;

/// The delay after a failed call to the platform.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// How often the platform's list of hosts is polled.
const HOSTS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// The timeout for fetching a configuration from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a starting process waits for a higher version after it received a valid one.
const BOOTSTRAP_WINDOW: Duration = Duration::from_millis(700);
const BOOTSTRAP_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Holds the configuration in force and publishes the operational state derived from it.
#[derive(Actor)]
pub(crate) struct ConfigActor {
    context: Arc<Context>,
    store: ConfigStore,
    leaving: HashSet<ServerId>,
    membership: ActorRef<MembershipActor>,
}

impl ConfigActor {
    pub(crate) fn new(
        context: Arc<Context>,
        store: ConfigStore,
        membership: ActorRef<MembershipActor>,
    ) -> Self {
        Self { context, store, leaving: HashSet::new(), membership }
    }

    async fn publish(&self) {
        let current = self.store.current().clone();
        let operational = Arc::new(self.context.operational.load().rebuild(current, &self.leaving));
        let old = self.context.operational.swap(operational.clone());
        if old.config.fleet.hosts != operational.config.fleet.hosts {
            let now = self.context.clock.now();
            *self.context.placed_at.lock().expect("no holder of the lock panics") = now;
        }
        let _ = self.membership.tell(Adopted(operational)).await;
    }
}

/// Offers a configuration from the platform or a peer.
pub(crate) struct OfferConfig {
    config: Config,
    source: &'static str,
}

/// Sets the list of leaving servers, as the platform reports it.
struct SetLeavingServers(HashSet<ServerId>);

impl Message<OfferConfig> for ConfigActor {
    type Reply = ();

    async fn handle(&mut self, offer: OfferConfig, _: &mut MessageContext<Self, ()>) {
        let (version, source) = (offer.config.version, offer.source);
        match self.store.offer(offer.config) {
            Ok(true) => {
                tracing::info!(host = %self.context.me, version, source, "adopted a configuration");
                self.context.metrics.config_version();
                self.publish().await;
            }
            Ok(false) => {}
            Err(error) => {
                tracing::error!(version, source, %error, "rejected an invalid configuration")
            }
        }
    }
}

impl Message<SetLeavingServers> for ConfigActor {
    type Reply = ();

    async fn handle(
        &mut self,
        SetLeavingServers(leaving): SetLeavingServers,
        _: &mut MessageContext<Self, ()>,
    ) {
        if leaving != self.leaving {
            tracing::info!(count = leaving.len(), "the platform's list of leaving servers changed");
            self.leaving = leaving;
            self.publish().await;
        }
    }
}

/// Watches the platform's configuration service until the host stops.
pub(crate) async fn watch_versions(
    context: Arc<Context>,
    platform: Platform,
    actor: ActorRef<ConfigActor>,
) {
    loop {
        let held = context.operational.load().config.clone();
        let offered = async {
            let manifest = platform.watch(held.version, WATCH_WAIT).await?;
            if manifest == held.manifest() || manifest.version < held.version {
                return Ok(None);
            }
            platform.fetch(&manifest, Some(&held)).await.map(Some)
        };
        let reached = context.network_faults.reaches_platform(&context.me);
        match offered.await {
            Ok(Some(config)) if reached => {
                let _ = actor.tell(OfferConfig { config, source: "platform" }).await;
            }
            Ok(None) if reached => tokio::time::sleep(RETRY_DELAY / 10).await,
            Ok(_) => tokio::time::sleep(RETRY_DELAY).await,
            Err(error) => {
                tracing::warn!(%error, "reading from the configuration service failed; retrying");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Polls the platform's list of hosts until the host stops.
pub(crate) async fn watch_hosts(
    context: Arc<Context>,
    platform: Platform,
    actor: ActorRef<ConfigActor>,
) {
    loop {
        if context.network_faults.reaches_platform(&context.me)
            && let Ok(list) = platform.hosts().await
        {
            let _ = actor.tell(SetLeavingServers(list.leaving_servers.into_iter().collect())).await;
        }
        tokio::time::sleep(HOSTS_POLL_INTERVAL).await;
    }
}

/// Fetches configurations from peers that report a newer version.
pub(crate) async fn fetch_from_peers(
    context: Arc<Context>,
    mut newer_config_hosts: mpsc::UnboundedReceiver<HostId>,
    actor: ActorRef<ConfigActor>,
) {
    while let Some(host) = newer_config_hosts.recv().await {
        let version = context.operational.load().config.version;
        let Some(address) = context.address(&host) else {
            continue;
        };
        let call = |client: PeerClient, ctx| async move { client.config_above(ctx, version).await };
        if let Ok(Some(config)) = context.peers.call(&address, FETCH_TIMEOUT, call).await {
            let _ = actor.tell(OfferConfig { config, source: "peer" }).await;
        }
    }
}

/// Finds the initial configuration of a starting process: the highest version that the platform or
/// a peer has, because either may be stale or unreachable.
pub(crate) async fn bootstrap(platform: Option<Platform>, peers: &[SocketAddr]) -> ConfigStore {
    loop {
        let (found, mut received) = mpsc::unbounded_channel();
        let mut tasks: tokio::task::JoinSet<Result<()>> = tokio::task::JoinSet::new();
        if let Some(platform) = platform {
            let found = found.clone();
            tasks.spawn(async move {
                let manifest = platform.watch(0, Duration::ZERO).await?;
                let config = platform.fetch(&manifest, None).await?;
                let _ = found.send(config);
                Ok(())
            });
        }
        for addr in peers.iter().copied() {
            let found = found.clone();
            tasks.spawn(async move {
                let asked = async {
                    let client = dial(addr).await?;
                    client.config_above(tarpc::context::current(), 0).await.ok()?
                };
                if let Ok(Some(config)) = tokio::time::timeout(FETCH_TIMEOUT, asked).await {
                    let _ = found.send(config);
                }
                Ok(())
            });
        }
        drop(found);
        if let Some(store) = receive_highest(&mut received).await {
            return store;
        }
        tokio::time::sleep(BOOTSTRAP_RETRY_DELAY).await;
    }
}

/// Receives configurations until a timeout and returns a store with the highest valid version.
async fn receive_highest(received: &mut mpsc::UnboundedReceiver<Config>) -> Option<ConfigStore> {
    let mut store: Option<ConfigStore> = None;
    let mut until = Instant::now() + FETCH_TIMEOUT;
    while let Ok(Some(config)) = tokio::time::timeout_at(until, received.recv()).await {
        let offered = match &mut store {
            Some(store) => store.offer(config).map(|_| ()),
            None => ConfigStore::new(config).map(|first| {
                store = Some(first);
                until = Instant::now() + BOOTSTRAP_WINDOW;
            }),
        };
        if let Err(error) = offered {
            tracing::error!(%error, "rejected an invalid configuration");
        }
    }
    store
}
