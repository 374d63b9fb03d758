//! Admits the requests of callers: queries run here, orders go to their keeper.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::gather::Gather;
use super::keeper::Keeper;
use super::query::{Answer, Query};
use super::run::Run;
use crate::clock::Monotonic;
use crate::connection::peer::{Order, PeerClient};
use crate::connection::peer_pool::CallError;
use crate::ids::{HostId, ServiceId, ShardId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::batches::Batches;
use crate::process::budget::Budget;
use crate::process::context::Context;
use crate::process::hints::Hints;
use crate::process::latency::LatencyTracker;
use crate::version::config::{Kind, Service, Shard};
use crate::version::operational::Operational;
use crate::version::placement;

/// The part of a deadline that is left for the reply to travel, as a divisor, and its upper bound.
const REPLY_SHARE: u32 = 10;
const MAX_REPLY_MARGIN: Duration = Duration::from_millis(10);
/// Extra attempts for each thousand first ones; together they stay within 5%.
const HEDGE_PERMILLE: u64 = 30;
const RETRY_PERMILLE: u64 = 20;
const HEDGE_BURST: u64 = 20;
const RETRY_BURST: u64 = 100;
/// The quantile of shard latency after which a shard counts as late.
const LATE_QUANTILE: f64 = 0.985;
/// The hedge delay is between these many times the usual time.
const MIN_HEDGE_FACTOR: u32 = 2;
const MAX_HEDGE_FACTOR: u32 = 5;
/// The hedge delay while there are too few samples.
const START_HEDGE_FACTOR: u32 = 4;
/// How long to wait before looking for a keeper again.
const KEEPER_RETRY: Duration = Duration::from_millis(50);

#[derive(Debug)]
pub(super) struct Budgets {
    pub(super) hedge: Budget,
    pub(super) retry: Budget,
}

/// Runs the requests of callers at this host.
#[derive(Debug)]
pub(crate) struct Coordinator {
    pub(super) context: Arc<Context>,
    pub(super) batches: Arc<Batches>,
    keeper: Arc<Keeper>,
    pub(super) hints: Arc<Mutex<Hints>>,
    latencies: Mutex<HashMap<ServiceId, LatencyTracker>>,
    budgets: Mutex<HashMap<ServiceId, Budgets>>,
}

impl Coordinator {
    pub(crate) fn new(
        context: Arc<Context>,
        batches: Arc<Batches>,
        keeper: Arc<Keeper>,
        hints: Arc<Mutex<Hints>>,
    ) -> Arc<Self> {
        let (latencies, budgets) = (Mutex::default(), Mutex::default());
        Arc::new(Self { context, batches, keeper, hints, latencies, budgets })
    }

    /// Runs a request to its outcome, at the latest shortly before its deadline.
    pub(crate) async fn run(&self, query: Query, deadline: Monotonic) -> Outcome<Answer> {
        let now = self.context.clock.now();
        let left = deadline.saturating_sub(now);
        let deadline = deadline.saturating_sub((left / REPLY_SHARE).min(MAX_REPLY_MARGIN));
        let pinned = self.context.operational.load_full();
        let Some(service) = pinned.config.service(&query.service) else {
            return Outcome::NotRun(NotRunReason::BadRequest);
        };
        if service.kind == Kind::Submit {
            return self.submit(query, deadline).await;
        }
        let outcome = self.run_on(&pinned, service, &query, deadline).await;
        let (outcome, version_gone) = outcome;
        let newest = self.context.operational.load_full();
        let moved = newest.config.service(&query.service).filter(|s| {
            version_gone && s.index_version != service.index_version && s.kind == service.kind
        });
        match moved {
            Some(moved) if self.context.clock.now() < deadline => {
                tracing::info!(
                    request = %query.request_id, service = %query.service,
                    from = service.index_version, to = moved.index_version,
                    "the pinned index version is gone; restarting once"
                );
                self.run_on(&newest, moved, &query, deadline).await.0
            }
            _ => outcome,
        }
    }

    async fn run_on(
        &self,
        pinned: &Operational,
        service: &Service,
        query: &Query,
        deadline: Monotonic,
    ) -> (Outcome<Answer>, bool) {
        let shards: BTreeMap<ShardId, &Shard> = match service.kind {
            Kind::Fetch | Kind::Submit => {
                service.shard_of(&query.key).into_iter().map(|s| (s.id, s)).collect()
            }
            Kind::Listing | Kind::Lookup => service.shards.iter().map(|s| (s.id, s)).collect(),
        };
        let limit = (service.kind == Kind::Listing).then_some(query.limit as usize);
        let (events, inbox) = mpsc::unbounded_channel();
        let run = Run {
            coordinator: self,
            gather: Gather::new(service.index_version, shards.keys().copied(), limit),
            hedge_delay: self.hedge_delay(service),
            retries: Vec::new(),
            calls: JoinSet::new(),
            sent: HashMap::new(),
            pinned,
            service,
            query,
            shards,
            deadline,
            events,
        };
        run.finish(inbox).await
    }

    fn hedge_delay(&self, service: &Service) -> Duration {
        let typical = Duration::from_millis(service.limits.typical_ms);
        let latencies = self.latencies.lock().expect("no holder of the lock panics");
        let tracked = latencies.get(&service.id).and_then(|t| t.quantile(LATE_QUANTILE));
        let (least, most) = (typical * MIN_HEDGE_FACTOR, typical * MAX_HEDGE_FACTOR);
        tracked.map_or(typical * START_HEDGE_FACTOR, |late| late.clamp(least, most))
    }

    pub(super) fn record_latency(&self, service: &ServiceId, took: Duration) {
        let mut latencies = self.latencies.lock().expect("no holder of the lock panics");
        latencies.entry(service.clone()).or_default().record(took);
    }

    pub(super) fn with_budgets<T>(
        &self,
        service: &ServiceId,
        f: impl FnOnce(&mut Budgets) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().expect("no holder of the lock panics");
        f(budgets.entry(service.clone()).or_insert_with(|| Budgets {
            hedge: Budget::new(HEDGE_PERMILLE, HEDGE_BURST),
            retry: Budget::new(RETRY_PERMILLE, RETRY_BURST),
        }))
    }

    /// Sends a non-idempotent request to its keeper; nothing is repeated once it may have run.
    async fn submit(&self, query: Query, deadline: Monotonic) -> Outcome<Answer> {
        loop {
            let config = self.context.operational.load().config.clone();
            let Some(seat) = placement::keeper_seat(&config, &query.request_id) else {
                return Outcome::NotRun(NotRunReason::NotReady);
            };
            let keeper = self.context.holder(&seat);
            let outcome = if keeper == self.context.me {
                self.keeper.submit(query.clone(), deadline).await
            } else {
                self.submit_to(&keeper, query.clone(), deadline).await
            };
            tracing::info!(
                request = %query.request_id, service = %query.service, %seat, %keeper,
                not_run = outcome.is_not_run(), "sent to its keeper"
            );
            let moving = matches!(
                outcome,
                Outcome::NotRun(
                    NotRunReason::NotOwner | NotRunReason::Unreachable | NotRunReason::NotReady
                )
            );
            if !moving || self.context.clock.now() + KEEPER_RETRY >= deadline {
                return outcome;
            }
            tokio::time::sleep(KEEPER_RETRY).await;
        }
    }

    async fn submit_to(&self, host: &HostId, query: Query, deadline: Monotonic) -> Outcome<Answer> {
        let unreachable = Outcome::NotRun(NotRunReason::Unreachable);
        if self.context.is_suspect(host) {
            return unreachable;
        }
        let Some(to) = self.context.address(host) else {
            return unreachable;
        };
        let Some(deadline_us) = self.context.peers.deadline_at(&to, deadline).await else {
            return unreachable;
        };
        let sent_at = self.context.clock.now();
        let timeout = self.context.call_timeout(deadline);
        let order = Order { query, deadline_us };
        let call = |client: PeerClient, ctx| async move { client.submit(ctx, order).await };
        match self.context.peers.call(&to, timeout, call).await {
            Ok(outcome) => {
                self.context.heard(host);
                outcome
            }
            Err(CallError::NotSent) => unreachable,
            Err(CallError::Lost) => {
                self.context.late(host, sent_at);
                Outcome::Unknown(UnknownReason::ConnectionLost)
            }
        }
    }
}
