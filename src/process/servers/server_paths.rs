//! What this host knows of its paths to backend servers, shared by all requests.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::seq::IteratorRandom;
use smallvec::SmallVec;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::reachability::{Failure, PathChange, Probe, Reachability};
use super::registry::{LiveServer, ServerRecord, ServerView};
use crate::clock::Monotonic;
use crate::connection::exchange::BackendProtocol;
use crate::ids::{ServerId, ServiceId};
use crate::process::tier::Tier;

/// Timeout of the connection that shows whether a server can be reached.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// The time after which it is known whether silent servers can be reached.
pub const CHECK_TIME: Duration = Duration::from_millis(120);
/// How often it is checked which probes are due.
const PROBE_TICK: Duration = Duration::from_millis(50);

/// The reachability of servers, and a notification of its changes.
#[derive(Debug, Default)]
pub struct ServerPaths {
    reachability: Mutex<Reachability>,
    checks_wanted: Notify,
    changed: Notify,
}

impl ServerPaths {
    fn lock(&self) -> MutexGuard<'_, Reachability> {
        self.reachability.lock().expect("no holder of the lock panics")
    }

    /// Records an answer of a server; returns whether this host was cut off before.
    pub fn on_answer(&self, now: Monotonic, service: &ServiceId) -> bool {
        let PathChange { service: of_service, all } = self.lock().on_answer(now, service);
        if all {
            tracing::info!("backend servers can be reached again");
        } else if of_service {
            tracing::info!(%service, "servers of the service can be reached again");
        }
        all
    }

    /// Records that a connection to a server could not be opened; returns whether this host is now
    /// cut off.
    pub fn on_failure(
        &self,
        now: Monotonic,
        record: &ServerRecord,
        failure: Failure,
        servers: &ServerView,
    ) -> bool {
        let known = servers.of(&record.service).len();
        let server = (&record.service, &record.id);
        let change = self.lock().on_failure(now, server, failure, known);
        self.checks_wanted.notify_one();
        if change.all {
            tracing::warn!(
                "no backend server can be reached; requests are forwarded to other hosts"
            );
        } else if change.service {
            let service = &record.service;
            tracing::warn!(%service, "no server of the service can be reached");
        }
        if change != PathChange::default() {
            self.changed.notify_waiters();
        }
        change.all
    }

    /// Records that a server has not answered in time what was sent to it at `sent_at`; returns
    /// whether the paths to servers are in doubt because of it. That ends within [`CHECK_TIME`].
    pub fn on_silence(
        &self,
        now: Monotonic,
        service: &str,
        server: &ServerId,
        sent_at: Monotonic,
    ) -> bool {
        let in_doubt = self.lock().on_silence(now, service, server, sent_at);
        if in_doubt {
            self.checks_wanted.notify_one();
        }
        in_doubt
    }

    /// Returns whether this host can reach no server at all.
    pub fn is_cut_off(&self) -> bool {
        self.lock().is_cut_off()
    }

    /// Returns whether this host can reach no server of a service.
    pub fn is_unreachable(&self, service: &str) -> bool {
        self.lock().is_unreachable(service)
    }

    /// Waits until it turns out that no server of a service can be reached; does not end if that is
    /// known already, since what is tried nevertheless shows when it changes.
    pub fn newly_unreachable(&self, service: &str) -> impl Future<Output = ()> {
        let known = self.is_unreachable(service);
        async move {
            if known {
                std::future::pending().await
            }
            self.unreachable(service).await;
        }
    }

    /// Waits until it turns out that no server at all can be reached; does not end if that is known
    /// already.
    pub fn newly_cut_off(&self) -> impl Future<Output = ()> {
        let known = self.is_cut_off();
        async move {
            if known {
                std::future::pending().await
            }
            self.wait_until(Self::is_cut_off).await;
        }
    }

    async fn wait_until(&self, holds: impl Fn(&Self) -> bool) {
        loop {
            let changed = self.changed.notified();
            if holds(self) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until no server of a service can be reached.
    pub async fn unreachable(&self, service: &str) {
        self.wait_until(|paths| paths.is_unreachable(service)).await;
    }
}

/// Opens connections to servers that are silent or unreachable, until the host stops, so that both
/// the loss of the paths to servers and their return are noticed without requests.
pub async fn run<B: BackendProtocol>(tier: Arc<Tier<B>>) {
    let mut ticks = tokio::time::interval(PROBE_TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = tier.server_paths.checks_wanted.notified() => {}
            () = tier.shutdown.stopped.cancelled() => return,
        }
        let probes = tier.server_paths.lock().take_probes(tier.now());
        let servers = tier.servers.load();
        for probe in probes {
            let probed: SmallVec<[&Arc<LiveServer>; 3]> = match &probe {
                Probe::Any => servers.iter().choose(&mut rand::rng()).into_iter().collect(),
                Probe::Service(service) => {
                    servers.of(service).iter().choose(&mut rand::rng()).into_iter().collect()
                }
                Probe::Check(server) => {
                    let silent = servers.get(server).into_iter();
                    silent
                        .flat_map(|silent| [silent].into_iter().chain(others(&servers, silent)))
                        .collect()
                }
            };
            for server in probed {
                let (tier, record) = (tier.clone(), server.record.clone());
                tokio::spawn(async move { can_reach(&tier, &record).await });
            }
        }
    }
}

/// Returns a server of the same service and one of another service, as far as there are any, from
/// other failure domains if possible.
fn others<'a>(
    servers: &'a ServerView,
    server: &LiveServer,
) -> impl Iterator<Item = &'a Arc<LiveServer>> + use<'a> {
    let ServerRecord { id, service, .. } = &server.record;
    let is_far = |other: &&Arc<LiveServer>| other.record.domain != server.record.domain;
    let same = || servers.of(service).iter().filter(|other| other.record.id != *id);
    let of_others = || servers.iter().filter(|other| other.record.service != *service);
    let mut rng = rand::rng();
    let same = same().filter(is_far).choose(&mut rng).or_else(|| same().choose(&mut rng));
    let other = of_others().filter(is_far).choose(&mut rng);
    same.into_iter().chain(other.or_else(|| of_others().choose(&mut rng)))
}

/// Opens a connection to a server and records whether it could be reached.
pub async fn can_reach<B: BackendProtocol>(tier: &Tier<B>, record: &ServerRecord) -> bool {
    let tried_at = tier.now();
    let reached =
        matches!(timeout(PROBE_TIMEOUT, tier.backend.connect(record.addr)).await, Ok(Ok(_)));
    if reached {
        tier.on_server_reached(&record.service);
    } else {
        tier.on_server_unreachable(record, Failure { tried_at, confirms: true });
    }
    reached
}

/// Returns whether this host can reach some server besides one that refuses connections, so that the
/// refusal is that server's own. Servers of the same service are asked first.
pub async fn others_are_reachable<B: BackendProtocol>(
    tier: &Tier<B>,
    refusing: &ServerRecord,
) -> bool {
    let servers = tier.servers.load_full();
    let Some(refusing) = servers.get(&refusing.id) else { return false };
    let mut others = others(&servers, refusing).peekable();
    if others.peek().is_none() {
        // Nothing tells the two cases apart.
        return true;
    }
    for other in others {
        if can_reach(tier, &other.record).await {
            return true;
        }
    }
    false
}
