//! Passes the platform's facts on between hosts, so that few of them need to read it.
//!
//! Everything is ordered by revision and version, so that facts from any host may be merged. A
//! reader pushes what is new; a host that hears by gossip that another knows more asks for it.
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

/// How often a host looks whether another knows more.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Takes in the facts that other hosts answer with, and asks for those that this host lacks, until
/// the host stops.
pub async fn run<B: BackendProtocol>(tier: Arc<Tier<B>>) {
    let Some(mut told) = tier.told() else { return };
    let mut look = tokio::time::interval(LOOK_EVERY);
    look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(facts) = told.recv() => on_facts(&tier, facts),
            _ = look.tick() => pull(&tier),
            () = tier.stopped.cancelled() => return,
        }
    }
}

/// Takes in facts from another host.
pub fn on_facts<B: BackendProtocol>(tier: &Tier<B>, facts: Facts) {
    let now = tier.now();
    let before = tier.servers.load().revision;
    if let Some(ago) = facts.returned_ms_ago {
        let ago = Duration::from_millis(u64::from(ago));
        tier.registry_mut(|registry| registry.on_peer_reported_recovery(now, ago));
    }
    // Changes that follow on what is not known here leave a gap; the next look closes it.
    let up_to = if facts.after <= before { facts.up_to } else { before };
    let count = facts.changes.len();
    tier.apply_changes(facts.changes, up_to);
    if count > 0 && tier.servers.load().revision > before {
        tracing::info!(changes = count, from = before, to = up_to, "facts from another host");
    }
    if let Some(document) = facts.plan {
        adopt(tier, document);
    }
}

/// Adopts a plan that was read or told, unless it is older than the one in force or can't be used.
pub fn adopt<B: BackendProtocol>(tier: &Tier<B>, document: PlanDocument) -> bool {
    let version = document.version;
    if version <= tier.plan.load().version {
        return false;
    }
    match Plan::new(document) {
        Ok(plan) => tier.adopt(plan),
        Err(error) => {
            tracing::error!(version, %error, "plan refused; the one in force stays");
            false
        }
    }
}

/// Returns what a host lacks of the facts known here.
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
    }
}

/// Tells what is new since `before` to the hosts of the own failure domain and to one of each other.
pub fn push<B: BackendProtocol>(tier: &Tier<B>, before: Known) {
    let facts = facts_after(tier, before);
    if facts.changes.is_empty() && facts.plan.is_none() {
        return;
    }
    let fleet = tier.fleet.load();
    let own = tier.domain_index(&tier.settings.domain);
    let near = fleet.up.iter().filter(|h| h.domain == own).map(|h| h.ip);
    let mut told: Vec<Ipv4Addr> = near.collect();
    let mut domains: Vec<_> = fleet.up.iter().map(|h| h.domain).filter(|d| *d != own).collect();
    domains.sort_unstable();
    domains.dedup();
    for domain in domains {
        let one = fleet.up.iter().find(|h| h.domain == domain && h.phase != Phase::Leaving);
        told.extend(one.map(|h| h.ip));
    }
    for host in told {
        tier.peers.send(host, tier.settings.peer_port, Frame::Facts(facts.clone()));
    }
}

/// Asks another host for what this one lacks, a near one if there is one.
fn pull<B: BackendProtocol>(tier: &Tier<B>) {
    let known = known(tier);
    let own = tier.domain_index(&tier.settings.domain);
    let fleet = tier.fleet.load();
    let knows_more = |h: &&Heartbeat| h.revision > known.revision || h.version > known.version;
    let best =
        fleet.up.iter().filter(knows_more).max_by_key(|h| (h.domain == own, h.version, h.revision));
    if let Some(host) = best {
        tier.peers.send(host.ip, tier.settings.peer_port, Frame::Pull(known));
    }
}

/// Returns how much this host knows.
pub fn known<B: BackendProtocol>(tier: &Tier<B>) -> Known {
    Known { revision: tier.servers.load().revision, version: tier.plan.load().version }
}
