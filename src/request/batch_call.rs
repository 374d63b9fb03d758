//! Sends one batch of attempts to an owner and receives its parts.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::clock::{Monotonic, micros};
use crate::connection::peer::{Batch, BatchItem, Part, PeerClient};
use crate::connection::peer_pool::CallError;
use crate::ids::HostId;
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::context::Context;
use crate::process::servers::batches::{Batches, COLLECT_WAIT};

/// How long past the expected time an owner may answer before its shards are retried elsewhere.
const LATE_ALLOWANCE: Duration = Duration::from_millis(50);

/// Events that a batch call reports to its query.
pub(super) enum Event {
    Late { items: Vec<BatchItem> },
    Part { sent_at: Monotonic, part: Part },
    Failed { items: Vec<BatchItem>, outcome: Outcome<()> },
}

/// A call that sends one batch to an owner and receives its parts.
pub(super) struct BatchCall {
    pub(super) context: Arc<Context>,
    pub(super) batches: Arc<Batches>,
    pub(super) owner: HostId,
    pub(super) deadline: Monotonic,
    pub(super) sent_at: Monotonic,
    pub(super) events: mpsc::UnboundedSender<Event>,
}

impl BatchCall {
    pub(super) async fn run(self, batch: Batch) {
        let mut left = batch.items.clone();
        let result = self.exchange(batch, &mut left).await;
        if !left.is_empty() {
            let outcome = match result {
                Err(CallError::NotSent) => Outcome::NotRun(NotRunReason::Unreachable),
                Err(CallError::Lost) => Outcome::Unknown(UnknownReason::ConnectionLost),
                Ok(()) => Outcome::Unknown(UnknownReason::TimedOut),
            };
            let _ = self.events.send(Event::Failed { items: left, outcome });
        }
    }

    async fn exchange(&self, mut batch: Batch, left: &mut Vec<BatchItem>) -> Result<(), CallError> {
        let id = batch.id;
        if self.owner == self.context.me {
            batch.deadline_us = micros(self.deadline);
            let mut part = self.batches.run(batch).await;
            while self.forward(part, left) {
                part = self.batches.collect(id, self.deadline).await;
            }
            return Ok(());
        }
        let to = self.context.address(&self.owner).ok_or(CallError::NotSent)?;
        let deadline_us =
            self.context.peers.deadline_at(&to, self.deadline).await.ok_or(CallError::NotSent)?;
        batch.deadline_us = deadline_us;
        let flush = Duration::from_millis(batch.flush_ms);
        let timeout = || self.context.call_timeout(self.deadline);
        let call = |client: PeerClient, ctx| async move { client.run(ctx, batch).await };
        let allowed = flush + LATE_ALLOWANCE;
        let first = self.context.peers.call(&to, timeout(), call);
        let mut part = self.await_part(first, allowed, left).await?;
        while self.forward(part, left) {
            let call = |client: PeerClient, ctx| async move { client.collect(ctx, id).await };
            let next = self.context.peers.call(&to, timeout(), call);
            let next = self.await_part(next, COLLECT_WAIT + LATE_ALLOWANCE, left).await;
            part = next.map_err(|_| CallError::Lost)?;
        }
        Ok(())
    }

    /// Awaits a part, and reports the owner as late if it does not answer within the allowed time.
    async fn await_part(
        &self,
        call: impl Future<Output = Result<Part, CallError>>,
        allowed: Duration,
        left: &[BatchItem],
    ) -> Result<Part, CallError> {
        let sent_at = self.context.clock.now();
        let mut call = std::pin::pin!(call);
        let result = match tokio::time::timeout(allowed, call.as_mut()).await {
            Ok(result) => result,
            Err(_) => {
                self.context.on_call_overdue(&self.owner, sent_at);
                let _ = self.events.send(Event::Late { items: left.to_vec() });
                call.await
            }
        };
        if result.is_ok() {
            self.context.on_peer_message(&self.owner);
        }
        result
    }

    /// Forwards a part to the query. Returns whether more parts are to come.
    fn forward(&self, part: Part, left: &mut Vec<BatchItem>) -> bool {
        left.retain(|item| !part.ended.iter().any(|report| report.shard == item.shard));
        let more = part.pending > 0 && !left.is_empty();
        let _ = self.events.send(Event::Part { sent_at: self.sent_at, part });
        more
    }
}
