//! Coordinates callers' requests: runs queries on this host and forwards orders to their keepers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::run::Run;
use super::shared_state::SharedState;
use crate::clock::Monotonic;
use crate::connection::peer::{Order, PeerClient};
use crate::connection::peer_pool::CallError;
use crate::connection::query::{Answer, Query};
use crate::ids::{HostId, ShardId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::context::Context;
use crate::process::keeper::Keeper;
use crate::process::servers::batches::Batches;
use crate::process::servers::hints::Hints;
use crate::version::config::{Kind, Service, Shard};
use crate::version::operational::OperationalState;
use crate::version::placement;

/// The margin left for the reply to reach the caller: this fraction of the remaining time (as a
/// divisor), up to a maximum.
const REPLY_SHARE: u32 = 10;
const MAX_REPLY_MARGIN: Duration = Duration::from_millis(10);
/// Delay before the keeper is looked up again.
const KEEPER_RETRY: Duration = Duration::from_millis(50);

/// Runs callers' requests on this host.
#[derive(Debug)]
pub(crate) struct Coordinator {
    context: Arc<Context>,
    keeper: Arc<Keeper>,
    shared: SharedState,
}

impl Coordinator {
    pub(crate) fn new(
        context: Arc<Context>,
        batches: Arc<Batches>,
        keeper: Arc<Keeper>,
        hints: Arc<Mutex<Hints>>,
    ) -> Arc<Self> {
        let shared = SharedState::new(context.clone(), batches, hints);
        Arc::new(Self { context, keeper, shared })
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
        let current = newest.config.service(&query.service).filter(|s| {
            version_gone && s.index_version != service.index_version && s.kind == service.kind
        });
        match current {
            Some(current) if self.context.clock.now() < deadline => {
                tracing::info!(
                    request = %query.request_id, service = %query.service,
                    from = service.index_version, to = current.index_version,
                    "the pinned index version is gone; restarting once"
                );
                self.run_on(&newest, current, &query, deadline).await.0
            }
            _ => outcome,
        }
    }

    async fn run_on(
        &self,
        pinned: &OperationalState,
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
        Run::new(&self.shared, pinned, service, query, shards, deadline).finish().await
    }

    /// Sends a non-idempotent request to its keeper; it is never repeated once it may have run.
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
                not_run = outcome.is_not_run(), "order sent to its keeper"
            );
            let retryable = matches!(
                outcome,
                Outcome::NotRun(
                    NotRunReason::NotOwner | NotRunReason::Unreachable | NotRunReason::NotReady
                )
            );
            if !retryable || self.context.clock.now() + KEEPER_RETRY >= deadline {
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
                self.context.on_peer_message(host);
                outcome
            }
            Err(CallError::NotSent) => unreachable,
            Err(CallError::Lost) => {
                self.context.on_call_overdue(host, sent_at);
                Outcome::Unknown(UnknownReason::ConnectionLost)
            }
        }
    }
}
