//! Dispatches attempts at shards, directly or through a relay in another failure domain.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::attempt::Job;
use crate::clock::{Monotonic, micros, millis};
use crate::connection::exchange::{BackendProtocol, Reply};
use crate::connection::peer_frame::{ForwardedRequest, RelayCall, RelayParts, ShardIndex};
use crate::connection::peer_links::PendingCall;
use crate::ids::{DomainId, ServerId, ServiceId};
use crate::outcome::Outcome;
use crate::process::membership::members::DomainIndex;
use crate::process::servers::passive_health::ServerHealth;
use crate::process::servers::registry::LiveServer;
use crate::process::tier::Tier;

/// An attempt whose server is chosen but that is not sent yet.
#[derive(Debug)]
pub(super) struct PlannedAttempt {
    pub(super) shard: usize,
    pub(super) server: Arc<LiveServer>,
    pub(super) health: ServerHealth,
}

/// An attempt in flight, or a relayed call that covers several.
pub(super) enum InFlight<B: BackendProtocol> {
    Direct {
        tier: Arc<Tier<B>>,
        job: Arc<Job>,
        shard: usize,
        server: Arc<LiveServer>,
        expected: Duration,
    },
    Relay {
        group: usize,
        call: PendingCall<RelayParts>,
    },
}

/// The result of an attempt, or one reply of a relay.
pub(super) enum Event {
    Direct(usize, ServerId, Outcome<Reply>),
    Relayed(usize, PendingCall<RelayParts>, Option<RelayParts>),
}

/// The first attempt at a shard, which counts towards the baseline.
#[derive(Debug, Clone)]
pub(super) struct FirstAttempt {
    pub(super) server: ServerId,
    pub(super) sent_at: Monotonic,
    pub(super) relayed: bool,
    pub(super) took: Option<Duration>,
}

/// One relayed call and the shards it still has to report.
#[derive(Debug)]
pub(super) struct RelayGroup {
    pub(super) host: Ipv4Addr,
    pub(super) sent_at: Monotonic,
    pub(super) responded: bool,
    pub(super) suspected: bool,
    /// The calling host no longer waits for the relay; parts that arrive all the same are used.
    pub(super) given_up: bool,
    /// The failure domain of the relay.
    pub(super) domain: DomainIndex,
    /// Shards that the relay has not reported yet, with their intended servers.
    pub(super) pending: SmallVec<[(usize, ServerId); 16]>,
}

impl RelayGroup {
    pub(super) fn new(
        host: Ipv4Addr,
        domain: DomainIndex,
        sent_at: Monotonic,
        sends: Vec<PlannedAttempt>,
    ) -> Self {
        let pending = sends.into_iter().map(|send| (send.shard, send.server.record.id.clone()));
        Self {
            host,
            sent_at,
            responded: false,
            suspected: false,
            given_up: false,
            domain,
            pending: pending.collect(),
        }
    }

    /// Marks a shard as reported by the relay. Returns its intended server, or `None` if the shard
    /// is not pending.
    pub(super) fn on_reported(&mut self, shard: usize) -> Option<ServerId> {
        let at = self.pending.iter().position(|(pending, _)| *pending == shard)?;
        Some(self.pending.swap_remove(at).1)
    }
}

/// The servers that may be chosen for one shard, with their assessments.
type EligibleServers = SmallVec<[(Arc<LiveServer>, ServerHealth); 4]>;

/// Whether the relay must send even to a server that it would decline, because no better one is
/// known.
pub(super) type Insists = bool;

/// Groups attempts at servers in other failure domains, using as few domains as possible.
///
/// Attempts for which `may_reassign` holds may move to any eligible server of their shard; the
/// others keep their server.
pub(super) fn group_by_domain<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    shards: &[ServiceId],
    sends: Vec<PlannedAttempt>,
    may_reassign: impl Fn(usize) -> bool,
) -> Vec<((DomainIndex, Insists), Vec<PlannedAttempt>)> {
    let mut groups: BTreeMap<(DomainIndex, Insists), Vec<PlannedAttempt>> = BTreeMap::new();
    let key = |send: &PlannedAttempt| {
        let health = &send.health;
        let insists = !health.is_healthy() || health.declined;
        (tier.domain_index(&send.server.record.domain), insists)
    };
    let (mut reassignable, fixed): (Vec<PlannedAttempt>, Vec<PlannedAttempt>) =
        sends.into_iter().partition(|send| may_reassign(send.shard));
    for send in fixed {
        groups.entry(key(&send)).or_default().push(send);
    }
    let now = tier.now();
    let servers = tier.servers.load();
    let unreachable = tier.unreachable_domains();
    let passive_health = tier.passive_health();
    let eligible_servers = |send: &PlannedAttempt| -> EligibleServers {
        let with_health = |server: &Arc<LiveServer>| {
            let record = &server.record;
            let health = passive_health.health(now, &record.id, record.slots, job.typical);
            (server.clone(), health)
        };
        let far = servers.of(&shards[send.shard]).iter().map(with_health);
        far.filter(|(server, health)| {
            let domain = &server.record.domain;
            health.is_eligible()
                && !tier.sends_directly(&server.record)
                && tier.route_allows_domain(&job.route, domain)
                && !unreachable.contains(&tier.domain_index(domain))
        })
        .collect()
    };
    let mut options: Vec<EligibleServers> = reassignable.iter().map(eligible_servers).collect();
    drop(passive_health);
    while !reassignable.is_empty() {
        let Some(domain) = most_useful_domain(&options, &tier.settings.domain) else { break };
        let mut rest = Vec::new();
        let mut rest_options = Vec::new();
        for (mut send, choices) in reassignable.into_iter().zip(options) {
            match choices.iter().find(|(server, _)| server.record.domain == domain) {
                Some((server, health)) => {
                    send.server = server.clone();
                    send.health = *health;
                    groups.entry(key(&send)).or_default().push(send);
                }
                None => {
                    rest.push(send);
                    rest_options.push(choices);
                }
            }
        }
        reassignable = rest;
        options = rest_options;
    }
    for send in reassignable {
        groups.entry(key(&send)).or_default().push(send);
    }
    groups.into_iter().collect()
}

/// Returns the failure domain whose servers cover the most attempts, or this host's own if it has
/// any. Ties are broken at random, so that no domain gets all the work.
fn most_useful_domain(options: &[EligibleServers], own: &DomainId) -> Option<DomainId> {
    if options.iter().flatten().any(|(server, _)| server.record.domain == *own) {
        return Some(own.clone());
    }
    let mut counts: BTreeMap<&DomainId, f64> = BTreeMap::new();
    for (server, _) in options.iter().flatten() {
        *counts.entry(&server.record.domain).or_insert_with(rand::random::<f64>) += 1.0;
    }
    let best = counts.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
    best.map(|(domain, _)| domain.clone())
}

/// Calls a relay for some shards. Returns `None` if the call can't be made.
pub(super) fn call_relay<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    host: Ipv4Addr,
    version: u64,
    sends: &[PlannedAttempt],
    insists: Insists,
) -> Option<PendingCall<RelayParts>> {
    let baseline = job.baseline.get();
    let shard = |send: &PlannedAttempt| ShardIndex::try_from(send.shard).ok();
    let call = RelayCall {
        id: 0,
        version,
        route: job.route.id.clone(),
        shards: sends.iter().map(shard).collect::<Option<_>>()?,
        insists,
        pace_us: baseline.and_then(|baseline| u32::try_from(micros(baseline)).ok()).unwrap_or(0),
        left_ms: u32::try_from(millis(job.deadline.saturating_sub(tier.now()))).ok()?,
        request: ForwardedRequest::from(&job.call),
    };
    tier.peers.call(host, tier.settings.peer_port, call)
}
