//! Runs each non-idempotent request at most once, on the host that holds the request's seat.
//!
//! See `docs/NON-IDEMPOTENT.md` for the proof.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::RngExt;

use crate::clock::{Monotonic, micros, millis};
use crate::connection::coverage::Coverage;
use crate::connection::peer::{Batch, BatchItem, Part, PeerClient};
use crate::connection::peer_pool::CallError;
use crate::connection::query::{Answer, Query};
use crate::ids::{HostId, ServerId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::context::Context;
use crate::process::record::{Record, RecordDecision};
use crate::process::servers::batches::Batches;
use crate::process::servers::gate::KeeperPermit;
use crate::process::servers::hints::Hints;
use crate::version::config::{Kind, Server, Service};

/// The maximum number of requests in the record.
const RECORD_CAPACITY: usize = 50_000;
/// The maximum number of replicas to try before a request is refused.
const MAX_REPLICAS: usize = 4;

/// The component of a host that runs non-idempotent requests.
#[derive(Debug)]
pub(crate) struct Keeper {
    context: Arc<Context>,
    batches: Arc<Batches>,
    hints: Arc<Mutex<Hints>>,
    record: Mutex<Record<Answer>>,
}

impl Keeper {
    pub(crate) fn new(
        context: Arc<Context>,
        batches: Arc<Batches>,
        hints: Arc<Mutex<Hints>>,
    ) -> Arc<Self> {
        let retention =
            Duration::from_millis(context.operational.load().config.fleet.timing.record_ms);
        let record = Mutex::new(Record::new(retention, RECORD_CAPACITY));
        Arc::new(Self { context, batches, hints, record })
    }

    /// Runs a request, or returns its recorded outcome if it ran before. A started request continues
    /// when the future is dropped.
    pub(crate) async fn submit(
        self: &Arc<Self>,
        query: Query,
        deadline: Monotonic,
    ) -> Outcome<Answer> {
        let permit = match self.keeper_permit(&query) {
            Ok(permit) => permit,
            Err(reason) => return Outcome::NotRun(reason),
        };
        let now = self.context.clock.now();
        if now >= deadline {
            return Outcome::NotRun(NotRunReason::DeadlineTooClose);
        }
        let decision = self.record.lock().expect("no holder of the lock panics").begin(
            now,
            &query.request_id,
            query.resend,
            permit.since,
        );
        if let RecordDecision::Reply(outcome) = decision {
            tracing::info!(request = %query.request_id, "returned the recorded outcome of a repeated request");
            return outcome;
        }
        let keeper = self.clone();
        let run = tokio::spawn(async move {
            let id = query.request_id.clone();
            let outcome = keeper.try_replicas(query, deadline.min(permit.until)).await;
            keeper.record.lock().expect("no holder of the lock panics").end(&id, &outcome);
            outcome
        });
        run.await.unwrap_or(Outcome::Unknown(UnknownReason::ConnectionLost))
    }

    /// Returns the period in which this host may start a request.
    fn keeper_permit(&self, query: &Query) -> Result<KeeperPermit, NotRunReason> {
        if self.context.must_wait() {
            return Err(NotRunReason::NotReady);
        }
        let placed_at = *self.context.placed_at.lock().expect("no holder of the lock panics");
        self.context.with_gate(|gate| gate.keeper_permit(&query.request_id, placed_at))
    }

    /// Tries replicas in turn as long as it is certain that the request did not run.
    async fn try_replicas(&self, query: Query, deadline: Monotonic) -> Outcome<Answer> {
        let operational = self.context.operational.load_full();
        let Some(service) = operational.config.service(&query.service) else {
            return Outcome::NotRun(NotRunReason::BadRequest);
        };
        let mut last = NotRunReason::NoPermission;
        for server in self.replicas(service, &query).into_iter().take(MAX_REPLICAS) {
            if self.context.clock.now() >= deadline {
                return Outcome::NotRun(last);
            }
            match self.run_on(service, &query, &server, deadline).await {
                Outcome::Answered(answer) => return Outcome::Answered(answer),
                Outcome::Unknown(reason) => return Outcome::Unknown(reason),
                Outcome::NotRun(reason) => last = reason,
            }
        }
        Outcome::NotRun(last)
    }

    /// Returns the available replicas of the request's shard, ordered by expected latency.
    fn replicas(&self, service: &Service, query: &Query) -> Vec<Server> {
        let now = self.context.clock.now();
        let typical = Duration::from_millis(service.limits.typical_ms);
        let hints = self.hints.lock().expect("no holder of the lock panics");
        let shard = service.shard_of(&query.key);
        let mut servers: Vec<(Duration, u32, Server)> = shard
            .into_iter()
            .flat_map(|s| &s.servers)
            .filter(|server| self.context.is_available(&server.id))
            .map(|server| {
                let known = hints.candidate(now, &server.id, typical, true, false);
                let penalty = if known.usable { Duration::ZERO } else { typical * 100 };
                (known.expected + penalty, rand::rng().random(), server.clone())
            })
            .collect();
        servers.sort_by_key(|(expected, tie, _)| (*expected, *tie));
        servers.into_iter().map(|(_, _, server)| server).collect()
    }

    async fn run_on(
        &self,
        service: &Service,
        query: &Query,
        server: &Server,
        deadline: Monotonic,
    ) -> Outcome<Answer> {
        let newest = self.context.operational.load();
        let Some(seat) = newest.server(&server.id).map(|entry| entry.seat.clone()) else {
            return Outcome::NotRun(NotRunReason::ServerLeaving);
        };
        let Some(shard) = service.shard_of(&query.key) else {
            return Outcome::NotRun(NotRunReason::BadRequest);
        };
        let owner = self.context.holder(&seat);
        let attempt = rand::rng().random();
        tracing::info!(
            request = %query.request_id, shard = shard.id, server = %server.id, %owner, attempt,
            kind = "submit", "routed"
        );
        let batch = Batch {
            id: rand::rng().random(),
            query: query.clone(),
            kind: Kind::Submit,
            index_version: service.index_version,
            deadline_us: 0,
            flush_ms: millis(deadline.saturating_sub(self.context.clock.now())),
            items: vec![BatchItem { attempt, shard: shard.id, server: server.id.clone() }],
        };
        self.hints.lock().expect("no holder of the lock panics").on_sent(&server.id);
        let part = self.send_batch(&owner, batch, deadline).await;
        self.finish_attempt(service, &server.id, part)
    }

    async fn send_batch(
        &self,
        owner: &HostId,
        mut batch: Batch,
        deadline: Monotonic,
    ) -> Result<Part, CallError> {
        if *owner == self.context.me {
            batch.deadline_us = micros(deadline);
            return Ok(self.batches.run(batch).await);
        }
        let to = self.context.address(owner).ok_or(CallError::NotSent)?;
        batch.deadline_us =
            self.context.peers.deadline_at(&to, deadline).await.ok_or(CallError::NotSent)?;
        let timeout = self.context.call_timeout(deadline);
        let call = |client: PeerClient, ctx| async move { client.run(ctx, batch).await };
        self.context.peers.call(&to, timeout, call).await
    }

    /// Converts the result of an attempt to an outcome and updates the server's hints.
    fn finish_attempt(
        &self,
        service: &Service,
        server: &ServerId,
        part: Result<Part, CallError>,
    ) -> Outcome<Answer> {
        let now = self.context.clock.now();
        let (outcome, rows, hint) = match part {
            Ok(part) => match part.ended.into_iter().next() {
                Some(report) => {
                    let hint = (Duration::from_micros(report.expected_us), report.warm);
                    (report.outcome, part.rows, Some(hint))
                }
                None => (Outcome::Unknown(UnknownReason::TimedOut), Vec::new(), None),
            },
            Err(CallError::NotSent) => {
                (Outcome::NotRun(NotRunReason::Unreachable), Vec::new(), None)
            }
            Err(CallError::Lost) => {
                (Outcome::Unknown(UnknownReason::ConnectionLost), Vec::new(), None)
            }
        };
        let mut hints = self.hints.lock().expect("no holder of the lock panics");
        hints.on_ended(now, server, &outcome, hint);
        outcome.map(|()| Answer {
            index_version: service.index_version,
            coverage: Coverage::new(1, []),
            rows,
        })
    }
}
