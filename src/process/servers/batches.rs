//! Runs batches of shard requests for coordinators and merges the replies before returning them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::owner::{Owner, ShardJob};
use crate::clock::{Monotonic, micros};
use crate::connection::backend::RunRequest;
use crate::connection::peer::{Batch, BatchId, BatchItem, Part, ShardReport};
use crate::connection::query::{Row, merge_rows};
use crate::ids::ShardId;
use crate::process::context::Context;
use crate::version::config::Kind;

/// How long a part waits for further replies once it has one.
const MERGE_WAIT: Duration = Duration::from_millis(1);
/// How long [`Batches::collect`] waits for a first reply.
pub(crate) const COLLECT_WAIT: Duration = Duration::from_millis(100);
/// How long an unfinished batch is retained after its deadline.
const BATCH_RETENTION: Duration = Duration::from_millis(100);

/// The batches that this host runs.
#[derive(Debug)]
pub(crate) struct Batches {
    context: Arc<Context>,
    owner: Arc<Owner>,
    open: Mutex<HashMap<BatchId, OpenBatch>>,
    cancels: Mutex<HashMap<BatchId, Vec<(ShardId, CancellationToken)>>>,
}

#[derive(Debug)]
struct OpenBatch {
    results: mpsc::UnboundedReceiver<(ShardReport, Vec<Row>)>,
    pending: u32,
    kind: Kind,
    limit: usize,
    arrived: Instant,
    _stop: DropGuard,
}

impl Batches {
    pub(crate) fn new(context: Arc<Context>, owner: Arc<Owner>) -> Arc<Self> {
        let (open, cancels) = (Mutex::default(), Mutex::default());
        Arc::new(Self { context, owner, open, cancels })
    }

    /// Runs a batch; returns when all shards have ended or the flush time has passed.
    ///
    /// Dropping the future cancels the batch.
    pub(crate) async fn run(self: &Arc<Self>, batch: Batch) -> Part {
        let deadline = Duration::from_micros(batch.deadline_us);
        let flush = Instant::now() + Duration::from_millis(batch.flush_ms);
        let id = batch.id;
        let mut open = self.start(batch, deadline);
        let part = open.gather(flush, flush).await;
        self.keep_if_pending(id, open, deadline);
        part
    }

    /// Waits for further results of a batch, but only for a short time, so that the coordinator
    /// sees that this host is alive. An unknown batch has nothing pending.
    pub(crate) async fn collect(self: &Arc<Self>, id: BatchId, deadline: Monotonic) -> Part {
        let taken = self.open.lock().expect("no holder of the lock panics").remove(&id);
        let Some(mut open) = taken else {
            return Part { ended: Vec::new(), rows: Vec::new(), pending: 0, held_us: 0 };
        };
        let now = Instant::now();
        let part = open.gather(now, now + COLLECT_WAIT).await;
        self.keep_if_pending(id, open, deadline);
        part
    }

    /// Cancels some shards of a batch.
    pub(crate) fn cancel(&self, id: BatchId, shards: &[ShardId]) {
        let cancels = self.cancels.lock().expect("no holder of the lock panics");
        let tokens = cancels.get(&id).into_iter().flatten();
        for (_, token) in tokens.filter(|(shard, _)| shards.contains(shard)) {
            token.cancel();
        }
    }

    fn start(self: &Arc<Self>, batch: Batch, deadline: Monotonic) -> OpenBatch {
        let arrived = Instant::now();
        let stop = CancellationToken::new();
        let (sender, results) = mpsc::unbounded_channel();
        let mut tokens = Vec::with_capacity(batch.items.len());
        for item in &batch.items {
            let cancel = stop.child_token();
            tokens.push((item.shard, cancel.clone()));
            let job = shard_job(&batch, item, deadline);
            let (owner, sender, item) = (self.owner.clone(), sender.clone(), item.clone());
            tokio::spawn(async move {
                let result = owner.run(job, cancel).await;
                let mut rows = Vec::new();
                let outcome = result.outcome.map(|answered| rows = answered);
                let report = ShardReport {
                    shard: item.shard,
                    server: item.server,
                    expected_us: micros(result.expected),
                    warm: result.warm,
                    took_us: micros(arrived.elapsed()),
                    outcome,
                };
                let _ = sender.send((report, rows));
            });
        }
        self.cancels.lock().expect("no holder of the lock panics").insert(batch.id, tokens);
        self.evict_after(batch.id, deadline);
        OpenBatch {
            results,
            pending: u32::try_from(batch.items.len()).unwrap_or(u32::MAX),
            kind: batch.kind,
            limit: batch.query.limit as usize,
            arrived,
            _stop: stop.drop_guard(),
        }
    }

    fn keep_if_pending(&self, id: BatchId, open: OpenBatch, deadline: Monotonic) {
        if open.pending > 0 && self.context.clock.now() < deadline + BATCH_RETENTION {
            self.open.lock().expect("no holder of the lock panics").insert(id, open);
        }
    }

    fn evict_after(self: &Arc<Self>, id: BatchId, deadline: Monotonic) {
        let batches = self.clone();
        let at = self.context.clock.instant(deadline + BATCH_RETENTION);
        tokio::spawn(async move {
            tokio::time::sleep_until(at).await;
            batches.open.lock().expect("no holder of the lock panics").remove(&id);
            batches.cancels.lock().expect("no holder of the lock panics").remove(&id);
        });
    }
}

impl OpenBatch {
    /// Collects results until all shards have ended, until `flush` has passed and at least one
    /// result has arrived, or until `give_up`.
    async fn gather(&mut self, flush: Instant, give_up: Instant) -> Part {
        let mut ended = Vec::new();
        let mut rows = Vec::new();
        while self.pending > 0 {
            let until =
                if ended.is_empty() { give_up } else { flush.max(Instant::now() + MERGE_WAIT) };
            let result = tokio::time::timeout_at(until, self.results.recv()).await;
            let Ok(Some((report, new_rows))) = result else { break };
            self.pending -= 1;
            ended.push(report);
            rows.extend(new_rows);
        }
        if self.kind == Kind::Listing {
            rows = merge_rows(rows, self.limit);
        }
        Part { ended, rows, pending: self.pending, held_us: micros(self.arrived.elapsed()) }
    }
}

fn shard_job(batch: &Batch, item: &BatchItem, deadline: Monotonic) -> ShardJob {
    ShardJob {
        server: item.server.clone(),
        deadline,
        request: RunRequest {
            attempt: item.attempt,
            request_id: batch.query.request_id.clone(),
            service: batch.query.service.clone(),
            kind: batch.kind,
            shard: item.shard,
            index_version: batch.index_version,
            deadline_ms: 0,
            term: batch.query.term.clone(),
            key: batch.query.key.clone(),
            limit: batch.query.limit,
        },
    }
}
