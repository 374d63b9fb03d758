//! The ways by which attempts at shards go: directly, or by a relay in another failure domain.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::attempt::Job;
use crate::clock::{Monotonic, micros, millis};
use crate::connection::exchange::{BackendProtocol, Reply};
use crate::connection::peer_frame::{PassedRequest, RelayCall, RelayParts, ShardIndex};
use crate::connection::peer_links::PendingCall;
use crate::ids::{DomainId, ServerId, ServiceId};
use crate::outcome::Outcome;
use crate::process::membership::members::DomainIndex;
use crate::process::servers::belief::Standing;
use crate::process::servers::registry::LiveServer;
use crate::process::tier::Tier;

/// An attempt that is to be made.
#[derive(Debug)]
pub(super) struct Planned {
    pub(super) shard: usize,
    pub(super) server: Arc<LiveServer>,
    pub(super) standing: Standing,
}

/// An attempt, or several by one relay, under way.
pub(super) enum Way<B: BackendProtocol> {
    Direct {
        tier: Arc<Tier<B>>,
        job: Arc<Job>,
        shard: usize,
        server: Arc<LiveServer>,
        expected: Duration,
    },
    Relay {
        group: usize,
        call: PendingCall,
    },
}

/// Something that happened to an attempt.
pub(super) enum Event {
    Direct(usize, ServerId, Outcome<Reply>),
    Relayed(usize, PendingCall, Option<RelayParts>),
}

/// The first attempt at a shard.
#[derive(Debug, Clone)]
pub(super) struct First {
    pub(super) server: ServerId,
    pub(super) sent_at: Monotonic,
    pub(super) relayed: bool,
    pub(super) took: Option<Duration>,
}

/// The shards that one relay was asked for.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) host: Ipv4Addr,
    pub(super) sent_at: Monotonic,
    pub(super) heard: bool,
    pub(super) suspected: bool,
    /// The shards that the relay has not reported, with the servers they were meant for.
    pub(super) open: SmallVec<[(usize, ServerId); 16]>,
}

impl Group {
    pub(super) fn new(host: Ipv4Addr, sent_at: Monotonic, sends: Vec<Planned>) -> Self {
        let open = sends.into_iter().map(|send| (send.shard, send.server.record.id.clone()));
        Self { host, sent_at, heard: false, suspected: false, open: open.collect() }
    }

    /// Notes that the relay has reported a shard; returns the server it was meant for, or `None`
    /// if the relay was not asked for it.
    pub(super) fn close(&mut self, shard: usize) -> Option<ServerId> {
        let at = self.open.iter().position(|(open, _)| *open == shard)?;
        Some(self.open.swap_remove(at).1)
    }
}

/// The servers that an attempt might go to.
type Options = SmallVec<[(Arc<LiveServer>, Standing); 4]>;

/// Whether a relay must send even to a server that it would rather not, since no other is known.
pub(super) type Insists = bool;

/// Groups attempts at far servers by failure domain, so that as few domains as possible are asked.
///
/// Attempts for which `may_move` holds go to any sound server of their shard; the others go where
/// they were meant to.
pub(super) fn group_far<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    shards: &[ServiceId],
    sends: Vec<Planned>,
    may_move: impl Fn(usize) -> bool,
) -> Vec<((DomainIndex, Insists), Vec<Planned>)> {
    let mut groups: BTreeMap<(DomainIndex, Insists), Vec<Planned>> = BTreeMap::new();
    let key = |send: &Planned| {
        let standing = &send.standing;
        let insists = !standing.is_working() || standing.declined;
        (tier.domain_index(&send.server.record.domain), insists)
    };
    let (mut moving, fixed): (Vec<Planned>, Vec<Planned>) =
        sends.into_iter().partition(|send| may_move(send.shard));
    for send in fixed {
        groups.entry(key(&send)).or_default().push(send);
    }
    let now = tier.now();
    let servers = tier.servers.load();
    let beliefs = tier.beliefs();
    let sound = |send: &Planned| -> Options {
        let standing = |server: &Arc<LiveServer>| {
            let record = &server.record;
            let standing = beliefs.standing(now, &record.id, record.slots, job.typical);
            (server.clone(), standing)
        };
        let far = servers.of(&shards[send.shard]).iter().map(standing);
        far.filter(|(server, standing)| {
            let domain = &server.record.domain;
            standing.is_sound()
                && !tier.sends_itself(&server.record)
                && tier.may_run_in(&job.route, domain)
        })
        .collect()
    };
    let mut options: Vec<Options> = moving.iter().map(sound).collect();
    drop(beliefs);
    while !moving.is_empty() {
        let Some(domain) = widest(&options, &tier.settings.domain) else { break };
        let mut rest = Vec::new();
        let mut rest_options = Vec::new();
        for (mut send, choices) in moving.into_iter().zip(options) {
            match choices.iter().find(|(server, _)| server.record.domain == domain) {
                Some((server, standing)) => {
                    send.server = server.clone();
                    send.standing = *standing;
                    groups.entry(key(&send)).or_default().push(send);
                }
                None => {
                    rest.push(send);
                    rest_options.push(choices);
                }
            }
        }
        moving = rest;
        options = rest_options;
    }
    for send in moving {
        groups.entry(key(&send)).or_default().push(send);
    }
    groups.into_iter().collect()
}

/// Returns the failure domain that has servers for the most attempts, or this host's own where it has
/// any; equals in a random order, so that no domain gets all the work.
fn widest(options: &[Options], own: &DomainId) -> Option<DomainId> {
    if options.iter().flatten().any(|(server, _)| server.record.domain == *own) {
        return Some(own.clone());
    }
    let mut counts: BTreeMap<&DomainId, f64> = BTreeMap::new();
    for (server, _) in options.iter().flatten() {
        *counts.entry(&server.record.domain).or_insert_with(rand::random::<f64>) += 1.0;
    }
    let widest = counts.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
    widest.map(|(domain, _)| domain.clone())
}

/// Asks a relay for shards, or returns `None` where it can't be asked.
pub(super) fn start_relay<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    host: Ipv4Addr,
    version: u64,
    sends: &[Planned],
    insists: Insists,
) -> Option<PendingCall> {
    let pace = job.pace.get();
    let shard = |send: &Planned| ShardIndex::try_from(send.shard).ok();
    let call = RelayCall {
        id: 0,
        version,
        route: job.route.id.clone(),
        shards: sends.iter().map(shard).collect::<Option<_>>()?,
        insists,
        pace_us: pace.and_then(|pace| u32::try_from(micros(pace)).ok()).unwrap_or(0),
        left_ms: u32::try_from(millis(job.deadline.saturating_sub(tier.now()))).ok()?,
        request: PassedRequest::from(&job.call),
    };
    tier.peers.call(host, tier.settings.peer_port, call)
}
