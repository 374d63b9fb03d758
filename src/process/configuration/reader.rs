//! Reads the platform's facts and keeps the plan and the registry up to date.
//!
//! See `docs/PLATFORM.md`, section "Reading the platform".

use std::sync::Arc;
use std::time::Duration;

use super::sharing;
use crate::connection::exchange::BackendProtocol;
use crate::connection::source::{Freshness, Reading, Source, SourceError};
use crate::process::membership::members::Heartbeat;
use crate::process::servers::registry::Registry;
use crate::process::tier::Tier;

/// How long one call waits for changes. A connection that went silent is noticed when this has
/// passed, so it is a part of the time in which a leaving server must get no more work.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// The pause after changes, so that a burst of them costs few calls.
const GATHER_CHANGES: Duration = Duration::from_millis(150);
/// How often a host that does not read looks whether it should.
const LOOK_AT_DUTY: Duration = Duration::from_millis(60);
/// The pause after a failed call; it doubles up to the greater one.
const MIN_RETRY: Duration = Duration::from_millis(150);
const MAX_RETRY: Duration = Duration::from_millis(600);

/// Follows the source until the host stops.
pub async fn run<B: BackendProtocol>(tier: Arc<Tier<B>>, source: impl Source) {
    let stopped = tier.stopped.clone();
    tokio::select! {
        () = follow(tier, source) => {}
        () = stopped.cancelled() => {}
    }
}

async fn follow<B: BackendProtocol>(tier: Arc<Tier<B>>, mut source: impl Source) {
    let mut whole = Some(Freshness::MayBeOld);
    let mut retry = MIN_RETRY;
    loop {
        if whole.is_none() && !is_reader(&tier) {
            tokio::time::sleep(LOOK_AT_DUTY).await;
            continue;
        }
        let before = sharing::known(&tier);
        let revision = tier.registry(Registry::revision);
        let result = match whole {
            Some(freshness) => source.read_all(freshness).await,
            None => source.changes_after(revision, MAX_WAIT).await,
        };
        let returned = match result {
            Ok(reading) => {
                retry = MIN_RETRY;
                let changed = reading.plan.is_some() || !reading.changes.is_empty();
                on_reading(&tier, reading, whole.take().is_some());
                sharing::push(&tier, before);
                if changed { GATHER_CHANGES } else { Duration::ZERO }
            }
            Err(SourceError::HistoryGone) => {
                tracing::warn!(revision, "history is gone; everything is read again");
                whole = Some(Freshness::Newest);
                Duration::ZERO
            }
            Err(error) => {
                on_error(&tier, &error);
                retry = (retry * 2).min(MAX_RETRY);
                let own = tier.domain_index(&tier.settings.domain);
                let near = tier.fleet.load().up.iter().filter(|h| h.domain == own).count();
                retry.mul_f64(0.5 + near as f64 * rand::random::<f64>())
            }
        };
        tokio::time::sleep(returned).await;
    }
}

/// Tells whether this host should read: no host before it in its failure domain does.
///
/// A host that was refused says so in its heartbeat, and the next one takes over. When none can
/// read, all try, each the more rarely the more they are, and hear from other domains meanwhile.
fn is_reader<B: BackendProtocol>(tier: &Tier<B>) -> bool {
    let own = tier.domain_index(&tier.settings.domain);
    let i_read = tier.members().own_heartbeat_mut().reads;
    let fleet = tier.fleet.load();
    let before = |h: &Heartbeat| !i_read || h.ip < tier.settings.ip;
    !fleet.up.iter().any(|h| h.domain == own && h.reads && before(h))
}

fn on_reading<B: BackendProtocol>(tier: &Tier<B>, reading: Reading, whole: bool) {
    let now = tier.now();
    tier.members().own_heartbeat_mut().reads = true;
    if reading.unreadable > 0 {
        tracing::warn!(
            entries = reading.unreadable,
            revision = reading.up_to,
            "entries make no sense and name no server"
        );
    }
    if tier.registry_mut(|registry| registry.on_source_answers(now)) {
        tracing::info!(revision = reading.up_to, "the platform answers again");
    }
    if let Some(document) = reading.plan {
        sharing::adopt(tier, document);
    }
    let count = reading.changes.len();
    if whole {
        tier.with_registry(|registry| registry.apply_snapshot(now, reading.changes, reading.up_to));
    } else {
        tier.apply_changes(reading.changes, reading.up_to);
    }
    if count > 0 {
        let usable = tier.servers.load().len();
        tracing::info!(changes = count, revision = reading.up_to, usable, whole, "servers changed");
    }
}

fn on_error<B: BackendProtocol>(tier: &Tier<B>, error: &SourceError) {
    let mut members = tier.members();
    let newly = std::mem::replace(&mut members.own_heartbeat_mut().reads, false);
    drop(members);
    tier.registry_mut(Registry::on_source_lost);
    if newly {
        let version = tier.plan.load().version;
        let revision = tier.servers.load().revision;
        tracing::warn!(%error, version, revision, "the platform is lost; what is known stays");
    }
}
