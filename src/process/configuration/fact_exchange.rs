//! Distributes the platform's facts between hosts, so that only a few hosts need to read them.
//!
//! Facts are ordered by epoch, revision and version, so facts from any host can be merged. A reader
//! pushes new facts; a host that learns by gossip that another host has newer ones pulls them. A host
//! that enters an epoch of the platform, when it starts or later, also asks another host what that
//! one retains of earlier epochs. See `docs/PLATFORM.md`, sections "Reading the platform" and
//! "Epochs".

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;

use super::pull_schedule::{Candidate, PullSchedule, Reached};
use crate::clock::millis;
use crate::connection::exchange::BackendProtocol;
use crate::connection::peer_frame::{Facts, FactsExtension, Frame, Known};
use crate::ids::{PlanSeries, Revision};
use crate::position::{Epochs, PlanOrder, Position};
use crate::process::membership::members::{Heartbeat, Phase};
use crate::process::servers::registry::Change;
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
            Some((host, facts)) = received.recv() => on_pulled(&tier, host, facts),
            _ = pull_timer.tick() => pull(&tier),
            () = tier.shutdown.stopped.cancelled() => return,
        }
    }
}

/// Applies facts that a host sent when it was asked for them.
fn on_pulled<B: BackendProtocol>(tier: &Tier<B>, host: Ipv4Addr, facts: Facts) {
    tier.peer_health.pulls().on_answer(host);
    tier.on_host_answered(host);
    on_facts(tier, facts);
}

/// Applies facts received from another host.
pub fn on_facts<B: BackendProtocol>(tier: &Tier<B>, facts: Facts) {
    let Facts { after, changes, up_to, plan, returned_ms_ago, extension, pass_on: _ } = facts;
    let plan_series = extension.as_ref().map_or(0, |extension| extension.epochs.plan_series);
    // Changes without an epoch can't be ordered. Hosts of older builds send them.
    if let Some(extension) = extension {
        let up_to = Position { epoch: extension.epochs.source, revision: up_to };
        let ago = returned_ms_ago.map(|ago| Duration::from_millis(u64::from(ago)));
        on_changes(tier, changes, (after, up_to), ago, extension);
    }
    if let Some(document) = plan {
        adopt(tier, document, plan_series);
    }
}

/// Applies changes in the range of a revision and a position of another host.
fn on_changes<B: BackendProtocol>(
    tier: &Tier<B>,
    changes: Vec<Change>,
    (after, up_to): (Revision, Position),
    returned_ago: Option<Duration>,
    extension: FactsExtension,
) {
    let now = tier.now();
    let count = changes.len();
    let FactsExtension { whole, knows_earlier, withheld, .. } = extension;
    // The position may change while no lock is held, and the facts must fit the one they meet.
    let (before, reached, change) = tier.update_registry(|registry| {
        let before = registry.position();
        let enters_epoch = up_to.epoch > before.epoch;
        if up_to.epoch < before.epoch || (enters_epoch && !whole) {
            return (before, before, None);
        }
        if let Some(ago) = returned_ago {
            registry.on_peer_reported_recovery(now, ago);
        }
        let mut change = None;
        if whole && up_to > before {
            change = registry.apply_snapshot(now, changes, up_to);
        } else {
            // Changes that start after this host's revision leave a gap, which the next pull closes.
            let is_complete = after <= before.revision && up_to > before;
            registry.apply(now, changes, if is_complete { up_to } else { before });
        }
        registry.on_peer_withholds(now, up_to, knows_earlier, withheld);
        (before, registry.position(), change)
    });
    tier.on_epoch_change(change);
    if up_to.epoch != reached.epoch {
        tracing::debug!(
            epoch = up_to.epoch,
            known = reached.epoch,
            "ignored facts of another epoch"
        );
    }
    if count > 0 && reached > before {
        tracing::info!(
            changes = count,
            epoch = reached.epoch,
            from = before.revision,
            to = reached.revision,
            "applied facts from another host"
        );
    }
}

/// Adopts a plan from the platform or a peer if it is valid and newer than the one in force.
pub fn adopt<B: BackendProtocol>(
    tier: &Tier<B>,
    document: PlanDocument,
    series: PlanSeries,
) -> bool {
    let version = document.version;
    if (PlanOrder { series, version }) <= tier.plan.load().order() {
        return false;
    }
    match Plan::new(document) {
        Ok(plan) => tier.adopt(plan.in_series(series)),
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
    let lacks_plan = plan.order() > known.plan_order();
    tier.registry(|registry| {
        let Position { epoch, revision } = registry.position();
        let known_epoch = known.epochs.map_or(epoch, |epochs| epochs.source);
        let lacks_changes = known_epoch == epoch && !registry.has_changes_after(known.revision);
        // A host of an older build does not know complete states.
        let whole = known.epochs.is_some() && (known_epoch < epoch || lacks_changes);
        let after = if whole { 0 } else { known.revision };
        let changes =
            if known_epoch > epoch { Vec::new() } else { registry.changes_after(after, now) };
        let returned = registry.source_recovered_ago(now);
        Facts {
            after,
            changes,
            up_to: revision,
            plan: lacks_plan.then(|| PlanDocument::clone(plan.document())),
            returned_ms_ago: returned.and_then(|ago| u32::try_from(millis(ago)).ok()),
            extension: Some(FactsExtension {
                epochs: Epochs { source: epoch, plan_series: plan.series },
                whole,
                knows_earlier: registry.knows_earlier_epoch(),
                withheld: registry.withheld(now),
            }),
            pass_on: false,
        }
    })
}

/// Applies facts that a host sent unasked, and passes them on if it asks for that.
pub fn on_pushed<B: BackendProtocol>(tier: &Tier<B>, facts: Facts) {
    let before = known_versions(tier);
    let pass_on = facts.pass_on;
    on_facts(tier, facts);
    if pass_on && known_versions(tier) != before {
        send_newer(tier, before, near_hosts(tier).map(|host| (host, false)).collect());
    }
}

/// Sends facts newer than `before` to all hosts of the own failure domain and one host of each
/// other domain, which passes them on there.
pub fn push<B: BackendProtocol>(tier: &Tier<B>, before: Known) {
    let fleet = tier.fleet.load();
    let own = tier.domain_index(&tier.settings.domain);
    let mut receivers: Vec<(Ipv4Addr, bool)> = near_hosts(tier).map(|h| (h, false)).collect();
    let mut domains: Vec<_> = fleet.up.iter().map(|h| h.domain).filter(|d| *d != own).collect();
    domains.sort_unstable();
    domains.dedup();
    let now = tier.now();
    let suspicion = tier.peer_health.suspicion();
    for domain in domains {
        let fit = |h: &&Heartbeat| h.domain == domain && h.phase != Phase::Leaving;
        let answers = |h: &&Heartbeat| fit(h) && !suspicion.is_suspect(now, &h.ip);
        let mut rng = rand::rng();
        let one = fleet.up.iter().filter(answers).choose(&mut rng);
        let one = one.or_else(|| fleet.up.iter().filter(fit).choose(&mut rng));
        receivers.extend(one.map(|h| (h.ip, true)));
    }
    drop(suspicion);
    send_newer(tier, before, receivers);
}

/// Returns the facts that this host has.
fn reached<B: BackendProtocol>(tier: &Tier<B>) -> Reached {
    Reached { position: tier.servers.load().position, plan: tier.plan.load().order() }
}

/// Returns the facts that a host announces to have. The changes of a host that doesn't announce
/// epochs can't be used.
fn announced(host: &Heartbeat) -> Reached {
    Reached { position: host.position().unwrap_or_default(), plan: host.plan_order() }
}

fn near_hosts<B: BackendProtocol>(tier: &Tier<B>) -> impl Iterator<Item = Ipv4Addr> {
    let own = tier.domain_index(&tier.settings.domain);
    let fleet = tier.fleet.load_full();
    let near: Vec<_> = fleet.up.iter().filter(|h| h.domain == own).map(|h| h.ip).collect();
    near.into_iter()
}

/// Sends facts newer than `before` to hosts that do not announce to have them already, and whether
/// each must pass them on.
fn send_newer<B: BackendProtocol>(
    tier: &Tier<B>,
    before: Known,
    mut receivers: Vec<(Ipv4Addr, bool)>,
) {
    let facts = facts_after(tier, before);
    let withholds = facts.extension.as_ref().is_some_and(|e| e.whole || !e.withheld.is_empty());
    if facts.changes.is_empty() && facts.plan.is_none() && !withholds {
        return;
    }
    // What hosts withhold is not announced.
    if !withholds {
        let (own, fleet) = (reached(tier), tier.fleet.load());
        let has_all =
            |host: Ipv4Addr| fleet.up.iter().any(|h| h.ip == host && announced(h).has(&own));
        receivers.retain(|(host, _)| !has_all(*host));
    }
    for (host, pass_on) in receivers {
        let facts = Facts { pass_on, ..facts.clone() };
        tier.peers.send(host, tier.settings.peer_port, Frame::Facts(facts));
    }
}

/// Pulls missing facts from a host that has newer ones, and from another one if it does not answer.
fn pull<B: BackendProtocol>(tier: &Tier<B>) {
    let now = tier.now();
    let known = known_versions(tier);
    let (position, asks) =
        tier.registry(|registry| (registry.position(), registry.asks_peers(now)));
    let own = reached(tier);
    let overdue = tier.peer_health.pulls().take_overdue(now);
    if let Some(pull) = overdue {
        tier.on_host_overdue(pull.host, pull.sent_at);
    }
    let own_domain = tier.domain_index(&tier.settings.domain);
    let fleet = tier.fleet.load();
    let candidates: Vec<Candidate> = {
        let suspicion = tier.peer_health.suspicion();
        let candidate = |h: &Heartbeat| Candidate {
            host: h.ip,
            reached: announced(h),
            near: h.domain == own_domain,
            suspect: suspicion.is_suspect(now, &h.ip),
        };
        fleet.up.iter().map(candidate).collect()
    };
    let mut pulls = tier.peer_health.pulls();
    pulls.update(now, own, &candidates);
    if pulls.is_pending() {
        return;
    }
    // The next host asked may know an earlier epoch if this one does not.
    let may_withhold =
        |h: &&Heartbeat| asks && h.position().is_some_and(|at| at.epoch >= position.epoch);
    let chosen = PullSchedule::choose(own, &candidates, &mut rand::rng()).or_else(|| {
        let host = fleet.up.iter().filter(may_withhold).choose(&mut rand::rng());
        host.map(|host| host.ip)
    });
    if let Some(host) = chosen {
        pulls.on_sent(now, host);
        tier.peers.send(host, tier.settings.peer_port, Frame::Pull(known));
    }
}

/// Returns the position and the plan version that this host has.
pub fn known_versions<B: BackendProtocol>(tier: &Tier<B>) -> Known {
    Known {
        revision: tier.servers.load().position.revision,
        version: tier.plan.load().version,
        epochs: Some(tier.epochs()),
    }
}
