//! Reads the platform's facts and applies them to the plan and the registry.
//!
//! See `docs/PLATFORM.md`, section "Reading the platform".

use std::sync::Arc;
use std::time::Duration;

use super::fact_exchange;
use super::lost_plan::LostPlan;
use super::succession::Succession;
use crate::connection::exchange::BackendProtocol;
use crate::connection::source::{Source, SourceError, SourceUpdate};
use crate::position::{Epochs, PlanOrder, Position};
use crate::process::servers::registry::Registry;
use crate::process::tier::Tier;
use crate::version::plan::PlanDocument;

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
/// The maximum delay after a failed call, however many hosts are calling.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(2_000);

/// Follows the source until the host stops.
pub async fn run<B: BackendProtocol>(tier: Arc<Tier<B>>, source: impl Source) {
    let stopped = tier.shutdown.stopped.clone();
    tokio::select! {
        () = follow(tier, source) => {}
        () = stopped.cancelled() => {}
    }
}

async fn follow<B: BackendProtocol>(tier: Arc<Tier<B>>, mut source: impl Source) {
    let mut whole = true;
    // Two complete reads in a row are delayed; otherwise a source whose changes can't be read after
    // its own state would get calls without end.
    let mut after_whole = false;
    // The epochs that this host has read completely itself.
    let mut read_of = None;
    let mut lost_plan = LostPlan::default();
    let mut backoff = MIN_BACKOFF;
    // Whether the last call succeeded. A host that has not read for a while may be cut off from the
    // source, and a call that does not wait shows this sooner.
    let mut confirmed = false;
    let mut succession = Succession::default();
    let mut last_reason = None;
    loop {
        whole |= lost_plan.is_due(tier.now());
        let reason = reading_reason(&tier, &mut succession);
        on_reason_change(&tier, std::mem::replace(&mut last_reason, reason), reason);
        if !whole && reason.is_none() {
            confirmed = false;
            tier.members().stop_reading();
            tokio::time::sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let before = fact_exchange::known_versions(&tier);
        let after = tier.registry(Registry::position);
        // Another host that read the epoch, or started the series of plans, may have missed or not
        // passed on what the source holds, and may have failed since.
        whole |= confirmed && read_of != Some(tier.epochs());
        let max_wait = if confirmed { LONG_POLL_TIMEOUT } else { Duration::ZERO };
        let result = if whole {
            source.read_all().await
        } else {
            source.changes_after(after, max_wait).await
        };
        confirmed = result.is_ok();
        let result = result.and_then(|update| reject_outdated(&tier, update));
        let delay = match result {
            // The registry can only follow changes within an epoch.
            Ok(update) if !whole && update.up_to.epoch != after.epoch => {
                whole = true;
                if after_whole { MIN_BACKOFF } else { Duration::ZERO }
            }
            Ok(update) => {
                backoff = MIN_BACKOFF;
                let changed = update.plan.is_some() || !update.changes.is_empty();
                let read_epoch = update.up_to.epoch;
                let same_series = tier.plan.load().series == before.plan_order().series;
                on_source_update(&tier, update, whole, before.plan_order(), &mut lost_plan);
                if whole {
                    read_of = same_series.then(|| Epochs { source: read_epoch, ..tier.epochs() });
                }
                fact_exchange::push(&tier, before);
                after_whole = std::mem::replace(&mut whole, false);
                if changed || after_whole { CHANGE_BATCH_DELAY } else { Duration::ZERO }
            }
            Err(SourceError::HistoryGone) => {
                tracing::warn!(
                    epoch = after.epoch,
                    revision = after.revision,
                    "the platform no longer has the changes after this revision; reading everything again"
                );
                whole = true;
                if after_whole { MIN_BACKOFF } else { Duration::ZERO }
            }
            Err(error) => {
                whole |= matches!(error, SourceError::OutdatedEpoch { .. });
                on_error(&tier, &error);
                wait_to_retry(&tier, next_backoff(&tier, &mut backoff)).await;
                continue;
            }
        };
        tokio::time::sleep(delay).await;
    }
}

/// Waits before the next call after a failed one, until this host lacks facts that others have.
async fn wait_to_retry<B: BackendProtocol>(tier: &Tier<B>, delay: Duration) {
    let until = tier.now() + delay;
    let must_read = || tier.peer_health.pulls().must_read(tier.now());
    let lacked_facts = must_read();
    while tier.now() < until && (lacked_facts || !must_read()) {
        tokio::time::sleep(READER_CHECK_INTERVAL.min(until.saturating_sub(tier.now()))).await;
    }
}

/// Returns the delay before the next call after a failed one, longer the more hosts of the domain
/// may be calling as well.
fn next_backoff<B: BackendProtocol>(tier: &Tier<B>, backoff: &mut Duration) -> Duration {
    *backoff = (*backoff * 2).min(MAX_BACKOFF);
    let own = tier.domain_index(&tier.settings.domain);
    let near = tier.fleet.load().up.iter().filter(|h| h.domain == own).count();
    backoff.mul_f64(0.5 + near as f64 * rand::random::<f64>()).min(MAX_RETRY_DELAY)
}

/// Rejects an update of an earlier epoch than the one that this host knows, from the source or from
/// another host.
fn reject_outdated<B: BackendProtocol>(
    tier: &Tier<B>,
    update: SourceUpdate,
) -> Result<SourceUpdate, SourceError> {
    let (answered, known) = (update.up_to.epoch, tier.registry(Registry::position).epoch);
    if answered < known {
        return Err(SourceError::OutdatedEpoch { answered, known });
    }
    Ok(update)
}

/// Why a host reads the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadingReason {
    /// It lacks facts that no other host has sent.
    LacksFacts,
    /// No other host of its failure domain reads in its place.
    NoOtherReader,
}

/// Returns why this host should read, if it should.
///
/// A host whose reads fail says so in its heartbeat, so that others take over. When no host of a
/// domain can read, all of them try, less often the more there are, and receive facts from hosts of
/// other domains meanwhile. A host that lacks facts which no host sends it reads as well.
fn reading_reason<B: BackendProtocol>(
    tier: &Tier<B>,
    succession: &mut Succession,
) -> Option<ReadingReason> {
    let now = tier.now();
    if tier.peer_health.pulls().must_read(now) {
        return Some(ReadingReason::LacksFacts);
    }
    let own = (tier.settings.ip, tier.domain_index(&tier.settings.domain));
    let reads = tier.members().reads();
    let must_read = succession.must_read(now, own, reads, &tier.fleet.load().up);
    must_read.then_some(ReadingReason::NoOtherReader)
}

/// Logs that this host starts or stops reading the source.
fn on_reason_change<B: BackendProtocol>(
    tier: &Tier<B>,
    before: Option<ReadingReason>,
    reason: Option<ReadingReason>,
) {
    if before == reason {
        return;
    }
    let Position { epoch, revision } = tier.servers.load().position;
    let version = tier.plan.load().version;
    match reason {
        Some(reason) => {
            tracing::info!(?reason, version, epoch, revision, "reading the platform");
        }
        None => tracing::info!(version, epoch, revision, "another host reads the platform"),
    }
    tier.metrics.reads_platform(reason.is_some());
}

fn on_source_update<B: BackendProtocol>(
    tier: &Tier<B>,
    update: SourceUpdate,
    whole: bool,
    plan_before: PlanOrder,
    lost_plan: &mut LostPlan,
) {
    let now = tier.now();
    let Position { epoch, revision } = update.up_to;
    tier.members().on_source_answer(now);
    if update.malformed_entries > 0 {
        tracing::warn!(
            entries = update.malformed_entries,
            epoch,
            revision,
            "skipped entries that could not be parsed"
        );
    }
    if tier.update_registry_source(|registry| registry.on_source_answers(now)) {
        tracing::info!(epoch, revision, "the platform answers again");
    }
    match update.plan {
        Some(document) => on_plan(tier, document, whole, plan_before, lost_plan),
        // Without a plan, the source holds nothing that could replace the one in force.
        None if whole => drop(lost_plan.on_read(now, false, true)),
        None => {}
    }
    let count = update.changes.len();
    if whole {
        let known = tier.registry(Registry::position);
        if epoch > known.epoch && known.revision > 0 {
            tier.update_registry_source(|registry| registry.on_source_restored(now));
        }
        tier.apply_snapshot(update.changes, update.up_to);
    } else {
        tier.apply_changes(update.changes, update.up_to);
    }
    if count > 0 {
        let usable = tier.servers.load().len();
        tracing::info!(changes = count, epoch, revision, usable, whole, "servers changed");
    }
}

/// Handles a plan that the source holds; `before` is the plan that was in force before the read.
fn on_plan<B: BackendProtocol>(
    tier: &Tier<B>,
    document: PlanDocument,
    whole: bool,
    before: PlanOrder,
    lost_plan: &mut LostPlan,
) {
    let plan = tier.plan.load();
    let (in_force, version) = (plan.order(), document.version);
    let is_lost = version < in_force.version
        || (version == in_force.version && document != **plan.document());
    // A plan that was adopted during the read may be newer than the read.
    let replaces = lost_plan.on_read(tier.now(), is_lost, whole) && before == in_force;
    if replaces {
        tracing::warn!(
            version,
            in_force = in_force.version,
            "the platform has lost the plan in force, and nobody published it again; \
             the plan that it holds replaces it"
        );
        if fact_exchange::adopt(tier, document, in_force.series + 1) {
            tier.metrics.plan_series_started();
        }
    } else if is_lost {
        tracing::warn!(
            version,
            in_force = in_force.version,
            "the platform holds an older or another plan than the one in force, which stays for now"
        );
    } else {
        fact_exchange::adopt(tier, document, in_force.series);
    }
}

fn on_error<B: BackendProtocol>(tier: &Tier<B>, error: &SourceError) {
    let now = tier.now();
    let newly_lost = tier.members().stop_reading();
    tier.update_registry_source(|registry| registry.on_source_lost(now));
    tier.metrics.source_failure();
    let version = tier.plan.load().version;
    let Position { epoch, revision } = tier.servers.load().position;
    if newly_lost {
        tracing::warn!(%error, version, epoch, revision, "the platform is lost; what is known stays");
    } else {
        tracing::info!(%error, version, epoch, revision, "the platform can't be read");
    }
}
