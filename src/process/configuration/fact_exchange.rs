//! Distributes the platform's facts between hosts, so that only a few hosts need to read them.
//!
//! Facts are ordered by revision and version, so facts from any host can be merged. A reader pushes
//! new facts; a host that learns by gossip that another host has newer ones pulls them.
//! See `docs/PLATFORM.md`, section "Reading the platform".

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::millis;
use crate::connection::exchange::BackendProtocol;
use crate::connection::peer_frame::{Facts, Frame, Known};
use crate::process::membership::members::{Heartbeat, Phase};
use crate::process::tier::Tier;
use crate::version::plan::{Plan, PlanDocument};

/// How often a host checks whether another host has newer facts.
const PULL_INTERVAL: Duration = Duration::from_millis(200);

/// Applies facts received from other hosts and pulls facts that this host lacks, until the host
/// stops.
pub async fn run<B: BackendProtocol>(tier: Arc<Tier<B>>) {
    let Some(mut received) = tier.take_received_facts() else { return };
    let mut pull_timer = tokio::time::interval(PULL_INTERVAL);
    pull_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(facts) = received.recv() => on_facts(&tier, facts),
            _ = pull_timer.tick() => pull(&tier),
            () = tier.stopped.cancelled() => return,
        }
    }
}

/// Applies facts received from another host.
pub fn on_facts<B: BackendProtocol>(tier: &Tier<B>, facts: Facts) {
    let now = tier.now();
    let before = tier.servers.load().revision;
    if let Some(ago) = facts.returned_ms_ago {
        let ago = Duration::from_millis(u64::from(ago));
        tier.update_registry_source(|registry| registry.on_peer_reported_recovery(now, ago));
    }
    // Changes that start after this host's revision leave a gap, which the next pull closes.
    let up_to = if facts.after <= before { facts.up_to } else { before };
    let count = facts.changes.len();
    tier.apply_changes(facts.changes, up_to);
    if count > 0 && tier.servers.load().revision > before {
        tracing::info!(
            changes = count,
            from = before,
            to = up_to,
            "applied facts from another host"
        );
    }
    if let Some(document) = facts.plan {
        adopt(tier, document);
    }
}

/// Adopts a plan from the platform or a peer if it is valid and newer than the one in force.
pub fn adopt<B: BackendProtocol>(tier: &Tier<B>, document: PlanDocument) -> bool {
    let version = document.version;
    if version <= tier.plan.load().version {
        return false;
    }
    match Plan::new(document) {
        Ok(plan) => tier.adopt(plan),
        Err(error) => {
            tracing::error!(version, %error, "rejected an invalid plan; the plan in force stays");
            false
        }
    }
}

/// Returns the facts that this host has and a host with `known` lacks.
pub fn facts_after<B: BackendProtocol>(tier: &Tier<B>, known: Known) -> Facts {
    let now = tier.now();
    let plan = tier.plan.load();
    let (changes, up_to, returned) = tier.registry(|registry| {
        let changes = registry.changes_after(known.revision, now);
        (changes, registry.revision(), registry.source_recovered_ago(now))
    });
    let lacks_plan = plan.version > known.version;
    Facts {
        after: known.revision,
        changes,
        up_to,
        plan: lacks_plan.then(|| PlanDocument::clone(plan.document())),
        returned_ms_ago: returned.and_then(|ago| u32::try_from(millis(ago)).ok()),
        extension: None,
    }
}

/// Sends facts newer than `before` to all hosts of the own failure domain and one host of each
/// other domain.
pub fn push<B: BackendProtocol>(tier: &Tier<B>, before: Known) {
    let facts = facts_after(tier, before);
    if facts.changes.is_empty() && facts.plan.is_none() {
        return;
    }
    let fleet = tier.fleet.load();
    let own = tier.domain_index(&tier.settings.domain);
    let near = fleet.up.iter().filter(|h| h.domain == own).map(|h| h.ip);
    let mut receivers: Vec<Ipv4Addr> = near.collect();
    let mut domains: Vec<_> = fleet.up.iter().map(|h| h.domain).filter(|d| *d != own).collect();
    domains.sort_unstable();
    domains.dedup();
    for domain in domains {
        let one = fleet.up.iter().find(|h| h.domain == domain && h.phase != Phase::Leaving);
        receivers.extend(one.map(|h| h.ip));
    }
    for host in receivers {
        tier.peers.send(host, tier.settings.peer_port, Frame::Facts(facts.clone()));
    }
}

/// Pulls missing facts from a host that has newer ones, preferably in the own failure domain.
fn pull<B: BackendProtocol>(tier: &Tier<B>) {
    let known = known_versions(tier);
    let own = tier.domain_index(&tier.settings.domain);
    let fleet = tier.fleet.load();
    let knows_more = |h: &&Heartbeat| h.revision > known.revision || h.version > known.version;
    let best =
        fleet.up.iter().filter(knows_more).max_by_key(|h| (h.domain == own, h.version, h.revision));
    if let Some(host) = best {
        tier.peers.send(host.ip, tier.settings.peer_port, Frame::Pull(known));
    }
}

/// Returns the revision and the plan version that this host has.
pub fn known_versions<B: BackendProtocol>(tier: &Tier<B>) -> Known {
    Known {
        revision: tier.servers.load().revision,
        version: tier.plan.load().version,
        epochs: None,
    }
}
