//! Reads the platform's facts and applies them to the plan and the registry.
//!
//! See `docs/PLATFORM.md`, section "Reading the platform".

use std::sync::Arc;
use std::time::Duration;

use super::fact_exchange;
use crate::connection::exchange::BackendProtocol;
use crate::connection::source::{Freshness, Source, SourceError, SourceUpdate};
use crate::process::membership::members::Heartbeat;
use crate::process::servers::registry::Registry;
use crate::process::tier::Tier;

/// The long-poll timeout of a call that waits for changes. A dead connection is noticed only after
/// this time, so it counts towards the time within which a leaving server must get no more requests.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The delay after a read with changes, so that a burst of changes takes few calls.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(150);
/// How often a host that is not a reader checks whether it should become one.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// The initial backoff after a failed call; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(150);
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Follows the source until the host stops.
pub async fn run<B: BackendProtocol>(tier: Arc<Tier<B>>, source: impl Source) {
    let stopped = tier.stopped.clone();
    tokio::select! {
        () = follow(tier, source) => {}
        () = stopped.cancelled() => {}
    }
}

async fn follow<B: BackendProtocol>(tier: Arc<Tier<B>>, mut source: impl Source) {
    let mut whole = Some(Freshness::MayBeStale);
    let mut backoff = MIN_BACKOFF;
    loop {
        if whole.is_none() && !is_reader(&tier) {
            tokio::time::sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let before = fact_exchange::known_versions(&tier);
        let revision = tier.registry(Registry::revision);
        let result = match whole {
            Some(freshness) => source.read_all(freshness).await,
            None => source.changes_after(revision, LONG_POLL_TIMEOUT).await,
        };
        let delay = match result {
            Ok(update) => {
                backoff = MIN_BACKOFF;
                let changed = update.plan.is_some() || !update.changes.is_empty();
                on_source_update(&tier, update, whole.take().is_some());
                fact_exchange::push(&tier, before);
                if changed { CHANGE_BATCH_DELAY } else { Duration::ZERO }
            }
            Err(SourceError::HistoryGone) => {
                tracing::warn!(
                    revision,
                    "the platform no longer has the changes after this revision; reading everything again"
                );
                whole = Some(Freshness::Newest);
                Duration::ZERO
            }
            Err(error) => {
                on_error(&tier, &error);
                backoff = (backoff * 2).min(MAX_BACKOFF);
                let own = tier.domain_index(&tier.settings.domain);
                let near = tier.fleet.load().up.iter().filter(|h| h.domain == own).count();
                backoff.mul_f64(0.5 + near as f64 * rand::random::<f64>())
            }
        };
        tokio::time::sleep(delay).await;
    }
}

/// Returns whether this host should read: while it reads itself, it stops only for a reader in its
/// failure domain with a lower address; otherwise it starts only if no host there reads.
///
/// A host whose reads fail says so in its heartbeat, so that the next host takes over. When no host
/// of a domain can read, all of them try, less often the more there are, and receive facts from
/// hosts of other domains meanwhile.
fn is_reader<B: BackendProtocol>(tier: &Tier<B>) -> bool {
    let own = tier.domain_index(&tier.settings.domain);
    let i_read = tier.members().own_heartbeat_mut().reads;
    let fleet = tier.fleet.load();
    let before = |h: &Heartbeat| !i_read || h.ip < tier.settings.ip;
    !fleet.up.iter().any(|h| h.domain == own && h.reads && before(h))
}

fn on_source_update<B: BackendProtocol>(tier: &Tier<B>, update: SourceUpdate, whole: bool) {
    let now = tier.now();
    tier.members().own_heartbeat_mut().reads = true;
    if update.malformed_entries > 0 {
        tracing::warn!(
            entries = update.malformed_entries,
            revision = update.up_to,
            "skipped entries that could not be parsed"
        );
    }
    if tier.update_registry_source(|registry| registry.on_source_answers(now)) {
        tracing::info!(revision = update.up_to, "the platform answers again");
    }
    if let Some(document) = update.plan {
        fact_exchange::adopt(tier, document);
    }
    let count = update.changes.len();
    if whole {
        tier.update_registry(|registry| registry.apply_snapshot(now, update.changes, update.up_to));
    } else {
        tier.apply_changes(update.changes, update.up_to);
    }
    if count > 0 {
        let usable = tier.servers.load().len();
        tracing::info!(changes = count, revision = update.up_to, usable, whole, "servers changed");
    }
}

fn on_error<B: BackendProtocol>(tier: &Tier<B>, error: &SourceError) {
    let mut members = tier.members();
    let newly_lost = std::mem::replace(&mut members.own_heartbeat_mut().reads, false);
    drop(members);
    tier.update_registry_source(Registry::on_source_lost);
    if newly_lost {
        let version = tier.plan.load().version;
        let revision = tier.servers.load().revision;
        tracing::warn!(%error, version, revision, "the platform is lost; what is known stays");
    }
}
